// Package resident tells which long parts of prompts an engine has in its memory.
//
// # Model
//
// An engine keeps what it has read until other prompts push it out. The side process
// beside it follows its cache events, which come late and with gaps, and tells
// entries with each pulse. An entry then sends a prompt to the engine that has its
// opening, or has the opening fetched from there where no store keeps it.
//
// What is told may be wrong either way. An engine that has a part no longer reads it,
// and a fetch from it brings nothing, which costs a millisecond; neither can give an
// engine something else, as a part's salt names model, weight version and wall.
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

// Part is a part in an engine's memory.
type Part struct {
	_ struct{} `cbor:",toarray"`
	// Key stands for its salt and id.
	Key uint64
	// Tokens is how much of it is there.
	Tokens int
}

// Key returns the key of a part.
func Key(p vault.Part) uint64 { return xxhash.Sum64String(p.Salt + "|" + p.ID) }

// Bounds of what is told.
const (
	// LongPart is the length from which a part is told. A shorter one is read in the
	// time that a transfer takes, and an engine has hundreds of them.
	LongPart = 1000
	// most bounds the parts told, so that a pulse stays within one packet. An
	// engine's memory holds some six openings of the usual length.
	most = 16
)

// Source gives an engine's cache events.
type Source interface {
	// Events returns what changed since, waiting so long for the first change.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (vault.Events, error)
}

// Config is what a Follower works with.
type Config struct {
	// Address is the engine's.
	Address string
	// Source gives its events.
	Source Source
}

// Follower follows the cache events of one engine. Use NewFollower; its methods may
// be called from many goroutines.
type Follower struct {
	cfg  Config
	next int64

	mu    sync.Mutex
	epoch int64
	order uint64
	parts map[vault.Part]entry
}

// entry is what is known of a part.
type entry struct {
	tokens int
	order  uint64 // of its last event
}

// NewFollower returns a Follower that Run starts.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg, parts: make(map[vault.Part]entry)}
}

// Timing of the questions.
const (
	// wait is how long a question waits for the first event.
	wait = time.Second
	// slack is how much longer an answer may take.
	slack = 500 * time.Millisecond
	// rest is the pause between two questions: an engine for short prompts has
	// a hundred events a second, none of which is told.
	rest = 100 * time.Millisecond
	// awayRest is the pause after a question without an answer.
	awayRest = 500 * time.Millisecond
)

// Run follows the events until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, wait+slack)
		e, err := f.cfg.Source.Events(c, f.cfg.Address, f.next, wait)

		cancel()

		if err != nil {
			// An engine that doesn't answer may have lost everything; its silence is
			// logged by who orders it.
			f.Forget()
			pause.For(ctx, awayRest)

			continue
		}

		f.take(e)
		pause.For(ctx, rest)
	}
}

// Forget takes that the engine was started anew and has nothing in its memory.
func (f *Follower) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()

	clear(f.parts)
}

// take takes events in order. After a gap or a restart nothing known before counts:
// a part that is missed is read or fetched once more than needed.
func (f *Follower) take(e vault.Events) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if e.Lost || e.Epoch != f.epoch {
		clear(f.parts)
	}

	f.epoch, f.next = e.Epoch, e.Next

	for _, ev := range e.Events {
		f.order++

		if ev.Added && ev.Tokens >= LongPart {
			f.parts[ev.Part] = entry{ev.Tokens, f.order}
		} else {
			delete(f.parts, ev.Part)
		}
	}
}

// Parts returns the parts that the engine has, those of the last events first.
func (f *Follower) Parts() []Part {
	f.mu.Lock()
	defer f.mu.Unlock()

	type row struct {
		part  Part
		order uint64
	}

	rows := make([]row, 0, len(f.parts))
	for p, e := range f.parts {
		rows = append(rows, row{Part{Key: Key(p), Tokens: e.tokens}, e.order})
	}

	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(b.order, a.order) })

	parts := make([]Part, 0, min(len(rows), most))
	for _, r := range rows[:min(len(rows), most)] {
		parts = append(parts, r.part)
	}

	return parts
}
