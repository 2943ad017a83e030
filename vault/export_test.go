package vault

import (
	"context"
	"time"
)

// Sweep frees the parts that are due to be freed.
func (w *Watcher) Sweep(ctx context.Context, now time.Time) { w.sweep(ctx, now) }

// Confirm records that all registered processes know a version.
func (w *Watcher) Confirm(now time.Time, model string, version int64) {
	w.markConfirmed(now, model, version)
}

// Grace returns how long a part may be fetched after its version was last certain to be the newest.
func (p Part) Grace() time.Duration { return p.grace() }
