package roster

import "time"

// Holding is a target with its weight version of a model.
type Holding struct {
	// ID is the id of its present start, Address where it is.
	ID, Address string
	// Version is its weight version.
	Version int64
	// Loading says that it loads weights.
	Loading bool
	// Heard says that the process beside it was heard of late; it also counts as heard
	// while this process doesn't ask for its pulse.
	Heard bool
}

// Holdings returns the targets that have a version of a model and don't leave.
func (r *Roster) Holdings(now time.Time, model string) []Holding {
	r.mu.Lock()
	defer r.mu.Unlock()

	var all []Holding

	for id, e := range r.engines {
		l := &e.listing
		if v := e.versions[model]; v > 0 && !l.Draining && r.holder(l.Address).id == id {
			all = append(all, Holding{
				ID: id, Address: l.Address, Version: v, Loading: now.Before(e.loading),
				Heard: !e.watched || now.Sub(e.pulseAt) < e.pulseMost(),
			})
		}
	}

	return all
}
