package gateway

import (
	"context"
	"time"

	"boragehub/pause"
)

// A caller leaves a stream that shows nothing for as long as its patience, and has been
// told nothing then. From its target's machine standing still it takes about a second to
// tell that from a pause, and one that has waited before leaves sooner: it is the caller of
// a quick question behind a very long prompt. One notices callers that leave up to a second
// into a standstill, with their requests still at the target when it goes on.

// Giving up before the caller leaves.
const (
	// leavingMargin is how long before its caller would leave a request may be given up. A
	// busy entry takes some 25 ms to see that a request came, and as long to see that
	// time has passed; the answer is on its way for 3 ms.
	leavingMargin = 150 * time.Millisecond
	// leavingLook is the pause between two looks at the target from then on.
	leavingLook = 25 * time.Millisecond
)

// watch gives an attempt up when its caller is about to leave and its target is late. One
// that is heard has the whole time: an answer may still come.
func (t *task) watch(ctx context.Context, target string, abandon context.CancelCauseFunc) {
	for pause.For(ctx, max(t.unwatched(time.Now()), leavingLook)) {
		if t.unwatched(time.Now()) <= 0 && t.g.cfg.Roster.Late(target) {
			abandon(errLeaving)

			return
		}
	}
}

// unwatched returns how long it is until the caller is about to leave, as far as is known.
func (t *task) unwatched(now time.Time) time.Duration {
	shown := t.began.Add(time.Duration(t.shown.Load()))

	return shown.Add(t.route.Patience - leavingMargin).Sub(now)
}
