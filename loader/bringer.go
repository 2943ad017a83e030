package loader

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// Timing of a load.
const (
	// callTimeout bounds a call of the engine.
	callTimeout = 600 * time.Millisecond
	// headStart is how long before the order the entries are told, so that what
	// they sent just before has started.
	headStart = 60 * time.Millisecond
	// orderAgain is how long an order may show no effect before it is given again.
	orderAgain = 1500 * time.Millisecond
	// loadPatience is how long a load may take.
	loadPatience = 6 * time.Second
)

// bringer brings one engine to a version whose turn has come. The engine's loader uses
// it, and an entry that stands in for one.
type bringer struct {
	engine  Engine
	entries Entries
	address string // the engine's
	holder  string // this process's VM
	every   time.Duration
	place   int       // of this process among those who may order the engine
	slot    int       // of those who may order the engine one after the other; 0 is its loader's
	until   time.Time // when it may be ordered no more; zero for always
	state   func(ctx context.Context) (State, bool)
	log     logr.Logger
}

// bring tells the entries, so that they send their requests elsewhere, and loads.
func (b *bringer) bring(ctx context.Context, self string, n Named) {
	b.entries.Tell(ctx, b.address, n.Model, n.Version, false)

	if pause.For(ctx, headStart) {
		b.load(ctx, self, n)
	}
}

// askState asks an engine for its state.
func askState(ctx context.Context, e Engine, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return e.State(ctx, address)
}

// load orders the version and waits until the engine has it.
func (b *bringer) load(ctx context.Context, self string, n Named) {
	began := time.Now()

	var (
		ordered time.Time
		born    int64
	)

	for ctx.Err() == nil && time.Since(began) < loadPatience {
		s, ok := b.state(ctx)
		now := time.Now()

		if ok && s.Born > born {
			// It knows of no order that its last start was given.
			born, ordered = s.Born, time.Time{}
		}

		switch {
		case ok && s.Versions[n.Model] >= n.Version && !s.Busy:
			event.Log(b.log, event.VersionLoaded, "model", n.Model, "version", s.Versions[n.Model], "after_ms", now.Sub(began).Milliseconds())
			b.entries.Tell(ctx, b.address, n.Model, s.Versions[n.Model], true)

			return
		case ok && !s.Busy && now.Sub(ordered) > orderAgain && b.may(now):
			ordered = now

			if b.order(ctx, self, n, s) == Refused {
				// The engine was started anew, and the register still named its
				// start before: the next look at the register knows better.
				return
			}
		}

		pause.For(ctx, b.every)
	}
}

// More than the slots that pass until an engine has a version, and than there are entries.
const (
	fenceSlots  = 1000
	fencePlaces = 1000
)

// fence returns the fencing number of an order. It rises with the versions, and within one
// version with the slots; two holders never use the same one.
func (b *bringer) fence(version int64) int64 {
	slot, place := min(b.slot, fenceSlots-1), min(b.place, fencePlaces-1)

	return (version*fenceSlots+int64(slot))*fencePlaces + int64(place)
}

// may reports whether the engine may still be ordered.
func (b *bringer) may(now time.Time) bool { return b.until.IsZero() || now.Before(b.until) }

func (b *bringer) order(ctx context.Context, self string, n Named, s State) Reply {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	fence := b.fence(n.Version)

	reply, err := b.engine.Order(c, b.address, Order{
		Target: self, Model: n.Model, Version: n.Version, Holder: b.holder, Fence: fence, Expected: s.Orders,
	})

	fields := []any{"model", n.Model, "version", n.Version, "fence", fence, "expected", s.Orders, "status", reply.String(), "running", s.Running, "waiting", s.Waiting}
	if err != nil {
		event.Fail(b.log, err, event.VersionOrdered, fields...)

		return reply
	}

	event.Log(b.log, event.VersionOrdered, fields...)

	return reply
}
