// Package lease elects the one process that may do a task at a time.
//
// # Model
//
// Leases are taken, renewed and released by records in a stream of the log
// service. The offset of the record that took a lease is its fencing number, so
// that a later holder always has a higher one. Which records count follows from
// the order of the stream and the service's timestamps, and is thus the same for
// every reader: a record that takes a lease counts when no process ever took
// it, when it was released, or when its last renewal is at least the lease's
// duration ago by the service's clock.
//
// The holder measures the duration by its own monotonic clock, from before it
// sent its last renewal, and stops a margin early. A holder that was paused past
// the end of its lease may act for a moment before it notices. That is harmless
// where its orders carry the fencing number and older numbers are refused (Guard).
//
// Table, Next and Guard only decide. A Keeper does the work:
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

// action is the effect of a record on a lease.
type action uint8

const (
	take action = iota + 1
	renew
	release
)

// leaseRecord is the content of a record of the stream.
type leaseRecord struct {
	Action action `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
	Holder string `cbor:"3,keyasint"`
	// Fence is the fencing number of the lease to renew or release.
	Fence uint64 `cbor:"4,keyasint,omitempty"`
	// Nonce lets the holder recognise its own record when it reads the stream.
	Nonce uint64 `cbor:"6,keyasint,omitempty"`
	// DurationMS is how long the lease lasts from this record on, in milliseconds.
	DurationMS int64 `cbor:"5,keyasint,omitempty"`
}

// Lease is the state of one lease according to the stream.
type Lease struct {
	// Holder is the name of the process that holds it.
	Holder string
	// Fence is the fencing number.
	Fence uint64
	// Renewed is when the service appended the last record that counts for it.
	Renewed time.Time
	// Duration is how long after Renewed no other process may take it.
	Duration time.Duration
	// Nonce is the nonce of the last record that counts for it.
	Nonce uint64
}

// Table holds the leases of one stream by name. Use NewTable or NewPartialTable.
type Table struct {
	leases        map[string]Lease
	partial       bool
	firstRecordAt time.Time
}

// NewTable returns an empty Table for a stream that is read from its beginning.
func NewTable() *Table { return &Table{leases: map[string]Lease{}} }

// NewPartialTable returns an empty Table for a stream whose beginning is no
// longer kept.
//
// Its reader has not read who took a lease. It takes that from the renewals, and
// regards no lease as available before it has read the stream for the duration
// of a lease. Otherwise it would accept a record that takes a lease and that all
// other readers reject, and the process would act on it.
func NewPartialTable() *Table { return &Table{leases: map[string]Lease{}, partial: true} }

// Lease returns the lease of this name; false when it was never taken or was
// released. A lease past its Duration is returned too.
func (t *Table) Lease(name string) (Lease, bool) {
	l, ok := t.leases[name]

	return l, ok
}

// Apply applies the next record of the stream. The error is failure.BadMessage
// when the record can't be decoded.
func (t *Table) Apply(r journal.Record) error {
	var c leaseRecord
	if err := cbor.Unmarshal(r.Data, &c); err != nil {
		return failure.Wrap(failure.BadMessage, err, "a lease record could not be decoded")
	}

	if t.firstRecordAt.IsZero() {
		t.firstRecordAt = r.At
	}

	next := Lease{
		Holder: c.Holder, Fence: c.Fence, Renewed: r.At, Nonce: c.Nonce,
		Duration: time.Duration(c.DurationMS) * time.Millisecond,
	}
	l, held := t.leases[c.Name]

	switch {
	case c.Action == take && t.available(c.Name, next):
		next.Fence = r.Offset
		t.leases[c.Name] = next
	case c.Action == renew && (held && c.Fence == l.Fence || t.partial && c.Fence > l.Fence):
		t.leases[c.Name] = next
	case c.Action == release && held && c.Fence == l.Fence:
		delete(t.leases, c.Name)
	}

	return nil
}

// available reports whether next may take the lease.
func (t *Table) available(name string, next Lease) bool {
	l, held := t.leases[name]

	switch {
	case held:
		return next.Renewed.Sub(l.Renewed) >= l.Duration
	case t.partial:
		return next.Renewed.Sub(t.firstRecordAt) >= next.Duration
	default:
		return true
	}
}

// Guard rejects orders with an outdated fencing number. The zero value accepts
// any number first. It is not safe for concurrent use.
type Guard struct {
	newest uint64
}

// Check returns failure.StaleFence for a number below the highest that it has
// accepted.
//
// A holder that was paused past the end of its lease can still send an order
// when it resumes. The target may ignore fencing numbers, so the process that
// forwards the order rejects it.
func (g *Guard) Check(fence uint64) error {
	if fence < g.newest {
		return failure.New(failure.StaleFence, "fencing number %d is lower than the newest one, %d", fence, g.newest)
	}

	g.newest = fence

	return nil
}

// Newest returns the highest number that Check has accepted; zero if none.
func (g *Guard) Newest() uint64 { return g.newest }
