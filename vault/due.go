package vault

import (
	"math"
	"time"
)

// Engines says what is known of the engines that fetch from the stores.
//
// A fetch in flight is paused with its engine's VM and continues with it, past the deadline at which the engine should
// have discarded it. The part that it then reads must not have been freed. So a part is freed only
// when all engines are known to have run past the deadlines of its fetches.
type Engines interface {
	// RanUntil returns the latest time, in ms on the engines' clock, until which each engine is known to have
	// run, with time to end what was overdue then.
	RanUntil(now time.Time) int64
	// Probe asks the engines that are not known to have run until a time on their clock, in ms, for a sign of it,
	// and returns their addresses.
	Probe(now time.Time, clock int64) []string
}

// pausedGrace is how much longer parts are kept if an engine is not known to have run past the deadlines. VMs are
// paused for some seconds. One that is paused for longer is taken for dead, since the space of
// replaced parts would otherwise never be freed. A process that has just started doesn't know which engines
// there were, and keeps parts for as long.
const pausedGrace = 10 * time.Second

// replacement is a weight version of a model that replaced the earlier ones.
type replacement struct {
	version   int64
	learnedAt time.Time
	// learnedClock is the engines' clock at learnedAt, in ms; zero while it isn't known.
	learnedClock int64
	// confirmedAfter is how long after learnedAt all registered processes had responded that they know
	// the version; Unconfirmed until then.
	confirmedAfter time.Duration
}

// dueParts decides which parts of versions before a newer one are due to be freed.
type dueParts struct {
	now      time.Time
	newer    replacement
	ranUntil int64
	rank     func(address string) int

	// kept counts the parts that are kept because engines may be paused, keptUntil is the time that all
	// engines have to be known to have run until for the first of them.
	kept      int
	keptUntil int64
	overdue   time.Duration // of the one kept longest
}

// allows reports whether a part in the store at address is due.
func (d *dueParts) allows(address string, p Part) bool {
	after := p.FreeAfter(d.newer.confirmedAfter)

	late := d.now.Sub(d.newer.learnedAt) - time.Duration(d.rank(address))*RankDelay - after
	if late < 0 {
		return false
	}

	ended := d.newer.fetchesEnded(p)
	if d.ranUntil >= ended || late >= pausedGrace {
		return true
	}

	d.kept++
	d.overdue = max(d.overdue, late)

	if d.keptUntil == 0 || ended < d.keptUntil {
		d.keptUntil = ended
	}

	return false
}

// confirmedAfterMs returns confirmedAfter in ms, -1 for Unconfirmed.
func (r replacement) confirmedAfterMs() int64 {
	if r.confirmedAfter == Unconfirmed {
		return -1
	}

	return r.confirmedAfter.Milliseconds()
}

// fetchesEnded returns the time, in ms on the engines' clock, by which all fetches of a replaced part have ended at
// engines that ran until then; math.MaxInt64 if it isn't known.
func (r replacement) fetchesEnded(p Part) int64 {
	if r.learnedClock == 0 {
		return math.MaxInt64
	}

	return r.learnedClock + p.FreeAfter(r.confirmedAfter).Milliseconds()
}

// lastEnd returns the time, in ms on the engines' clock, by which all fetches of replaced parts have ended.
func lastEnd(newer replacement, parts []Part) int64 {
	last := int64(0)
	for _, p := range parts {
		last = max(last, newer.fetchesEnded(p))
	}

	return last
}
