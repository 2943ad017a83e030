package drain

import (
	"net/http"
	"sync"
	"time"
)

const (
	// minRefusals failed health checks remove a process from a load balancer that checks
	// once a second and acts on the second failure.
	minRefusals = 2
	// lastCallerDelay is the time after the last failed check in which callers that the
	// balancer sent earlier may still arrive.
	lastCallerDelay = 100 * time.Millisecond
	// maxHealthCheckWait is the time after which a balancer is assumed to have removed the
	// process even if no checks were seen: one that checks each second has checked three times.
	maxHealthCheckWait = 3 * time.Second
)

// HealthCheck answers the health checks of a load balancer, and determines when the balancer
// has seen enough failed checks to send no more callers. Waiting a fixed time instead would
// nearly always take longer than needed; while many processes are restarted one after the
// other, more of them would be out of service at once, and callers would find none.
//
// It is an http.Handler. Create it with NewHealthCheck.
type HealthCheck struct {
	ready func() bool

	mu          sync.Mutex
	drainStart  time.Time // zero if no drain has begun
	refusals    int       // failed checks since drainStart
	lastRefusal time.Time // time of the last failed check
}

// NewHealthCheck returns a HealthCheck. Until StartDrain is called, ready reports whether
// callers may be sent to this process.
func NewHealthCheck(ready func() bool) *HealthCheck { return &HealthCheck{ready: ready} }

// StartDrain begins a drain: all health checks fail from now on.
func (b *HealthCheck) StartDrain(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.drainStart = now
}

// Deregistered reports whether a drain has begun and the balancer, if it acts on the checks as
// expected, sends no more callers.
func (b *HealthCheck) Deregistered(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.drainStart.IsZero() {
		return false
	}

	return now.Sub(b.drainStart) >= maxHealthCheckWait || b.refusals >= minRefusals && now.Sub(b.lastRefusal) >= lastCallerDelay
}

// ServeHTTP responds with status 200 if callers may be sent here, otherwise 503.
func (b *HealthCheck) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if b.accepts(time.Now()) {
		return
	}

	w.WriteHeader(http.StatusServiceUnavailable)
}

// accepts reports whether callers may be sent here, and counts a failed check.
func (b *HealthCheck) accepts(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.drainStart.IsZero() {
		return b.ready()
	}

	b.refusals++
	b.lastRefusal = now

	return false
}
