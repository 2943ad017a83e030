package retry

import (
	"math/rand/v2"
	"time"
)

// BackoffConfig configures the delays between attempts. Zero values get a default.
type BackoffConfig struct {
	// Initial is the maximum delay before the second attempt. 20 ms when zero.
	Initial time.Duration
	// Max is the maximum delay before any attempt. 1 s when zero.
	Max time.Duration
}

// Backoff returns the delay after attempt number n, counted from 1: a random value between
// half and the whole of a bound that doubles with each attempt up to Max. The jitter keeps
// requests that failed together from being retried together. The same rng gives the same
// delays.
func (c BackoffConfig) Backoff(n int, rng *rand.Rand) time.Duration {
	initial, limit := c.Initial, c.Max
	if initial <= 0 {
		initial = 20 * time.Millisecond
	}

	if limit <= 0 {
		limit = time.Second
	}

	bound := min(initial<<min(max(n-1, 0), maxDoublings), limit)

	return bound/2 + time.Duration(rng.Int64N(int64(bound/2)+1))
}

const maxDoublings = 16
