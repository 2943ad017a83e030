package parking

import (
	"math"
	"time"
)

// Gaps estimates the distribution of the gaps between the visits of the contexts
// of one workload. It starts from a prior around the workload's usual gap and is
// updated with each visit. Use NewGaps. It is not safe for concurrent use.
type Gaps struct {
	counts          [bucketCount]float64 // returns, by bucket of their gap
	returns, visits float64
	changes         int

	// survival is the fraction of visits that are not followed by a return before
	// the start of the bucket; its last element is the fraction that is never
	// followed by one. returnRates holds MaxReturnRate by bucket.
	survival    [bucketCount + 1]float64
	returnRates [bucketCount]float64
}

const (
	// The buckets are logarithmic, two per octave from one second on; 64 of them
	// cover more than a century.
	bucketCount      = 64
	bucketsPerOctave = 2
	// priorVisits is the weight of the prior, in visits.
	priorVisits = 20
	// maxVisits is the number of visits after which the weight of all earlier
	// visits and returns is halved.
	maxVisits = 8192
	// rebuildInterval is the number of visits and returns after which the tables
	// survival and returnRates are rebuilt.
	rebuildInterval = 64
)

// NewGaps returns Gaps with a prior: every second visit is followed by a return,
// after a gap within a few octaves of usual. Zero means an hour.
func NewGaps(usual time.Duration) *Gaps {
	if usual <= 0 {
		usual = time.Hour
	}

	g := &Gaps{visits: priorVisits, returns: priorVisits / 2}
	usualBucket := bucketOf(usual)
	total := 0.0

	for k := range g.counts {
		octaves := math.Abs(float64(k-usualBucket)) / bucketsPerOctave
		g.counts[k] = math.Exp(-octaves)
		total += g.counts[k]
	}

	for k := range g.counts {
		g.counts[k] *= g.returns / total
	}

	g.rebuildTables()

	return g
}

// RecordVisit records a visit of any context of the workload.
func (g *Gaps) RecordVisit() {
	g.visits++
	g.update()
}

// RecordReturn records that a context returned after gap.
func (g *Gaps) RecordReturn(gap time.Duration) {
	g.counts[bucketOf(gap)]++
	g.returns++
	g.update()
}

// ReturnProbabilityAfter returns the probability that a context that was just
// used returns, but no earlier than after d.
func (g *Gaps) ReturnProbabilityAfter(d time.Duration) float64 {
	return max(g.survivalAt(d)-g.survival[bucketCount], 0)
}

// MaxReturnRate returns the expected number of returns per second of keeping a
// context that has been away for this long. It is the maximum, over all times at
// which to stop keeping it, of the probability that the context returns before
// then, divided by the expected time for which it is kept.
func (g *Gaps) MaxReturnRate(away time.Duration) float64 {
	return g.returnRates[bucketOf(away)]
}

func (g *Gaps) update() {
	g.changes++

	if g.visits > maxVisits {
		g.decay()
	}

	if g.changes >= rebuildInterval {
		g.rebuildTables()
	}
}

func (g *Gaps) decay() {
	const half = 0.5

	g.visits *= half
	g.returns *= half

	for k := range g.counts {
		g.counts[k] *= half
	}
}

func (g *Gaps) rebuildTables() {
	g.changes = 0
	returned := 0.0
	returnProbability := min(g.returns/g.visits, 1)

	for k := range g.counts {
		g.survival[k] = 1 - returnProbability*returned/g.returns
		returned += g.counts[k]
	}

	g.survival[bucketCount] = 1 - returnProbability

	for k := range g.returnRates {
		g.returnRates[k] = g.bucketReturnRate(k)
	}
}

// bucketReturnRate returns MaxReturnRate of a context that has been away until
// the start of bucket k.
func (g *Gaps) bucketReturnRate(k int) float64 {
	keptSeconds, best := 0.0, 0.0

	for m := k; m < bucketCount; m++ {
		const half = 0.5

		keptSeconds += half * (g.survival[m] + g.survival[m+1]) * (bucketStart(m+1) - bucketStart(m))
		if keptSeconds > 0 {
			best = max(best, (g.survival[k]-g.survival[m+1])/keptSeconds)
		}
	}

	return best
}

// survivalAt returns the fraction of visits that were not followed by a return
// before d, interpolated within the bucket.
func (g *Gaps) survivalAt(d time.Duration) float64 {
	k := bucketOf(d)
	from, to := bucketStart(k), bucketStart(k+1)
	fraction := min(max((d.Seconds()-from)/(to-from), 0), 1)

	return g.survival[k] + fraction*(g.survival[k+1]-g.survival[k])
}

// bucketOf returns the bucket of a gap.
func bucketOf(d time.Duration) int {
	if d < time.Second {
		return 0
	}

	return min(int(math.Log2(d.Seconds())*bucketsPerOctave), bucketCount-1)
}

// bucketStart returns the lower bound of bucket k in seconds.
func bucketStart(k int) float64 {
	if k == 0 {
		return 0
	}

	return math.Exp2(float64(k) / bucketsPerOctave)
}
