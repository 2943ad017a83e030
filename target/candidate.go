package target

import "time"

// excluded reports whether r gets no work, even when no other target is left.
func (t *Table) excluded(now time.Time, r *row) bool {
	if r.leaving() || r.throttle.wait(now) > 0 {
		return true
	}

	return r.state == Loading && now.Sub(r.lastSeen) <= t.unresponsiveAfter()
}

// unresponsiveAfter is how long a target may send no state or load report. It is at least
// maxMissedRounds polling rounds, since a target that was not polled reports nothing:
// with a few hundred targets a round takes longer than UnresponsiveAfter, and all targets
// would be suspected although all are up.
func (t *Table) unresponsiveAfter() time.Duration {
	return max(t.cfg.UnresponsiveAfter, maxMissedRounds*time.Duration(t.subsetSize)*t.cfg.PollInterval)
}

// maxMissedRounds is the number of polling rounds that a target may miss.
const maxMissedRounds = 2

// suspected reports whether r gets work only when too few other targets are left.
func (t *Table) suspected(now time.Time, r *row) bool {
	if r.outlier.probation && !r.outlier.probeOpen(now, t.cfg.ProbeTimeout) {
		return true
	}

	if !r.inSubset || r.sideAddress == "" {
		return false
	}

	return r.lastSeen.IsZero() || now.Sub(r.lastSeen) > t.unresponsiveAfter()
}

// Candidates returns the targets of a service that may get work; nil when there are none.
func (t *Table) Candidates(now time.Time, service string) []Target {
	return t.AppendCandidates(now, nil, service)
}

// AppendCandidates appends the targets of a service that may get work to dst, the subset
// and the nearest first. It does not allocate when dst has enough capacity. It stops at
// MaxCandidates: in a large pool evaluating more costs more than it gains, and a farther
// target that holds a context is available from Target.
//
// A suspicion may be the fault of this entry (its cable, its clock). So when suspected
// targets are more than MaxSuspectedShare of the pool, they are appended too, with
// Suspected set.
func (t *Table) AppendCandidates(now time.Time, dst []Target, service string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return dst
	}

	start, eligible := len(dst), 0

	for _, r := range p.rows {
		if t.excluded(now, r) {
			continue
		}

		eligible++

		if t.suspected(now, r) {
			continue
		}

		dst = append(dst, r.target(now))
		if len(dst)-start == t.cfg.MaxCandidates {
			return dst
		}
	}

	if float64(eligible-(len(dst)-start)) <= t.cfg.MaxSuspectedShare*float64(eligible) {
		return dst
	}

	for _, r := range p.rows {
		if !t.excluded(now, r) && t.suspected(now, r) {
			c := r.target(now)
			c.Suspected = true
			dst = append(dst, c)
		}
	}

	return dst
}
