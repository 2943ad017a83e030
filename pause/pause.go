// Package pause provides a cancellable sleep, and timeouts that progress extends.
//
//	for pause.For(ctx, time.Second) {
//		… // once a second until ctx ends
//	}
package pause

import (
	"context"
	"time"
)

// For sleeps for d and reports whether it elapsed before ctx ended. If d is zero or
// negative, it returns at once whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
