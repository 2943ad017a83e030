package gateway

import (
	"context"
	"time"

	"boragehub/pause"
)

const (
	// startupPollInterval is the interval between checks whether the gateway is ready.
	startupPollInterval = 10 * time.Millisecond
	// maxHeldRequests limits how many requests are held at the same time.
	maxHeldRequests = 256
)

// startupHold delays requests that arrive before the configuration and the targets are known.
// After a power failure, all entries start at once while callers are waiting, and a refusal would
// delay a caller for longer than a start takes. If the log doesn't answer, requests are refused
// when the startup window ends.
type startupHold struct {
	until time.Time     // end of the startup window
	ready func() bool   // also true when the gateway is stopping
	held  chan struct{} // semaphore for the requests being held
}

func newStartupHold(until time.Time, ready func() bool) *startupHold {
	return &startupHold{until: until, ready: ready, held: make(chan struct{}, maxHeldRequests)}
}

// wait blocks until ready reports true, the startup window ends or ctx is done. It returns at once
// if maxHeldRequests requests are already held.
func (h *startupHold) wait(ctx context.Context, now time.Time) {
	if !now.Before(h.until) || h.ready() {
		return
	}

	select {
	case h.held <- struct{}{}:
		defer func() { <-h.held }()
	default:
		return
	}

	ctx, cancel := context.WithTimeout(ctx, h.until.Sub(now))
	defer cancel()

	for pause.For(ctx, startupPollInterval) && !h.ready() {
	}
}
