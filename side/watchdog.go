package side

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels a context after a time without a token. The connection to an engine
// can stall in the middle of a response without an error, while heartbeats to the entry
// continue; the caller would then wait until its timeout.
type watchdog struct {
	timer  *time.Timer
	fired  atomic.Bool
	cancel context.CancelFunc
}

// newWatchdog returns a context that ends with ctx, or when the watchdog was not reset
// for the given time.
func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	d := &watchdog{cancel: cancel}
	d.timer = time.AfterFunc(timeout, func() {
		d.fired.Store(true)
		cancel()
	})

	return ctx, d
}

// reset restarts the timer with the given time.
func (d *watchdog) reset(timeout time.Duration) { d.timer.Reset(timeout) }

// expired reports whether the watchdog cancelled the context.
func (d *watchdog) expired() bool { return d.fired.Load() }

// stop stops the timer and cancels the context.
func (d *watchdog) stop() {
	d.timer.Stop()
	d.cancel()
}
