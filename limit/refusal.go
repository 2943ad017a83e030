package limit

import (
	"time"

	"boragehub/failure"
)

// tooFast refuses a request over its organisation's rate.
func (g *Gate) tooFast(now time.Time, a *account, q Request) error {
	if a.limiter.AllowN(now, 1) {
		return nil
	}

	limit := float64(a.limiter.Limit())
	missing := (1 - a.limiter.TokensAt(now)) / limit
	after := a.rated.next(now, seconds(missing), seconds(1/limit))

	return g.refuse(failure.RateLimited, after, "organisation %s is over its rate of requests", q.Organisation)
}

// hopeless refuses a request whose first token would come too late.
func (g *Gate) hopeless(now time.Time, q Request) error {
	if q.Deadline.IsZero() || !now.Add(q.Wait).After(q.Deadline) {
		return nil
	}

	late := now.Add(q.Wait).Sub(q.Deadline)
	after := g.classes[rank(q.Class)].next(now, late, g.period(now, q.Cost))

	return g.refuse(failure.DeadlineHopeless, after, "the first token is expected in %v, past the deadline", q.Wait.Round(time.Millisecond))
}

// crowded refuses a request when its class's part of the places is taken.
func (g *Gate) crowded(now time.Time, a *account, q Request) error {
	if g.places <= 0 || g.used == 0 || g.used+q.Cost <= g.places*part(q.Class) {
		return nil
	}

	// What was refused counts as wanted: otherwise an organisation that filled
	// all places while it was alone would win each one that comes free.
	g.want(now, a, a.used+q.Cost)

	over := g.used + q.Cost - g.places*part(q.Class)
	after := g.classes[rank(q.Class)].next(now, g.period(now, over), g.period(now, q.Cost))

	return g.refuse(failure.QueueFull, after, "no place is free")
}

// unfair refuses a request of an organisation that holds its share while
// places are short.
func (g *Gate) unfair(now time.Time, a *account, q Request) error {
	// Shares are of the class's own part of the places: of all places, a flood
	// of background requests would fill that part before it reached its share.
	room := g.places * part(q.Class)
	if g.places <= 0 || g.used+q.Cost <= room*g.cfg.Pressure || a.used == 0 {
		return nil
	}

	share := a.weight * g.waterLevel(now) * part(q.Class)
	if a.used+q.Cost <= share {
		return nil
	}

	g.want(now, a, a.used+q.Cost)

	part := min(1, max(share, q.Cost)/g.places)
	over := a.used + q.Cost - share
	after := a.shared.next(now, scale(g.period(now, over), 1/part), scale(g.period(now, q.Cost), 1/part))

	return g.refuse(failure.ShareExceeded, after, "organisation %s holds its share of the places", q.Organisation)
}

// refuse makes the refusal and counts it.
func (g *Gate) refuse(k failure.Kind, after time.Duration, format string, args ...any) error {
	g.refusals[refusalIndex(k)]++

	after = min(after, g.cfg.MostAfter)
	after += time.Duration(g.rng.Int64N(int64(after/spreadPart) + 1))

	return failure.New(k, format, args...).After(after)
}

// spreadPart is the part of a Retry-After that is drawn at random on top.
const spreadPart = 4

// period is the time in which so many places come free, by the rate of the last
// seconds, but no slower than if each were held for slowestRun.
func (g *Gate) period(now time.Time, places float64) time.Duration {
	return seconds(places / max(g.freed.perSecond(now), g.places/slowestRun.Seconds(), leastRate))
}

const (
	// slowestRun is how long a place is taken to be held when none comes free.
	slowestRun = 30 * time.Second
	// leastRate is the rate of places a second when none are known.
	leastRate = 0.1
)

const refusalKinds = 4

func refusalIndex(k failure.Kind) int {
	switch k { //nolint:exhaustive // the Gate refuses with these only
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
