package roster

import (
	"time"

	"boragehub/event"
)

// ObserveLeaving records that a target said in a response that it is about to leave.
func (r *Roster) ObserveLeaving(_ time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.engines[id]
	if !ok || e.saidLeaving {
		return
	}

	e.saidLeaving = true
	r.logLeaving(id, e, basisResponse)
}

// logLeaving logs that a target is about to leave. The caller holds mu.
func (r *Roster) logLeaving(id string, e *engine, basis string) {
	event.Log(r.cfg.Log, event.TargetLeaving, "target", id, "basis", basis, "listed_draining", e.listing.Draining)
}
