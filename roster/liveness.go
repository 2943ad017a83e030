package roster

import (
	"time"

	"boragehub/pulse"
)

// A paused VM keeps its connections open and accepts new ones, so requests to it neither fail
// nor get a response. An entry detects it by the absence of load reports and response bytes from
// one target while they arrive from others. Requests sent to it regardless would wait until
// their callers disconnect, and the target would process them in vain once it resumes.

// Numbers of consecutive checks, one per call of Tick, in which a target was not seen, at
// the shortest report interval. Checks are counted instead of time, since time also passes
// while this process is paused.
const (
	// suspectChecks is the number after which a target is suspected. At least four load
	// reports are missing by then, which packet loss alone doesn't cause.
	suspectChecks = 2
	// unresponsiveChecks is the number after which the requests that wait for a target are
	// given up, 0.75 to 1 s after it was last seen. Callers wait at least 2 s for a stream
	// to show output before they disconnect, and some have waited for a while already.
	unresponsiveChecks = 4
)

// reportOverdueAfter is the time since a target was last seen after which its next load
// report is overdue, at the shortest report interval. It exceeds that interval because a busy
// VM sends its reports slightly late. A single lost report makes the target overdue too.
const reportOverdueAfter = 150 * time.Millisecond

// liveness is what is known of when a target was last seen, by its load reports and responses.
type liveness struct {
	everReported bool      // a load report was received since its start, so that missing ones count
	seen         bool      // since the last check
	missedChecks int       // consecutive checks in which it was not seen
	lastSeen     time.Time // when it was last seen
}

// observe records that the target was seen.
func (l *liveness) observe(now time.Time) { l.seen, l.missedChecks, l.lastSeen = true, 0, now }

// checkInterval is the time between two checks.
const checkInterval = 250 * time.Millisecond

// extraChecks returns how many more checks than at the shortest report interval it takes
// until the given number of load reports is missing.
func (e *engine) extraChecks(reports int) int {
	more := time.Duration(reports) * max(e.report.Interval-pulse.MinInterval, 0)

	return int((more + checkInterval - 1) / checkInterval)
}

// suspected reports whether the engine was not seen for long enough to be suspected.
func (e *engine) suspected() bool {
	return e.liveness.missedChecks >= suspectChecks+e.extraChecks(suspectChecks)
}

// unresponsive reports whether requests that wait for the engine are to be given up.
func (e *engine) unresponsive() bool {
	return e.liveness.missedChecks >= unresponsiveChecks+e.extraChecks(unresponsiveChecks)
}

// ObserveAnswer records that bytes of a response arrived from a target.
func (r *Roster) ObserveAnswer(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok {
		e.liveness.observe(now)
		r.lastSeen = now
	}
}

// ReportOverdue reports whether a target's next load report is overdue while other targets are seen.
// It does so long before the target is suspected and is wrong whenever a report is lost, so
// use it only where there is no time to wait longer and a wrong result costs little.
func (r *Roster) ReportOverdue(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]

	// The target's last seen time is compared with that of any target, not with the
	// clock, since no target is seen while this process is paused.
	return ok && r.expectsReports(e) && r.lastSeen.Sub(e.liveness.lastSeen) > reportOverdueAfter+max(e.report.Interval-pulse.MinInterval, 0)
}

// Unresponsive returns the ids of the unresponsive targets: those not seen for so long that
// requests waiting for them are to be given up.
func (r *Roster) Unresponsive() []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []string

	for id, e := range r.engines {
		if e.unresponsive() {
			all = append(all, id)
		}
	}

	return all
}

// checkLiveness counts a missed check for each target that was not seen since the last one.
// When none was seen, this process itself was paused or is disconnected, and nothing is
// counted. The caller holds mu.
func (r *Roster) checkLiveness() {
	anySeen := false

	for _, e := range r.engines {
		anySeen = anySeen || e.liveness.seen
	}

	if !anySeen {
		return
	}

	for _, e := range r.engines {
		if r.expectsReports(e) && !e.liveness.seen {
			e.liveness.missedChecks++
		}

		e.liveness.seen = false
	}
}

// expectsReports reports whether load reports of a target are missing if none arrive. Those that arrive without a
// subscription were asked for once. The caller holds mu.
func (r *Roster) expectsReports(e *engine) bool {
	return e.liveness.everReported && (!r.subscribes || !e.subscribedAt.IsZero())
}

// observeReport records that a load report arrived.
func (e *engine) observeReport(now time.Time) {
	e.reportedAt = now
	e.liveness.everReported = true
	e.liveness.observe(now)
}
