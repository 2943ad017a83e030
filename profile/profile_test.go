package profile

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// after returns the time to the first event of a prompt on an engine: 40 ms before its
// reading, and up to 8 ms more by chance.
func after(r *rand.Rand, tokens int, tokensPerMs float64) time.Duration {
	ms := 40 + 8*r.Float64() + float64(tokens)/tokensPerMs

	return time.Duration(ms * float64(time.Millisecond))
}

// Engines of the three deployments known read 51, 64 and 157 tokens a ms, those of two
// years from now perhaps 500; their prompts have 80 to 17,000 tokens to read.
func TestReadingRateIsLearned(t *testing.T) {
	for _, want := range []float64{51, 64, 157, 500} {
		r := rand.New(rand.NewPCG(1, uint64(want)))

		var l Reader

		for range keptSamples {
			tokens := 80 + r.IntN(400)
			if r.IntN(4) == 0 {
				tokens = 2000 + r.IntN(15_000)
			}

			l.Observe(tokens, after(r, tokens, want))
		}

		if got, ok := l.TokensPerMs(); !ok || math.Abs(got-want) > want/5 {
			t.Errorf("got %.0f tokens a ms, %v; want %.0f", got, ok, want)
		}
	}
}

// Now and then a prompt has to wait though its engine seemed to have nothing to do,
// or the engine had a part already that nobody told of. Taken at its word, one such
// answer would have prompts wait for engines that are ten times slower.
func TestReadingRateStandsMisleadingAnswers(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))

	var l Reader

	for i := range 4 * keptSamples {
		tokens := 300 + r.IntN(12_000)
		took := after(r, tokens, 157)

		switch i % 10 {
		case 3:
			took += 400 * time.Millisecond
		case 6:
			took = after(r, 0, 157)
		}

		l.Observe(tokens, took)
	}

	if got, ok := l.TokensPerMs(); !ok || got < 110 || got > 220 {
		t.Errorf("got %.0f tokens a ms, %v; want about 157", got, ok)
	}
}

func TestNothingIsToldBeforeEnoughWasSeen(t *testing.T) {
	var l Reader

	for range leastSamples - 1 {
		l.Observe(5000, time.Second)
	}

	if got, ok := l.TokensPerMs(); ok {
		t.Errorf("after few prompts: got %v, want nothing", got)
	}

	var alike Reader

	for range keptSamples {
		alike.Observe(100, 50*time.Millisecond)
		alike.Observe(120, 40*time.Millisecond)
	}

	if got, ok := alike.TokensPerMs(); ok {
		t.Errorf("after prompts of one length: got %v, want nothing", got)
	}
}

func TestMeanFollowsWhatComes(t *testing.T) {
	var m Mean

	if _, ok := m.Value(); ok {
		t.Error("got a mean of nothing")
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
