package roster

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
	"boragehub/target"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func list(id, address string, version int64) Listing {
	return Listing{ID: id, Service: "llm", Address: address, DataCentre: "east", Slots: 8, Versions: map[string]int64{"m": version}}
}

func names(r *Roster, now time.Time) map[string]Engine {
	all := map[string]Engine{}
	for _, e := range r.Candidates(now, "llm", "m") {
		all[e.ID] = e
	}

	return all
}

func open() *Roster {
	r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard()})
	r.List(start, list("a", "10.0.0.1:80", 1))
	r.List(start, list("b", "10.0.0.2:80", 1))

	return r
}

func TestDrainingTargetGetsNoWorkAtOnce(t *testing.T) {
	r := open()
	l := list("a", "10.0.0.1:80", 1)
	l.Draining = true
	r.List(at(10), l)

	if _, ok := names(r, at(10))["a"]; ok {
		t.Error("got a as a candidate, want it out")
	}
}

// The log was away, and the register dropped a target meanwhile because it could
// not be heard. It lives and is listed again within two seconds; taken out at once
// its work would fall on the others, and all of them may be dropped that way.
func TestDropBesideAnOutageIsBelievedLater(t *testing.T) {
	tests := []struct {
		name string
		back bool
		want bool
	}{
		{"back in time", true, true},
		{"still missing", false, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := open()
			r.Away(at(0), true)
			r.Away(at(4000), false)
			r.Drop(at(4010), "a")

			if _, ok := names(r, at(4020))["a"]; !ok {
				t.Fatal("got a out at once, want it kept in doubt")
			}

			if tt.back {
				r.List(at(5500), list("a", "10.0.0.1:80", 1))
			}

			r.Tick(at(6500))

			if _, got := names(r, at(6500))["a"]; got != tt.want {
				t.Errorf("got it kept %v, want %v", got, tt.want)
			}
		})
	}
}

func TestDropInCalmTimesIsBelievedAtOnce(t *testing.T) {
	r := open()
	r.Drop(at(10), "a")

	if _, ok := names(r, at(10))["a"]; ok {
		t.Error("got a kept, want it out")
	}
}

func TestDropOfADrainingTargetIsNeverInDoubt(t *testing.T) {
	r := open()
	l := list("a", "10.0.0.1:80", 1)
	l.Draining = true
	r.List(at(0), l)
	r.Away(at(10), true)
	r.Drop(at(20), "a")

	if got := r.Len(); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

func TestVersionsOnlyRise(t *testing.T) {
	r := open()
	r.Has("a", "m", 3, "answer")
	r.List(at(100), list("a", "10.0.0.1:80", 2)) // the register lags

	if got := names(r, at(100))["a"].Version; got != 3 {
		t.Errorf("got version %d, want 3", got)
	}
}

// A side process says that its engine is about to load weights, and dies before it
// says that they are there. Without a bound the engine would never get work again.
func TestAnnouncedLoadEnds(t *testing.T) {
	r := open()
	r.Loading(at(0), "a", "m", 2)

	if !names(r, at(100))["a"].Loading {
		t.Error("got it not loading, want it loading")
	}

	if names(r, at(4100))["a"].Loading {
		t.Error("after the bound: got it loading")
	}

	r.Loading(at(5000), "a", "m", 2)
	r.Has("a", "m", 2, "side process")

	if names(r, at(5100))["a"].Loading {
		t.Error("with the version: got it loading")
	}
}

func TestLateNoticeOfAVersionThatIsThereIsIgnored(t *testing.T) {
	r := open()
	r.Has("a", "m", 2, "answer")
	r.Loading(at(0), "a", "m", 2)

	if names(r, at(10))["a"].Loading {
		t.Error("got it loading")
	}
}

func TestPulseCountsWhatWasSentSince(t *testing.T) {
	r := open()
	r.Pulse(at(0), pulse.Pulse{Engine: "10.0.0.1:80", Running: 3, UsedTokens: 4000, Model: "m", Version: 1})
	s := r.Sent(at(10), "a", 500, 900)

	e := names(r, at(20))["a"]
	if !e.Fresh || e.Pulse.Running != 3 || e.Since != (Sent{1, 500, 900}) {
		t.Errorf("got %+v, want the pulse and one request since", e)
	}

	r.Pulse(at(100), pulse.Pulse{Engine: "10.0.0.1:80", Running: 4, Model: "m", Version: 1})

	if got := names(r, at(100))["a"].Since; got != (Sent{}) {
		t.Errorf("after the next pulse: got %+v, want nothing", got)
	}

	if names(r, at(2000))["a"].Fresh {
		t.Error("got an old pulse called fresh")
	}

	r.Done(at(2000), s, target.Succeeded)
}

// All machines lose power and are back within a second. The register lists each
// engine twice for some seconds: as it was before and as it is now. Requests to the
// old ids are refused, and their callers come back late or not at all.
func TestTargetStartedAnewHoldsItsAddress(t *testing.T) {
	r := open()
	older, newer := list("a", "10.0.0.1:80", 1), list("a2", "10.0.0.1:80", 1)
	older.Offset, newer.Offset = 10, 14
	r.List(at(0), newer)
	r.List(at(0), older) // a whole list is in no order

	got := names(r, at(10))
	if _, ok := got["a"]; ok {
		t.Error("got the start before as a candidate")
	}

	if _, ok := got["a2"]; !ok {
		t.Error("got the new start left out")
	}

	if id, ok := r.ByAddress("10.0.0.1:80"); !ok || id != "a2" {
		t.Errorf("by address: got %q %v, want a2", id, ok)
	}

	r.Drop(at(20), "a2")

	if _, ok := names(r, at(30))["a"]; !ok {
		t.Error("with the other one dropped: got a left out")
	}

	if id, ok := r.ByAddress("10.9.9.9:80"); ok {
		t.Errorf("got %q for an unknown address", id)
	}
}

// Each failing target is left alone after some failures in a row, and tried again.
func TestFailingTargetIsLeftAloneForAWhile(t *testing.T) {
	r := open()

	for range 3 {
		r.Done(at(10), r.Sent(at(0), "a", 0, 0), target.Failed)
	}

	if _, ok := names(r, at(20))["a"]; ok {
		t.Error("got a right after its failures, want it left alone")
	}

	if _, ok := names(r, at(1500))["a"]; !ok {
		t.Error("got a left alone for ever, want it tried again")
	}
}
