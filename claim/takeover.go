package claim

import "time"

const (
	// DefaultStagger is how long a candidate waits for each one before it.
	DefaultStagger = 2 * time.Second
	// lostDelay is how long a shard of which the log no longer tells a home waits
	// for one that repeats itself.
	lostDelay = time.Minute
)

// Fleet is the platform's list of a service's VMs.
type Fleet struct {
	// Version rises with each change of the list.
	Version uint64
	// VMs are those listed, live and leaving.
	VMs []string
	// Leaving are those of VMs that are leaving.
	Leaving map[string]bool
}

// Has tells whether the list has a VM.
func (f Fleet) Has(vm string) bool {
	for _, v := range f.VMs {
		if v == vm {
			return true
		}
	}

	return false
}

// Succession decides when a process may become the home of a shard.
type Succession struct {
	// Stagger is how long a candidate waits for each one before it; zero is DefaultStagger.
	Stagger time.Duration

	term  uint64
	basis Basis
	since time.Time
	asked time.Time
}

// Next returns the basis on which the process should ask to be the home now;
// false when it shouldn't. rank is its place among the candidates.
//
// The list lags, also for a VM that is new. Only a version above one that has
// the home's VM can tell that the VM is gone, and only a process that the list
// has may become home, so that its successor can tell the same of it. A process
// that stood still waits until its list would tell that its VM was dropped.
func (s *Succession) Next(now time.Time, d *Coordinator, f Fleet, rank int) (Basis, bool) {
	basis, ok := d.basis(f)
	if !ok || d.draining() || d.doubted(now) || !f.Has(d.cfg.VM) || f.Leaving[d.cfg.VM] {
		s.basis = 0

		return 0, false
	}

	h := d.ledger.Holder()
	if basis != s.basis || h.Term != s.term {
		s.basis, s.term, s.since = basis, h.Term, now
	}

	if now.Sub(s.since) < s.delay(d, rank) || now.Sub(s.asked) < positive(s.Stagger, DefaultStagger) {
		return 0, false
	}

	s.asked = now

	return basis, true
}

// delay returns how long to leave a shard to others.
func (s *Succession) delay(d *Coordinator, rank int) time.Duration {
	wait := time.Duration(rank) * positive(s.Stagger, DefaultStagger)

	switch {
	case s.basis == BasisFirst && d.first > 1:
		return wait + lostDelay
	default:
		return wait
	}
}

// basis returns why this process may become the home, if it may.
func (d *Coordinator) basis(f Fleet) (Basis, bool) {
	h := d.ledger.Holder()

	switch {
	case d.mine(h):
		return 0, false
	case h.Asserted < d.first:
		return BasisFirst, true
	case h.Term == 0:
		return 0, false
	case h.Released:
		return BasisReleased, true
	case h.Ended || h.VM == d.cfg.VM && h.Incarnation < d.cfg.Incarnation:
		return BasisReborn, true
	case h.VM != d.cfg.VM && f.Version > h.Listed && !f.Has(h.VM):
		return BasisGone, true
	default:
		return 0, false
	}
}

// Born puts the record into the outbox by which this process says that earlier
// ones on its VM have ended. The process must hold what only one of them can,
// its port.
func (d *Coordinator) Born() { d.write(born(d.cfg.VM, d.cfg.Incarnation)) }

func born(vm string, incarnation uint64) record {
	return record{Kind: kindBorn, Home: &homeRecord{VM: vm, Incarnation: incarnation}}
}

// Ask puts the record by which this process becomes the home into the outbox.
func (d *Coordinator) Ask(b Basis, f Fleet) { d.write(d.homeRecord(kindHome, b, f)) }

// Keep puts the record into the outbox by which the home repeats that it is
// there. A snapshot must have been written that covers the records up to covers,
// of which the newest was of the time at.
func (d *Coordinator) Keep(f Fleet, covers uint64, at time.Time) {
	if !d.Home() || !f.Has(d.cfg.VM) {
		return
	}

	r := d.homeRecord(kindKeep, 0, f)
	r.Home.Covers, r.Home.CoversMS = covers, at.UnixMilli()
	d.write(r)
}

func (d *Coordinator) homeRecord(k kind, b Basis, f Fleet) record {
	return record{Kind: k, Term: d.ledger.Holder().Term, Home: &homeRecord{
		VM: d.cfg.VM, Incarnation: d.cfg.Incarnation, Basis: b,
		LogLess: !d.cfg.RefuseInOutage, Listed: f.Version, From: d.first,
	}}
}
