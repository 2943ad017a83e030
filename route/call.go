package route

import (
	"math"
	"time"
)

// CallCandidate is a target of a plain service, with the state known to the entry.
type CallCandidate struct {
	// Name is the VM name.
	Name string
	// Draining, Suspected and Tried have the same meaning as in Candidate.
	Draining, Suspected, Tried bool
	// RoundTrip is the round-trip time between the entry and the target.
	RoundTrip time.Duration
	// LoadAt is the time at which the load report was measured.
	LoadAt time.Time
	// Running and Waiting are the numbers of calls in the load report. SentRequests is
	// the number of calls that this entry has sent since then.
	Running, Waiting, SentRequests int
	// InFlight is the number of calls of this entry that have no response yet,
	// regardless of when they were sent.
	InFlight int
	// CallTime is the mean duration of a call; a short default is used when zero.
	CallTime time.Duration
	// MaxConcurrent is the number of calls that the target runs concurrently; 1 when zero.
	MaxConcurrent int
	// Slowdown is the factor by which work on the target takes longer than usual; 1 when zero.
	Slowdown float64
}

// DecideCall returns the target for a call of a plain service: the one with the
// least estimated time to its response. As in Decide, seed randomises the penalty for
// old load reports.
func DecideCall(now time.Time, cfg Config, seed uint64, candidates []CallCandidate) CallDecision {
	cfg = cfg.withDefaults()
	d := CallDecision{target: -1, count: min(len(candidates), MaxCandidates)}

	d.evaluate(now, cfg, seed, candidates, false)

	if d.target < 0 {
		d.evaluate(now, cfg, seed, candidates, true)
	}

	return d
}

// CallDecision is the outcome of DecideCall.
type CallDecision struct {
	target int
	count  int
	costs  [MaxCandidates]CallCost
}

// CallCost is the estimate for one target.
type CallCost struct {
	// Excluded is the reason why the target was not evaluated.
	Excluded Exclusion
	// Seconds is the estimated time until the response, with the penalty for an old load report.
	Seconds float32
}

// Found reports whether any target can take the call.
func (d *CallDecision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen target, -1 when there is none.
func (d *CallDecision) Target() int { return d.target }

// Cost returns the estimate for target i.
func (d *CallDecision) Cost(i int) CallCost { return d.costs[i] }

func (d *CallDecision) evaluate(now time.Time, cfg Config, seed uint64, candidates []CallCandidate, allowSuspected bool) {
	for i := range d.count {
		c := &candidates[i]
		d.costs[i].Excluded = callExclusion(c, allowSuspected)

		if d.costs[i].Excluded != None {
			continue
		}

		d.costs[i].Seconds = c.estimateSeconds(now, &cfg, seededFraction(seed, i))

		if d.target < 0 || d.costs[i].Seconds < d.costs[d.target].Seconds {
			d.target = i
		}
	}
}

// estimateSeconds returns the estimated seconds until a response. A load report that
// is older than the duration of a call describes calls that have ended by now, so its
// weight falls with its age in favour of the entry's own calls in flight, whose number
// is exact.
func (c *CallCandidate) estimateSeconds(now time.Time, cfg *Config, fraction float64) float32 {
	callSeconds := seconds(c.CallTime)
	if callSeconds <= 0 {
		callSeconds = defaultCallSeconds
	}

	callSeconds *= orDefault(c.Slowdown, 1)

	age := max(seconds(now.Sub(c.LoadAt)), 0)
	weight := math.Exp(-age / callSeconds)
	calls := weight*float64(c.Running+c.Waiting+c.SentRequests) + (1-weight)*float64(c.InFlight)
	queued := calls / float64(max(c.MaxConcurrent, 1))
	uncertainty := cfg.LoadUncertainty * min(age, callSeconds) * fraction / float64(max(c.MaxConcurrent, 1))

	return float32(seconds(c.RoundTrip) + callSeconds*(1+queued) + uncertainty)
}

// defaultCallSeconds is the assumed duration of a call where none was measured yet.
// It is short, so that an old load report has little weight: trusting a wrong report
// sends the calls of all entries to one target, whereas ignoring a good one is no
// worse than a random choice.
const defaultCallSeconds = 0.05

func callExclusion(c *CallCandidate, allowSuspected bool) Exclusion {
	switch {
	case c.Tried:
		return AlreadyTried
	case c.Draining:
		return Draining
	case c.Suspected && !allowSuspected:
		return Suspected
	default:
		return None
	}
}
