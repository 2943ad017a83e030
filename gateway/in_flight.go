package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Causes for cancelling an attempt.
var (
	errUnresponsive   = errors.New("the target is unresponsive")
	errRestarted      = errors.New("the target was restarted")
	errCallerTimeout  = errors.New("the target's load report is late and the caller is about to leave")
	errVersionOverdue = errors.New("the request may no longer begin on the target's weights")
	errStopped        = errors.New("this entry sends its last responses and stops")
)

// attemptTracker tracks the attempts in flight by target. The zero value is empty.
//
// The caller of a request at a paused target leaves after some seconds without a response, and the
// target then serves a request that no caller waits for. If the attempt is cancelled as soon as no
// response is expected, the caller gets an error in time.
type attemptTracker struct {
	mu       sync.Mutex
	byTarget map[string]map[*inFlightAttempt]struct{}
}

// inFlightAttempt is an attempt in flight.
type inFlightAttempt struct {
	cancel context.CancelCauseFunc
	// model and version are the weights that the request was sent for.
	model    string
	version  int64
	answered atomic.Bool // the head of its response arrived
	begun    atomic.Bool // the caller has the head of a response
}

// add tracks an attempt until the returned function is called.
func (t *attemptTracker) add(id string, a *inFlightAttempt) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.byTarget == nil {
		t.byTarget = make(map[string]map[*inFlightAttempt]struct{})
	}

	if t.byTarget[id] == nil {
		t.byTarget[id] = make(map[*inFlightAttempt]struct{})
	}

	t.byTarget[id][a] = struct{}{}

	return func() {
		t.remove(id, a)
		a.cancel(nil)
	}
}

func (t *attemptTracker) remove(id string, a *inFlightAttempt) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.byTarget[id], a)

	if len(t.byTarget[id]) == 0 {
		delete(t.byTarget, id)
	}
}

// cancel cancels the attempts at a target with a cause and returns how many there were.
func (t *attemptTracker) cancel(id string, why error) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	for a := range t.byTarget[id] {
		a.cancel(why)
	}

	return len(t.byTarget[id])
}

// cancelUnanswered cancels the attempts whose callers have nothing of a response yet, and returns how many there were.
func (t *attemptTracker) cancelUnanswered(why error) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := 0

	for _, all := range t.byTarget {
		for a := range all {
			if !a.begun.Load() {
				a.cancel(why)

				n++
			}
		}
	}

	return n
}

// cancelOverdue cancels the attempts without a response whose weights are older than due returns
// for their model, and returns how many there were.
//
// An engine that has yet to load new weights may have a long queue. Requests that wait there
// would begin on the replaced weights after the time within which they may.
func (t *attemptTracker) cancelOverdue(due func(model string) int64) int {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := 0

	for _, all := range t.byTarget {
		for a := range all {
			if a.version > 0 && !a.answered.Load() && a.version < due(a.model) {
				a.cancel(errVersionOverdue)

				n++
			}
		}
	}

	return n
}
