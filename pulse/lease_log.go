package pulse

import (
	"time"

	"golang.org/x/time/rate"

	"boragehub/event"
	"boragehub/room"
)

// Bounds of the log lines about leases.
const (
	refusalLinesPerSecond, refusalLinesBurst = 20, 40
	historyLinesPerSecond, historyLinesBurst = 60, 120
)

// leaseLines bounds the log lines about leases: those of denied claims and of leases that ended without a message,
// and those of the course of each lease.
type leaseLines struct{ refusals, history *rate.Limiter }

func newLeaseLines() leaseLines {
	return leaseLines{rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst), rate.NewLimiter(historyLinesPerSecond, historyLinesBurst)}
}

// logGranted logs a granted claim, with what the ledger knew.
func (r *Reporter) logGranted(now time.Time, key room.Key, c room.Claim) {
	if !r.leases.lines.history.AllowN(now, 1) {
		return
	}

	u, o := r.cfg.Ledger.Usage(now), r.cfg.Ledger.Observed(now)
	event.Log(r.cfg.Log, event.RoomLeased, "entry", key.Entry, "claim", key.ID, "prefill_tokens", c.PrefillTokens, "memory_tokens", c.MemoryTokens,
		"max_backlog", c.MaxBacklog, "rank", c.Rank, "backlog", u.Backlog, "occupied", u.Occupied, "leased", u.Leased, "leases", u.Held,
		"running", o.Running, "waiting", o.Waiting, "used_tokens", o.UsedTokens, "report_age_ms", o.Age.Milliseconds(), "freed_tokens", o.FreedTokens)
}

// logLease logs what an entry says of one of its leases.
func (r *Reporter) logLease(now time.Time, e event.Event, key room.Key, known bool) {
	if r.leases.lines.history.AllowN(now, 1) {
		event.Log(r.cfg.Log, e, "entry", key.Entry, "claim", key.ID, "known", known)
	}
}

// logReset logs that the engine has restarted.
func (r *Reporter) logReset(now time.Time) {
	u := r.cfg.Ledger.Usage(now)
	event.Log(r.cfg.Log, event.RoomReset, "leases", u.Held, "leased", u.Leased)
}

// logDenied logs a denied claim with its inputs.
func (r *Reporter) logDenied(now time.Time, key room.Key, c room.Claim, g room.Grant) {
	if !r.leases.lines.refusals.AllowN(now, 1) {
		return
	}

	u := r.cfg.Ledger.Usage(now)
	event.Log(r.cfg.Log, event.RoomDenied, "entry", key.Entry, "claim", key.ID, "reason", g.Outcome.String(), "prefill_tokens", c.PrefillTokens, "memory_tokens", c.MemoryTokens,
		"max_backlog", c.MaxBacklog, "rank", c.Rank, "backlog", u.Backlog, "occupied", u.Occupied, "leased", u.Leased, "leases", u.Held)
}

// logEnded logs the leases that ended without a message, and reports whether there were any.
func (r *Reporter) logEnded(now time.Time) bool {
	all := r.cfg.Ledger.TakeEnded(now)

	for _, e := range all {
		if !r.leases.lines.refusals.AllowN(now, 1) {
			break
		}

		line := event.RoomExpired
		if e.Reason == room.EngineIdle {
			line = event.RoomReleased
		}

		event.Log(r.cfg.Log, line, "entry", e.Key.Entry, "claim", e.Key.ID, "reason", e.Reason.String(), "age_ms", e.Age.Milliseconds(),
			"prefill_tokens", e.PrefillTokens, "memory_tokens", e.MemoryTokens)
	}

	return len(all) > 0
}
