package experiment

import (
	"math/rand/v2"
	"time"

	"boragehub/route"
)

// The model of a plain service's target: it processes up to maxConcurrentCalls calls at a
// time, each of which takes medianCallTime at the median.
const (
	maxConcurrentCalls = 8
	medianCallTime     = 50 * time.Millisecond
	// callTimeSigma is the standard deviation of the logarithm of a call's time, and
	// callTimeMeanFactor the ratio of the mean to the median of such times,
	// exp(callTimeSigma^2/2).
	callTimeSigma      = 0.8
	callTimeMeanFactor = 1.377
)

// plainTarget models one target of the plain service.
type plainTarget struct {
	running     int
	waiting     []func() bool // start a call, and report false if it was dropped
	reports     [maxReports]report
	reportCount int
}

// callSimulation simulates the plain service, which shares nothing with the engines.
type callSimulation struct {
	d          Deployment
	policy     Policy
	clock      *clock
	rng        *rand.Rand
	targets    []*plainTarget
	sent       [][][]time.Duration // send times, by entry and target
	inFlight   [][]int             // calls without a response, by entry and target
	nextTarget []int
	stats      Stats
	twice      *secondResponses
}

// calls measures the time from arrival to response of the plain service's calls, and returns how many of them were sent
// again. Each data centre has one entry.
func (r run) calls() (stats Stats, sentAgain int) {
	s := &callSimulation{
		d: r.d, policy: r.policy, clock: &clock{}, rng: rand.New(rand.NewPCG(r.seed, 3)),
		nextTarget: make([]int, len(r.d.DataCentres)), stats: newStats(r.d.Service),
		twice: newSecondResponses(r.fault == AnswersTwice, r.seed),
	}

	for range r.d.PlainTargets {
		s.targets = append(s.targets, &plainTarget{})
	}

	for range r.d.DataCentres {
		s.sent = append(s.sent, make([][]time.Duration, r.d.PlainTargets))
		s.inFlight = append(s.inFlight, make([]int, r.d.PlainTargets))
	}

	meanInterval := medianCallTime.Seconds() * callTimeMeanFactor / (r.load * maxConcurrentCalls * float64(r.d.PlainTargets))
	s.recordReports(r.measured)
	s.scheduleArrivals(meanInterval, r.measured)
	s.clock.run(r.measured + drainTime)

	return s.stats, s.twice.met
}

func (s *callSimulation) scheduleArrivals(meanInterval float64, end time.Duration) {
	s.clock.after(time.Duration(s.rng.ExpFloat64()*meanInterval*float64(time.Second)), func() {
		if s.clock.now >= end {
			return
		}

		s.call(s.clock.now, s.rng.IntN(len(s.sent)), s.rng.Uint64(), time.Duration(logNormal(s.rng, float64(medianCallTime), callTimeSigma)))
		s.scheduleArrivals(meanInterval, end)
	})
}

// call sends a call that arrived at a time. It is sent again if its connection is closed before its response.
func (s *callSimulation) call(arrivedAt time.Duration, entry int, seed uint64, duration time.Duration) {
	i := s.choose(entry, seed)
	s.sent[entry][i] = append(s.sent[entry][i], s.clock.now)
	s.inFlight[entry][i]++

	drop := s.targets[i].serve(s.clock, duration, func() {
		s.inFlight[entry][i]--
		s.twice.put(s.clock.now, entry, i)
		s.stats.observe(s.clock.now - arrivedAt)
	})

	if at, ok := s.twice.take(s.clock.now, entry, i); ok {
		s.clock.at(at, func() {
			if drop() {
				s.inFlight[entry][i]--
				s.twice.met++
				s.call(arrivedAt, entry, seed+1, duration)
			}
		})
	}
}

// serve processes a call, or queues it while maxConcurrentCalls run. The returned function drops the call, and reports
// false if it has ended.
func (t *plainTarget) serve(c *clock, duration time.Duration, done func()) (drop func() bool) {
	runs, ended := false, false
	start := func() bool {
		if ended {
			return false
		}

		t.running++
		runs = true

		c.after(duration, func() {
			if ended {
				return
			}

			ended = true
			t.running--
			done()
			t.startNext()
		})

		return true
	}

	if t.running >= maxConcurrentCalls {
		t.waiting = append(t.waiting, start)
	} else {
		start()
	}

	return func() bool {
		if ended {
			return false
		}

		ended = true

		if runs {
			t.running--
			t.startNext()
		}

		return true
	}
}

// startNext starts the first call in the queue that wasn't dropped.
func (t *plainTarget) startNext() {
	for len(t.waiting) > 0 {
		start := t.waiting[0]
		t.waiting = t.waiting[1:]

		if start() {
			return
		}
	}
}

func (s *callSimulation) choose(entry int, seed uint64) int {
	if s.policy == RoundRobin || s.policy == StickyPrefix {
		s.nextTarget[entry]++
		return (s.nextTarget[entry] + entry) % len(s.targets)
	}

	candidates := make([]route.CallCandidate, len(s.targets))
	for i, t := range s.targets {
		candidates[i] = s.candidate(entry, i, t)
	}

	if s.policy == LeastLoaded {
		return leastLoadedTarget(candidates)
	}

	d := route.DecideCall(epoch.Add(s.clock.now), route.Config{}, seed, candidates)

	return d.Target()
}

func (s *callSimulation) candidate(entry, i int, t *plainTarget) route.CallCandidate {
	if s.policy == Clairvoyant {
		return route.CallCandidate{LoadAt: epoch.Add(s.clock.now), Running: t.running, Waiting: len(t.waiting), CallTime: medianCallTime, MaxConcurrent: maxConcurrentCalls}
	}

	r := t.latestReport(s.clock.now)
	sentSince := 0

	for _, at := range s.sent[entry][i] {
		if at > r.at {
			sentSince++
		}
	}

	s.sent[entry][i] = s.sent[entry][i][len(s.sent[entry][i])-sentSince:]
	c := route.CallCandidate{LoadAt: epoch.Add(r.at), Running: r.running, Waiting: r.waiting, CallTime: medianCallTime, MaxConcurrent: maxConcurrentCalls}

	if s.policy == Boragehub {
		c.SentRequests = sentSince
		c.InFlight = s.inFlight[entry][i]
	}

	return c
}

// leastLoadedTarget returns the target with the fewest calls in its last report, the first
// one of equals, as common balancers do.
func leastLoadedTarget(candidates []route.CallCandidate) int {
	best := 0

	for i := range candidates {
		if candidates[i].Running+candidates[i].Waiting < candidates[best].Running+candidates[best].Waiting {
			best = i
		}
	}

	return best
}

func (s *callSimulation) recordReports(end time.Duration) {
	for _, t := range s.targets {
		t.reports[t.reportCount%maxReports] = report{at: s.clock.now, running: t.running, waiting: len(t.waiting)}
		t.reportCount++
	}

	if s.clock.now < end {
		s.clock.after(reportInterval, func() { s.recordReports(end) })
	}
}

func (t *plainTarget) latestReport(now time.Duration) report {
	for i := t.reportCount - 1; i >= max(t.reportCount-maxReports, 0); i-- {
		if r := t.reports[i%maxReports]; now-r.at >= loadReportDelay {
			return r
		}
	}

	return report{}
}
