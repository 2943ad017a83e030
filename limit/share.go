package limit

import (
	"iter"
	"math"
	"time"
)

// fairLevelTTL is how long a computed fair level is reused.
const fairLevelTTL = 20 * time.Millisecond

// demandHalfLife is the half-life of an account's peak demand.
const demandHalfLife = 5 * time.Second

// headroom is the factor by which an organisation's demand is taken to exceed its recent peak,
// so that its use can grow.
const headroom = 1.25

// minDemand is the demand, in places, below which an account counts as idle.
const minDemand = 0.05

// recordDemand raises the account's peak demand to v places and marks the account as active.
func (g *Gate) recordDemand(now time.Time, a *account, v float64) {
	a.peakDemand = max(a.recentDemand(now), v)
	a.peakDemandAt = now

	if !a.active {
		a.active = true
		g.active = append(g.active, a)
	}
}

// recentDemand returns the decaying peak of the places that the account held or requested, at
// least those that it holds.
func (a *account) recentDemand(now time.Time) float64 {
	if a.peakDemand == 0 {
		return 0
	}

	decayed := a.peakDemand * math.Exp2(-now.Sub(a.peakDemandAt).Seconds()/demandHalfLife.Seconds())

	return max(min(decayed, a.peakDemand), a.used)
}

// fairLevel returns the FairLevel of the places for the demands of all accounts.
func (g *Gate) fairLevel(now time.Time) float64 {
	if !g.cachedLevelAt.IsZero() && now.Sub(g.cachedLevelAt) < fairLevelTTL {
		return g.cachedLevel
	}

	g.cachedLevelAt = now
	g.cachedLevel = g.computeFairLevel(now)

	return g.cachedLevel
}

func (g *Gate) computeFairLevel(now time.Time) float64 {
	g.updateDemands(now)

	return FairLevel(g.places, func(yield func(weight, demand float64) bool) {
		for _, a := range g.active {
			if !yield(a.weight, a.demand) {
				return
			}
		}
	})
}

// maxFillRounds bounds the iterations of FairLevel. Each one excludes the demands that are met, and
// a few iterations are enough for nearly all.
const maxFillRounds = 8

// FairLevel returns the amount per unit of weight at which the given demands, each cut to weight ×
// level, add up to the capacity (weighted max-min fairness, by water-filling). It is infinite when
// all demands can be met.
func FairLevel(capacity float64, demands iter.Seq2[float64, float64]) float64 {
	level := 0.0

	for range maxFillRounds {
		satisfied, weights := 0.0, 0.0

		for weight, demand := range demands {
			if demand <= weight*level {
				satisfied += demand
			} else {
				weights += weight
			}
		}

		if weights == 0 {
			return math.Inf(1)
		}

		remaining := capacity - satisfied
		if remaining/weights <= level {
			return level
		}

		level = remaining / weights
	}

	return level
}

// updateDemands computes the demand of each active account and removes idle ones from the active
// list. Iterating over all accounts instead takes 5% of a core with 10,000 of them.
func (g *Gate) updateDemands(now time.Time) {
	n := 0

	for _, a := range g.active {
		demand := a.recentDemand(now)
		if demand < minDemand {
			a.active = false
			continue
		}

		a.demand = demand * headroom
		g.active[n] = a
		n++
	}

	clear(g.active[n:])
	g.active = g.active[:n]
}
