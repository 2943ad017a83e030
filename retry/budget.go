// Package retry decides what may be repeated, how often and when.
//
// # Model
//
// A retry helps one request and, in a fault that hits many, doubles the load on
// what is left. So a Budget bounds retries and hedges to a part of the first
// attempts in a window: an outage then costs the fleet that part and no more,
// however many requests fail. May tells whether the rules allow a repeat at
// all: an idempotent request may be repeated elsewhere; any other only when it
// is certain that nothing ran.
//
// # Example
//
//	b.First(now)
//	…
//	if retry.May(attempt) && b.Allow(now) {
//		wait := cfg.Backoff(attempt.Number, rng)
//	}
package retry

import (
	"sync"
	"time"
)

// BudgetConfig configures a Budget. Zero values get a default.
type BudgetConfig struct {
	// Ratio is the largest part of first attempts that may be repeated. 0.2 when zero.
	Ratio float64
	// Window is the time over which both are counted. 10 s when zero.
	Window time.Duration
	// Floor is how many repeats a window allows however few first attempts
	// there were, so that a quiet entry can repeat at all. 3 when zero, none when negative.
	Floor int
}

// slots is the number of parts of the window.
const slots = 10

// Budget bounds repeats to a part of first attempts. Use NewBudget. Its methods
// may be called from many goroutines.
type Budget struct {
	cfg BudgetConfig

	mu      sync.Mutex
	slot    int64 // number of the newest slot
	firsts  [slots]int
	repeats [slots]int
}

// NewBudget returns a Budget without history.
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

// SetFloor changes how many repeats a window allows besides the part of first
// attempts, as when the number of entries that share them changes.
func (b *Budget) SetFloor(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.cfg.Floor = n
}

// First counts a first attempt.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.firsts[b.advance(now)]++
}

// Allow reports whether one more repeat fits, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	i := b.advance(now)
	if float64(sum(b.repeats)+1) > b.cfg.Ratio*float64(sum(b.firsts))+float64(max(b.cfg.Floor, 0)) {
		return false
	}

	b.repeats[i]++

	return true
}

// advance empties the slots that have passed and returns the present one. A
// clock that goes back stays in the newest slot.
func (b *Budget) advance(now time.Time) int {
	n := now.UnixNano() / int64(b.cfg.Window/slots)
	if n-b.slot >= slots {
		b.firsts, b.repeats = [slots]int{}, [slots]int{}
		b.slot = n
	}

	for b.slot < n {
		b.slot++
		b.firsts[b.slot%slots] = 0
		b.repeats[b.slot%slots] = 0
	}

	return int(b.slot % slots)
}

func sum(counts [slots]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}

	return n
}
