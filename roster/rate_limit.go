package roster

import (
	"time"

	"boragehub/event"
)

// Sources of a target's rate limit, as logged.
const (
	basisResponse   = "response"
	basisLoadReport = "load_report"
)

// rateLimit is the limit that a target names on the requests that it takes from all entries
// together.
type rateLimit struct {
	limit  float64   // in requests a second; zero for none
	seenAt time.Time // when it was last named
}

// ObserveRateLimit records the rate limit that a target named in a response, in requests a second
// from all entries together; zero if it named none.
func (r *Roster) ObserveRateLimit(now time.Time, id string, limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok {
		r.setRateLimit(now, id, e, limit, basisResponse)
	}
}

// applyReportedRateLimit applies the rate limit in a load report. A report without a limit ends
// only one that load reports have named, since a target may name its limit to callers alone. The
// caller holds mu.
func (r *Roster) applyReportedRateLimit(now time.Time, id string, e *engine, limit float64) {
	if limit > 0 || e.report.RateLimit > 0 {
		r.setRateLimit(now, id, e, limit, basisLoadReport)
	}
}

// setRateLimit records a target's rate limit. The caller holds mu.
func (r *Roster) setRateLimit(now time.Time, id string, e *engine, limit float64, basis string) {
	l := &e.rateLimit

	if limit != l.limit {
		event.Log(r.cfg.Log, event.TargetRateLimit, "target", id, "limit", limit, "before", l.limit, "before_age_ms", l.age(now).Milliseconds(), "basis", basis)
	}

	l.limit, l.seenAt = limit, now
}

// age returns how long ago the limit was last named; zero if it never was.
func (l *rateLimit) age(now time.Time) time.Duration {
	if l.seenAt.IsZero() {
		return 0
	}

	return now.Sub(l.seenAt)
}
