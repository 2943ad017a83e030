package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// Guards against a retry storm: when targets fail and every request is to be retried, an
// unlimited number of retries would double the load on the remaining targets.
func TestBudgetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := BudgetConfig{Ratio: rapid.SampledFrom([]float64{0.1, 0.2, 0.5}).Draw(rt, "ratio"), Floor: 2}
		b := NewBudget(cfg)
		now := epoch

		var firstAttempts, retries []time.Time

		within := func(times []time.Time, span time.Duration) int {
			n := 0

			for _, at := range times {
				if now.Sub(at) < span {
					n++
				}
			}

			return n
		}

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"first": func(*rapid.T) {
				b.CountFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
			},
			"repeat": func(rt *rapid.T) {
				allowed := b.Allow(now)
				if allowed {
					retries = append(retries, now)
				}

				// The budget's window advances by a tenth of its length at a time.
				short, long := 9*time.Second, 10*time.Second
				if got, limit := within(retries, short), cfg.Ratio*float64(within(firstAttempts, long))+2; allowed && float64(got) > limit {
					rt.Fatalf("retries: got %d in the window, want at most %.1f", got, limit)
				}

				if got, limit := within(retries, long)+1, cfg.Ratio*float64(within(firstAttempts, short))+2; !allowed && float64(got) <= limit {
					rt.Fatalf("got refused with %d retries in the window, want up to %.1f allowed", got, limit)
				}
			},
		})
	})
}

func TestMay(t *testing.T) {
	cases := []struct {
		name string
		a    Attempt
		want bool
	}{
		{"idempotent, target lost", Attempt{Idempotent: true, Sent: true, Kind: failure.TargetLost, Number: 1, MaxAttempts: 3}, true},
		{"idempotent, attempts used up", Attempt{Idempotent: true, Sent: true, Kind: failure.TargetLost, Number: 3, MaxAttempts: 3}, false},
		{"idempotent, partly answered", Attempt{Idempotent: true, Sent: true, Kind: failure.TargetLost, Number: 1, MaxAttempts: 3, Answered: true}, false},
		{"idempotent, bad request", Attempt{Idempotent: true, Sent: true, Kind: failure.BadRequest, Number: 1, MaxAttempts: 3}, false},
		{"idempotent, deadline exceeded", Attempt{Idempotent: true, Sent: true, Kind: failure.Timeout, Number: 1, MaxAttempts: 3}, false},
		{"idempotent, quarantined", Attempt{Idempotent: true, Sent: true, Kind: failure.Quarantined, Number: 1, MaxAttempts: 3}, false},
		{"booking, target lost", Attempt{Sent: true, Kind: failure.TargetLost, Number: 1, MaxAttempts: 3}, false},
		{"booking, never sent", Attempt{Kind: failure.TargetLost, Number: 1, MaxAttempts: 3}, true},
		{"booking, refused as draining", Attempt{Sent: true, Kind: failure.Draining, Number: 1, MaxAttempts: 3}, true},
		{"booking, malformed answer", Attempt{Sent: true, Kind: failure.BadMessage, Number: 1, MaxAttempts: 3}, false},
		{"booking, log unavailable", Attempt{Sent: true, Kind: failure.LogUnavailable, Number: 1, MaxAttempts: 3}, false},
		{"booking, outcome unknown", Attempt{Sent: true, Kind: failure.OutcomeUnknown, Number: 1, MaxAttempts: 3}, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := MayRetry(c.a); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against charging a booking twice: a booking whose target became unresponsive may
// have been executed, so it may be retried only after a failure that guarantees that nothing ran.
func TestBookingIsRetriedOnlyIfNothingRan(t *testing.T) {
	for _, k := range failure.Kinds() {
		got := MayRetry(Attempt{Sent: true, Kind: k, Number: 1, MaxAttempts: 9})
		if got && k.Response().Ran != failure.NotRun {
			t.Errorf("%v: got a retry, want none: it may have run", k)
		}
	}
}

func TestMayHedge(t *testing.T) {
	late := Hedge{Idempotent: true, Waited: 2 * time.Second, TypicalWait: time.Second, TimeLeft: time.Second}
	booking, suspect, hedged, early := late, late, late, late
	booking.Idempotent = false
	suspect.Suspect = true
	hedged.Hedged = true
	early.Waited = time.Second / 2

	cases := []struct {
		name string
		h    Hedge
		want bool
	}{
		{"late", late, true},
		{"not idempotent", booking, false},
		{"suspect", suspect, false},
		{"hedged before", hedged, false},
		{"not late yet", early, false},
		{"no data", Hedge{}, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := MayHedge(c.h); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	cfg := BackoffConfig{Initial: 20 * time.Millisecond, Max: 100 * time.Millisecond}

	for n, bound := range []time.Duration{20, 20, 40, 80, 100, 100} {
		got := cfg.Backoff(n, rng)
		if got < bound*time.Millisecond/2 || got > bound*time.Millisecond {
			t.Errorf("attempt %d: got %v, want between half and the whole of %v ms", n, got, bound)
		}
	}
}

// Guards against a schedule that runs ahead of the time within which its callers have to return:
// all later ones would be told to return at the end of that time.
func TestSlotsBeyondTheLatestReturnStayFree(t *testing.T) {
	var s Schedule

	tests := []struct{ latest, want time.Duration }{
		{time.Second, 100 * time.Millisecond},
		{time.Second, 200 * time.Millisecond},
		{250 * time.Millisecond, 250 * time.Millisecond},
		{-time.Second, 0},
		{time.Second, 300 * time.Millisecond},
	}

	for i, tt := range tests {
		if got := s.NextSlotWithin(epoch, 100*time.Millisecond, 100*time.Millisecond, tt.latest); got != tt.want {
			t.Errorf("caller %d: got %v, want %v", i, got, tt.want)
		}
	}
}
