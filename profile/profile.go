// Package profile learns from the requests of a fleet how fast its engines prefill prompts
// and what a typical prompt requires of them.
//
// # Model
//
// Deployments differ by a factor of ten in the prefill rate of an engine and in the length
// of prompts, and neither is configured or reported. A decision between waiting and
// recomputing needs both, so they are learned from responses: a RateEstimator fits the times
// to the first event of prompts whose engine had nothing else to prefill, and a Mean keeps a
// moving mean. Both report when they have too few values; the decision then uses its own
// safe default.
//
// # Example
//
//	var r profile.RateEstimator
//	r.Observe(4260, 85*time.Millisecond)
//	if rate, ok := r.TokensPerMs(); ok { … }
package profile

import (
	"slices"
	"sync"
	"time"
)

// Parameters of a RateEstimator.
const (
	// maxSamples is the number of most recent observations in the fit: the last few seconds
	// of an entry's prompts, which include short and long ones.
	maxSamples = 64
	// minSamples is the number of observations before the first fit.
	minSamples = 6
	// refitInterval is the number of new observations between fits, since a fit takes some
	// 20 us.
	refitInterval = 4
	// minTokenDifference is the difference in tokens from which two prompts contribute to
	// the fit: their times then differ by more than the random variation.
	minTokenDifference = 500
	// minPairs is the number of such pairs that a fit needs.
	minPairs = 8
)

// RateEstimator estimates how fast engines prefill prompts. The zero value has no
// observations; its methods are safe for concurrent use.
//
// The rate is the inverse of the median of the slopes between all pairs of observations
// (Theil 1950, Sen 1968). Up to a quarter of the observations may be wrong without moving it
// much, such as those of prompts that had to wait after all or whose parts the engine had
// already.
type RateEstimator struct {
	mu       sync.Mutex
	samples  []sample
	next     int // index to overwrite next, once there are maxSamples
	sinceFit int // observations since the last fit
	rate     float64
	// overheadMs is the usual time in ms to the first event beyond the prefill.
	overheadMs float64
}

// sample is the observation of one prompt.
type sample struct {
	tokens int
	ms     float64
}

// Observe records the time to the first event of a prompt with a number of tokens to prefill,
// on an engine that had nothing else to prefill.
func (r *RateEstimator) Observe(tokens int, first time.Duration) {
	s := sample{tokens, float64(first) / float64(time.Millisecond)}

	r.mu.Lock()
	defer r.mu.Unlock()

	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, s)
	} else {
		r.samples[r.next] = s
		r.next = (r.next + 1) % maxSamples
	}

	r.sinceFit++
	if r.sinceFit >= refitInterval && len(r.samples) >= minSamples {
		r.sinceFit = 0
		r.fit()
	}
}

// fit sets the rate; it keeps the last one if there are too few pairs or the median slope is
// not positive. The caller holds mu.
func (r *RateEstimator) fit() {
	var slopes []float64

	for i, a := range r.samples {
		for _, b := range r.samples[:i] {
			if d := a.tokens - b.tokens; d >= minTokenDifference || d <= -minTokenDifference {
				slopes = append(slopes, (a.ms-b.ms)/float64(d))
			}
		}
	}

	if len(slopes) < minPairs {
		return
	}

	slices.Sort(slopes)

	m := slopes[len(slopes)/2]
	if m <= 0 {
		return
	}

	r.rate = 1 / m

	rest := slopes[:0]
	for _, s := range r.samples {
		rest = append(rest, s.ms-m*float64(s.tokens))
	}

	slices.Sort(rest)
	r.overheadMs = max(rest[len(rest)/2], 0)
}

// TokensPerMs returns the rate, and false if there are too few observations.
func (r *RateEstimator) TokensPerMs() (rate float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.rate, r.rate > 0
}

// minPrefillShare is the part of the usual time to the first event that prefill takes at least, for that
// time to tell the speed of an engine. The rest depends on the engine only in part.
const minPrefillShare = 1.0 / 3

// UsualTime returns the usual time to the first event of a prompt with a number of tokens to prefill, on
// an engine that has nothing else to prefill. It returns false if there are too few observations, or if
// the prompt is so short that its time doesn't tell the speed of its engine.
func (r *RateEstimator) UsualTime(tokens int) (usual time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.rate <= 0 {
		return 0, false
	}

	prefillMs := float64(tokens) / r.rate
	ms := prefillMs + r.overheadMs

	return time.Duration(ms * float64(time.Millisecond)), prefillMs > 0 && prefillMs >= minPrefillShare*ms
}

// meanWeight is the weight of a new value. The mean follows about the last hundred values, a
// few seconds of an entry's requests.
const meanWeight = 0.01

// Mean is a moving mean. The zero value has no observations; its methods are safe for
// concurrent use.
type Mean struct {
	mu    sync.Mutex
	count int
	value float64
}

// Observe adds a value.
func (m *Mean) Observe(v float64) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.count++
	// The first values have equal weights.
	m.value += (v - m.value) * max(meanWeight, 1/float64(m.count))
}

// Value returns the mean, and false if there are no observations.
func (m *Mean) Value() (v float64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.value, m.count > 0
}

// Count returns the number of observations.
func (m *Mean) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.count
}
