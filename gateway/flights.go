package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// Why attempts end before their time.
var (
	errSilent    = errors.New("the target fell silent")
	errRestarted = errors.New("the target was started anew")
	errLeaving   = errors.New("the target is not heard, and the caller is about to leave")
	errOverdue   = errors.New("it may no longer begin on the target's weights")
)

// flights are the attempts under way, by target. The zero value is empty.
//
// The caller of a request that waits for a machine which stands still leaves after
// some seconds without having been told anything, and the target then works for
// nobody. Given up as soon as nothing is to be expected, the caller has an answer.
type flights struct {
	mu  sync.Mutex
	all map[string]map[*flight]struct{}
}

// flight is one attempt.
type flight struct {
	abandon context.CancelCauseFunc
	// model and version are the weights that the request was sent for.
	model   string
	version int64
	begun   atomic.Bool // the head of its answer came
}

// begin notes an attempt until the function that it returns is called.
func (f *flights) begin(id string, x *flight) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.all == nil {
		f.all = make(map[string]map[*flight]struct{})
	}

	if f.all[id] == nil {
		f.all[id] = make(map[*flight]struct{})
	}

	f.all[id][x] = struct{}{}

	return func() {
		f.end(id, x)
		x.abandon(nil)
	}
}

func (f *flights) end(id string, x *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()

	delete(f.all[id], x)

	if len(f.all[id]) == 0 {
		delete(f.all, id)
	}
}

// abandon ends the attempts at a target for a reason and returns how many there were.
func (f *flights) abandon(id string, why error) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	for x := range f.all[id] {
		x.abandon(why)
	}

	return len(f.all[id])
}

// takeBack ends the attempts that have not begun and whose weights are older than due
// says for their model, and returns how many there were.
//
// An engine that has yet to load new weights may have a long queue. What waits there
// would begin on the replaced weights after the time within which it may.
func (f *flights) takeBack(due func(model string) int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := 0

	for _, all := range f.all {
		for x := range all {
			if x.version > 0 && !x.begun.Load() && x.version < due(x.model) {
				x.abandon(errOverdue)

				n++
			}
		}
	}

	return n
}
