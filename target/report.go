package target

import (
	"slices"
	"time"
)

// ObserveState applies a state report of a side process. Stale state reports are ignored.
func (t *Table) ObserveState(now time.Time, h StateReport) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()

	r := t.row(h.VM, h.DataCentre, h.Service)
	if r == nil {
		return nil
	}

	if t.stale(now, r, h) {
		return nil
	}

	var changes []Change
	if h.BootID != r.bootID {
		changes = appendChange(changes, r.restart(h))
	}

	r.address = or(r.address, h.Address)
	r.sideAddress = or(r.sideAddress, h.SideAddress)

	changes = appendChange(changes, r.setState(h.State))
	r.sequence = h.Sequence
	r.lastSeen = now
	r.model, r.version, r.role = h.Model, h.WeightVersion, h.Role
	r.setLoad(now, h.Load)

	if len(changes) > 0 {
		t.selectSubset(t.pools[r.service])
	}

	return changes
}

// stale reports whether h is older than what is known of the target. A state report of an
// earlier boot that arrives after a later boot reported draining must not return a
// leaving target to the pool. Boot ids have no order, and the clock of a VM that was
// replaced under the same name may be behind; so an earlier start time only counts as
// stale for as long as a message can be in flight.
func (t *Table) stale(now time.Time, r *row, h StateReport) bool {
	if h.BootID == r.bootID {
		return h.Sequence != 0 && h.Sequence <= r.sequence
	}

	if slices.Contains(r.oldBoots[:], h.BootID) {
		return true
	}

	// A refusal carries no boot id. It may have come from a boot whose first state report,
	// sent before it drained, is still in flight.
	if !r.refusedAt.IsZero() && now.Sub(r.refusedAt) <= t.cfg.UnresponsiveAfter {
		return true
	}

	return h.Started.Before(r.started) && !h.Started.IsZero() && now.Sub(r.lastSeen) <= t.cfg.UnresponsiveAfter
}

// restart resets the state of a target that has a new boot id.
func (r *row) restart(h StateReport) Change {
	first := r.bootID == ""
	if !first {
		copy(r.oldBoots[1:], r.oldBoots[:])
		r.oldBoots[0] = r.bootID
	}

	r.bootID = h.BootID
	r.started = h.Started
	r.sequence = 0
	r.state = Unknown
	r.reportedDraining = false
	r.outlier = outlier{}
	r.loadKnown = false

	if first {
		return Change{}
	}

	return Change{VM: r.vm, Reason: NewBoot}
}

// setState applies a state that was reported directly. Draining is final for a boot: a
// reordered state report or a lagging list must not return the target to the pool.
func (r *row) setState(s State) Change {
	if r.reportedDraining || s == r.state {
		return Change{}
	}

	r.state = s

	switch s {
	case Draining:
		r.reportedDraining = true
		return Change{VM: r.vm, Reason: ReportedDraining}
	case Ready:
		return Change{VM: r.vm, Reason: ReportedReady}
	case Loading:
		return Change{VM: r.vm, Reason: ReportedLoading}
	case Unknown:
		return Change{}
	default:
		return Change{}
	}
}
