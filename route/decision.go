package route

import (
	"fmt"
	"strings"
	"time"
)

// Decision is the outcome of Decide.
type Decision struct {
	target, second int
	count          int
	costs          [MaxCandidates]Cost
}

// Found reports whether any candidate can take the prompt.
func (d *Decision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen candidate, -1 when there is none.
func (d *Decision) Target() int { return d.target }

// RunnerUp returns the index of the next best candidate, -1 when there is none.
func (d *Decision) RunnerUp() int { return d.second }

// Len returns the number of candidates looked at.
func (d *Decision) Len() int { return d.count }

// Cost returns the cost of candidate i.
func (d *Decision) Cost(i int) Cost { return d.costs[i] }

// How returns how the context comes to the target.
func (d *Decision) How() How {
	if !d.Found() {
		return Recompute
	}

	return d.costs[d.target].How
}

// Source returns the index of the source to import from, -1 for none.
func (d *Decision) Source() int {
	if !d.Found() {
		return -1
	}

	return int(d.costs[d.target].Source)
}

// FirstToken returns the estimated time to first token.
func (d *Decision) FirstToken() time.Duration {
	if !d.Found() {
		return 0
	}

	return time.Duration(float64(d.costs[d.target].FirstToken) * float64(time.Second))
}

// Fields returns the decision as keys and values of one log line. candidates
// are those given to Decide.
func (d *Decision) Fields(candidates []Candidate) []any {
	if !d.Found() {
		return []any{"costs", d.list(candidates)}
	}

	c := d.costs[d.target]
	fields := []any{
		"target", candidates[d.target].Name,
		"how", c.How.String(),
		"source", c.Source,
		"first_token_s", c.FirstToken,
		"wait_s", c.Wait,
		"transfer_s", c.Transfer,
		"prefill_s", c.Prefill,
		"recomputed_tokens", c.Recomputed,
		"costs", d.list(candidates),
	}

	if d.second < 0 {
		return fields
	}

	return append(fields, "runner_up", candidates[d.second].Name)
}

// list writes every candidate with its cost or the reason why it has none.
func (d *Decision) list(candidates []Candidate) string {
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

		fmt.Fprintf(&b, "%s=%.3f/%s", candidates[i].Name, c.Total, c.How)
	}

	return b.String()
}
