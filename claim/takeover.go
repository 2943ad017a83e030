package claim

import "time"

const (
	// DefaultStagger is how long a candidate waits for each candidate before it.
	DefaultStagger = 2 * time.Second
	// unknownOwnerDelay is how long a candidate waits for a renewal if the kept
	// part of the log shows no owner.
	unknownOwnerDelay = time.Minute
)

// VMList is the platform's list of a service's VMs.
type VMList struct {
	// Version rises with each change of the list.
	Version uint64
	// VMs are the listed VMs, live and leaving.
	VMs []string
	// Leaving holds the VMs of the list that are leaving.
	Leaving map[string]bool
}

// Has reports whether the list has a VM.
func (f VMList) Has(vm string) bool {
	for _, v := range f.VMs {
		if v == vm {
			return true
		}
	}

	return false
}

// Takeover decides when a process should request the ownership of a shard.
type Takeover struct {
	// Stagger is how long a candidate waits for each candidate before it, and at
	// least between two requests; zero means DefaultStagger.
	Stagger time.Duration

	term        uint64
	basis       Basis
	basisSince  time.Time
	lastRequest time.Time
}

// Due returns the basis on which the process should request the ownership now;
// false if it shouldn't. rank is its position among the candidates.
//
// The list lags, also for a new VM. Only a version above one that has the
// owner's VM can show that this VM was removed, and only a process on a listed
// VM may become the owner, so that the next owner can see in the same way that
// it is gone. A process that was paused waits until its list would show that
// its VM was removed.
func (t *Takeover) Due(now time.Time, c *Coordinator, f VMList, rank int) (Basis, bool) {
	basis, ok := c.takeoverBasis(f)
	if !ok || c.draining() || c.possiblyUnlisted(now) || !f.Has(c.cfg.VM) || f.Leaving[c.cfg.VM] {
		t.basis = 0

		return 0, false
	}

	o := c.state.Owner()
	if basis != t.basis || o.Term != t.term {
		t.basis, t.term, t.basisSince = basis, o.Term, now
	}

	if now.Sub(t.basisSince) < t.delay(c, rank) || now.Sub(t.lastRequest) < orDefault(t.Stagger, DefaultStagger) {
		return 0, false
	}

	t.lastRequest = now

	return basis, true
}

// delay returns how long to leave the shard to candidates before this one.
func (t *Takeover) delay(c *Coordinator, rank int) time.Duration {
	wait := time.Duration(rank) * orDefault(t.Stagger, DefaultStagger)

	switch {
	case t.basis == BasisFirst && c.oldestOffset > 1:
		return wait + unknownOwnerDelay
	default:
		return wait
	}
}

// takeoverBasis returns the basis on which this process may become the owner,
// if any.
func (c *Coordinator) takeoverBasis(f VMList) (Basis, bool) {
	o := c.state.Owner()

	switch {
	case c.isOwner(o):
		return 0, false
	case o.ConfirmedOffset < c.oldestOffset:
		return BasisFirst, true
	case o.Term == 0:
		return 0, false
	case o.Released:
		return BasisReleased, true
	case o.Ended || o.VM == c.cfg.VM && o.Incarnation < c.cfg.Incarnation:
		return BasisRestarted, true
	case o.VM != c.cfg.VM && f.Version > o.ListVersion && !f.Has(o.VM):
		return BasisUnlisted, true
	default:
		return 0, false
	}
}

// AnnounceStart writes the record that earlier processes on this VM have ended.
// The process must hold its port, which only one process on the VM can do at a
// time.
func (c *Coordinator) AnnounceStart() { c.enqueue(startRecord(c.cfg.VM, c.cfg.Incarnation)) }

func startRecord(vm string, incarnation uint64) record {
	return record{Kind: kindStart, Owner: &ownerRecord{VM: vm, Incarnation: incarnation}}
}

// RequestOwnership writes the record by which this process becomes the owner.
func (c *Coordinator) RequestOwnership(b Basis, f VMList) {
	c.enqueue(c.newOwnerRecord(kindOwner, b, f))
}

// RenewOwnership writes the record by which the owner repeats that it is the
// owner. A snapshot must have been written that covers the records up to offset
// covers, the newest of which was written at time at.
func (c *Coordinator) RenewOwnership(f VMList, covers uint64, at time.Time) {
	if !c.IsOwner() || !f.Has(c.cfg.VM) {
		return
	}

	r := c.newOwnerRecord(kindRenew, 0, f)
	r.Owner.Covers, r.Owner.CoversMS = covers, at.UnixMilli()
	c.enqueue(r)
}

func (c *Coordinator) newOwnerRecord(k kind, b Basis, f VMList) record {
	return record{Kind: k, Term: c.state.Owner().Term, Owner: &ownerRecord{
		VM: c.cfg.VM, Incarnation: c.cfg.Incarnation, Basis: b,
		RunsUnlogged: !c.cfg.RefuseInOutage, ListVersion: f.Version, OldestOffset: c.oldestOffset,
	}}
}
