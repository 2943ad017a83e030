package side

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog ends a context when nothing is heard for too long. The connection to
// an engine can fall silent for good in the middle of an answer: nothing fails,
// the beats to the entry go on, and the caller would wait until its timeout.
type watchdog struct {
	timer *time.Timer
	bark  atomic.Bool
	end   context.CancelFunc
}

// newWatchdog returns a context that ends with ctx, or when the watchdog has not
// heard anything for the given time.
func newWatchdog(ctx context.Context, silence time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancel(ctx)
	d := &watchdog{end: cancel}
	d.timer = time.AfterFunc(silence, func() {
		d.bark.Store(true)
		cancel()
	})

	return ctx, d
}

// heard gives it so long again.
func (d *watchdog) heard(silence time.Duration) { d.timer.Reset(silence) }

// barked reports whether it ended the context.
func (d *watchdog) barked() bool { return d.bark.Load() }

// stop ends its work and the context.
func (d *watchdog) stop() {
	d.timer.Stop()
	d.end()
}
