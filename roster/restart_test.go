package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
	"boragehub/target"
)

// withStart returns l with a start time, in ms of the target's clock.
func withStart(l Listing, ms int64) Listing {
	l.StartedMs = ms

	return l
}

// An engine crashes and restarts under the same id, without its contexts and requests. If they
// were still counted, it would be sent prompts for contexts that it has to prefill again, and
// failures of its earlier start would keep work from it.
func TestRestartUnderSameIDDiscardsState(t *testing.T) {
	var restarted []string

	r := New(Config{Self: "entry-1", DataCentre: "east", Restarted: func(id string) { restarted = append(restarted, id) }, Log: logr.Discard()})
	r.ObserveListing(at(0), withStart(testListing("a", "10.0.0.1:80", 2), 5000))
	r.ObserveListing(at(0), withStart(testListing("b", "10.0.0.2:80", 2), 5000))
	r.ObserveReport(at(10), pulse.Report{Engine: "10.0.0.1:80", Running: 9, UsedTokens: 60_000, Model: "m", Version: 2, StartedMs: 5000})
	r.ObserveLoading(at(10), "a", "m", 3)

	for range 8 {
		r.Done(at(20), r.Sent(at(20), "a", 100, 100), target.Failed)
	}

	if len(restarted) != 0 {
		t.Fatalf("got restarts %v reported before any restart", restarted)
	}

	r.ObserveReport(at(30), pulse.Report{Engine: "10.0.0.1:80", Model: "m", Version: 1, StartedMs: 6000})

	got := candidatesByID(r, at(30))["a"]
	if got.Version != 1 || got.Loading || got.Failures != 0 || got.Suspected || got.Report.Running != 0 || got.SentSince != (Sent{}) {
		t.Errorf("got %+v, want no state of the earlier start", got)
	}

	// Information about the earlier start arrives late, from the register and in a load report.
	r.ObserveListing(at(40), withStart(testListing("a", "10.0.0.1:80", 2), 5000))
	r.ObserveReport(at(50), pulse.Report{Engine: "10.0.0.1:80", Running: 9, Model: "m", Version: 2, StartedMs: 5000})

	if got := candidatesByID(r, at(50))["a"]; got.Version != 1 || got.Report.Running != 0 {
		t.Errorf("after late information: got version %d and %d running, want 1 and none", got.Version, got.Report.Running)
	}

	r.ObserveListing(at(60), withStart(testListing("a", "10.0.0.1:80", 1), 6000))

	if len(restarted) != 1 || restarted[0] != "a" {
		t.Errorf("got restarts %v reported, want a once", restarted)
	}

	if got := candidatesByID(r, at(60))["b"]; got.Version != 2 {
		t.Errorf("got version %d of b, want 2", got.Version)
	}
}

// Another program registers an entry of a service that is not configured at the address of an
// engine. The engine must keep getting work.
func TestUnconfiguredServiceTakesNoAddress(t *testing.T) {
	configured := map[string]bool{"llm": true}
	r := New(Config{Self: "entry-1", DataCentre: "east", Configured: func(s string) bool { return configured[s] }, Log: logr.Discard()})
	r.ObserveListing(at(0), testListing("a", "10.0.0.1:80", 1))

	foreign := testListing("z", "10.0.0.1:80", 1)
	foreign.Service, foreign.Offset = "unheard of", 99
	r.ObserveListing(at(10), foreign)

	if _, ok := candidatesByID(r, at(10))["a"]; !ok {
		t.Error("got the engine replaced at its address, want it kept")
	}

	if id, ok := r.ByAddress("10.0.0.1:80"); !ok || id != "a" {
		t.Errorf("got %q at the address, want a", id)
	}

	// Once the service is configured, the later registration holds the address.
	configured["unheard of"] = true

	if id, _ := r.ByAddress("10.0.0.1:80"); id != "z" {
		t.Errorf("once configured: got %q, want z", id)
	}

	r.ObserveRemoval(at(20), "z")

	if id, _ := r.ByAddress("10.0.0.1:80"); id != "a" {
		t.Errorf("once dropped: got %q, want a", id)
	}
}

// An engine moves to another address under the same id and must no longer be found at the old
// one.
func TestMovedTargetReleasesAddress(t *testing.T) {
	r := newTestRoster()
	r.ObserveListing(at(10), testListing("a", "10.0.0.9:80", 1))

	if id, ok := r.ByAddress("10.0.0.1:80"); ok {
		t.Errorf("got %q at the old address, want none", id)
	}

	if id, _ := r.ByAddress("10.0.0.9:80"); id != "a" {
		t.Errorf("got %q at the new address, want a", id)
	}
}

func TestLoadInDecreasesBetweenReports(t *testing.T) {
	r := newTestRoster()
	r.ObserveReport(at(0), pulse.Report{Engine: "10.0.0.1:80", Model: "m", Version: 1, LoadInMs: 300})

	tests := []struct {
		ms   int
		want time.Duration
	}{{0, 300 * time.Millisecond}, {100, 200 * time.Millisecond}, {400, 0}}

	for _, tt := range tests {
		if got := candidatesByID(r, at(tt.ms))["a"]; !got.LoadScheduled || got.LoadIn != tt.want {
			t.Errorf("after %d ms: got %v in %v, want in %v", tt.ms, got.LoadScheduled, got.LoadIn, tt.want)
		}
	}

	r.ObserveReport(at(500), pulse.Report{Engine: "10.0.0.1:80", Model: "m", Version: 2})

	if candidatesByID(r, at(500))["a"].LoadScheduled {
		t.Error("with the new weights: got a load scheduled")
	}
}

// Guards against a fleet of which only a part gets work after all targets have restarted: the
// register still lists their earlier starts, which would use up places among the candidates.
func TestAllTargetsAreCandidatesAfterPowerFailure(t *testing.T) {
	const targets = 47

	r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard()})

	for i := range targets {
		l := testListing(fmt.Sprintf("old-%d", i), fmt.Sprintf("10.0.0.%d:80", i), 1)
		l.Offset = int64(i)
		r.ObserveListing(at(0), l)
	}

	for i := range targets {
		l := testListing(fmt.Sprintf("new-%d", i), fmt.Sprintf("10.0.0.%d:80", i), 1)
		l.Offset = int64(targets + i)
		r.ObserveListing(at(1000), l)
	}

	if got := len(candidatesByID(r, at(1000))); got != targets {
		t.Errorf("got %d candidates, want %d", got, targets)
	}
}

// Guards against a target that gets no work because another program registered an entry with its
// address before this process knew which services are configured.
func TestTargetIsCandidateOnceServicesAreKnown(t *testing.T) {
	known := false
	r := New(Config{
		Self: "entry-1", DataCentre: "east", Log: logr.Discard(),
		Configured: func(service string) bool { return !known || service == "llm" },
	})

	l := testListing("a", "10.0.0.1:80", 1)
	r.ObserveListing(at(0), l)
	l.ID, l.Service, l.Offset = "foreign", "unheard of", 1
	r.ObserveListing(at(0), l)

	known = true
	r.Reconfigured()

	if got := candidatesByID(r, at(10)); len(got) != 1 || got["a"].ID != "a" {
		t.Errorf("got %v, want only a", got)
	}
}

// Guards against entries that take seconds to read the register of a large fleet at startup:
// each target used to be compared with all others.
func BenchmarkReadLargeRegister(b *testing.B) {
	const targets = 3000

	for b.Loop() {
		r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard()})

		for i := range targets {
			r.ObserveListing(at(0), testListing(fmt.Sprintf("e-%d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), 1))
		}

		if got := len(r.Candidates(at(0), "llm", "m")); got == 0 {
			b.Fatal("got no candidates")
		}
	}
}
