package drain

import (
	"net/http"
	"sync"
	"time"
)

const (
	// enough refusals take a process out of a balancer that asks once a second and
	// believes the second answer.
	enough = 2
	// lastCallers is how long after that callers may come whom the balancer sent before.
	lastCallers = 100 * time.Millisecond
	// mostAsked is the time after which a balancer is taken to know, though it wasn't seen
	// to ask: one that asks each second has asked three times.
	mostAsked = 3 * time.Second
)

// Balancer answers a balancer's question whether callers may come here, and notes when
// the balancer has heard often enough that they may not. A stop that waited for a fixed
// time would last longer than it has to nearly always; while many processes are stopped
// one after the other, more of them are away at once, and callers find nobody.
//
// It is an http.Handler. Use NewBalancer.
type Balancer struct {
	ready func() bool

	mu       sync.Mutex
	left     time.Time // when the stop began; zero before
	refusals int       // since then
	last     time.Time // when the last of them was given
}

// NewBalancer returns a Balancer. Ready tells whether callers may come while no stop is
// under way.
func NewBalancer(ready func() bool) *Balancer { return &Balancer{ready: ready} }

// Leave begins a planned stop: no callers may come from now on.
func (b *Balancer) Leave(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.left = now
}

// Released reports whether the balancer sends no more callers, as far as it does what it
// is told.
func (b *Balancer) Released(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.left.IsZero() {
		return false
	}

	return now.Sub(b.left) >= mostAsked || b.refusals >= enough && now.Sub(b.last) >= lastCallers
}

// ServeHTTP answers 200 or 503.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if b.takes(time.Now()) {
		return
	}

	w.WriteHeader(http.StatusServiceUnavailable)
}

// takes reports whether callers may come, and counts a refusal.
func (b *Balancer) takes(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.left.IsZero() {
		return b.ready()
	}

	b.refusals++
	b.last = now

	return false
}
