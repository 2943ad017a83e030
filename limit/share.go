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

// want raises the account's peak to v.
func (a *account) want(now time.Time, v float64) {
	a.peak = max(a.wanted(now), v)
	a.peakAt = now
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
	low := 0.0

	for range levelRounds {
		spent, weight := 0.0, 0.0

		for _, a := range g.sweepers {
			w := a.wanted(now) * headroom

			switch {
			case w == 0:
			case w <= a.weight*low:
				spent += w
			default:
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
