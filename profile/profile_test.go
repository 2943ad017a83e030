package profile

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// firstEventTime returns the time to the first event of a prompt on an engine: 40 ms before
// the prefill, the prefill, and up to 8 ms of random variation.
func firstEventTime(r *rand.Rand, tokens int, tokensPerMs float64) time.Duration {
	ms := 40 + 8*r.Float64() + float64(tokens)/tokensPerMs

	return time.Duration(ms * float64(time.Millisecond))
}

// Engines of the three known deployments prefill 51, 64 and 157 tokens a ms, and those of two
// years from now perhaps 500. Their prompts have 80 to 17,000 tokens to prefill.
func TestPrefillRateIsEstimated(t *testing.T) {
	for _, want := range []float64{51, 64, 157, 500} {
		r := rand.New(rand.NewPCG(1, uint64(want)))

		var l RateEstimator

		for range maxSamples {
			tokens := 80 + r.IntN(400)
			if r.IntN(4) == 0 {
				tokens = 2000 + r.IntN(15_000)
			}

			l.Observe(tokens, firstEventTime(r, tokens, want))
		}

		if got, ok := l.TokensPerMs(); !ok || math.Abs(got-want) > want/5 {
			t.Errorf("got %.0f tokens a ms, %v; want %.0f", got, ok, want)
		}
	}
}

// Guards against an estimate that follows outliers: a prompt may have to wait although its
// engine seemed to be idle, or the engine may have held a part already that was not reported.
// Following one such response would make prompts wait for engines that are ten times slower.
func TestPrefillRateIsRobustToOutliers(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))

	var l RateEstimator

	for i := range 4 * maxSamples {
		tokens := 300 + r.IntN(12_000)
		took := firstEventTime(r, tokens, 157)

		switch i % 10 {
		case 3:
			took += 400 * time.Millisecond
		case 6:
			took = firstEventTime(r, 0, 157)
		}

		l.Observe(tokens, took)
	}

	if got, ok := l.TokensPerMs(); !ok || got < 110 || got > 220 {
		t.Errorf("got %.0f tokens a ms, %v; want about 157", got, ok)
	}
}

func TestRateIsUnknownWithTooFewSamples(t *testing.T) {
	var l RateEstimator

	for range minSamples - 1 {
		l.Observe(5000, time.Second)
	}

	if got, ok := l.TokensPerMs(); ok {
		t.Errorf("too few prompts: got %v, want no rate", got)
	}

	var sameLength RateEstimator

	for range maxSamples {
		sameLength.Observe(100, 50*time.Millisecond)
		sameLength.Observe(120, 40*time.Millisecond)
	}

	if got, ok := sameLength.TokensPerMs(); ok {
		t.Errorf("prompts of similar length: got %v, want no rate", got)
	}
}

func TestMeanFollowsRecentValues(t *testing.T) {
	var m Mean

	if _, ok := m.Value(); ok {
		t.Error("got a mean without observations")
	}

	m.Observe(10)
	m.Observe(20)

	if got, _ := m.Value(); got != 15 {
		t.Errorf("got %v, want 15", got)
	}

	for range 1000 {
		m.Observe(100)
	}

	if got, _ := m.Value(); got < 99 {
		t.Errorf("got %v, want about 100", got)
	}
}
