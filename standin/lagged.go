package standin

import (
	"sync"
	"time"
)

// lagHistory is how long a Lagged keeps past values.
const lagHistory = 10 * time.Minute

// Lagged holds a value that readers see with a delay. The zero value is ready to use.
type Lagged[T any] struct {
	mu      sync.Mutex
	entries []laggedEntry[T]
}

type laggedEntry[T any] struct {
	at    time.Time
	value T
}

// Set records v as the value from now on.
func (l *Lagged[T]) Set(now time.Time, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.entries = append(l.entries, laggedEntry[T]{at: now, value: v})

	// The newest entry older than lagHistory is still visible to a reader.
	first := 0
	for first+1 < len(l.entries) && now.Sub(l.entries[first+1].at) > lagHistory {
		first++
	}

	if first > len(l.entries)/2 {
		l.entries = append([]laggedEntry[T](nil), l.entries[first:]...)
	}
}

// Get returns the value as it was lag before now, and the time it was set. Both are zero
// if nothing had been set by then.
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
