package loader

import (
	"context"
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
	rank         int       // of this process among those that may order the engine
	window       int       // ordering window in which the order is sent; 0 is that of the engine's loader
	orderUntil   time.Time // end of the window for orders; zero for no limit
	queryState   func(ctx context.Context) (State, bool)
	log          logr.Logger
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
		case ok && !s.Busy && now.Sub(orderedAt) > orderRetryInterval && r.mayOrder(now):
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

// Bounds of the fencing number's parts: more than the ordering windows that pass before an
// engine has a version, and more than there are entries.
const (
	fenceWindows = 1000
	fenceRanks   = 1000
)

// fence returns the fencing number of an order. It rises with the version, and within a
// version with the ordering window; below fenceWindows and fenceRanks, two holders never
// use the same number.
func (r *reloader) fence(version int64) int64 {
	window, rank := min(r.window, fenceWindows-1), min(r.rank, fenceRanks-1)

	return (version*fenceWindows+int64(window))*fenceRanks + int64(rank)
}

// mayOrder reports whether the ordering window is still open.
func (r *reloader) mayOrder(now time.Time) bool {
	return r.orderUntil.IsZero() || now.Before(r.orderUntil)
}

func (r *reloader) order(ctx context.Context, self string, n DesiredVersion, s State) Reply {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	fence := r.fence(n.Version)

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
