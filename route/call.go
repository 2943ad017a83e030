package route

import (
	"math"
	"time"
)

// CallCandidate is a target of a plain service as the entry believes it to be.
type CallCandidate struct {
	// Name is the VM name.
	Name string
	// Draining, Suspected and Tried are as in Candidate.
	Draining, Suspected, Tried bool
	// Delay is the round trip between the entry and it.
	Delay time.Duration
	// LoadAt is when the load report was true.
	LoadAt time.Time
	// Running and Waiting are the calls of the load report, SentRequests those
	// that this entry sent since.
	Running, Waiting, SentRequests int
	// InFlight are the calls of this entry that have no answer yet, whenever they
	// were sent.
	InFlight int
	// CallTime is the mean time that a call takes; short calls are assumed when zero.
	CallTime time.Duration
	// AtOnce is how many calls it carries out at a time; 1 when zero.
	AtOnce int
}

// DecideCall returns where a call of a plain service goes: the target with the
// least estimated time to its answer, the doubt about old load reports drawn by
// seed as in Decide.
func DecideCall(now time.Time, cfg Config, seed uint64, candidates []CallCandidate) CallDecision {
	cfg = cfg.withDefaults()
	d := CallDecision{target: -1, count: min(len(candidates), MaxCandidates)}

	d.weigh(now, cfg, seed, candidates, false)

	if d.target < 0 {
		d.weigh(now, cfg, seed, candidates, true)
	}

	return d
}

// CallDecision is the outcome of DecideCall.
type CallDecision struct {
	target int
	count  int
	costs  [MaxCandidates]CallCost
}

// CallCost is what one target would cost.
type CallCost struct {
	// Excluded is why it was not weighed.
	Excluded Exclusion
	// Seconds is the estimated time until its answer, with the doubt.
	Seconds float32
}

// Found reports whether any target can take the call.
func (d *CallDecision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen target, -1 when there is none.
func (d *CallDecision) Target() int { return d.target }

// Cost returns the cost of target i.
func (d *CallDecision) Cost(i int) CallCost { return d.costs[i] }

func (d *CallDecision) weigh(now time.Time, cfg Config, seed uint64, candidates []CallCandidate, suspected bool) {
	for i := range d.count {
		c := &candidates[i]
		d.costs[i].Excluded = callExclusion(c, suspected)

		if d.costs[i].Excluded != None {
			continue
		}

		d.costs[i].Seconds = c.expect(now, &cfg, draw(seed, i))

		if d.target < 0 || d.costs[i].Seconds < d.costs[d.target].Seconds {
			d.target = i
		}
	}
}

// expect returns the estimated seconds until an answer. A load report tells of
// calls that are over when it is older than they take; what it says then counts
// little against the entry's own calls under way, which it knows for sure.
func (c *CallCandidate) expect(now time.Time, cfg *Config, drawn float64) float32 {
	each := seconds(c.CallTime)
	if each <= 0 {
		each = unknownCall
	}

	age := max(seconds(now.Sub(c.LoadAt)), 0)
	fresh := math.Exp(-age / each)
	calls := fresh*float64(c.Running+c.Waiting+c.SentRequests) + (1-fresh)*float64(c.InFlight)
	ahead := calls / float64(max(c.AtOnce, 1))
	doubt := cfg.LoadDoubt * min(age, each) * drawn / float64(max(c.AtOnce, 1))

	return float32(seconds(c.Delay) + each*(1+ahead) + doubt)
}

// unknownCall is the time of a call, in seconds, where none was measured yet:
// short, so that an old load report counts little. Wrongly trusted it draws all
// entries to one target; wrongly distrusted it costs no more than a random choice.
const unknownCall = 0.05

func callExclusion(c *CallCandidate, suspected bool) Exclusion {
	switch {
	case c.Tried:
		return AlreadyTried
	case c.Draining:
		return Leaving
	case c.Suspected && !suspected:
		return Suspect
	default:
		return None
	}
}
