package roster

// Ended is a start of a target that has ended.
type Ended struct {
	// ID is its id, StartedMs its start time in ms of the target's clock; zero when not reported.
	ID        string
	StartedMs int64
	// Replaced is true if another start has taken its address or its id, and false if the register no
	// longer lists it, as it does of a target that is cut off from the log.
	Replaced bool
}

// markEnded records that a start of a target has ended, unless it was about to leave. The next Tick
// passes it on. The caller holds mu.
func (r *Roster) markEnded(id string, replaced bool) {
	if e, ok := r.engines[id]; ok && !e.leaving() && r.cfg.TargetEnded != nil {
		r.endedUnannounced = append(r.endedUnannounced, Ended{id, e.startedMs, replaced})
	}
}
