package parking

import (
	"math"
	"time"
)

// Gaps is what was seen of the gaps after which the contexts of one workload
// return. It starts from the workload's usual gap and learns from each visit.
// Use NewGaps. It is not safe for concurrent use.
type Gaps struct {
	counts          [buckets]float64 // returns by length of their gap
	returns, visits float64
	stale           int

	// left is, for each bucket's start, the part of visits after which nobody
	// has returned yet, and worth the index of a context that has been away so long.
	left  [buckets + 1]float64
	worth [buckets]float64
}

const (
	// buckets of gaps, two an octave from one second on, reach over centuries.
	buckets   = 64
	perOctave = 2
	// prior is the weight of the usual gap, in visits, against those seen.
	prior = 20
	// memory is after how many visits what was seen counts half.
	memory = 8192
	// refresh is after how many visits and returns the tables are made anew.
	refresh = 64
)

// NewGaps returns Gaps that expect every second visit to be followed by another
// one, a few octaves around usual; zero means an hour.
func NewGaps(usual time.Duration) *Gaps {
	if usual <= 0 {
		usual = time.Hour
	}

	g := &Gaps{visits: prior, returns: prior / 2}
	middle := bucketOf(usual)
	total := 0.0

	for k := range g.counts {
		far := math.Abs(float64(k-middle)) / perOctave
		g.counts[k] = math.Exp(-far)
		total += g.counts[k]
	}

	for k := range g.counts {
		g.counts[k] *= g.returns / total
	}

	g.tables()

	return g
}

// Visited notes a visit of any context of the workload.
func (g *Gaps) Visited() {
	g.visits++
	g.touch()
}

// Returned notes that a context returned after gap.
func (g *Gaps) Returned(gap time.Duration) {
	g.counts[bucketOf(gap)]++
	g.returns++
	g.touch()
}

// After returns the chance that a context which was just used returns, and not
// before d.
func (g *Gaps) After(d time.Duration) float64 {
	return max(g.leftAt(d)-g.left[buckets], 0)
}

// Index returns the returns a second that keeping a context brings which has
// been away for so long: the best ratio, over all times to give up, of the
// chance that it returns before to the time for which it is kept until then.
func (g *Gaps) Index(away time.Duration) float64 {
	return g.worth[bucketOf(away)]
}

func (g *Gaps) touch() {
	g.stale++

	if g.visits > memory {
		g.halve()
	}

	if g.stale >= refresh {
		g.tables()
	}
}

func (g *Gaps) halve() {
	const half = 0.5

	g.visits *= half
	g.returns *= half

	for k := range g.counts {
		g.counts[k] *= half
	}
}

func (g *Gaps) tables() {
	g.stale = 0
	gone := 0.0
	chance := min(g.returns/g.visits, 1)

	for k := range g.counts {
		g.left[k] = 1 - chance*gone/g.returns
		gone += g.counts[k]
	}

	g.left[buckets] = 1 - chance

	for k := range g.worth {
		g.worth[k] = g.best(k)
	}
}

// best returns the index of a context that has been away up to bucket k.
func (g *Gaps) best(k int) float64 {
	kept, best := 0.0, 0.0

	for m := k; m < buckets; m++ {
		const half = 0.5

		kept += half * (g.left[m] + g.left[m+1]) * (start(m+1) - start(m))
		if kept > 0 {
			best = max(best, (g.left[k]-g.left[m+1])/kept)
		}
	}

	return best
}

// leftAt returns the part of visits after which nobody has returned before d.
func (g *Gaps) leftAt(d time.Duration) float64 {
	k := bucketOf(d)
	from, to := start(k), start(k+1)
	part := min(max((d.Seconds()-from)/(to-from), 0), 1)

	return g.left[k] + part*(g.left[k+1]-g.left[k])
}

// bucketOf returns the bucket of a gap.
func bucketOf(d time.Duration) int {
	if d < time.Second {
		return 0
	}

	return min(int(math.Log2(d.Seconds())*perOctave), buckets-1)
}

// start returns where bucket k begins, in seconds.
func start(k int) float64 {
	if k == 0 {
		return 0
	}

	return math.Exp2(float64(k) / perOctave)
}
