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
	// departedRunTime is how long a target counts after the register dropped it. The register drops a paused target
	// after some seconds, and the target resumes up to ten seconds after the pause began; others are dropped and
	// serve on for a while.
	departedRunTime = 11 * time.Second
)

// runState is what the load reports of an engine prove of when it ran. Times are on the engines' clock, in ms.
type runState struct {
	last    int64 // of the latest report
	resumed int64 // of the first report after a gap in which the engine may have been paused
	proven  int64 // until when it ran and has ended what was overdue
	ran     int64 // how long it has run at least since the first report
	// pending are the reports since which it may have run for less than resumeTime, in order.
	pending []pendingReport
}

// pendingReport is a load report that was made at clock, when the engine had run for ran.
type pendingReport struct{ clock, ran int64 }

// maxRunGap is the time between two load reports above which an engine may have been paused between them. A
// shorter pause delays the end of a fetch by less than the margin that a free allows for.
const maxRunGap = 300 * time.Millisecond

// observe applies a load report that was made at clock. Interval is the time between two reports.
func (s *runState) observe(clock int64, interval time.Duration) {
	if clock <= s.last {
		return
	}

	gap := clock - s.last
	if gap > maxRunGap.Milliseconds() {
		s.resumed = clock
	}

	s.last = clock

	// Of a longer gap, as reports are missing or rare, the engine has run for no more than the time in which a
	// report was due.
	s.ran += min(gap, max(interval, maxRunGap).Milliseconds())
	s.pending = append(s.pending, pendingReport{clock, s.ran})

	for s.ran-s.pending[0].ran >= resumeTime.Milliseconds() {
		s.proven = max(s.proven, s.pending[0].clock)
		s.pending = s.pending[1:]
	}

	if clock-s.resumed >= resumeTime.Milliseconds() {
		s.proven = clock
	}
}

// running calls f with the run state and the address of each model engine that may have a request of any entry in
// progress. Subscribed is false if this process gets no load reports of it unasked. The caller holds mu.
func (r *Roster) running(now time.Time, f func(address string, s runState, subscribed bool)) {
	for id, e := range r.engines {
		// Of two listings at an address, only the one that was written last is a running target.
		if r.isModelEngine(e.listing.Service) && r.currentRegistration(e.listing.Address).id == id {
			f(e.listing.Address, e.run, !e.subscribedAt.IsZero())
		}
	}

	for address, id := range r.latestDeparted(now) {
		f(address, r.departed[id].run, false)
	}
}

// latestDeparted returns the ids of the model engines that left the register so lately that they may run, by
// address. If another target is listed at the address, the engine has ended. The caller holds mu.
func (r *Roster) latestDeparted(now time.Time) map[string]string {
	latest := make(map[string]string)

	for id, d := range r.departed {
		if !d.modelEngine || now.Sub(d.at) >= departedRunTime || r.currentRegistration(d.address).id != "" {
			continue
		}

		if other, ok := latest[d.address]; !ok || r.departed[other].at.Before(d.at) {
			latest[d.address] = id
		}
	}

	return latest
}

// observeDeparted applies a load report of an engine that has left the register and still runs. The caller holds mu.
func (r *Roster) observeDeparted(now time.Time, p pulse.Report) {
	if id, ok := r.latestDeparted(now)[p.Engine]; ok {
		d := r.departed[id]
		d.run.observe(p.Clock, p.Interval)
		r.departed[id] = d
	}
}

func (r *Roster) isModelEngine(service string) bool {
	return r.cfg.HasEngines == nil || r.cfg.HasEngines(service)
}

// RanUntil returns the latest time on the engines' clock, in ms, until which each model engine is known to have run, with
// time to end what was overdue then. It is zero if no target was ever listed, and math.MaxInt64 if none is a model
// engine.
func (r *Roster) RanUntil(now time.Time) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.firstListedAt.IsZero() {
		return 0
	}

	until := int64(math.MaxInt64)
	r.running(now, func(_ string, s runState, _ bool) { until = min(until, s.proven) })

	return until
}

// Unproven returns the addresses of the model engines that are not known to have run until a time on the engines'
// clock, in ms. Unsubscribed are those of them whose load reports this process gets only if it asks for them.
func (r *Roster) Unproven(now time.Time, clock int64) (all, unsubscribed []string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.running(now, func(address string, s runState, subscribed bool) {
		if s.proven >= clock {
			return
		}

		all = append(all, address)
		if !subscribed {
			unsubscribed = append(unsubscribed, address)
		}
	})

	slices.Sort(all)
	slices.Sort(unsubscribed)

	return all, unsubscribed
}
