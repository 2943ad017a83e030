package profile

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Calls of one route take 5 ms, those of another one 400 ms. Guards against estimating both at 30 ms: the
// queues of their targets would be taken for much longer or shorter than they are.
func TestCallTimesAreLearnedPerRoute(t *testing.T) {
	var c CallTimes

	for range minCalls - 1 {
		c.Observe("short", 5*time.Millisecond, 1)
	}

	if _, ok := c.Usual("short"); ok {
		t.Error("got a time from too few calls")
	}

	for range 20 {
		c.Observe("short", 5*time.Millisecond, 1)
		c.Observe("long", time.Second, 2.5) // on a slow host
		c.Observe("short", -time.Second, 1)
		c.Observe("short", time.Second, 0)
	}

	tests := []struct {
		route string
		want  time.Duration
	}{{"short", 5 * time.Millisecond}, {"long", 400 * time.Millisecond}}

	for _, tt := range tests {
		if got, ok := c.Usual(tt.route); !ok || got.Round(time.Millisecond) != tt.want {
			t.Errorf("%s: got %v, %v, want %v", tt.route, got, ok, tt.want)
		}
	}

	if _, ok := c.Usual("other"); ok {
		t.Error("got a time without calls")
	}
}

// Engines are compared by the times of their prompts. Guards against a comparison of short prompts, whose
// times are mostly round trips and would make all engines look equally fast.
func TestUsualTimeToTheFirstEvent(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))

	var l RateEstimator

	if _, ok := l.UsualTime(5000); ok {
		t.Error("got a time without observations")
	}

	for range maxSamples {
		tokens := 300 + r.IntN(12_000)
		l.Observe(tokens, firstEventTime(r, tokens, 50))
	}

	tests := []struct {
		tokens int
		wantMs float64
		wantOK bool
	}{{0, 44, false}, {300, 50, false}, {1500, 74, true}, {10_000, 244, true}}

	for _, tt := range tests {
		got, ok := l.UsualTime(tt.tokens)
		if ms := float64(got) / float64(time.Millisecond); ok != tt.wantOK || math.Abs(ms-tt.wantMs) > tt.wantMs/10 {
			t.Errorf("%d tokens: got %.0f ms, %v; want %.0f ms, %v", tt.tokens, ms, ok, tt.wantMs, tt.wantOK)
		}
	}
}
