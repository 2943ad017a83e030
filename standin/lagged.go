package standin

import (
	"sync"
	"time"
)

// maxLag is how far back a Lagged remembers.
const maxLag = 10 * time.Minute

// Lagged holds a value whose readers see it as it was some time ago. The zero
// value is ready.
type Lagged[T any] struct {
	mu      sync.Mutex
	entries []laggedEntry[T]
}

type laggedEntry[T any] struct {
	at    time.Time
	value T
}

// Set sets the value as of now.
func (l *Lagged[T]) Set(now time.Time, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.entries = append(l.entries, laggedEntry[T]{at: now, value: v})

	// The newest entry that is too old is still what a reader sees.
	keep := 0
	for keep+1 < len(l.entries) && now.Sub(l.entries[keep+1].at) > maxLag {
		keep++
	}

	if keep > len(l.entries)/2 {
		l.entries = append([]laggedEntry[T](nil), l.entries[keep:]...)
	}
}

// Get returns the value as it was at now less lag, and since when it was so.
func (l *Lagged[T]) Get(now time.Time, lag time.Duration) (T, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for i := len(l.entries) - 1; i >= 0; i-- {
		if e := l.entries[i]; !e.at.After(now.Add(-lag)) {
			return e.value, e.at
		}
	}

	var zero T

	return zero, time.Time{}
}
