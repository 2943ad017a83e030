package target

import "time"

// Sent records that a request with the given number of prompt tokens is sent to a target.
func (t *Table) Sent(now time.Time, vm string, tokens int) Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := Attempt{vm: vm, at: now, tokens: tokens}

	r, ok := t.rows[vm]
	if !ok {
		return s
	}

	r.sent.add(now, tokens)

	if r.outlier.probation {
		s.probe = true
		r.outlier.probing = true
		r.outlier.probeAt = now
	}

	return s
}

// Done records the outcome of a request.
func (t *Table) Done(now time.Time, s Attempt, o Outcome) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[s.vm]
	if !ok {
		return nil
	}

	r.sent.remove(s.at, s.tokens)

	if s.probe {
		r.outlier.probing = false
	}

	switch o {
	case Succeeded:
		if r.outlier.recordSuccess(now, t.cfg.MaxEjection) {
			return []Change{{VM: r.vm, Reason: Restored}}
		}
	case Failed:
		return t.recordFailure(now, r, s)
	case RefusedDraining:
		r.refusedAt = now
		changes := appendChange(nil, r.setState(Draining))
		t.selectSubset(t.pools[r.service])

		return changes
	case Neutral:
	}

	return nil
}

// recordFailure counts a failure and ejects the target after EjectAfterFailures in a row.
func (t *Table) recordFailure(now time.Time, r *row, s Attempt) []Change {
	o := &r.outlier
	o.failures++

	// Requests sent before an ejection may fail during it; they must not prolong it.
	if o.ejected(now) || (o.probation && !s.probe) {
		return nil
	}

	if !o.probation && (o.failures < t.cfg.EjectAfterFailures || !t.mayEject(now, r)) {
		return nil
	}

	o.eject(now, t.cfg.BaseEjection, t.cfg.MaxEjection)

	return []Change{{VM: r.vm, Reason: Ejected, Until: o.until}}
}

// mayEject reports whether ejecting r keeps the ejected part of its pool within
// MaxSuspectedShare.
func (t *Table) mayEject(now time.Time, r *row) bool {
	eligible, ejected := 0, 0

	for _, o := range t.pools[r.service].rows {
		if t.excluded(now, o) {
			continue
		}

		eligible++

		if o.outlier.probation {
			ejected++
		}
	}

	return float64(ejected+1) <= t.cfg.MaxSuspectedShare*float64(eligible)
}
