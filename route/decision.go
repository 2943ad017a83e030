package route

import (
	"fmt"
	"strings"
	"time"
)

// Decision is the outcome of Decide.
type Decision struct {
	target, runnerUp int
	count            int
	costs            [MaxCandidates]Cost
}

// Found reports whether any candidate can take the prompt.
func (d *Decision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen candidate, -1 when there is none.
func (d *Decision) Target() int { return d.target }

// RunnerUp returns the index of the second-best candidate, -1 when there is none.
func (d *Decision) RunnerUp() int { return d.runnerUp }

// Len returns the number of candidates in the decision, excluded ones included.
func (d *Decision) Len() int { return d.count }

// Cost returns the cost of candidate i.
func (d *Decision) Cost(i int) Cost { return d.costs[i] }

// Strategy returns how the chosen candidate gets the prompt's context.
func (d *Decision) Strategy() Strategy {
	if !d.Found() {
		return Recompute
	}

	return d.costs[d.target].Strategy
}

// Source returns the index in Request.Sources of the copy to import, -1 for none.
func (d *Decision) Source() int {
	if !d.Found() {
		return -1
	}

	return int(d.costs[d.target].Source)
}

// FirstToken returns the estimated time to first token; 0 when no candidate was found.
func (d *Decision) FirstToken() time.Duration {
	if !d.Found() {
		return 0
	}

	return time.Duration(float64(d.costs[d.target].FirstToken) * float64(time.Second))
}

// Fields returns the decision as key-value pairs for one log line. candidates must
// be the slice given to Decide.
func (d *Decision) Fields(candidates []Candidate) []any {
	if !d.Found() {
		return []any{"costs", d.costList(candidates)}
	}

	c := d.costs[d.target]
	fields := []any{
		"target", candidates[d.target].Name,
		"how", c.Strategy.String(),
		"source", c.Source,
		"first_token_s", c.FirstToken,
		"wait_s", c.Wait,
		"transfer_s", c.Transfer,
		"prefill_s", c.Prefill,
		"recomputed_tokens", c.Recomputed,
		"costs", d.costList(candidates),
	}

	if d.runnerUp < 0 {
		return fields
	}

	return append(fields, "runner_up", candidates[d.runnerUp].Name)
}

// costList formats each candidate with its cost and strategy, or with the reason for its exclusion.
func (d *Decision) costList(candidates []Candidate) string {
	var b strings.Builder

	for i := range d.count {
		if i > 0 {
			b.WriteByte(' ')
		}

		c := &d.costs[i]
		if c.Excluded != None {
			fmt.Fprintf(&b, "%s=%s", candidates[i].Name, c.Excluded)
			continue
		}

		fmt.Fprintf(&b, "%s=%.3f/%s", candidates[i].Name, c.Total, c.Strategy)
	}

	return b.String()
}
