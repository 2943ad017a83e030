package experiment

import (
	"math/rand/v2"
	"time"

	"boragehub/route"
)

// The model of a plain service's target: it carries out callsAtOnce calls at a
// time, each of which takes callTime at the median.
const (
	callsAtOnce = 8
	callTime    = 50 * time.Millisecond
	// callSpread is the standard deviation of the logarithm of a call's time;
	// callMean is the mean of such times against their median.
	callSpread = 0.8
	callMean   = 1.377
)

// plainTarget is one target of the plain service.
type plainTarget struct {
	running int
	waiting []func()
	seen    [reports]report
	next    int
}

// callWorld is a run of the plain service alone.
type callWorld struct {
	d       Deployment
	policy  Policy
	clock   *clock
	rng     *rand.Rand
	targets []*plainTarget
	sent    [][][]time.Duration // by entry and target
	flying  [][]int             // the same, calls without an answer
	turns   []int
	figures Figures
}

// calls measures the time from arrival to answer of the plain service's calls.
func (r run) calls() Figures {
	w := &callWorld{
		d: r.d, policy: r.policy, clock: &clock{}, rng: rand.New(rand.NewPCG(r.seed, 3)),
		turns: make([]int, len(r.d.DataCentres)), figures: newFigures(r.d.Service),
	}

	for range r.d.Plain {
		w.targets = append(w.targets, &plainTarget{})
	}

	for range r.d.DataCentres {
		w.sent = append(w.sent, make([][]time.Duration, r.d.Plain))
		w.flying = append(w.flying, make([]int, r.d.Plain))
	}

	each := callTime.Seconds() * callMean / (r.load * callsAtOnce * float64(r.d.Plain))
	w.report(r.measured)
	w.arrivals(each, r.measured)
	w.clock.run(r.measured + drain)

	return w.figures
}

func (w *callWorld) arrivals(each float64, end time.Duration) {
	w.clock.after(time.Duration(w.rng.ExpFloat64()*each*float64(time.Second)), func() {
		if w.clock.now >= end {
			return
		}

		w.call(w.rng.IntN(len(w.sent)), w.rng.Uint64(), time.Duration(about(w.rng, float64(callTime), callSpread)))
		w.arrivals(each, end)
	})
}

func (w *callWorld) call(entry int, seed uint64, took time.Duration) {
	i := w.choose(entry, seed)
	w.sent[entry][i] = append(w.sent[entry][i], w.clock.now)
	began := w.clock.now
	w.flying[entry][i]++
	w.targets[i].do(w.clock, took, func() {
		w.flying[entry][i]--
		w.figures.note(w.clock.now - began)
	})
}

// do carries out a call, or lets it wait for its turn.
func (t *plainTarget) do(c *clock, took time.Duration, done func()) {
	start := func() {
		t.running++
		c.after(took, func() {
			t.running--
			done()

			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
		})
	}

	if t.running >= callsAtOnce {
		t.waiting = append(t.waiting, start)
		return
	}

	start()
}

func (w *callWorld) choose(entry int, seed uint64) int {
	if w.policy == RoundRobin || w.policy == StickyPrefix {
		w.turns[entry]++
		return (w.turns[entry] + entry) % len(w.targets)
	}

	candidates := make([]route.CallCandidate, len(w.targets))
	for i, t := range w.targets {
		candidates[i] = w.candidate(entry, i, t)
	}

	if w.policy == LeastLoaded {
		return leastCalls(candidates)
	}

	d := route.DecideCall(epoch.Add(w.clock.now), route.Config{}, seed, candidates)

	return d.Target()
}

func (w *callWorld) candidate(entry, i int, t *plainTarget) route.CallCandidate {
	if w.policy == Clairvoyant {
		return route.CallCandidate{LoadAt: epoch.Add(w.clock.now), Running: t.running, Waiting: len(t.waiting), CallTime: callTime, AtOnce: callsAtOnce}
	}

	r := t.reported(w.clock.now)
	own := 0

	for _, at := range w.sent[entry][i] {
		if at > r.at {
			own++
		}
	}

	w.sent[entry][i] = w.sent[entry][i][len(w.sent[entry][i])-own:]
	c := route.CallCandidate{LoadAt: epoch.Add(r.at), Running: r.running, Waiting: r.waiting, CallTime: callTime, AtOnce: callsAtOnce}

	if w.policy == Ours {
		c.SentRequests = own
		c.InFlight = w.flying[entry][i]
	}

	return c
}

// leastCalls is the usual balancer: the fewest calls by the last report, the
// first of equal ones.
func leastCalls(candidates []route.CallCandidate) int {
	best := 0

	for i := range candidates {
		if candidates[i].Running+candidates[i].Waiting < candidates[best].Running+candidates[best].Waiting {
			best = i
		}
	}

	return best
}

func (w *callWorld) report(end time.Duration) {
	for _, t := range w.targets {
		t.seen[t.next%reports] = report{at: w.clock.now, running: t.running, waiting: len(t.waiting)}
		t.next++
	}

	if w.clock.now < end {
		w.clock.after(reportEvery, func() { w.report(end) })
	}
}

func (t *plainTarget) reported(now time.Duration) report {
	for i := t.next - 1; i >= max(t.next-reports, 0); i-- {
		if r := t.seen[i%reports]; now-r.at >= loadLag {
			return r
		}
	}

	return report{}
}
