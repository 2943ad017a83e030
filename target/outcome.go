package target

import "time"

// Sent records that a request with so many prompt tokens goes to a target.
func (t *Table) Sent(now time.Time, vm string, tokens int) Sending {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := Sending{vm: vm, at: now, tokens: tokens}

	r, ok := t.rows[vm]
	if !ok {
		return s
	}

	r.ahead.add(now, tokens)

	if r.outlier.probation {
		s.probe = true
		r.outlier.probing = true
		r.outlier.probeAt = now
	}

	return s
}

// Done records how a request ended.
func (t *Table) Done(now time.Time, s Sending, o Outcome) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.rows[s.vm]
	if !ok {
		return nil
	}

	r.ahead.remove(s.at, s.tokens)

	if s.probe {
		r.outlier.probing = false
	}

	switch o {
	case Succeeded:
		if r.outlier.succeed(now, t.cfg.EjectMost) {
			return []Change{{VM: r.vm, Reason: Restored}}
		}
	case Failed:
		return t.failed(now, r, s)
	case RefusedDraining:
		r.refusedAt = now
		changes := appendChange(nil, r.say(Draining))
		t.choose(t.pools[r.service])

		return changes
	case Neutral:
	}

	return nil
}

// failed counts a failure and ejects when there are enough in a row.
func (t *Table) failed(now time.Time, r *row, s Sending) []Change {
	o := &r.outlier
	o.failures++

	// Requests sent before the ejection fail during it; they must not lengthen it.
	if o.ejected(now) || (o.probation && !s.probe) {
		return nil
	}

	if !o.probation && (o.failures < t.cfg.EjectAfter || !t.roomToEject(now, r)) {
		return nil
	}

	o.eject(now, t.cfg.EjectFor, t.cfg.EjectMost)

	return []Change{{VM: r.vm, Reason: Ejected, Until: o.until}}
}

// roomToEject reports whether r may go without taking more than DoubtShare of its pool.
func (t *Table) roomToEject(now time.Time, r *row) bool {
	usable, out := 0, 0

	for _, o := range t.pools[r.service].rows {
		if t.barred(now, o) {
			continue
		}

		usable++

		if o.outlier.probation {
			out++
		}
	}

	return float64(out+1) <= t.cfg.DoubtShare*float64(usable)
}
