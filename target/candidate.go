package target

import "time"

// barred reports whether r gets no work whatever the need.
func (t *Table) barred(now time.Time, r *row) bool {
	if r.leaving() {
		return true
	}

	return r.state == Loading && now.Sub(r.heardAt) <= t.silence()
}

// silence is how long a target may be unheard. Of one that wasn't asked nothing
// can be heard: with a few hundred targets a round of asking takes longer than
// SilentAfter, and all would be doubted though all are well.
func (t *Table) silence() time.Duration {
	return max(t.cfg.SilentAfter, askRounds*time.Duration(t.well)*t.cfg.AskEvery)
}

// askRounds is how many rounds of asking a target may miss.
const askRounds = 2

// doubted reports whether r gets work only when too few others are left.
func (t *Table) doubted(now time.Time, r *row) bool {
	if r.outlier.probation && !r.outlier.probeOpen(now, t.cfg.ProbePatience) {
		return true
	}

	if !r.well || r.sideAddress == "" {
		return false
	}

	return r.heardAt.IsZero() || now.Sub(r.heardAt) > t.silence()
}

// Candidates returns the targets of a service that may get work.
func (t *Table) Candidates(now time.Time, service string) []Target {
	return t.AppendCandidates(now, nil, service)
}

// AppendCandidates appends the targets of a service that may get work, those
// known well first. It does not allocate when dst has room. In a large pool it
// stops at Offer: weighing more costs more than it wins, and one farther off
// that holds a context is found by Target.
//
// Doubt may be this entry's own fault (its cable, its clock); so when it would
// take more than DoubtShare of the pool, the doubted are offered too, marked.
func (t *Table) AppendCandidates(now time.Time, dst []Target, service string) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()

	p, ok := t.pools[service]
	if !ok {
		return dst
	}

	start, usable := len(dst), 0

	for _, r := range p.rows {
		if t.barred(now, r) {
			continue
		}

		usable++

		if t.doubted(now, r) {
			continue
		}

		dst = append(dst, r.target(now))
		if len(dst)-start == t.cfg.Offer {
			return dst
		}
	}

	if float64(usable-(len(dst)-start)) <= t.cfg.DoubtShare*float64(usable) {
		return dst
	}

	for _, r := range p.rows {
		if !t.barred(now, r) && t.doubted(now, r) {
			c := r.target(now)
			c.Doubted = true
			dst = append(dst, c)
		}
	}

	return dst
}
