package gateway

import "time"

// callTime returns the expected duration of the request as a call of a plain service. Where no service
// of the deployment is contended, queues are short and the usual duration serves all routes.
func (t *task) callTime() time.Duration {
	if t.g.cfg.Roster.AnyContended() {
		if usual, ok := t.g.profiles.callTimes.Usual(t.route.Name); ok {
			return usual
		}
	}

	return plainCallTime
}

// observeCallTime records the duration of a successful call that didn't have to wait at its target.
func (t *task) observeCallTime(now time.Time, c choice) {
	if c.freeSlots {
		t.g.profiles.callTimes.Observe(t.route.Name, now.Sub(t.sentAt), c.engine.Slowdown)
	}
}
