package roster

import (
	"time"

	"boragehub/event"
	"boragehub/pulse"
	"boragehub/slowstart"
)

// Timing of the slow start of targets that may be cold.
const (
	// reportOverdueAge is the age of the last load report above which the target may have
	// restarted in the meantime.
	reportOverdueAge = 500 * time.Millisecond
	// reportLostAge is the age up to which that is assumed. By then the register has
	// reported any restart.
	reportLostAge = 2500 * time.Millisecond
	// firstReportTimeout is the time from subscribing to a target within which its first
	// load report is expected.
	firstReportTimeout = time.Second
	// entriesSettleTime is the time after the start of this process in which it may not
	// know all other entries yet.
	entriesSettleTime = 4 * time.Second
	// returnTime is the time after the end of an evacuation in which a load report may still
	// date from the evacuation.
	returnTime = 1200 * time.Millisecond
	// unreportedInterval is the time per request that this process may send to a target
	// between two of its load reports.
	unreportedInterval = 150 * time.Millisecond
	// rankTTL is how long this process's rank among the entries for a target is cached.
	rankTTL = 500 * time.Millisecond
)

// slowStart is the slow-start state of a target.
type slowStart struct {
	coldUntil       time.Time   // by the register
	maybeColdUntil  time.Time   // by its restarts and load reports; a report that it is warm clears it
	ignoreWarmUntil time.Time   // until when load reports that it is warm are ignored
	permitExpiries  []time.Time // when each permit expires, earliest first
	rank            int         // of this process among the entries, as of rankAt
	rankAt          time.Time
}

// observeCold records the time until the target is warm, by the register.
func (s *slowStart) observeCold(now time.Time, left time.Duration) {
	if until := now.Add(left); left > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// assumeCold records that the target may be cold from now on, after a restart or for another
// reason.
func (s *slowStart) assumeCold(now time.Time, l slowstart.Limit) {
	s.permitExpiries = nil
	s.maybeColdUntil = now.Add(l.Duration)
}

// remaining returns the time for which the target may still be cold.
func (s *slowStart) remaining(now time.Time) time.Duration {
	return max(s.coldUntil.Sub(now), s.maybeColdUntil.Sub(now), 0)
}

// observeReport records the slow-start state and the permits in a load report.
func (s *slowStart) observeReport(now time.Time, p pulse.Report) {
	if p.Warm && now.After(s.ignoreWarmUntil) {
		s.maybeColdUntil = time.Time{}
	}

	if until := now.Add(time.Duration(p.ColdMs) * time.Millisecond); p.ColdMs > 0 && until.After(s.maybeColdUntil) {
		s.maybeColdUntil = until
	}

	for range p.Permits {
		s.permitExpiries = append(s.permitExpiries, now.Add(slowstart.PermitLife))
	}
}

// availablePermits drops expired permits and returns the number of the others.
func (s *slowStart) availablePermits(now time.Time) int {
	for len(s.permitExpiries) > 0 && !now.Before(s.permitExpiries[0]) {
		s.permitExpiries = s.permitExpiries[1:]
	}

	return len(s.permitExpiries)
}

// slowStartLimit returns the request limit of a service's cold targets. The caller holds mu.
func (r *Roster) slowStartLimit(service string) slowstart.Limit {
	if r.cfg.SlowStart == nil {
		return slowstart.Limit{}
	}

	return r.cfg.SlowStart(service)
}

// reportState is the state of a target's load reports at this process.
type reportState uint8

const (
	// reportsCurrent means that load reports arrive or are not expected.
	reportsCurrent reportState = iota
	// reportsOverdue means that the target may have restarted unnoticed by this process.
	reportsOverdue
	// reportsLost means that load reports have stopped. The register would have reported a
	// restart from the time in which they were overdue.
	reportsLost
)

func (e *engine) reportState(now time.Time) reportState {
	if e.subscribedAt.IsZero() {
		return reportsCurrent
	}

	if !e.liveness.everReported {
		if now.Sub(e.subscribedAt) < firstReportTimeout {
			return reportsOverdue
		}

		return reportsCurrent
	}

	switch age := now.Sub(e.reportedAt); {
	case age <= max(reportOverdueAge, 3*e.report.Interval):
		return reportsCurrent
	case age <= reportLostAge:
		return reportsOverdue
	default:
		return reportsLost
	}
}

// maxUnreported returns how many requests this process may send to a target between two of its
// load reports, given their interval. The target may have turned cold since the last report, and
// then appears to be the least loaded one to all entries.
func (r *Roster) maxUnreported(l slowstart.Limit, interval time.Duration) int {
	return max(l.MaxPerSecond/2/max(r.liveEntries, 1), 1) * max(int(interval/unreportedInterval), 1)
}

// throttle returns the time until a target is warm, and whether this process may send it no
// request now. The caller holds mu.
func (r *Roster) throttle(now time.Time, e *engine) (cold time.Duration, throttled bool) {
	l := r.slowStartLimit(e.listing.Service)
	if !l.Bounded() {
		return 0, false
	}

	if cold = e.slowStart.remaining(now); cold > 0 {
		permitsIssued := r.reporting[e.listing.Address]

		return cold, e.slowStart.availablePermits(now) == 0 && !r.maySendWithoutPermit(now, e, l, permitsIssued)
	}

	switch e.reportState(now) {
	case reportsOverdue:
		return 0, !r.maySendWithoutPermit(now, e, l, true)
	case reportsLost:
		return 0, !r.maySendWithoutPermit(now, e, l, false)
	default:
		return 0, e.liveness.everReported && !e.subscribedAt.IsZero() && e.sentSince.Requests >= r.maxUnreported(l, e.report.Interval)
	}
}

// maySendWithoutPermit reports whether this process may send a request without a permit to a
// target that may be cold. PermitsIssued says whether other entries may hold permits for it. The
// caller holds mu.
func (r *Roster) maySendWithoutPermit(now time.Time, e *engine, l slowstart.Limit, permitsIssued bool) bool {
	if now.Sub(r.firstListedAt) < entriesSettleTime {
		return false
	}

	s := &e.slowStart
	if now.Sub(s.rankAt) > rankTTL {
		s.rank, s.rankAt = r.cfg.Entries.Rank(now, e.listing.Address), now
	}

	senders, interval := l.Share(r.liveEntries, permitsIssued)

	return s.rank < senders && now.Sub(e.lastSentAt) >= interval
}

// Throttled reports whether any target may be cold or may have restarted unnoticed.
func (r *Roster) Throttled(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, e := range r.engines {
		if r.slowStartLimit(e.listing.Service).Bounded() && (e.slowStart.remaining(now) > 0 || e.reportState(now) == reportsOverdue) {
			return true
		}
	}

	return false
}

// Admit reports whether a request may be sent to a target now, and if so uses up a permit and a slot
// under the target's rate limit where there are such. It returns false if other requests have used up the target's limit since
// Candidates was called, if the target is known to leave since then, or if it is unknown.
func (r *Roster) Admit(now time.Time, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok {
		return false
	}

	if _, throttled := r.throttle(now, e); throttled || e.leaving() || e.wait(now) > 0 {
		return false
	}

	if e.slowStart.availablePermits(now) > 0 {
		e.slowStart.permitExpiries = e.slowStart.permitExpiries[1:]
	}

	e.rateLimit.share.Take(now)
	e.lastSentAt = now

	return true
}

// Evacuate starts or ends the evacuation of a data centre, during which its targets get no work.
// After an evacuation they count as cold, since they were idle.
func (r *Roster) Evacuate(now time.Time, dataCentre string, evacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	_, known := r.cfg.Regions[dataCentre]
	event.Log(r.cfg.Log, event.DataCentreEvacuated, "data_centre", dataCentre, "evacuated", evacuated, "known", known)

	if r.evacuated[dataCentre] == evacuated {
		return
	}

	if evacuated {
		r.evacuated[dataCentre] = true

		return
	}

	delete(r.evacuated, dataCentre)

	for _, e := range r.engines {
		if e.listing.DataCentre == dataCentre {
			e.slowStart.assumeCold(now, r.slowStartLimit(e.listing.Service))
			e.slowStart.ignoreWarmUntil = now.Add(returnTime)
		}
	}
}
