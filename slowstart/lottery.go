package slowstart

import (
	"math/rand/v2"
	"sort"
)

// minDemandShare is the minimum weight of an entry as a share of the mean demand, since an entry
// that has just started has reported no demand yet.
const minDemandShare = 0.25

// lottery draws entries in proportion to their demand (lottery scheduling, Waldspurger and
// Weihl 1994). It carries nothing over between draws, so it follows sudden changes of demand.
type lottery struct {
	entries    []Entry
	cumulative []float64 // sum of the weights up to and including each entry
}

func newLottery(entries []Entry) lottery {
	total := 0
	for _, c := range entries {
		total += c.Demand
	}

	minWeight := max(minDemandShare*float64(total)/float64(len(entries)), 1)
	l := lottery{entries: entries, cumulative: make([]float64, len(entries))}
	sum := 0.0

	for i, c := range entries {
		sum += max(float64(c.Demand), minWeight)
		l.cumulative[i] = sum
	}

	return l
}

// next returns the name of a randomly drawn entry.
func (l lottery) next(r *rand.Rand) string {
	x := r.Float64() * l.cumulative[len(l.cumulative)-1]

	return l.entries[sort.SearchFloat64s(l.cumulative, x)].Name
}
