package gateway

import (
	"context"
	"time"

	"boragehub/pause"
)

// A caller closes a stream that shows no event for as long as its route's EventTimeout, without
// having received an error. It takes about a second to distinguish a paused target from a short
// delay. A caller that has already waited, such as one with a short prompt queued behind a very
// long one, leaves sooner. Without the check below, callers leave during the first second of a
// pause, and their requests are still at the target when it resumes.

// Timing of the check whether a caller is about to leave.
const (
	// callerTimeoutMargin is how long before the caller would leave a request may be given up. A
	// busy entry takes about 25 ms to notice that a request arrived, and as long to notice that
	// time has passed; the response takes 3 ms to reach the caller.
	callerTimeoutMargin = 150 * time.Millisecond
	// callerTimeoutPollInterval is the interval between checks of the target from then on.
	callerTimeoutPollInterval = 25 * time.Millisecond
)

// watchCallerTimeout cancels an attempt when its caller is about to leave and its target's load
// report is late. A target that still reports is not given up early, since its response may still
// come.
func (t *task) watchCallerTimeout(ctx context.Context, target string, cancel context.CancelCauseFunc) {
	for pause.For(ctx, max(t.untilCallerTimeout(time.Now()), callerTimeoutPollInterval)) {
		if t.untilCallerTimeout(time.Now()) <= 0 && t.g.cfg.Roster.ReportOverdue(target) {
			cancel(errCallerTimeout)

			return
		}
	}
}

// untilCallerTimeout returns the time left until callerTimeoutMargin before the caller is
// expected to leave. It is negative once that has passed.
func (t *task) untilCallerTimeout(now time.Time) time.Duration {
	lastEvent := t.began.Add(time.Duration(t.lastEventAfter.Load()))

	return lastEvent.Add(t.route.EventTimeout - callerTimeoutMargin).Sub(now)
}
