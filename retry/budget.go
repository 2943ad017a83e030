// Package retry decides which requests may be retried, how often and when.
//
// # Model
//
// A retry helps one request, but in a fault that affects many it doubles the load on the
// remaining targets. So a Budget limits retries and hedges to a ratio of the requests
// around a window, plus a small floor: an outage adds no more load than that, however
// many requests fail. MayRetry reports whether the rules allow a retry at all: an
// idempotent request may be retried on another target; any other only when it is certain
// that nothing ran.
//
// Many processes may share a limit of retries. The limits of their Budgets add up: in any
// window, all of them together allow at most Ratio times the mean number of requests in
// that window, the one before it and the one half a window before it, plus the sum of
// their floors.
//
// # Example
//
//	b.CountRequest(now)
//	…
//	if retry.MayRetry(attempt) && b.Reserve(now) {
//		wait := cfg.Backoff(attempt.Number, rng)
//		…
//		b.Settle(now) // the response has begun, or the attempt has failed
//	}
package retry

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget. Zero values get a default.
type BudgetConfig struct {
	// Ratio is the maximum ratio of retries to requests. 0.2 when zero.
	Ratio float64
	// Window is the period over which both are counted. 10 s when zero.
	Window time.Duration
	// Floor is the number of retries allowed per window in addition to Ratio, so that an
	// entry with few requests can retry at all. 3 when zero, none when negative.
	Floor float64
	// FloorDelay is how long after the start the floor is not used yet. Where an earlier
	// process may have used the same floor, it is Window or longer.
	FloorDelay time.Duration
	// Unshared is true if no limit covers this Budget and others together. The requests of the
	// window that ends at present then count in full.
	Unshared bool
}

const (
	// windowSlots is the number of slots into which a window is divided.
	windowSlots = 20
	// keptSlots is the number of slots kept: any window that may still get a retry, and the
	// one before it.
	keptSlots = 2*windowSlots + 1
)

// Budget limits retries to a ratio of requests. Use NewBudget. Its methods are safe for
// concurrent use.
type Budget struct {
	cfg   BudgetConfig
	start time.Time

	mu   sync.Mutex
	slot int // number of the newest slot, counted from start
	// requests and retries hold the counts of slot n at index n % keptSlots.
	requests [keptSlots]int
	retries  [keptSlots]int
	reserved int // retries that may not have arrived yet
}

// NewBudget returns the Budget of a process that started at a time, with nothing counted.
func NewBudget(start time.Time, cfg BudgetConfig) *Budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = 0.2
	}

	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Second
	}

	if cfg.Floor == 0 {
		cfg.Floor = 3
	}

	return &Budget{cfg: cfg, start: start}
}

// SetFloor changes the number of retries allowed per window in addition to Ratio, as when
// the number of entries that share it changes. Zero or less allows none.
func (b *Budget) SetFloor(n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cfg.Floor = n
}

// SetRatio changes the maximum ratio of retries to requests. What was counted still counts.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cfg.Ratio = ratio
}

// CountRequest counts a request that arrived at a time, which may be a little in the past.
func (b *Budget) CountRequest(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	n := b.slotAt(at)
	if n > b.slot {
		b.advance(n)
	}

	if n >= 0 && n > b.slot-keptSlots {
		b.requests[n%keptSlots]++
	}
}

// Allow reports whether the budget allows one more retry, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	if !b.Reserve(now) {
		return false
	}

	b.Settle(now)

	return true
}

// Reserve reports whether the budget allows one more retry. If so, it counts in every window until Settle is
// called, since it may arrive at any time.
func (b *Budget) Reserve(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(b.slotAt(now))

	if used, limit := b.tightest(now, 1); float64(used+1) > limit {
		return false
	}

	b.reserved++

	return true
}

// Settle records that a reserved retry has arrived, or never will.
func (b *Budget) Settle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(b.slotAt(now))
	b.reserved--
	b.retries[b.slot%keptSlots]++
}

// Usage returns the retries counted in the window that leaves least room for others, and how many
// are allowed there.
func (b *Budget) Usage(now time.Time) (used int, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(b.slotAt(now))

	return b.tightest(now, 0)
}

// tightest returns the retries of the window that leaves least room for another n, and how many are
// allowed there. It considers each window that may end at or after the present, wherever in its first
// slot it begins: retries of that slot count, and requests only where any such window has them. The
// caller holds mu.
func (b *Budget) tightest(now time.Time, n int) (used int, limit float64) {
	var before [keptSlots + 1]int // requests of the kept slots before one

	oldest := b.slot - keptSlots + 1
	for i := range keptSlots {
		before[i+1] = before[i] + b.count(&b.requests, oldest+i)
	}

	// requestsIn returns the requests of the slots from first to last.
	requestsIn := func(first, last int) int {
		first, last = max(first, oldest), min(last, b.slot)
		if first > last {
			return 0
		}

		return before[last-oldest+1] - before[first-oldest]
	}

	floor := max(b.cfg.Floor, 0)
	if b.cfg.FloorDelay > 0 && now.Sub(b.start) < b.cfg.FloorDelay {
		floor = 0
	}

	if b.cfg.Unshared {
		used = b.reserved
		for n := b.slot - windowSlots; n <= b.slot; n++ {
			used += b.count(&b.retries, n)
		}

		return used, b.cfg.Ratio*float64(requestsIn(b.slot-windowSlots+1, b.slot)) + floor
	}

	retries, least := b.reserved, 0.0

	for first := b.slot; first >= b.slot-windowSlots; first-- {
		retries += b.count(&b.retries, first)

		// The window before this one, the one half a window before it, and this one.
		sum := requestsIn(first-windowSlots+1, first-1) + requestsIn(first-windowSlots/2+1, first+windowSlots/2-1) + requestsIn(first+1, first+windowSlots-1)
		allowed := b.cfg.Ratio*float64(sum)/3 + floor

		if room := allowed - float64(retries+n); first == b.slot || room < least {
			used, limit, least = retries, allowed, room
		}
	}

	return used, limit
}

// count returns the count of slot n, zero before the start.
func (b *Budget) count(counts *[keptSlots]int, n int) int {
	if n < 0 {
		return 0
	}

	return counts[n%keptSlots]
}

// slotAt returns the number of the slot of a time. Times are compared by the monotonic clock, so that the
// budget doesn't change when the time of day does.
func (b *Budget) slotAt(at time.Time) int {
	return int(at.Sub(b.start) / (b.cfg.Window / windowSlots))
}

// advance makes slot n the newest one and clears those that have expired. When the clock goes
// back, the newest slot remains so.
func (b *Budget) advance(n int) {
	if n-b.slot >= keptSlots {
		b.requests, b.retries = [keptSlots]int{}, [keptSlots]int{}
		b.slot = n
	}

	for b.slot < n {
		b.slot++
		b.requests[b.slot%keptSlots] = 0
		b.retries[b.slot%keptSlots] = 0
	}
}
