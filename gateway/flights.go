package gateway

import (
	"context"
	"errors"
	"sync"
)

// errSilent is why an attempt ends whose target stands still.
var errSilent = errors.New("the target fell silent")

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
}

// begin notes an attempt until the function that it returns is called.
func (f *flights) begin(id string, abandon context.CancelCauseFunc) (end func()) {
	x := &flight{abandon}

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
		abandon(nil)
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

// abandon ends the attempts at a target and returns how many there were.
func (f *flights) abandon(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()

	for x := range f.all[id] {
		x.abandon(errSilent)
	}

	return len(f.all[id])
}
