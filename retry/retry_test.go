package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// times are when something was counted, oldest first.
type times []time.Time

// within returns how many of them are behind from, and not behind to.
func (ts times) within(from, to time.Time) int {
	n := 0

	for _, at := range ts {
		if at.After(from) && !at.After(to) {
			n++
		}
	}

	return n
}

// Guards against a retry storm: when targets fail and every request is to be retried, an
// unlimited number of retries would double the load on the remaining targets.
func TestBudgetAgainstOracle(t *testing.T) {
	const window, slot = 10 * time.Second, 500 * time.Millisecond

	rapid.Check(t, func(rt *rapid.T) {
		cfg := BudgetConfig{Ratio: rapid.SampledFrom([]float64{0.1, 0.2, 0.5}).Draw(rt, "ratio"), Floor: 2}
		now := epoch
		b := NewBudget(now, cfg)

		var requests, retries times

		// limit returns how many retries a window may have, in which requests count that are at least
		// margin away from its ends.
		limit := func(from time.Time, margin time.Duration) float64 {
			sum := 0

			for _, back := range []time.Duration{0, window / 2, window} {
				sum += requests.within(from.Add(margin-back), from.Add(window-margin-back))
			}

			return cfg.Ratio*float64(sum)/3 + 2
		}

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"request": func(rt *rapid.T) {
				for range rapid.IntRange(1, 30).Draw(rt, "n") {
					b.CountRequest(now)

					requests = append(requests, now)
				}
			},
			"retry": func(rt *rapid.T) {
				allowed := b.Allow(now)
				if allowed {
					retries = append(retries, now)
				}

				exhausted := false

				for back := time.Duration(0); back <= window+slot; back += 50 * time.Millisecond {
					from := now.Add(-back - time.Nanosecond)

					if got, most := retries.within(from, from.Add(window)), limit(from, 0); allowed && !from.Add(window).Before(now) && float64(got) > most {
						rt.Fatalf("got %d retries in the window that began %v ago, want at most %.1f", got, back, most)
					}

					exhausted = exhausted || float64(retries.within(from.Add(-slot), now)+1) > limit(from, slot)
				}

				if !allowed && !exhausted {
					rt.Fatal("got refused, want the retry allowed: no window is exhausted")
				}
			},
		})
	})
}

// Guards against processes that keep to their budgets each, and exceed the limit together when the load moves
// from one to another, and stops.
func TestBudgetsOfManyProcessesAddUp(t *testing.T) {
	const (
		window, step = 10 * time.Second, 100 * time.Millisecond
		processes    = 5
	)

	budgets := make([]*Budget, processes)
	for i := range budgets {
		budgets[i] = NewBudget(epoch.Add(time.Duration(i)*130*time.Millisecond), BudgetConfig{Window: window, Floor: 1})
	}

	var requests, retries times

	rng := rand.New(rand.NewPCG(1, 1))

	for now := epoch.Add(time.Second); now.Before(epoch.Add(time.Minute)); now = now.Add(step) {
		for _, b := range budgets {
			// The load moves from process to process, and stops now and then.
			for range rng.IntN(8) * rng.IntN(3) * rng.IntN(2) {
				b.CountRequest(now)

				requests = append(requests, now)
			}

			for rng.IntN(20) > 0 && b.Allow(now) {
				retries = append(retries, now)
			}
		}

		from := now.Add(-window)
		most := max(requests.within(from, now), requests.within(from.Add(-window/2), now.Add(-window/2)), requests.within(from.Add(-window), from))

		if got, limit := retries.within(from, now), 0.2*float64(most)+processes; float64(got) > limit {
			t.Fatalf("got %d retries in the window that ends at %v, want at most %.1f", got, now.Sub(epoch), limit)
		}
	}

	if len(retries) < len(requests)/20 {
		t.Errorf("got %d retries for %d requests, want more of them", len(retries), len(requests))
	}
}

// Guards against a process that has just started and refuses retries that a fifth of its requests allow.
func TestUnsharedBudgetCountsRequestsAtOnce(t *testing.T) {
	b := NewBudget(epoch, BudgetConfig{Unshared: true})

	for range 9 {
		b.CountRequest(epoch)
	}

	got := 0
	for b.Allow(epoch.Add(time.Second)) {
		got++
	}

	if want := 4; got != want {
		t.Errorf("got %d retries for nine requests, want %d", got, want)
	}

	if b.Allow(epoch.Add(10 * time.Second)) {
		t.Error("got a retry within the window of those before")
	}
}

// Guards against retries that a link holds up and that arrive together with those of a later window.
func TestRetriesOnTheWayCountUntilTheyArrive(t *testing.T) {
	const window = 10 * time.Second

	b := NewBudget(epoch, BudgetConfig{Window: window, Floor: 2})
	tests := []struct {
		after         time.Duration
		settled, want int
	}{
		{after: 0, want: 2},
		{after: 2 * window, want: 0},
		{after: 0, settled: 1, want: 0},
		{after: window + window/windowSlots, want: 1},
		{after: 0, settled: 2, want: 0},
		{after: window + window/windowSlots, want: 2},
	}

	now := epoch

	for i, tt := range tests {
		now = now.Add(tt.after)

		for range tt.settled {
			b.Settle(now)
		}

		got := 0
		for b.Reserve(now) {
			got++
		}

		if got != tt.want {
			t.Errorf("step %d: got %d retries allowed, want %d", i, got, tt.want)
		}
	}
}

// Guards against an excess of retries: many processes that each took an eighth of the slack, or
// one retry at least, would retry more often than all may together.
func TestProcessesShareTheSlack(t *testing.T) {
	var s Share

	now := epoch
	tests := []struct {
		name      string
		after     time.Duration
		processes int
		inTouch   bool
		want      float64
	}{
		{"alone", 0, 1, true, 6.25},
		{"few", time.Second, 8, true, 6.25},
		{"many", time.Second, 50, true, 1},
		{"others not heard of any more", time.Minute, 2, true, 1},
		{"cut off", time.Second, 2, false, 0},
		{"fewer for long", time.Hour, 8, true, 6.25},
		{"all of a large fleet", time.Second, 400, true, 0.125},
	}

	for _, tt := range tests {
		now = now.Add(tt.after)
		s.Set(now, tt.processes, tt.inTouch)

		if got := s.Of(100); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
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
