package roster

import (
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"boragehub/pulse"
)

// Guards against a target that said it leaves and gets new work again because the register lags
// behind it, or that stays excluded although it was started again.
func TestTargetThatSaidItLeavesIsNoCandidate(t *testing.T) {
	const address = "10.0.0.1:80"

	says := func(r *Roster) { r.ObserveLeaving(at(0), "a") }
	reports := func(leaving bool, startedMs int64) func(*Roster) {
		return func(r *Roster) {
			r.ObserveReport(at(20), pulse.Report{Engine: address, Model: "m", Version: 1, Leaving: leaving, StartedMs: startedMs})
		}
	}
	lists := func(startedMs int64) func(*Roster) {
		return func(r *Roster) {
			l := testListing("a", address, 2)
			l.StartedMs = startedMs
			r.ObserveListing(at(30), l)
		}
	}
	announced := func(startedMs int64) func(*Roster) {
		return func(r *Roster) { r.ObserveAnnouncedLeaving(at(20), Leaving{"a", startedMs}) }
	}
	removed := func(r *Roster) { r.ObserveRemoval(at(10), "a") }

	tests := []struct {
		name  string
		steps []func(*Roster)
		want  bool
	}{
		{"said in a response", []func(*Roster){says}, false},
		{"listed as ready later", []func(*Roster){says, lists(0)}, false},
		{"listed again after an outage", []func(*Roster){says, removed, lists(0)}, false},
		{"a load report that does not say so", []func(*Roster){says, reports(false, 0)}, false},
		{"restarted under the same id", []func(*Roster){lists(1000), says, lists(2000)}, true},
		{"said in a load report", []func(*Roster){reports(true, 0)}, false},
		{"said in the load report of a target that is gone", []func(*Roster){reports(true, 0), reports(false, 0)}, true},
		{"restarted after a load report that says so", []func(*Roster){reports(true, 1000), reports(false, 2000)}, true},
		{"announced", []func(*Roster){announced(0)}, false},
		{"announced of an earlier start", []func(*Roster){lists(2000), announced(1000)}, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			for _, step := range tt.steps {
				candidatesByID(r, at(5)) // what is known so far is in use
				step(r)
			}

			if _, got := candidatesByID(r, at(40))["a"]; got != tt.want {
				t.Errorf("got it as a candidate %v, want %v", got, tt.want)
			}

			if got := r.Admit(at(40), "a"); got != tt.want {
				t.Errorf("got it admitted %v, want %v", got, tt.want)
			}

			// Rollout slots are computed from the register alone, so that all processes agree on them.
			if !slices.ContainsFunc(r.Holdings(at(40), "m"), func(h Holding) bool { return h.ID == "a" }) {
				t.Error("got it left out of the rollout, want it in as the register lists it")
			}
		})
	}
}

// Guards against a request that was about to be sent to a target when another response said that it
// leaves.
func TestTargetThatLeavesAfterTheDecisionIsNotAdmitted(t *testing.T) {
	r := newTestRoster()

	if _, ok := candidatesByID(r, at(0))["a"]; !ok {
		t.Fatal("got a left out, want it as a candidate")
	}

	r.ObserveLeaving(at(1), "a")

	if r.Admit(at(2), "a") {
		t.Error("got a request admitted, want it refused")
	}
}

func TestLeavingIsAnnouncedOnce(t *testing.T) {
	var got []Leaving

	r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard(), TargetLeaving: func(l Leaving) { got = append(got, l) }})
	r.ObserveListing(at(0), testListing("a", "10.0.0.1:80", 1))
	r.ObserveListing(at(0), testListing("b", "10.0.0.2:80", 1))
	r.ObserveLeaving(at(10), "a")
	r.ObserveLeaving(at(20), "a")
	r.ObserveAnnouncedLeaving(at(30), Leaving{ID: "b"})

	for i := range 3 {
		r.Tick(at(250 * (i + 1)))
	}

	if want := []Leaving{{"a", 0}}; !slices.Equal(got, want) {
		t.Errorf("got %v announced, want %v", got, want)
	}

	if got := r.Candidates(at(1000), "llm", "m"); len(got) != 0 {
		t.Errorf("got %d candidates, want none", len(got))
	}
}
