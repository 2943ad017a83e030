package route

import "time"

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
	// CallTime is the mean time that a call takes.
	CallTime time.Duration
}

// DecideCall returns where a call of a plain service goes: the target with the
// least estimated time to its answer, the doubt about old load reports drawn by
// seed as in Decide.
func DecideCall(now time.Time, cfg Config, seed uint64, candidates []CallCandidate) CallDecision {
	cfg = cfg.withDefaults()
	d := CallDecision{target: -1, count: min(len(candidates), MaxCandidates)}

	d.weigh(now, &cfg, seed, candidates, false)

	if d.target < 0 {
		d.weigh(now, &cfg, seed, candidates, true)
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

func (d *CallDecision) weigh(now time.Time, cfg *Config, seed uint64, candidates []CallCandidate, suspected bool) {
	for i := range d.count {
		c := &candidates[i]
		d.costs[i].Excluded = callExclusion(c, suspected)

		if d.costs[i].Excluded != None {
			continue
		}

		calls := float64(c.Running + c.Waiting + c.SentRequests)
		age := max(now.Sub(c.LoadAt).Seconds(), 0)
		// Without a measured time every call counts as one unit.
		each := c.CallTime.Seconds()
		if each <= 0 {
			each = 1
		}

		doubt := (1 + calls) * cfg.LoadDoubt * age * draw(seed, i)
		d.costs[i].Seconds = float32(c.Delay.Seconds() + each*(1+calls+doubt))

		if d.target < 0 || d.costs[i].Seconds < d.costs[d.target].Seconds {
			d.target = i
		}
	}
}

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
