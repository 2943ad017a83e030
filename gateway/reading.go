package gateway

import (
	"sync"
	"time"
)

// reading remembers which engine was last given a long part to read. The zero value
// is empty.
//
// Until a part is read, neither stores nor the engine tell of it, for half a second
// to a second. A second prompt with the same part that goes to another engine
// meanwhile has it read twice.
type reading struct {
	mu    sync.Mutex
	parts map[uint64]reader
}

type reader struct {
	engine string
	at     time.Time
}

const (
	// readingMost is how long a part is taken to be read: by then the engine tells
	// of it, or has failed.
	readingMost = 1500 * time.Millisecond
	// maxReading bounds the parts remembered.
	maxReading = 4096
)

// begin notes that an engine is given a part to read.
func (r *reading) begin(now time.Time, key uint64, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.parts == nil || len(r.parts) >= maxReading {
		r.parts = make(map[uint64]reader)
	}

	r.parts[key] = reader{engine, now}
}

// by returns the engine that is reading a part; empty for none.
func (r *reading) by(now time.Time, key uint64) string {
	r.mu.Lock()
	defer r.mu.Unlock()

	x, ok := r.parts[key]
	if !ok || now.Sub(x.at) > readingMost {
		return ""
	}

	return x.engine
}

// forget takes that an engine reads nothing of what it was given.
func (r *reading) forget(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for key, x := range r.parts {
		if x.engine == engine {
			delete(r.parts, key)
		}
	}
}
