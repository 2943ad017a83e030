package loader

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// Timing of a reload.
const (
	// callTimeout is the timeout of one call to the engine.
	callTimeout = 600 * time.Millisecond
	// announceLead is the time from the announcement to the entries until the order
	// is sent, so that requests that entries sent just before have started.
	announceLead = 60 * time.Millisecond
	// orderRetryInterval is how long an order may show no effect before it is sent again.
	orderRetryInterval = 1500 * time.Millisecond
	// loadTimeout is how long a load may take, retries of the order included.
	loadTimeout = 6 * time.Second
)

// reloader loads a version into one engine whose rollout slot has started. It is used by
// the engine's Loader, or by an entry's Standby if the engine has no loader.
type reloader struct {
	engine       Engine
	entries      Entries
	address      string // of the engine
	holder       string // VM of this process
	pollInterval time.Duration
	number       int       // of this process among the holders: 0 for the loader, one more than its rank for an entry
	fence        *fences   // of this process for the engine
	orderUntil   time.Time // end of the window for orders; zero for no limit
	// mayHold returns whether this process may give the engine an order now; nil if it always may.
	mayHold    func(ctx context.Context) bool
	queryState func(ctx context.Context) (State, bool)
	log        logr.Logger
}

// reload announces the load to the entries, so that they send their requests to other
// engines, and then orders it.
func (r *reloader) reload(ctx context.Context, self string, n DesiredVersion) {
	r.entries.AnnounceVersion(ctx, r.address, n.Model, n.Version, false)

	if pause.For(ctx, announceLead) {
		r.orderAndWait(ctx, self, n)
	}
}

// pollState queries the state of an engine, with callTimeout.
func pollState(ctx context.Context, e Engine, address string) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return e.State(ctx, address)
}

// orderAndWait orders the version and waits until the engine has it, at most loadTimeout.
func (r *reloader) orderAndWait(ctx context.Context, self string, n DesiredVersion) {
	started := time.Now()

	var (
		orderedAt time.Time
		startTime int64
	)

	for ctx.Err() == nil && time.Since(started) < loadTimeout {
		s, ok := r.queryState(ctx)
		now := time.Now()

		if ok && s.StartTime > startTime {
			// The engine restarted and no longer knows the orders given before.
			startTime, orderedAt = s.StartTime, time.Time{}
		}

		switch {
		case ok && s.Versions[n.Model] >= n.Version && !s.Busy:
			event.Log(r.log, event.VersionLoaded, "model", n.Model, "version", s.Versions[n.Model], "after_ms", now.Sub(started).Milliseconds())
			r.entries.AnnounceVersion(ctx, r.address, n.Model, s.Versions[n.Model], true)

			return
		case ok && !s.Busy && now.Sub(orderedAt) > orderRetryInterval && r.mayOrder(ctx, now):
			orderedAt = now

			if r.order(ctx, self, n, s) == Refused {
				// The engine restarted while the register still listed its previous
				// start. The caller reads the register again on its next attempt.
				return
			}
		}

		pause.For(ctx, r.pollInterval)
	}
}

// fenceHolders bounds the numbers of holders in a fencing number.
const fenceHolders = 1000

// fences gives out the fencing numbers of one process for one engine. They follow the engines' clock, or
// the time of day if the engine reports none, so that whoever orders an engine later has the higher
// number, whatever version or model it orders. The holder's number makes those of two holders differ.
type fences struct {
	mu     sync.Mutex
	latest int64 // time of the last number, in ms
}

// next returns the number of an order that a holder sends now, after it received the engine's state.
func (f *fences) next(now time.Time, s State, holder int) int64 {
	at := s.Clock
	if at == 0 {
		at = now.UnixMilli()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.latest = max(f.latest, at)

	return f.latest*fenceHolders + int64(min(holder, fenceHolders-1))
}

// mayOrder reports whether the ordering window is still open, and whether this process may hold the
// engine.
func (r *reloader) mayOrder(ctx context.Context, now time.Time) bool {
	return (r.orderUntil.IsZero() || now.Before(r.orderUntil)) && (r.mayHold == nil || r.mayHold(ctx))
}

func (r *reloader) order(ctx context.Context, self string, n DesiredVersion, s State) Reply {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	fence := r.fence.next(time.Now(), s, r.number)

	reply, err := r.engine.Order(c, r.address, Order{
		Target: self, Model: n.Model, Version: n.Version, Holder: r.holder, Fence: fence, ExpectedOrders: s.AcceptedOrders,
	})

	fields := []any{"model", n.Model, "version", n.Version, "fence", fence, "expected", s.AcceptedOrders, "status", reply.String(), "running", s.Running, "waiting", s.Waiting}
	if err != nil {
		event.Fail(r.log, err, event.VersionOrdered, fields...)

		return reply
	}

	event.Log(r.log, event.VersionOrdered, fields...)

	return reply
}
