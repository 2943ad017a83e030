package roster

import "time"

// departedMemory is how long it is remembered what targets that left the register had asked for. A
// target that is alive is listed again within seconds after an outage of the log.
const departedMemory = time.Minute

// departed is what a target that left the register had asked for.
type departed struct {
	limit       rateLimit
	retryAt     time.Time
	saidLeaving bool
	startedMs   int64
	at          time.Time
	address     string
	modelEngine bool
	run         runState
}

// depart returns what is remembered of a target that leaves the register.
func (e *engine) depart(now time.Time) departed {
	return departed{limit: e.rateLimit, retryAt: e.retryAt, saidLeaving: e.saidLeaving, startedMs: e.startedMs, at: now, address: e.listing.Address, run: e.run}
}

// forgetDeparted forgets the targets that left the register long ago. The caller holds mu.
func (r *Roster) forgetDeparted(now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.at) > departedMemory {
			delete(r.departed, id)
		}
	}
}
