package target

import (
	"time"

	"boragehub/quota"
)

// throttle is what a target lets this entry send. The zero throttle allows everything.
type throttle struct {
	retryAt time.Time // until then it refuses this entry
	// share is this entry's share of the rate limit of a target without a side process, which
	// would keep to the limit for all entries.
	share quota.Share
}

// wait returns the time until the target may get a request of this entry; zero if it may now.
func (h *throttle) wait(now time.Time) time.Duration {
	return max(h.share.Wait(now), h.retryAt.Sub(now), 0)
}

// ObserveThrottled records that a target's side process refuses this entry's requests for a time,
// during which the target is no candidate. What the side process responds meanwhile to requests that
// were under way doesn't prolong it: each of them has got a later time.
func (t *Table) ObserveThrottled(now time.Time, vm string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r, ok := t.rows[vm]; ok && !now.Before(r.throttle.retryAt) {
		r.throttle.retryAt = now.Add(d)
	}
}

// ObserveRetryAfter records that a target without a side process refused a request of this entry and
// wants no other one for a time.
func (t *Table) ObserveRetryAfter(now time.Time, vm string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if r, ok := t.rows[vm]; ok && now.Add(d).After(r.throttle.retryAt) {
		r.throttle.retryAt = now.Add(d)
	}
}

// ObserveRateLimit records the limit that a target without a side process names, in requests a second
// of the given number of entries together; zero for none. Changed reports whether it is new.
func (t *Table) ObserveRateLimit(now time.Time, vm string, limit float64, entries int) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]
	if !ok {
		return false
	}

	changed = r.throttle.share.Limit() != limit
	phase := float64(r.score>>11) / (1 << 53)
	r.throttle.share.Set(now, limit, entries, phase)

	return changed
}

// ObserveLeaving records whether a target without a side process says that it is about to leave.
// Changed reports whether it said otherwise before.
func (t *Table) ObserveLeaving(_ time.Time, vm string, leaving bool) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[vm]
	if !ok || r.saidLeaving == leaving {
		return false
	}

	r.saidLeaving = leaving
	t.selectSubset(t.pools[r.service])

	return true
}

// Admit reports whether a request may be sent to a target now, and if so uses a slot of this entry's
// share of its rate limit. Otherwise wait is the time until it may.
func (t *Table) Admit(now time.Time, vm string) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, known := t.rows[vm]
	if !known {
		return 0, true
	}

	if r.leaving() {
		return 0, false
	}

	if wait = r.throttle.wait(now); wait > 0 {
		return wait, false
	}

	r.throttle.share.Take(now)

	return 0, true
}

// RetryIn returns the time until the first throttled target of a service may get a request; false if
// none of its targets is throttled.
func (t *Table) RetryIn(now time.Time, service string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return 0, false
	}

	least := time.Duration(0)

	for _, r := range p.rows {
		if w := r.throttle.wait(now); w > 0 && !r.leaving() && (least == 0 || w < least) {
			least = w
		}
	}

	return least, least > 0
}
