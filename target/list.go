package target

import (
	"slices"
	"time"
)

// ObserveList applies a complete VM list. Entries of other kinds than engine and plain
// are ignored.
func (t *Table) ObserveList(now time.Time, vms []Listed) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	var changes []Change

	for _, r := range t.rows {
		r.seenOnList = false
	}

	for _, l := range vms {
		if l.Kind != KindEngine && l.Kind != KindPlain {
			continue
		}

		if r := t.row(l.VM, l.DataCentre, l.Service); r != nil {
			changes = appendChange(changes, t.applyListed(now, r, l))
		}
	}

	changes = t.applyMissing(now, changes)
	for _, p := range t.pools {
		t.selectSubset(p)
	}

	return changes
}

// applyListed applies one entry of the list.
func (t *Table) applyListed(now time.Time, r *row, l Listed) Change {
	wasLeaving, wasListed := r.listLeaving, r.listed
	r.seenOnList = true
	r.listed = true
	r.listAt = now
	r.address = l.Address
	r.sideAddress = l.SideAddress
	r.listLeaving = l.State == Leaving

	switch {
	case r.listLeaving && !wasLeaving:
		return Change{VM: r.vm, Reason: ListedLeaving}
	case !r.listLeaving && (wasLeaving || !wasListed):
		return Change{VM: r.vm, Reason: ListedLive}
	default:
		return Change{}
	}
}

// applyMissing treats targets that an earlier list contained and this one doesn't as
// gone. A list that lost its content would empty every pool; so when the list lacks
// more than MaxSuspectedShare of the targets of a pool that report that they are ready,
// those targets are kept.
func (t *Table) applyMissing(now time.Time, changes []Change) []Change {
	for _, p := range t.pools {
		reporting, missing := 0, 0

		for _, r := range p.rows {
			if !t.reportsReady(now, r) {
				continue
			}

			reporting++

			if r.listed && !r.seenOnList {
				missing++
			}
		}

		rejected := float64(missing) > t.cfg.MaxSuspectedShare*float64(reporting)
		for _, r := range slices.Clone(p.rows) {
			if r.listed && !r.seenOnList {
				changes = appendChange(changes, t.applyUnlisted(now, r, rejected))
			}
		}
	}

	return changes
}

// reportsReady reports whether r has reported that it is ready and is not unresponsive.
func (t *Table) reportsReady(now time.Time, r *row) bool {
	return r.state == Ready && !r.leaving() && !r.lastSeen.IsZero() && now.Sub(r.lastSeen) <= t.unresponsiveAfter()
}

// applyUnlisted applies the absence of a target from the list.
func (t *Table) applyUnlisted(now time.Time, r *row, rejected bool) Change {
	if rejected && t.reportsReady(now, r) {
		return Change{VM: r.vm, Reason: ListRejected}
	}

	if !r.listLeaving {
		r.listLeaving = true
		return Change{VM: r.vm, Reason: Unlisted}
	}

	if now.Sub(r.listAt) > t.cfg.ForgetAfter && now.Sub(r.lastSeen) > t.cfg.ForgetAfter {
		t.remove(r)
	}

	return Change{}
}
