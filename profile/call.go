package profile

import (
	"sync"
	"time"
)

// minCalls is the number of calls of a route before their mean is used.
const minCalls = 8

// CallTimes is what one entry has learned of the times of calls, by route. The zero value has learned
// nothing; its methods are safe for concurrent use.
type CallTimes struct {
	mu      sync.Mutex
	byRoute map[string]*callTime
}

type callTime struct {
	calls int
	ms    Mean
}

// Observe records the time of a successful call that found its target with free slots. Slowdown is the
// factor by which work on the target took longer than usual.
func (c *CallTimes) Observe(route string, took time.Duration, slowdown float64) {
	if took <= 0 || slowdown <= 0 {
		return
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	x, ok := c.byRoute[route]
	if !ok {
		if c.byRoute == nil {
			c.byRoute = make(map[string]*callTime)
		}

		x = &callTime{}
		c.byRoute[route] = x
	}

	x.calls++
	x.ms.Observe(float64(took) / float64(time.Millisecond) / slowdown)
}

// Usual returns the usual time of a route's calls, and false if there are too few observations.
func (c *CallTimes) Usual(route string) (usual time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	x, found := c.byRoute[route]
	if !found || x.calls < minCalls {
		return 0, false
	}

	ms, _ := x.ms.Value()

	return time.Duration(ms * float64(time.Millisecond)), true
}
