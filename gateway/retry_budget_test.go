package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/quarantine"
)

// Bounds of the model: what all entries together may repeat in any window, see retryFleet.check.
const (
	modelRatio  = 0.2
	modelSlack  = 52
	modelWindow = 10 * time.Second
	// modelMemory is how long an entry counts others from which it hears nothing.
	modelMemory = 20 * time.Second
	// modelContact is how long after an entry heard of another one it counts as in touch.
	modelContact = 4 * time.Second
	// modelOwnRatio is the part of the ratio that each entry uses.
	modelOwnRatio = 0.9
)

const modelService = "s"

// retryFleet models entries that share a retry budget: they start and end at any time, and hear of each
// other while they aren't cut off.
type retryFleet struct {
	now      time.Time
	entries  []*retryEntry
	requests []time.Time // when callers sent them
	repeats  []time.Time // when they arrived at a target
	names    int
}

type retryEntry struct {
	name    string
	gateway *Gateway
	cut     bool
	alone   bool // whether it has been told of no other entry at its start
	heard   map[string]time.Time
}

func newRetryFleet(entries int) *retryFleet {
	f := &retryFleet{now: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}

	for range entries {
		f.join(true)
	}

	f.entries[0].alone = entries == 1

	return f
}

func (f *retryFleet) newGateway(first bool) *Gateway {
	return New(Config{Start: f.now, FirstStart: first, RetryRatio: modelRatio * modelOwnRatio, RetryWindow: modelWindow, RetrySlack: modelSlack, Crashes: quarantine.NewTracker(quarantine.TrackerConfig{})}, nil, nil)
}

// join adds an entry; first is true if the whole fleet starts for the first time.
func (f *retryFleet) join(first bool) {
	f.names++
	f.entries = append(f.entries, &retryEntry{name: fmt.Sprint(f.names), gateway: f.newGateway(first), heard: make(map[string]time.Time)})
}

// restart starts an entry anew, which forgets everything.
func (f *retryFleet) restart(e *retryEntry) {
	e.gateway, e.heard = f.newGateway(false), make(map[string]time.Time)
}

// pass lets time pass, in which entries hear of each other.
func (f *retryFleet) pass(d time.Duration) {
	const step = 250 * time.Millisecond

	for ; d > 0; d -= step {
		f.now = f.now.Add(min(d, step))

		for _, e := range f.entries {
			for _, other := range f.entries {
				if other != e && !e.cut && !other.cut {
					e.heard[other.name] = f.now
				}
			}

			n, inTouch := 1, e.alone

			for _, at := range e.heard {
				if f.now.Sub(at) <= modelMemory {
					n++
				}

				inTouch = inTouch || f.now.Sub(at) <= modelContact
			}

			e.gateway.SetEntryCount(f.now, n, inTouch)
		}
	}
}

// request lets callers send requests to an entry.
func (f *retryFleet) request(e *retryEntry, n int) {
	for range n {
		f.requests = append(f.requests, f.now)
		e.gateway.retryBudget(modelService).CountRequest(f.now)
	}
}

// repeat lets an entry send as many repeats as it may, n at most.
func (f *retryFleet) repeat(e *retryEntry, n int) {
	for range n {
		if !e.gateway.retryBudget(modelService).Allow(f.now) {
			return
		}

		f.repeats = append(f.repeats, f.now)
	}
}

// count returns how many of times are behind from, and not behind to.
func count(times []time.Time, from, to time.Time) int {
	n := 0

	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}

	return n
}

// check fails if more repeats arrived in the window that ends now, or in any that begins just before one
// of them, than the requests of that window, the one before it or the one half a window before it allow.
func (f *retryFleet) check(rt *rapid.T) {
	for _, first := range f.repeats {
		if f.now.Sub(first) > 2*modelWindow {
			continue
		}

		from := first.Add(-time.Nanosecond)
		got, most := count(f.repeats, from, from.Add(modelWindow)), 0

		for _, back := range []time.Duration{0, modelWindow / 2, modelWindow} {
			most = max(most, count(f.requests, from.Add(-back), from.Add(-back).Add(modelWindow)))
		}

		// Requests of the window's rest may still come.
		if limit := modelRatio*float64(most) + modelSlack; float64(got) > limit && !from.Add(modelWindow).After(f.now) {
			rt.Fatalf("from %v on: got %d repeats in %v for %d requests, want at most %.1f", first, got, modelWindow, most, limit)
		}
	}
}

// Guards against entries that together repeat more than they may: each keeps to its share, but those that
// start again have forgotten what they used, those that join or are cut off count others that aren't there,
// and a share goes on when the requests that it came from have ended.
func TestRepeatsOfAllEntriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newRetryFleet(rapid.SampledFrom([]int{1, 2, 4, 6, 12, 40}).Draw(rt, "entries"))
		drawn := func() *retryEntry { return rapid.SampledFrom(f.entries).Draw(rt, "entry") }
		f.pass(rapid.SampledFrom([]time.Duration{0, modelWindow, 3 * modelWindow}).Draw(rt, "before"))

		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) { f.check(rt) },
			"pass": func(rt *rapid.T) {
				f.pass(time.Duration(rapid.IntRange(1, 11000).Draw(rt, "ms")) * time.Millisecond)
			},
			"requests": func(rt *rapid.T) {
				for _, e := range f.entries {
					f.request(e, rapid.IntRange(0, 30).Draw(rt, "n"))
				}
			},
			"requests_at_one":   func(rt *rapid.T) { f.request(drawn(), rapid.IntRange(1, 200).Draw(rt, "n")) },
			"outbreak":          func(*rapid.T) { f.outbreak() },
			"outbreak_at_one":   func(*rapid.T) { f.repeat(drawn(), 1000) },
			"restart":           func(*rapid.T) { f.restart(drawn()) },
			"restart_all":       func(*rapid.T) { f.restartAll() },
			"outbreak_restarts": func(*rapid.T) { f.outbreak(); f.restartAll() },
			"join": func(rt *rapid.T) {
				for range rapid.IntRange(1, len(f.entries)).Draw(rt, "n") {
					f.join(false)
				}
			},
			"leave": func(rt *rapid.T) {
				if len(f.entries) > 1 {
					f.entries = f.entries[rapid.IntRange(1, len(f.entries)-1).Draw(rt, "n"):]
				}
			},
			"cut":  func(*rapid.T) { drawn().cut = true },
			"heal": func(*rapid.T) { drawn().cut = false },
			"split": func(*rapid.T) {
				for _, e := range f.entries {
					e.cut = true
				}
			},
		})

		f.pass(modelWindow)
		f.check(rt)
	})
}

// outbreak lets all entries repeat as much as they may.
func (f *retryFleet) outbreak() {
	for _, e := range f.entries {
		f.repeat(e, 1000)
	}
}

func (f *retryFleet) restartAll() {
	for _, e := range f.entries {
		f.restart(e)
	}
}

// Guards against entries that start again and again while targets refuse requests, and each time have a
// floor of repeats that they used before.
func TestStartsHaveNoFloorOfTheirOwn(t *testing.T) {
	const entries, starts = 6, 6

	f := newRetryFleet(entries)
	f.pass(2 * modelWindow)

	for range starts {
		f.outbreak()
		f.restartAll()
		f.pass(modelWindow / (starts + 1))
	}

	if got, want := len(f.repeats), modelSlack; got > want {
		t.Errorf("got %d repeats without any request within %v, want at most %d", got, modelWindow, want)
	}
}

// Guards against a budget that is whole again before its window has passed: two outbreaks a little less than
// a window apart would each use all of it.
func TestBudgetIsWholeAgainAfterAWindow(t *testing.T) {
	const (
		step      = 50 * time.Millisecond
		perStep   = 5
		threshold = 2 * modelWindow // of the first outbreak
	)

	for _, apart := range []time.Duration{modelWindow - step, modelWindow - 10*step, modelWindow - 19*step} {
		for offset := time.Duration(0); offset < time.Second; offset += step {
			f := newRetryFleet(4)

			for at := time.Duration(0); at <= threshold+offset+apart; at += step {
				for _, e := range f.entries {
					f.request(e, perStep)
				}

				if at == threshold+offset || at == threshold+offset+apart {
					f.outbreak()
				}

				f.pass(step)
			}

			requests := perStep * len(f.entries) * int(modelWindow/step)
			if got, want := len(f.repeats), int(modelRatio*float64(requests))+modelSlack; got > want {
				t.Errorf("outbreaks %v apart, the first one at %v: got %d repeats for %d requests, want at most %d", apart, threshold+offset, got, requests, want)
			}
		}
	}
}

// Guards against repeats that aren't counted any more once the budget's window has passed although they are still on
// their way, and against ones that count forever.
func TestRepeatCountsUntilItHasArrived(t *testing.T) {
	const window = 50 * time.Millisecond

	failing, held, release := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	failing <- struct{}{}

	either := func(c net.Conn, r *http.Request) bool {
		select {
		case <-failing:
			return respond(error500)(c, r)
		default:
		}

		close(held)
		<-release

		return respond(ok200)(c, r)
	}
	env := newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))
	env.gateway.cfg.RetryWindow = window

	done := make(chan int)

	go func() { done <- env.request(t, "GET", "/idem/1", "").status }()

	<-held

	used := func(after time.Duration) int {
		n, _ := env.gateway.retryBudget(modelService).Usage(time.Now().Add(after))

		return n
	}

	if got, want := used(10*window), 1; got != want {
		t.Errorf("ten windows after a repeat that has not arrived: got %d counted, want %d", got, want)
	}

	close(release)

	if got, want := <-done, http.StatusOK; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}

	if got, want := used(20*window), 0; got != want {
		t.Errorf("windows after that: got %d counted, want %d", got, want)
	}
}
