package retry

import (
	"math/rand/v2"
	"time"
)

// BackoffConfig configures the waits between attempts. Zero values get a default.
type BackoffConfig struct {
	// First is the longest wait before the second attempt. 20 ms when zero.
	First time.Duration
	// Most is the longest wait of all. 1 s when zero.
	Most time.Duration
}

// Backoff returns the wait after attempt number n (from 1): between half and
// the whole of a bound that doubles, so that requests which failed together
// don't come back together. The same rng gives the same waits.
func (c BackoffConfig) Backoff(n int, rng *rand.Rand) time.Duration {
	first, most := c.First, c.Most
	if first <= 0 {
		first = 20 * time.Millisecond
	}

	if most <= 0 {
		most = time.Second
	}

	bound := min(first<<min(max(n-1, 0), maxDoublings), most)

	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
}

const maxDoublings = 16
