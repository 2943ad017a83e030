// Package profile learns from a fleet's own work how fast its engines read prompts
// and what a usual prompt asks of them.
//
// # Model
//
// Deployments differ by a factor of ten in what an engine reads in a ms and in how long
// prompts are, and nobody tells either. A decision that weighs waiting against reading
// needs both, so they are learned from answers: a Reader fits the time to the first
// event of prompts that found their engine with nothing else to read, and a Mean keeps
// a moving mean. A learner that has seen too little says so, and the decision then goes
// by its own safe default.
//
// # Example
//
//	var r profile.Reader
//	r.Observe(4260, 85*time.Millisecond)
//	if rate, ok := r.TokensPerMs(); ok { … }
package profile

import (
	"slices"
	"sync"
	"time"
)

// Bounds of what a Reader keeps.
const (
	// keptSamples is how many observations count: the last few seconds of an entry's
	// prompts, which cover short and long ones.
	keptSamples = 64
	// leastSamples is how many there have to be before the rate is told.
	leastSamples = 6
	// refitAfter is how many new observations make a new fit worth its time, some 20 us.
	refitAfter = 4
	// leastApart is by how many tokens two prompts have to differ for their times to
	// tell the rate: reading them takes longer than the times vary by chance.
	leastApart = 500
	// leastPairs is how many such pairs there have to be.
	leastPairs = 8
)

// Reader learns how fast engines read prompts. The zero value has learned nothing; its
// methods may be called from many goroutines.
//
// The rate is the median of the slopes between all pairs of observations (Theil 1950,
// Sen 1968): up to a quarter of the observations may be wrong, as of a prompt that had
// to wait after all or that the engine had already, without moving it much.
type Reader struct {
	mu      sync.Mutex
	samples []sample
	next    int // where the next one goes, once keptSamples are there
	fresh   int // since the last fit
	rate    float64
}

// sample is one prompt that was read.
type sample struct {
	tokens int
	ms     float64
}

// Observe takes that a prompt of which an engine had to read so many tokens, and which
// found it with nothing else to read, had its first event after so long.
func (r *Reader) Observe(tokens int, first time.Duration) {
	s := sample{tokens, float64(first) / float64(time.Millisecond)}

	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.samples) < keptSamples {
		r.samples = append(r.samples, s)
	} else {
		r.samples[r.next] = s
		r.next = (r.next + 1) % keptSamples
	}

	r.fresh++
	if r.fresh >= refitAfter && len(r.samples) >= leastSamples {
		r.fresh = 0
		r.fit()
	}
}

// fit sets the rate. One that makes no sense leaves the last one. The caller holds mu.
func (r *Reader) fit() {
	var slopes []float64

	for i, a := range r.samples {
		for _, b := range r.samples[:i] {
			if d := a.tokens - b.tokens; d >= leastApart || d <= -leastApart {
				slopes = append(slopes, (a.ms-b.ms)/float64(d))
			}
		}
	}

	if len(slopes) < leastPairs {
		return
	}

	slices.Sort(slopes)

	if m := slopes[len(slopes)/2]; m > 0 {
		r.rate = 1 / m
	}
}

// TokensPerMs returns the rate; ok is false while too little was seen.
func (r *Reader) TokensPerMs() (rate float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rate, r.rate > 0
}

// meanWeight is the weight of one more value: the mean follows the last hundred or so,
// a few seconds of an entry's requests.
const meanWeight = 0.01

// Mean is a moving mean. The zero value has seen nothing; its methods may be called
// from many goroutines.
type Mean struct {
	mu    sync.Mutex
	seen  int
	value float64
}

// Observe takes a value.
func (m *Mean) Observe(v float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.seen++
	// The first values weigh alike.
	m.value += (v - m.value) * max(meanWeight, 1/float64(m.seen))
}

// Value returns the mean; ok is false while nothing was seen.
func (m *Mean) Value() (v float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.value, m.seen > 0
}
