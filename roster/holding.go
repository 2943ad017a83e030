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
	// Alone says that no process beside it was ever heard, though this process has asked for
	// its pulse for a while.
	Alone bool
}

// aloneAfter is how long a pulse is asked for, several times, until none is taken to come.
const aloneAfter = 12 * time.Second

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
				Alone: !r.guarded[l.Address] && !e.watched.IsZero() && now.Sub(e.watched) >= aloneAfter,
			})
		}
	}

	return all
}
