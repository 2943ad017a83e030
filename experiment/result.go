package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"boragehub/link"
	"boragehub/route"
)

// Result is what one run measured.
type Result struct {
	// Policy, Load, Seed, Fault and Without say which run it was. Load is in
	// parts of the deployment's capacity.
	Policy  Policy
	Load    float64
	Seed    uint64
	Fault   Fault
	Without Without
	// Workloads are the figures by workload.
	Workloads []Figures
	// Organisations are the figures of each organisation's most urgent workload.
	Organisations []Figures
	// Phases are the figures of the most urgent workload before the fault, while
	// it lasts and the half minute after it, and later.
	Phases [phases]Figures
	// Calls are the times from arrival to answer of the plain service's calls, at
	// the same part of its own capacity; empty at an overload, which nothing bounds.
	Calls Figures
	// LinkBytes is what went over links, by class.
	LinkBytes [2]float64
	// LinkBusy is the mean part of the time for which links carried something.
	LinkBusy float64
	// Moves counts how contexts came to their engines.
	Moves [3]int
	// FailedImports counts imports whose source no longer had the context.
	FailedImports int
	// StoreEvictions counts copies dropped for want of room.
	StoreEvictions int
	// Retries counts requests sent to another engine after a failure.
	Retries int
}

// The phases of a run with a fault that passes.
const (
	before = iota
	during
	after
	phases
)

// Figures are measured over a set of requests.
type Figures struct {
	// Name says which set.
	Name string
	// Requests is how many came, Refused how many got no first token in time.
	Requests, Refused int
	// Returned are the tokens of prompts that were computed before, Recomputed
	// those of them that were computed again.
	Returned, Recomputed int64
	// TTFT is the time to first token; a refused request counts with its deadline.
	TTFT *hdrhistogram.Histogram
}

func newFigures(name string) Figures {
	const (
		longest = int64(time.Hour / time.Microsecond)
		digits  = 3
	)

	return Figures{Name: name, TTFT: hdrhistogram.New(1, longest, digits)}
}

// Quantile returns the time to first token that q percent stay under.
func (f *Figures) Quantile(q float64) time.Duration {
	return time.Duration(f.TTFT.ValueAtQuantile(q)) * time.Microsecond
}

// RecomputedShare returns the part of returned tokens that were computed again.
func (f *Figures) RecomputedShare() float64 {
	if f.Returned == 0 {
		return 0
	}

	return float64(f.Recomputed) / float64(f.Returned)
}

// RefusedShare returns the part of requests that got no first token in time.
func (f *Figures) RefusedShare() float64 {
	if f.Requests == 0 {
		return 0
	}

	return float64(f.Refused) / float64(f.Requests)
}

func (f *Figures) note(took time.Duration) {
	f.Requests++
	// A value over the histogram's range can't come: deadlines are shorter.
	_ = f.TTFT.RecordValue(max(took.Microseconds(), 1))
}

// RecomputedShare returns the part of all returned tokens that were computed again.
func (r *Result) RecomputedShare() float64 {
	var sum Figures
	for i := range r.Workloads {
		sum.Returned += r.Workloads[i].Returned
		sum.Recomputed += r.Workloads[i].Recomputed
	}

	return sum.RecomputedShare()
}

// RefusedShare returns the part of all requests that got no first token in time.
func (r *Result) RefusedShare() float64 {
	var sum Figures
	for i := range r.Workloads {
		sum.Requests += r.Workloads[i].Requests
		sum.Refused += r.Workloads[i].Refused
	}

	return sum.RefusedShare()
}

// Fairness returns Jain's index of the organisations' mean times to first
// token: 1 when all are the same, 1/n when one has it all.
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

// recorder fills a Result from the requests that arrive in the measured time.
type recorder struct {
	r        *Result
	from, to time.Duration
	fault    time.Duration
	// spared is the organisation left out of Phases, because it makes the fault.
	spared int
}

func newRecorder(d Deployment, r *Result, from, to, fault time.Duration) *recorder {
	for _, w := range d.Workloads {
		r.Workloads = append(r.Workloads, newFigures(w.Name))
	}

	for range d.Organisations {
		r.Organisations = append(r.Organisations, newFigures("organisation"))
	}

	for i, name := range [phases]string{"before", "during", "after"} {
		r.Phases[i] = newFigures(name)
	}

	return &recorder{r: r, from: from, to: to, fault: fault, spared: -1}
}

func (m *recorder) measured(v *visit) bool { return v.at >= m.from && v.at < m.to }

// sets returns the figures that a request counts in.
func (m *recorder) each(v *visit, do func(*Figures)) {
	if !m.measured(v) {
		return
	}

	do(&m.r.Workloads[v.c.workload])

	if v.c.workload != 0 {
		return
	}

	do(&m.r.Organisations[v.c.organisation])

	if v.c.organisation != m.spared {
		do(&m.r.Phases[m.phase(v.at)])
	}
}

// recovery is within which time after a fault all should be well again.
const recovery = 30 * time.Second

func (m *recorder) phase(at time.Duration) int {
	switch {
	case at < m.fault:
		return before
	case at < m.fault+FaultLength+recovery:
		return during
	default:
		return after
	}
}

func (m *recorder) first(v *visit, took time.Duration) {
	m.each(v, func(f *Figures) { f.note(took) })
}

func (m *recorder) refused(v *visit, deadline time.Duration) {
	m.each(v, func(f *Figures) {
		f.note(deadline)

		f.Refused++
	})
}

func (m *recorder) computed(v *visit, known, held int) {
	m.each(v, func(f *Figures) {
		f.Returned += int64(known)
		f.Recomputed += int64(max(known-held, 0))
	})
}

func (m *recorder) moved(v *visit, how route.How) {
	if m.measured(v) {
		m.r.Moves[how]++
	}
}

// links adds up what went over the pipes until now.
func (m *recorder) links(pipes []*pipe, length time.Duration) {
	for _, p := range pipes {
		p.advance()

		for _, class := range []link.Class{link.Import, link.Export} {
			m.r.LinkBytes[class] += p.bytes[class]
		}

		m.r.LinkBusy += p.busy.Seconds() / length.Seconds() / float64(len(pipes))
	}
}
