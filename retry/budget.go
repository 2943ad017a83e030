// Package retry decides which requests may be retried, how often and when.
//
// # Model
//
// A retry helps one request, but in a fault that affects many it doubles the load on the
// remaining targets. So a Budget limits retries and hedges to a ratio of the first attempts
// in a window, plus a small floor: an outage adds no more load than that, however many
// requests fail. MayRetry reports whether the rules allow a retry at all: an idempotent
// request may be retried on another target; any other only when it is certain that nothing
// ran.
//
// # Example
//
//	b.CountFirstAttempt(now)
//	…
//	if retry.MayRetry(attempt) && b.Allow(now) {
//		wait := cfg.Backoff(attempt.Number, rng)
//	}
package retry

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget. Zero values get a default.
type BudgetConfig struct {
	// Ratio is the maximum ratio of retries to first attempts. 0.2 when zero.
	Ratio float64
	// Window is the period over which both are counted. 10 s when zero.
	Window time.Duration
	// Floor is the number of retries allowed per window in addition to Ratio, so that an
	// entry with few requests can retry at all. 3 when zero, none when negative.
	Floor int
}

// windowSlots is the number of slots into which the window is divided.
const windowSlots = 10

// Budget limits retries to a ratio of first attempts. Use NewBudget. Its methods are safe
// for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu            sync.Mutex
	slot          int64 // number of the newest slot
	firstAttempts [windowSlots]int
	retries       [windowSlots]int
}

// NewBudget returns a Budget with no attempts counted.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Ratio == 0 {
		cfg.Ratio = 0.2
	}

	if cfg.Window <= 0 {
		cfg.Window = 10 * time.Second
	}

	if cfg.Floor == 0 {
		cfg.Floor = 3
	}

	return &Budget{cfg: cfg}
}

// SetFloor changes the number of retries allowed per window in addition to Ratio, as when
// the number of entries that share it changes. Zero or less allows none.
func (b *Budget) SetFloor(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cfg.Floor = n
}

// CountFirstAttempt counts a first attempt.
func (b *Budget) CountFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.firstAttempts[b.advance(now)]++
}

// Allow reports whether the budget allows one more retry, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	i := b.advance(now)
	if float64(sum(b.retries)+1) > b.cfg.Ratio*float64(sum(b.firstAttempts))+float64(max(b.cfg.Floor, 0)) {
		return false
	}

	b.retries[i]++

	return true
}

// Usage returns the retries counted in the window and how many are allowed there.
func (b *Budget) Usage(now time.Time) (used int, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.advance(now)

	return sum(b.retries), b.cfg.Ratio*float64(sum(b.firstAttempts)) + float64(max(b.cfg.Floor, 0))
}

// advance clears the slots that have expired and returns the index of the current one. When
// the clock goes back, the newest slot remains the current one.
func (b *Budget) advance(now time.Time) int {
	n := now.UnixNano() / int64(b.cfg.Window/windowSlots)
	if n-b.slot >= windowSlots {
		b.firstAttempts, b.retries = [windowSlots]int{}, [windowSlots]int{}
		b.slot = n
	}

	for b.slot < n {
		b.slot++
		b.firstAttempts[b.slot%windowSlots] = 0
		b.retries[b.slot%windowSlots] = 0
	}

	return int(b.slot % windowSlots)
}

func sum(counts [windowSlots]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}

	return n
}
