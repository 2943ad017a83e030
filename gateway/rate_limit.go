package gateway

import (
	"errors"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/retry"
	"boragehub/roster"
)

// rateLimited is the cause of a refusal when all targets that could take the request name rate
// limits and this entry has used its share of them.
type rateLimited struct {
	slotIn    time.Duration // time until this entry may send one of them a request
	perSecond float64       // requests a second that it may send them
}

// Error returns what limits the request.
func (rateLimited) Error() string { return "all available targets are at their rate limits" }

// Unwrap returns errNoCapacity: a prompt waits for a slot as for capacity.
func (rateLimited) Unwrap() error { return errNoCapacity }

// wait returns how long a request waits for its slot behind others.
func (l rateLimited) wait(ahead int) time.Duration { return l.slotIn + time.Duration(ahead)*l.period() }

// period returns the mean time between two slots.
func (l rateLimited) period() time.Duration {
	return time.Duration(float64(time.Second) / l.perSecond)
}

// rateLimitOf returns the limit that the untried ones of the given targets leave this entry. The
// result is false if one of them is not usable for another reason, which may end sooner.
func (t *task) rateLimitOf(all []roster.Engine) (rateLimited, bool) {
	var l rateLimited

	for _, e := range all {
		switch {
		case t.tried[e.ID]:
			continue
		case e.SlotIn <= 0:
			return rateLimited{}, false
		}

		if l.perSecond == 0 || e.SlotIn < l.slotIn {
			l.slotIn = e.SlotIn
		}

		l.perSecond += 1 / e.SlotInterval.Seconds()
	}

	return l, l.perSecond > 0
}

// rateLimitRefusals spreads the callers that are refused because of rate limits over the slots to
// come, by service.
type rateLimitRefusals struct {
	mu        sync.Mutex
	schedules map[string]*retry.Schedule
}

// next returns when the next refused caller of a service should retry. Callers get their slots in
// the order in which they were refused.
func (r *rateLimitRefusals) next(now time.Time, service string, l rateLimited, ahead int) time.Duration {
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

	return s.NextSlot(now, l.wait(ahead), l.period())
}

// refuseRateLimited returns the error for a caller whose request is not sent because of rate
// limits; ahead is the number of requests that wait before it.
func (t *task) refuseRateLimited(now time.Time, l rateLimited, ahead int) error {
	after := t.g.rateLimitRefusals.next(now, t.service.Name, l, ahead)

	return failure.New(failure.QueueFull, "%s", l.Error()).WithRetryAfter(after)
}

// asRateLimited returns the rate limit that an error wraps.
func asRateLimited(err error) (rateLimited, bool) {
	var l rateLimited

	return l, errors.As(err, &l)
}
