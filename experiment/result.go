package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"boragehub/link"
	"boragehub/route"
)

// Result holds the measurements of one run.
type Result struct {
	// Policy, Load, Seed, Fault and Ablation identify the run. Load is a fraction of
	// the deployment's capacity.
	Policy   Policy
	Load     float64
	Seed     uint64
	Fault    Fault
	Ablation Ablation
	// Workloads are the stats by workload.
	Workloads []Stats
	// Organisations are the stats of each organisation's most urgent workload.
	Organisations []Stats
	// Phases are the stats of the most urgent workload before the fault, during it and
	// the 30 s after it, and later.
	Phases [phaseCount]Stats
	// Calls are the times from arrival to response of the plain service's calls, at the
	// same fraction of its own capacity. They are empty at a load of 1 or more, at
	// which its queues would grow without bound.
	Calls Stats
	// CallsSentAgain counts the calls whose connection was closed because of a second response to an earlier one.
	CallsSentAgain int
	// LinkBytes are the bytes sent over links by class, from the start of the run to
	// the end of the measurement.
	LinkBytes [2]float64
	// LinkBusy is the mean fraction of that time during which a link was in use.
	LinkBusy float64
	// Strategies counts the attempts by the strategy with which their context was to
	// get to the engine, indexed by route.Strategy.
	Strategies [3]int
	// FailedImports counts imports whose source was unreachable or no longer had the
	// context.
	FailedImports int
	// StoreEvictions counts the parts evicted from stores for space.
	StoreEvictions int
	// Retries counts the failed attempts, after which a request is routed again.
	Retries int
	// BrokenOff counts the answers that engines broke off, Resumed those of them that were completed elsewhere,
	// and Incomplete those that no engine completed.
	BrokenOff, Resumed, Incomplete int
}

// The phases of a run with a temporary fault.
const (
	beforeFault = iota
	duringFault
	afterFault
	phaseCount
)

// Stats holds the measurements of a set of requests.
type Stats struct {
	// Name names the set.
	Name string
	// Requests is the number of requests, and Refused the number of those that ended
	// without a first token.
	Requests, Refused int
	// ReturnedTokens is the number of prompt tokens that some engine had computed
	// before, and RecomputedTokens the number of those that were computed again.
	ReturnedTokens, RecomputedTokens int64
	// TTFT is the time to first token in microseconds. A refused request counts with
	// its deadline. For calls it is the time to the response.
	TTFT *hdrhistogram.Histogram
}

func newStats(name string) Stats {
	const (
		maxMicroseconds = int64(time.Hour / time.Microsecond)
		digits          = 3
	)

	return Stats{Name: name, TTFT: hdrhistogram.New(1, maxMicroseconds, digits)}
}

// Percentile returns the time to first token that q percent of the requests do not exceed.
func (s *Stats) Percentile(q float64) time.Duration {
	return time.Duration(s.TTFT.ValueAtQuantile(q)) * time.Microsecond
}

// RecomputedShare returns the fraction of returned tokens that were computed again, 0 if
// there are none.
func (s *Stats) RecomputedShare() float64 {
	if s.ReturnedTokens == 0 {
		return 0
	}

	return float64(s.RecomputedTokens) / float64(s.ReturnedTokens)
}

// RefusedShare returns the fraction of requests that were refused, 0 if there are none.
func (s *Stats) RefusedShare() float64 {
	if s.Requests == 0 {
		return 0
	}

	return float64(s.Refused) / float64(s.Requests)
}

func (s *Stats) observe(latency time.Duration) {
	s.Requests++
	// The error is ignored: deadlines of minutes keep all values within the histogram's
	// range of an hour.
	_ = s.TTFT.RecordValue(max(latency.Microseconds(), 1))
}

// RecomputedShare returns the fraction of all returned tokens that were computed again.
func (r *Result) RecomputedShare() float64 {
	var sum Stats
	for i := range r.Workloads {
		sum.ReturnedTokens += r.Workloads[i].ReturnedTokens
		sum.RecomputedTokens += r.Workloads[i].RecomputedTokens
	}

	return sum.RecomputedShare()
}

// RefusedShare returns the fraction of all requests that were refused.
func (r *Result) RefusedShare() float64 {
	var sum Stats
	for i := range r.Workloads {
		sum.Requests += r.Workloads[i].Requests
		sum.Refused += r.Workloads[i].Refused
	}

	return sum.RefusedShare()
}

// Fairness returns Jain's fairness index of the organisations' mean times to first token:
// 1 if all are equal, and near 1/n if one of n organisations waits much longer than all
// others.
func (r *Result) Fairness() float64 {
	var sum, squares, n float64

	for i := range r.Organisations {
		if r.Organisations[i].Requests == 0 {
			continue
		}

		mean := r.Organisations[i].TTFT.Mean()
		sum += mean
		squares += mean * mean
		n++
	}

	if squares == 0 {
		return 1
	}

	return sum * sum / (n * squares)
}

// recorder fills a Result with the requests that arrive in the measured time. The counters
// of failed imports and retries cover the whole run.
type recorder struct {
	r        *Result
	from, to time.Duration
	faultAt  time.Duration
	// excludedOrganisation is left out of Phases because its burst is the fault; -1 for
	// none.
	excludedOrganisation int
}

func newRecorder(d Deployment, r *Result, from, to, faultAt time.Duration) *recorder {
	for _, w := range d.Workloads {
		r.Workloads = append(r.Workloads, newStats(w.Name))
	}

	for range d.OrganisationShares {
		r.Organisations = append(r.Organisations, newStats("organisation"))
	}

	for i, name := range [phaseCount]string{"before", "during", "after"} {
		r.Phases[i] = newStats(name)
	}

	return &recorder{r: r, from: from, to: to, faultAt: faultAt, excludedOrganisation: -1}
}

func (m *recorder) measured(v *visit) bool { return v.at >= m.from && v.at < m.to }

// updateStats applies update to all stats in which a request counts, if it arrived in the
// measured time.
func (m *recorder) updateStats(v *visit, update func(*Stats)) {
	if !m.measured(v) {
		return
	}

	update(&m.r.Workloads[v.c.workload])

	if v.c.workload != 0 {
		return
	}

	update(&m.r.Organisations[v.c.organisation])

	if v.c.organisation != m.excludedOrganisation {
		update(&m.r.Phases[m.phase(v.at)])
	}
}

// recoveryTime is the time after a fault within which latency should be normal again. It
// counts as part of the fault.
const recoveryTime = 30 * time.Second

func (m *recorder) phase(at time.Duration) int {
	switch {
	case at < m.faultAt:
		return beforeFault
	case at < m.faultAt+FaultDuration+recoveryTime:
		return duringFault
	default:
		return afterFault
	}
}

func (m *recorder) firstToken(v *visit, ttft time.Duration) {
	m.updateStats(v, func(s *Stats) { s.observe(ttft) })
}

func (m *recorder) refuse(v *visit, deadline time.Duration) {
	m.updateStats(v, func(s *Stats) {
		s.observe(deadline)

		s.Refused++
	})
}

func (m *recorder) recordPrefill(v *visit, returned, cached int) {
	m.updateStats(v, func(s *Stats) {
		s.ReturnedTokens += int64(returned)
		s.RecomputedTokens += int64(max(returned-cached, 0))
	})
}

func (m *recorder) recordStrategy(v *visit, strategy route.Strategy) {
	if m.measured(v) {
		m.r.Strategies[strategy]++
	}
}

// recordLinks adds the use of the pipes until now; length is the time since the start.
func (m *recorder) recordLinks(pipes []*pipe, length time.Duration) {
	for _, p := range pipes {
		p.advance()

		for _, class := range []link.Class{link.Import, link.Export} {
			m.r.LinkBytes[class] += p.bytes[class]
		}

		m.r.LinkBusy += p.busyTime.Seconds() / length.Seconds() / float64(len(pipes))
	}
}
