package roster

import "time"

// Holding is a target that has a weight version of a model.
type Holding struct {
	// ID is the id of the target's current start, Address its IP address and port.
	ID, Address string
	// Version is the weight version that it has.
	Version int64
	// Loading reports whether it is taken to be loading weights.
	Loading bool
	// NoSideProcess reports whether the target is taken to have no side process: this process has
	// subscribed to its load reports for noSideProcessAfter and never received one.
	NoSideProcess bool
}

// noSideProcessAfter is how long a subscription stays unanswered before the target is taken
// to have no side process. The subscription is renewed several times in that time.
const noSideProcessAfter = 12 * time.Second

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
				NoSideProcess: !r.reporting[l.Address] && !e.subscribedAt.IsZero() && now.Sub(e.subscribedAt) >= noSideProcessAfter,
			})
		}
	}

	return all
}
