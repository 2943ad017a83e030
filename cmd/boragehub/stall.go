package main

import (
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
)

// stallThreshold is how much later than due a periodic task runs before that is logged.
const stallThreshold = 500 * time.Millisecond

// stallDetector detects that this process did not run for a while, as its VM was paused, suspended or
// overloaded.
type stallDetector struct {
	interval time.Duration // between two calls of observe
	last     time.Time
}

// observe logs a stall since the previous call.
func (d *stallDetector) observe(now time.Time, log logr.Logger) {
	last := d.last
	d.last = now

	if last.IsZero() {
		return
	}

	// Without their monotonic readings, two times differ by the wall clock, which goes on while a VM is
	// suspended and may be set.
	gap, wall := now.Sub(last), now.Round(0).Sub(last.Round(0))
	if max(gap, wall) >= d.interval+stallThreshold {
		event.Log(log, event.ProcessStalled, "gap_ms", gap.Milliseconds(), "wall_ms", wall.Milliseconds())
	}
}
