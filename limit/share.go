package limit

import (
	"math"
	"time"
)

// levelPeriod is how long a water level is used.
const levelPeriod = 20 * time.Millisecond

// wantFade is the time in which a peak falls to half.
const wantFade = 5 * time.Second

// headroom is how much more than its peak an organisation is taken to want,
// so that one which grows finds room.
const headroom = 1.25

// leastWanted is what counts as nothing.
const leastWanted = 0.05

// want raises the account's peak to v.
func (g *Gate) want(now time.Time, a *account, v float64) {
	a.peak = max(a.wanted(now), v)
	a.peakAt = now

	if !a.active {
		a.active = true
		g.active = append(g.active, a)
	}
}

// wanted returns the fading peak of the places that the account held or asked for.
func (a *account) wanted(now time.Time) float64 {
	if a.peak == 0 {
		return 0
	}

	faded := a.peak * math.Exp2(-now.Sub(a.peakAt).Seconds()/wantFade.Seconds())

	return max(min(faded, a.peak), a.used)
}

// waterLevel returns the places for each unit of weight at which all that is
// wanted, cut to weight × level, fills the places: weighted max-min fairness.
func (g *Gate) waterLevel(now time.Time) float64 {
	if !g.levelAt.IsZero() && now.Sub(g.levelAt) < levelPeriod {
		return g.level
	}

	g.levelAt = now
	g.level = g.fill(now)

	return g.level
}

// levelRounds bounds the search for the level; each round takes out those that
// get all they want, and a few rounds settle nearly all.
const levelRounds = 8

func (g *Gate) fill(now time.Time) float64 {
	g.claim(now)

	low := 0.0

	for range levelRounds {
		spent, weight := 0.0, 0.0

		for _, a := range g.active {
			if a.claim <= a.weight*low {
				spent += a.claim
			} else {
				weight += a.weight
			}
		}

		if weight == 0 {
			return math.Inf(1)
		}

		left := g.places - spent
		if left/weight <= low {
			return low
		}

		low = left / weight
	}

	return low
}

// claim works out what each active account wants and drops those that want
// nothing any more. Going through all accounts instead costs a twentieth of a
// core with 10,000 of them.
func (g *Gate) claim(now time.Time) {
	n := 0

	for _, a := range g.active {
		w := a.wanted(now)
		if w < leastWanted {
			a.active = false
			continue
		}

		a.claim = w * headroom
		g.active[n] = a
		n++
	}

	clear(g.active[n:])
	g.active = g.active[:n]
}
