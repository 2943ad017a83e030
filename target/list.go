package target

import (
	"slices"
	"time"
)

// ObserveList takes a whole VM list; rows that are no targets are skipped.
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
			changes = appendChange(changes, t.listed(now, r, l))
		}
	}

	changes = t.dropUnlisted(now, changes)
	for _, p := range t.pools {
		t.choose(p)
	}

	return changes
}

// listed takes one row of the list.
func (t *Table) listed(now time.Time, r *row, l Listed) Change {
	was, known := r.listLeaving, r.listed
	r.seenOnList = true
	r.listed = true
	r.listAt = now
	r.address = l.Address
	r.sideAddress = l.SideAddress
	r.listLeaving = l.State == Leaving

	switch {
	case r.listLeaving && !was:
		return Change{VM: r.vm, Reason: ListedLeaving}
	case !r.listLeaving && (was || !known):
		return Change{VM: r.vm, Reason: ListedLive}
	default:
		return Change{}
	}
}

// dropUnlisted treats targets that the list showed before and left out now as
// gone. A list that lost its content would empty every pool; so when it leaves
// out more than DoubtShare of the targets of a pool that speak at first hand as
// ready, those are kept.
func (t *Table) dropUnlisted(now time.Time, changes []Change) []Change {
	for _, p := range t.pools {
		speaking, missing := 0, 0

		for _, r := range p.rows {
			if !t.speaking(now, r) {
				continue
			}

			speaking++

			if r.listed && !r.seenOnList {
				missing++
			}
		}

		doubtful := float64(missing) > t.cfg.DoubtShare*float64(speaking)
		for _, r := range slices.Clone(p.rows) {
			if r.listed && !r.seenOnList {
				changes = appendChange(changes, t.unlisted(now, r, doubtful))
			}
		}
	}

	return changes
}

// speaking reports whether r said lately that it is ready.
func (t *Table) speaking(now time.Time, r *row) bool {
	return r.state == Ready && !r.leaving() && !r.heardAt.IsZero() && now.Sub(r.heardAt) <= t.silence()
}

// unlisted takes a target that the list left out.
func (t *Table) unlisted(now time.Time, r *row, doubtful bool) Change {
	if doubtful && t.speaking(now, r) {
		return Change{VM: r.vm, Reason: ListDoubted}
	}

	if !r.listLeaving {
		r.listLeaving = true
		return Change{VM: r.vm, Reason: ListedGone}
	}

	if now.Sub(r.listAt) > t.cfg.ForgetAfter && now.Sub(r.heardAt) > t.cfg.ForgetAfter {
		t.remove(r)
	}

	return Change{}
}
