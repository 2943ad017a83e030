// Package pause waits in a way that can be broken off.
//
//	for pause.For(ctx, time.Second) {
//		… // once a second until ctx ends
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether it passed before ctx ended. A d of zero or
// less does not wait.
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
