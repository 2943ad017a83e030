package gateway

import (
	"errors"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/retry"
	"boragehub/roster"
)

// throttled is the cause of a refusal when all targets that could take the request want none from
// this entry now: it has used its share of their rate limits, or they refused with Retry-After.
type throttled struct {
	wait      time.Duration // time until this entry may send one of them a request
	perSecond float64       // requests a second that it may send them then
}

// unlimitedPerSecond is the rate at which callers return to a target that names no rate limit after
// its Retry-After time.
const unlimitedPerSecond = 40

// Error returns why the request is not sent.
func (throttled) Error() string {
	return "all available targets are at their rate limits or refused with Retry-After"
}

// Unwrap returns errNoCapacity: a prompt waits for such a target as for capacity.
func (throttled) Unwrap() error { return errNoCapacity }

// waitBehind returns how long a request waits behind others.
func (l throttled) waitBehind(ahead int) time.Duration {
	return l.wait + time.Duration(ahead)*l.period()
}

// period returns the mean time between two requests.
func (l throttled) period() time.Duration {
	return time.Duration(float64(time.Second) / l.perSecond)
}

// throttledBy returns when the untried ones of the given targets may get requests. The result is
// false if one of them is not usable for another reason, which may end sooner.
func (t *task) throttledBy(all []roster.Engine) (throttled, bool) {
	var l throttled

	for _, e := range all {
		switch {
		case t.tried[e.ID]:
			continue
		case e.Wait <= 0:
			return throttled{}, false
		}

		if l.perSecond == 0 || e.Wait < l.wait {
			l.wait = e.Wait
		}

		if e.SlotInterval > 0 {
			l.perSecond += 1 / e.SlotInterval.Seconds()
		} else {
			l.perSecond += unlimitedPerSecond
		}
	}

	return l, l.perSecond > 0
}

// throttledCallers spreads the callers that are refused because targets are throttled over the time
// in which those take requests again, by service.
type throttledCallers struct {
	mu        sync.Mutex
	schedules map[string]*retry.Schedule
}

// next returns when the next refused caller of a service should retry. Callers return in the order
// in which they were refused.
func (r *throttledCallers) next(now time.Time, service string, l throttled, ahead int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.schedules == nil {
		r.schedules = make(map[string]*retry.Schedule)
	}

	s, ok := r.schedules[service]
	if !ok {
		s = &retry.Schedule{}
		r.schedules[service] = s
	}

	return s.NextSlot(now, l.waitBehind(ahead), l.period())
}

// refuseThrottled returns the error for a caller whose request is not sent because all targets are
// throttled; ahead is the number of requests that wait before it.
func (t *task) refuseThrottled(now time.Time, l throttled, ahead int) error {
	after := t.g.throttledCallers.next(now, t.service.Name, l, ahead)

	return failure.New(failure.QueueFull, "%s", l.Error()).WithRetryAfter(after)
}

// asThrottled returns the throttled that an error wraps.
func asThrottled(err error) (throttled, bool) {
	var l throttled

	return l, errors.As(err, &l)
}
