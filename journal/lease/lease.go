// Package lease decides who may do a duty that only one process may do at a time.
//
// # Model
//
// A lease is a record in a stream. The offset of the record that took it is its
// fencing number, so a later holder always has a higher one. The order of the
// stream and the times that the log service put on its records decide, alike
// for every reader: a record that takes a lease counts when there is none, when
// it was released, or when the last renewal is at least the lease's duration
// ago by the service's clock.
//
// A holder counts by its own monotonic clock, from before it sent its last
// renewal, and stops a margin early. A holder that was paused past its lease may
// go on for a moment without noticing. That is harmless where its orders bear
// the fencing number and an older number is refused (Guard).
//
// Table, Next and Guard decide and do nothing else. Keeper is the duty:
//
//	k := lease.NewKeeper(lease.Config{Log: log, Name: "placement", Holder: vm})
//	go k.Run(ctx)
//	if fence, ok := k.Fence(time.Now()); ok {
//		...
//	}
package lease

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/journal"
)

// action is what a record of the stream does to a lease.
type action uint8

const (
	take action = iota + 1
	renew
	release
)

// change is a record of the stream.
type change struct {
	Action action `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint"`
	// Fence is the lease that is renewed or released.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
	// Nonce lets the holder know its own record again.
	Nonce uint64 `cbor:"6,keyasint,omitempty"`
	// DurationMS is how long the lease lasts from this record on.
	DurationMS int64 `cbor:"5,keyasint,omitempty"`
}

// Lease is one lease as the stream tells it.
type Lease struct {
	// Holder is who holds it.
	Holder string
	// Fence is the fencing number.
	Fence uint64
	// Renewed is when the service took the last record that counts for it.
	Renewed time.Time
	// Duration is how long after Renewed nobody else may take it.
	Duration time.Duration
	// Nonce is the holder's mark on the newest record that counts.
	Nonce uint64
}

// Table holds the leases of one stream by name. Use NewTable or NewPartialTable.
type Table struct {
	leases  map[string]Lease
	partial bool
	since   time.Time
}

// NewTable returns a Table for a stream that is read from its beginning.
func NewTable() *Table { return &Table{leases: map[string]Lease{}} }

// NewPartialTable returns a Table for a stream whose beginning is no longer kept.
//
// Such a reader misses who took a lease. It learns that from the renewals, and
// counts nothing as free before it has read for as long as a lease lasts: else
// it would believe in a take that all others count as void, and act on it.
func NewPartialTable() *Table { return &Table{leases: map[string]Lease{}, partial: true} }

// Lease returns the lease of this name; false when nobody has it or it was released.
func (t *Table) Lease(name string) (Lease, bool) {
	l, ok := t.leases[name]

	return l, ok
}

// Apply takes account of the next record of the stream.
func (t *Table) Apply(r journal.Record) error {
	var c change
	if err := cbor.Unmarshal(r.Data, &c); err != nil {
		return failure.Wrap(failure.BadMessage, err, "a record can't be understood as a lease")
	}

	if t.since.IsZero() {
		t.since = r.At
	}

	next := Lease{
		Holder: c.Holder, Fence: c.Fence, Renewed: r.At, Nonce: c.Nonce,
		Duration: time.Duration(c.DurationMS) * time.Millisecond,
	}
	l, held := t.leases[c.Name]

	switch {
	case c.Action == take && t.free(c.Name, next):
		next.Fence = r.Offset
		t.leases[c.Name] = next
	case c.Action == renew && (held && c.Fence == l.Fence || t.partial && c.Fence > l.Fence):
		t.leases[c.Name] = next
	case c.Action == release && held && c.Fence == l.Fence:
		delete(t.leases, c.Name)
	}

	return nil
}

// free tells whether next may take the lease.
func (t *Table) free(name string, next Lease) bool {
	l, held := t.leases[name]

	switch {
	case held:
		return next.Renewed.Sub(l.Renewed) >= l.Duration
	case t.partial:
		return next.Renewed.Sub(t.since) >= next.Duration
	default:
		return true
	}
}

// Guard refuses orders that bear an old fencing number. Its zero value has seen none.
type Guard struct {
	newest uint64
}

// Check returns failure.StaleFence for a number below the highest seen.
//
// A holder that was paused past its lease wakes and still sends its order. Its
// target may ignore fencing numbers, so the one who passes the order on refuses.
func (g *Guard) Check(fence uint64) error {
	if fence < g.newest {
		return failure.New(failure.StaleFence, "fencing number %d is older than %d", fence, g.newest)
	}

	g.newest = fence

	return nil
}

// Newest returns the highest number seen.
func (g *Guard) Newest() uint64 { return g.newest }
