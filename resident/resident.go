// Package resident tracks which long parts of prompts' KV caches an engine has in its memory.
//
// # Model
//
// An engine keeps the KV cache of prompts until other prompts evict it. The side process of
// the engine follows its cache events, which may be late or missing, and reports the parts to
// entries in each load report. An entry then sends a prompt to the engine that has its shared
// prefix, or, if no store holds the prefix, has another engine fetch it from there.
//
// Reports may list parts that were evicted and omit parts that are held. An engine prefills a
// part that it no longer has, and a fetch of that part returns nothing, which costs 1 ms. Wrong
// reports cannot give an engine another part, because a part's salt identifies the model, the
// weight version and the organisation that it is isolated for.
//
// # Example
//
//	f := resident.NewFollower(resident.Config{Address: "10.0.0.1:80", Source: calls})
//	go f.Run(ctx)
//	… f.Parts() …
package resident

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehub/pause"
	"boragehub/vault"
)

// Part is a part in an engine's memory, as load reports carry it.
type Part struct {
	_ struct{} `cbor:",toarray"`
	// Key is the hash of its salt and id, as from the function Key.
	Key uint64
	// Tokens is how many of its tokens are in memory.
	Tokens int
}

// Key returns the hash of a part's salt and id by which load reports identify it.
func Key(p vault.Part) uint64 { return xxhash.Sum64String(p.Salt + "|" + p.ID) }

// Limits on the reported parts.
const (
	// LongPart is the minimum length, in tokens, of a reported part. Prefill of a shorter part
	// takes no longer than its transfer, and an engine has hundreds of such parts.
	LongPart = 1000
	// maxReportedParts keeps a load report within one packet. An engine's memory holds about
	// six shared prefixes of the usual length.
	maxReportedParts = 16
)

// Source reads the cache events of engines.
type Source interface {
	// Events returns the changes from the sequence number since. It waits for the first
	// change, up to wait.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (vault.Events, error)
}

// Config configures a Follower.
type Config struct {
	// Address is the address of the engine.
	Address string
	// Source reads its events.
	Source Source
}

// Follower follows the cache events of one engine. Use NewFollower; its methods are safe for
// concurrent use.
type Follower struct {
	cfg  Config
	next int64

	mu       sync.Mutex
	epoch    int64
	sequence uint64
	parts    map[vault.Part]partState
}

// partState is what is known of one part.
type partState struct {
	tokens   int
	sequence uint64 // of its last event; increases with each event
}

// NewFollower returns a Follower that Run starts.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg, parts: make(map[vault.Part]partState)}
}

// Timing of the calls for events.
const (
	// eventWait is how long a call waits for the first event.
	eventWait = time.Second
	// eventTimeoutMargin is how much longer than its wait a call may take.
	eventTimeoutMargin = 500 * time.Millisecond
	// pollInterval is the pause between two calls. An engine for short prompts has about a
	// hundred events a second, none of them for a part that is reported.
	pollInterval = 100 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 500 * time.Millisecond
)

// Run follows the events until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, eventWait+eventTimeoutMargin)
		e, err := f.cfg.Source.Events(c, f.cfg.Address, f.next, eventWait)

		cancel()

		if err != nil {
			// An engine that does not respond may have restarted and lost all parts. The process
			// that sends it orders logs that it is unresponsive.
			f.Reset()
			pause.For(ctx, retryDelay)

			continue
		}

		f.apply(e)
		pause.For(ctx, pollInterval)
	}
}

// Reset discards all parts, since the engine may have restarted with an empty memory.
func (f *Follower) Reset() {
	f.mu.Lock()
	defer f.mu.Unlock()

	clear(f.parts)
}

// apply applies events in order. After missing events or a restart it discards all earlier
// knowledge. A part that is held but not reported only costs an unnecessary prefill or fetch.
func (f *Follower) apply(e vault.Events) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if e.Lost || e.Epoch != f.epoch {
		clear(f.parts)
	}

	f.epoch, f.next = e.Epoch, e.Next

	for _, ev := range e.Events {
		f.sequence++

		if ev.Added && ev.Tokens >= LongPart {
			f.parts[ev.Part] = partState{ev.Tokens, f.sequence}
		} else {
			delete(f.parts, ev.Part)
		}
	}
}

// Parts returns the parts that the engine has, at most maxReportedParts, those with the most
// recent events first.
func (f *Follower) Parts() []Part {
	f.mu.Lock()
	defer f.mu.Unlock()

	type row struct {
		part     Part
		sequence uint64
	}

	rows := make([]row, 0, len(f.parts))
	for p, e := range f.parts {
		rows = append(rows, row{Part{Key: Key(p), Tokens: e.tokens}, e.sequence})
	}

	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(b.sequence, a.sequence) })

	parts := make([]Part, 0, min(len(rows), maxReportedParts))
	for _, r := range rows[:min(len(rows), maxReportedParts)] {
		parts = append(parts, r.part)
	}

	return parts
}
