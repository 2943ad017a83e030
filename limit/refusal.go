package limit

import (
	"time"

	"boragehub/failure"
)

// checkRate refuses a request that exceeds its organisation's rate limit.
func (g *Gate) checkRate(now time.Time, a *account, q Request) error {
	if a.limiter.AllowN(now, 1) {
		return nil
	}

	limit := float64(a.limiter.Limit())
	missing := (1 - a.limiter.TokensAt(now)) / limit
	retryAfter := a.rateSchedule.NextSlot(now, seconds(missing), seconds(1/limit))

	return g.refuse(failure.RateLimited, retryAfter, "organisation %s exceeds its request rate limit", q.Organisation)
}

// checkDeadline refuses a request whose first token is expected after its deadline.
func (g *Gate) checkDeadline(now time.Time, q Request) error {
	if q.Deadline.IsZero() || !now.Add(q.Wait).After(q.Deadline) {
		return nil
	}

	late := now.Add(q.Wait).Sub(q.Deadline)
	retryAfter := g.classSchedules[classRank(q.Class)].NextSlot(now, late, g.timeToRelease(now, q.Cost))

	return g.refuse(failure.DeadlineHopeless, retryAfter, "the first token is expected in %v, past the deadline", q.Wait.Round(time.Millisecond))
}

// checkCapacity refuses a request when the places that its class may use are taken. A request
// is never refused while no place is in use.
func (g *Gate) checkCapacity(now time.Time, a *account, q Request) error {
	if g.places <= 0 || g.used == 0 || g.used+q.Cost <= g.places*classFraction(q.Class) {
		return nil
	}

	// Refused requests count as demand. Otherwise an organisation that filled all
	// places while it was the only one would get each place that is released.
	g.recordDemand(now, a, a.used+q.Cost)

	excess := g.used + q.Cost - g.places*classFraction(q.Class)
	retryAfter := g.classSchedules[classRank(q.Class)].NextSlot(now, g.timeToRelease(now, excess), g.timeToRelease(now, q.Cost))

	return g.refuse(failure.QueueFull, retryAfter, "no capacity is available")
}

// checkShare refuses a request when places are scarce and its organisation already holds its
// fair share of them.
func (g *Gate) checkShare(now time.Time, a *account, q Request) error {
	// Shares refer to the places that the class may use. If they referred to all places,
	// a flood of background requests would fill its class's places before it reached its
	// share.
	classPlaces := g.places * classFraction(q.Class)
	if g.places <= 0 || g.used+q.Cost <= classPlaces*g.cfg.ShareThreshold || a.used == 0 {
		return nil
	}

	share := a.weight * g.fairLevel(now) * classFraction(q.Class)
	if a.used+q.Cost <= share {
		return nil
	}

	g.recordDemand(now, a, a.used+q.Cost)

	fraction := min(1, max(share, q.Cost)/g.places)
	excess := a.used + q.Cost - share
	retryAfter := a.shareSchedule.NextSlot(now, scale(g.timeToRelease(now, excess), 1/fraction), scale(g.timeToRelease(now, q.Cost), 1/fraction))

	return g.refuse(failure.ShareExceeded, retryAfter, "organisation %s already uses its fair share of the capacity", q.Organisation)
}

// refuse counts a refusal and returns it as a failure with Retry-After, to which it adds
// random jitter.
func (g *Gate) refuse(k failure.Kind, retryAfter time.Duration, format string, args ...any) error {
	g.refusals[refusalIndex(k)]++

	retryAfter = min(retryAfter, g.cfg.MaxRetryAfter)
	retryAfter += time.Duration(g.rng.Int64N(int64(retryAfter/jitterDivisor) + 1))

	return failure.New(k, format, args...).WithRetryAfter(retryAfter)
}

// jitterDivisor bounds the random jitter that is added to a Retry-After: up to a fourth.
const jitterDivisor = 4

// timeToRelease returns the time in which the given number of places is released, by the rate
// of the last seconds, but no slower than if each place were held for maxHoldTime.
func (g *Gate) timeToRelease(now time.Time, places float64) time.Duration {
	return seconds(places / max(g.releases.perSecond(now), g.places/maxHoldTime.Seconds(), minReleaseRate))
}

const (
	// maxHoldTime is the assumed hold time of a place when none is released.
	maxHoldTime = 30 * time.Second
	// minReleaseRate is the assumed release rate, in places a second, without any capacity
	// or releases.
	minReleaseRate = 0.1
)

const refusalKinds = 4

func refusalIndex(k failure.Kind) int {
	switch k { //nolint:exhaustive // the Gate refuses with these kinds only
	case failure.RateLimited:
		return 0
	case failure.ShareExceeded:
		return 1
	case failure.DeadlineHopeless:
		return 2
	default:
		return 3
	}
}
