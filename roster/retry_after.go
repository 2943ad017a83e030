package roster

import (
	"time"

	"boragehub/event"
)

// ObserveRetryAfter records that a target refused a request of this process and wants no other one
// for a time. It concerns this process alone, so the other entries are not told.
func (r *Roster) ObserveRetryAfter(now time.Time, id string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok || !now.Add(d).After(e.retryAt) {
		return
	}

	e.retryAt = now.Add(d)
	event.Log(r.cfg.Log, event.TargetRetryAfter, "target", id, "retry_after_ms", d.Milliseconds(), "until", e.retryAt)
}

// wait returns the time until this process may send the target a request, as far as the target has
// a say in it; zero if it may now.
func (e *engine) wait(now time.Time) time.Duration {
	return max(e.rateLimit.share.Wait(now), e.retryAt.Sub(now), 0)
}
