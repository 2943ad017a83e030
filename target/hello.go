package target

import (
	"slices"
	"time"
)

// ObserveHello takes what a side process says of its target.
func (t *Table) ObserveHello(now time.Time, h Hello) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := t.row(h.VM, h.DataCentre, h.Service)
	if r == nil {
		return nil
	}

	if t.late(now, r, h) {
		return nil
	}

	var changes []Change
	if h.BootID != r.bootID {
		changes = appendChange(changes, r.boot(h))
	}

	r.address = or(r.address, h.Address)
	r.sideAddress = or(r.sideAddress, h.SideAddress)

	changes = appendChange(changes, r.say(h.State))
	r.sequence = h.Sequence
	r.heardAt = now
	r.model, r.version, r.role = h.Model, h.WeightVersion, h.Role
	r.report(now, h.Load)

	if len(changes) > 0 {
		t.choose(t.pools[r.service])
	}

	return changes
}

// late reports whether h was overtaken by what was heard since. A hello of an
// earlier boot that arrives after a later boot said draining would bring a
// leaving target back. Boot ids have no order, and the clock of a VM that was
// replaced under the same name may be behind; so an earlier start counts only
// as long as a message can have been under way.
func (t *Table) late(now time.Time, r *row, h Hello) bool {
	if h.BootID == r.bootID {
		return h.Sequence != 0 && h.Sequence <= r.sequence
	}

	if slices.Contains(r.oldBoots[:], h.BootID) {
		return true
	}

	// A refusal doesn't tell its boot. It may have come from a boot whose first
	// hello, of before it drained, is still under way.
	if !r.refusedAt.IsZero() && now.Sub(r.refusedAt) <= t.cfg.SilentAfter {
		return true
	}

	return h.Started.Before(r.started) && !h.Started.IsZero() && now.Sub(r.heardAt) <= t.cfg.SilentAfter
}

// boot starts anew for a target that was started again.
func (r *row) boot(h Hello) Change {
	first := r.bootID == ""
	if !first {
		copy(r.oldBoots[1:], r.oldBoots[:])
		r.oldBoots[0] = r.bootID
	}

	r.bootID = h.BootID
	r.started = h.Started
	r.sequence = 0
	r.state = Unknown
	r.saidDraining = false
	r.outlier = outlier{}
	r.loadKnown = false

	if first {
		return Change{}
	}

	return Change{VM: r.vm, Reason: NewBoot}
}

// say takes a state told at first hand. Draining stays for this boot: a hello
// that was overtaken, or a lagging list, must not bring the target back.
func (r *row) say(s State) Change {
	if r.saidDraining || s == r.state {
		return Change{}
	}

	r.state = s

	switch s {
	case Draining:
		r.saidDraining = true
		return Change{VM: r.vm, Reason: SaidDraining}
	case Ready:
		return Change{VM: r.vm, Reason: SaidReady}
	case Loading:
		return Change{VM: r.vm, Reason: SaidLoading}
	case Unknown:
		return Change{}
	default:
		return Change{}
	}
}
