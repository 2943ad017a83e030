package slowstart

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Guard issues the permits for the slow start of one target, in the process beside it. Use
// NewGuard; its methods are safe for concurrent use.
type Guard struct {
	mu            sync.Mutex
	limit         Limit
	coldUntil     time.Time // when the target is expected to be warm
	confirmedWarm bool      // the target reported that it is warm, and nothing since suggests otherwise
	accruedUntil  time.Time // up to when permits were accrued
	accrued       float64   // permits that may be issued
	rng           *rand.Rand
}

// NewGuard returns a Guard of a target that is not known to be cold. Seed seeds the random
// distribution of permits.
func NewGuard(l Limit, seed uint64) *Guard {
	return &Guard{limit: l, rng: rand.New(rand.NewPCG(seed, 0))}
}

// SetLimit sets the limit on requests to the target while it is cold.
func (g *Guard) SetLimit(l Limit) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.limit = l
}

// Bounded reports whether requests to the target are limited while it is cold.
func (g *Guard) Bounded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.limit.Bounded()
}

// Started records that the target was started some time ago.
func (g *Guard) Started(now time.Time, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.extendCold(now, g.limit.Duration-ago)
}

// ReportRemaining records how much longer the target stays cold, as it reported; zero means that
// it is warm.
func (g *Guard) ReportRemaining(now time.Time, remaining time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.confirmedWarm = remaining <= 0
	if g.confirmedWarm {
		g.coldUntil = earlier(g.coldUntil, now)

		return
	}

	g.extendCold(now, remaining)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// AssumeCold records that the target may have become cold at now.
func (g *Guard) AssumeCold(now time.Time) { g.Started(now, 0) }

// extendCold extends the time for which the target is taken for cold; it never shortens it.
// The caller holds mu.
func (g *Guard) extendCold(now time.Time, remaining time.Duration) {
	until := now.Add(remaining)
	if remaining <= 0 {
		return
	}

	g.confirmedWarm = false

	if !until.After(g.coldUntil) {
		return
	}

	if !now.Before(g.coldUntil) {
		g.accruedUntil, g.accrued = now.Add(coldPropagationTime), 0
	}

	g.coldUntil = until
}

// coldPropagationTime is how long entries may treat a target that has just become cold as warm,
// because they do not know yet. No permits accrue in that time.
const coldPropagationTime = 250 * time.Millisecond

// Warm reports whether the target is known to be warm.
func (g *Guard) Warm(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.confirmedWarm && !now.Before(g.coldUntil)
}

// Remaining returns how much longer the target stays cold; zero if its requests are not limited.
func (g *Guard) Remaining(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.remaining(now)
}

func (g *Guard) remaining(now time.Time) time.Duration {
	if !g.limit.Bounded() {
		return 0
	}

	return max(g.coldUntil.Sub(now), 0)
}

// Entry describes one entry for the distribution of permits.
type Entry struct {
	// Name is the name of the entry.
	Name string
	// Demand is how many requests a second arrive at the entry; zero if it has not reported
	// any.
	Demand int
}

// Permits issues the permits that have accrued since the last call. It draws the entry that
// gets each permit at random, in proportion to demand, and returns the number of permits by
// entry name.
func (g *Guard) Permits(now time.Time, entries []Entry) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()

	if !g.limit.Bounded() || len(entries) == 0 || !now.Before(g.coldUntil.Add(warmPropagationTime)) {
		return nil
	}

	g.accrue(now)

	permits := make(map[string]int)
	l := newLottery(entries)

	for ; g.accrued >= 1; g.accrued-- {
		permits[l.next(g.rng)]++
	}

	return permits
}

// warmPropagationTime is how long permits are issued after the target became warm, since entries
// with stale reports still take it for cold.
const warmPropagationTime = 700 * time.Millisecond

// maxAccrualTime is the maximum time between calls of Permits for which permits accrue. With a
// longer one, the permits of a second without calls could all be used at once.
const maxAccrualTime = 150 * time.Millisecond

// accrue adds the permits for the time since the last call. The caller holds mu.
func (g *Guard) accrue(now time.Time) {
	if since := now.Sub(g.accruedUntil); since > 0 {
		g.accrued = min(g.accrued, 1) + min(since, maxAccrualTime).Seconds()*g.limit.permitRate()
		g.accruedUntil = now
	}
}
