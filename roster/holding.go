package roster

import (
	"time"

	"boragehub/event"
	"boragehub/pulse"
)

// Holding is a target that has a weight version of a model.
type Holding struct {
	// ID is the id of the target's current start, Address its IP address and port.
	ID, Address string
	// Version is the weight version that it has.
	Version int64
	// Loading reports whether it is taken to be loading weights.
	Loading bool
	// NoSideProcess reports whether the target has no side process: this process has subscribed to
	// its load reports for noSideProcessAfter and never received one, and the target's VM has
	// replied for absentFor that no such process runs there. Missing reports alone are no sign of it.
	NoSideProcess bool
}

// Timing of the search for side processes.
const (
	// noSideProcessAfter is how long a subscription stays unanswered before the target may be taken
	// to have no side process. The subscription is renewed several times in that time.
	noSideProcessAfter = 12 * time.Second
	// probeAfter is how long it stays unanswered before the target's VM is asked.
	probeAfter = 8 * time.Second
	// ProbeInterval is the time between two questions, and maxProbeInterval the longest one after
	// which two replies count as being in a row.
	ProbeInterval    = 3200 * time.Millisecond
	maxProbeInterval = 3500 * time.Millisecond
	// absentFor is the time over which the VM has to reply that no side process runs there. It exceeds
	// the time for which the sender of an order counts as the engine's holder.
	absentFor = 3 * time.Second
)

// sideProcess is what a target's VM has replied to the question whether a side process runs there.
type sideProcess struct {
	last        pulse.Presence
	at          time.Time // when it replied last
	absentSince time.Time // first of the replies in a row by which there is none; zero for none
}

// observe records a reply.
func (s *sideProcess) observe(now time.Time, p pulse.Presence) {
	inRow := s.last == pulse.Absent && now.Sub(s.at) <= maxProbeInterval

	switch {
	case p != pulse.Absent:
		s.absentSince = time.Time{}
	case !inRow || s.absentSince.IsZero():
		s.absentSince = now
	}

	s.last, s.at = p, now
}

// absent reports whether there is certainly no side process.
func (s *sideProcess) absent(now time.Time) bool {
	return !s.absentSince.IsZero() && now.Sub(s.at) <= maxProbeInterval && s.at.Sub(s.absentSince) >= absentFor
}

// silence returns for how long this process has subscribed to a target's load reports without ever
// having received one; zero if it received one or doesn't subscribe. The caller holds mu.
func (r *Roster) silence(now time.Time, e *engine) time.Duration {
	if r.reporting[e.listing.Address] || e.subscribedAt.IsZero() {
		return 0
	}

	return now.Sub(e.subscribedAt)
}

// SilentTargets returns the addresses of the targets from which no load report was ever received, for so
// long that their VM is to be asked for a side process.
func (r *Roster) SilentTargets(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []string

	for _, e := range r.engines {
		if r.silence(now, e) >= probeAfter {
			all = append(all, e.listing.Address)
		}
	}

	return all
}

// ObserveSideProcess records whether a side process runs beside the target at an address.
func (r *Roster) ObserveSideProcess(now time.Time, address string, p pulse.Presence) {
	r.mu.Lock()
	defer r.mu.Unlock()

	id := r.currentRegistration(address).id

	e, ok := r.engines[id]
	if !ok {
		return
	}

	if before := e.sideProcess.last; before != p || e.sideProcess.at.IsZero() {
		event.Log(r.cfg.Log, event.SideProcessProbed, "target", id, "address", address, "side_process", p.String(), "before", before.String(),
			"silent_ms", r.silence(now, e).Milliseconds())
	}

	e.sideProcess.observe(now, p)
}

// Holdings returns the targets that have a weight version of a model and aren't draining.
func (r *Roster) Holdings(now time.Time, model string) []Holding {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []Holding

	for id, e := range r.engines {
		l := &e.listing
		if v := e.versions[model]; v > 0 && !l.Draining && r.currentRegistration(l.Address).id == id {
			all = append(all, Holding{
				ID: id, Address: l.Address, Version: v, Loading: now.Before(e.loadingUntil),
				NoSideProcess: r.silence(now, e) >= noSideProcessAfter && e.sideProcess.absent(now),
			})
		}
	}

	return all
}
