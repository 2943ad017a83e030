package roster

import (
	"time"

	"boragehub/pulse"
	"boragehub/target"
)

// Backlog is what the leases at an engine hold, as its side process reported.
type Backlog struct {
	// Known reports whether the side process keeps leases and its load reports are fresh.
	Known bool
	// Tokens is the number of tokens that the engine has yet to prefill for leased prompts, Leases
	// the number of those prompts.
	Tokens, Leases int
	// MemoryTokens is the memory that counts as taken for further leases.
	MemoryTokens int
	// Age is the time since these figures arrived. They may be newer than the load report.
	Age time.Duration
}

// Left returns the tokens that are left of the backlog after its age, for engines with a prefill
// speed in tokens per ms. At least a quarter counts until the prompts are known to have started.
func (b Backlog) Left(tokensPerMs float64) int {
	const minShare = 0.25

	all := float64(b.Tokens)

	return int(max(all-tokensPerMs*float64(max(b.Age, 0))/float64(time.Millisecond), minShare*all))
}

// backlog returns what is known of the engine's leases.
func (e *engine) backlog(now time.Time) Backlog {
	if e.report.StateSequence == 0 || now.Sub(e.reportedAt) >= e.maxReportAge() {
		return Backlog{}
	}

	return Backlog{Known: true, Tokens: e.report.Backlog, Leases: e.report.Leases, MemoryTokens: e.report.Leased, Age: now.Sub(e.backlogAt)}
}

// applyBacklog applies the figures of leases in a load report, and reports whether the report has no
// other news: the engine was not queried again for it. It is then no sign that the engine responds, the
// other figures known are as old as before, and requests sent since are still not in them. The
// caller holds mu.
func (e *engine) applyBacklog(now time.Time, p pulse.Report) bool {
	known := p.SourceStart == e.report.SourceStart && e.report.StateSequence > 0
	noNews := p.LeasesOnly || (known && p.StateSequence == e.report.StateSequence)

	if known || !noNews {
		e.backlogAt = now
		e.report.Backlog, e.report.Leased, e.report.Leases = p.Backlog, p.Leased, p.Leases
	}

	return noNews
}

// SentLeased records, as Sent does, that a request is sent to a target. Its tokens to prefill are leased
// there, and so are part of the reported backlog already.
func (r *Roster) SentLeased(now time.Time, id string, prefillTokens, cacheTokens int) target.Attempt {
	return r.sent(now, id, prefillTokens, cacheTokens, true)
}

// Backlog returns the tokens that all engines have yet to prefill for leased prompts, as known.
func (r *Roster) Backlog(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	sum := 0
	for _, e := range r.engines {
		sum += e.backlog(now).Tokens
	}

	return sum
}
