package roster

import (
	"math"
	"slices"
	"time"

	"boragehub/pulse"
)

// An engine whose VM is paused keeps what it was doing, and goes on with it when it resumes. That no pause
// was noticed proves nothing: this process may have been paused as well, cut off, or have started since. Load reports
// prove that an engine ran: each has the engines' clock at which the engine responded.

// Timing of what load reports prove.
const (
	// resumeTime is how long a resumed engine takes to end the operations that were overdue meanwhile.
	resumeTime = time.Second
	// departedRunTime is how long a target counts after the register dropped it while it was silent. The
	// register drops a paused target after about 4 s, and the target may resume some seconds later.
	departedRunTime = 6 * time.Second
)

// runState is what the load reports of an engine prove of when it ran. Times are on the engines' clock, in ms.
type runState struct {
	last      int64 // of the latest report
	resumed   int64 // of the first report after a gap
	candidate int64 // of a report that proves more once resumeTime has passed
	proven    int64 // until when it ran and has ended what was overdue
}

// observe applies a load report that was made at clock. Interval is the time between two reports.
func (s *runState) observe(clock int64, interval time.Duration) {
	if clock <= s.last {
		return
	}

	if clock-s.last > (5 * max(interval, pulse.MinInterval) / 2).Milliseconds() {
		s.resumed = clock
	}

	s.last = clock

	if clock-s.candidate >= resumeTime.Milliseconds() {
		// Reports may be missing, or the engine was paused, but it had resumeTime since.
		s.proven = max(s.proven, s.candidate)
		s.candidate = clock
	}

	if clock-s.resumed >= resumeTime.Milliseconds() {
		s.proven = clock
	}
}

// silent reports whether a target's load reports are missing.
func (e *engine) silent(now time.Time) bool {
	return e.suspected() || now.Sub(e.reportedAt) > e.maxReportAge()
}

// running calls f with the run state of each model engine that may have a request of any entry in progress.
// The caller holds mu.
func (r *Roster) running(now time.Time, f func(e *engine, s runState)) {
	for id, e := range r.engines {
		// Of two listings at an address, only the one that was written last is a running target.
		if r.isModelEngine(e.listing.Service) && r.currentRegistration(e.listing.Address).id == id {
			f(e, e.run)
		}
	}

	for _, d := range r.departed {
		if d.silent && now.Sub(d.at) < departedRunTime && r.currentRegistration(d.address).id == "" {
			f(nil, d.run)
		}
	}
}

func (r *Roster) isModelEngine(service string) bool {
	return r.cfg.HasEngines == nil || r.cfg.HasEngines(service)
}

// RanUntil returns the latest time on the engines' clock, in ms, until which each model engine is known to have run, with
// time to end what was overdue then. It is math.MaxInt64 if there are no engines.
func (r *Roster) RanUntil(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	until := int64(math.MaxInt64)
	r.running(now, func(_ *engine, s runState) { until = min(until, s.proven) })

	return until
}

// Unproven returns the addresses of the listed model engines that are not known to have run until a time on the engines'
// clock, in ms. Unsubscribed are those of them to whose load reports this process doesn't subscribe.
func (r *Roster) Unproven(now time.Time, clock int64) (all, unsubscribed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.running(now, func(e *engine, s runState) {
		if e == nil || s.proven >= clock {
			return
		}

		all = append(all, e.listing.Address)
		if e.subscribedAt.IsZero() {
			unsubscribed = append(unsubscribed, e.listing.Address)
		}
	})

	slices.Sort(all)
	slices.Sort(unsubscribed)

	return all, unsubscribed
}
