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

// applyBacklog applies a load report if it differs from the last one in what the side process knows of
// leases only, and reports whether it does. The engine was not queried again for it: it is no sign
// that the engine responds, its other figures are as old as before, and requests sent since are still
// not in them. The caller holds mu.
func (e *engine) applyBacklog(now time.Time, p pulse.Report) bool {
	sameState := p.StateSequence > 0 && p.StateSequence == e.report.StateSequence && p.SourceStart == e.report.SourceStart
	if sameState || p.StateSequence > 0 {
		e.backlogAt = now
	}

	if sameState {
		e.report.Sequence, e.report.Backlog, e.report.Leased, e.report.Leases = p.Sequence, p.Backlog, p.Leased, p.Leases
	}

	return sameState
}

// applyStateAge resets what was sent since the engine was queried. A report that was sent because leases
// changed may be of a query that this process has no other report of, up to 100 ms ago. If a request
// was sent after that, all that were sent since the report before still count: some of them twice, but
// none is forgotten. The caller holds mu.
func (e *engine) applyStateAge(now time.Time, p pulse.Report) {
	age := time.Duration(min(max(p.StateAgeMs, 0), e.maxReportAge().Milliseconds())) * time.Millisecond
	e.reportedAt = now.Add(-age)

	if age == 0 || !e.lastSentAt.After(e.reportedAt) {
		e.sentSince = Sent{}
	}
}

// withResident returns a load report with the resident parts of the last one if it leaves them out. The
// caller holds mu.
func (e *engine) withResident(p pulse.Report) pulse.Report {
	if p.StateAgeMs > 0 && p.SourceStart == e.report.SourceStart {
		p.Resident = e.report.Resident
	}

	return p
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
