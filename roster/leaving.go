package roster

import (
	"time"

	"boragehub/event"
)

// Leaving is the start of a target that is about to leave.
type Leaving struct {
	// ID is its id.
	ID string
	// StartedMs is its start time in ms of the target's clock; zero when not reported. A target that
	// was restarted under the same id since then doesn't leave.
	StartedMs int64
}

// leaving reports whether the target gets no new work because it is about to leave. What it said in
// a response holds until it is restarted, whatever the register lists: the register may not be
// reached by the target, or lag behind it.
func (e *engine) leaving() bool {
	return e.listing.Draining || e.saidLeaving || e.report.Leaving
}

// ObserveLeaving records that a target said in a response that it is about to leave. The other
// entries are told with the next Tick.
func (r *Roster) ObserveLeaving(_ time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[id]; ok && !e.saidLeaving {
		r.markLeaving(id, e, basisResponse)
		r.leavingUnannounced = append(r.leavingUnannounced, Leaving{id, e.startedMs})
	}
}

// ObserveAnnouncedLeaving records that a target told another entry that it is about to leave.
func (r *Roster) ObserveAnnouncedLeaving(_ time.Time, l Leaving) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if e, ok := r.engines[l.ID]; ok && !e.saidLeaving && e.startedMs <= l.StartedMs {
		r.markLeaving(l.ID, e, basisAnnouncement)
	}
}

// markLeaving records that a target is about to leave. The caller holds mu.
func (r *Roster) markLeaving(id string, e *engine, basis string) {
	e.saidLeaving = true
	r.listChanged = true
	r.logLeaving(id, e, basis)
}

// applyReportedLeaving applies what a load report says before it replaces the last one. Unlike a
// response, a report bears no id of its target. It may come from an earlier target at the same
// address, so it holds only until the next one. The caller holds mu.
func (r *Roster) applyReportedLeaving(id string, e *engine, leaving bool) {
	if leaving == e.report.Leaving {
		return
	}

	r.listChanged = true

	if leaving {
		r.logLeaving(id, e, basisLoadReport)
	}
}

// logLeaving logs that a target is about to leave. The caller holds mu.
func (r *Roster) logLeaving(id string, e *engine, basis string) {
	event.Log(r.cfg.Log, event.TargetLeaving, "target", id, "basis", basis, "listed_draining", e.listing.Draining)
}
