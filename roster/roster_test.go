package roster

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
	"boragehub/target"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func testListing(id, address string, version int64) Listing {
	return Listing{ID: id, Service: "llm", Address: address, DataCentre: "east", Slots: 8, Versions: map[string]int64{"m": version}}
}

func candidatesByID(r *Roster, now time.Time) map[string]Engine {
	all := map[string]Engine{}
	for _, e := range r.Candidates(now, "llm", "m") {
		all[e.ID] = e
	}

	return all
}

func newTestRoster() *Roster {
	r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard()})
	r.ObserveListing(epoch, testListing("a", "10.0.0.1:80", 1))
	r.ObserveListing(epoch, testListing("b", "10.0.0.2:80", 1))

	return r
}

func TestDrainingTargetGetsNoWorkAtOnce(t *testing.T) {
	r := newTestRoster()
	l := testListing("a", "10.0.0.1:80", 1)
	l.Draining = true
	r.ObserveListing(at(10), l)

	if _, ok := candidatesByID(r, at(10))["a"]; ok {
		t.Error("got a as a candidate, want it left out")
	}
}

// During a log outage the register drops a target because its heartbeats are missing. The target
// is alive and is listed again within 2 s. If it were removed at once, its work would shift to
// the others, and all of them may be dropped in the same way.
func TestDropDuringLogOutageIsDelayed(t *testing.T) {
	tests := []struct {
		name string
		back bool
		want bool
	}{
		{"listed again in time", true, true},
		{"still missing", false, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			r.SetLogUnavailable(at(0), true)
			r.SetLogUnavailable(at(4000), false)
			r.ObserveRemoval(at(4010), "a")

			if _, ok := candidatesByID(r, at(4020))["a"]; !ok {
				t.Fatal("got a removed at once, want its removal delayed")
			}

			if tt.back {
				r.ObserveListing(at(5500), testListing("a", "10.0.0.1:80", 1))
			}

			r.Tick(at(6500))

			if _, got := candidatesByID(r, at(6500))["a"]; got != tt.want {
				t.Errorf("got it kept %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against requests to a target that has left: a connection to the log breaks, and the removal that is
// read on the next one counts as one by a register that has lost its heartbeats.
func TestDropAfterAShortOutageTakesEffectAtOnce(t *testing.T) {
	for _, during := range []bool{false, true} {
		r := newTestRoster()
		r.SetLogUnavailable(at(0), true)

		if during {
			r.ObserveRemoval(at(1000), "a")
		}

		r.SetLogUnavailable(at(1300), false)

		if !during {
			r.ObserveRemoval(at(1310), "a")
		}

		r.Tick(at(1320))

		if _, ok := candidatesByID(r, at(1320))["a"]; ok {
			t.Errorf("read during the outage %v: got a kept, want it removed", during)
		}
	}
}

// Guards against the loss of living targets at the end of an outage: another process passed on the removal
// during it, and the target is listed again within 2 s of the log's return.
func TestDropReadDuringALongOutageWaitsForItsEnd(t *testing.T) {
	r := newTestRoster()
	r.SetLogUnavailable(at(0), true)
	r.ObserveRemoval(at(1000), "a")
	r.SetLogUnavailable(at(5000), false)

	for _, s := range []struct {
		ms   int
		want bool
	}{{5010, true}, {7190, true}, {7210, false}} {
		r.Tick(at(s.ms))

		if _, got := candidatesByID(r, at(s.ms))["a"]; got != s.want {
			t.Errorf("at %d ms: got it kept %v, want %v", s.ms, got, s.want)
		}
	}
}

// Guards against the loss of living targets by an entry that can't read the register at the end of the delay: what it
// knows may be older than the entries that were written again.
func TestDelayedDropWaitsForCurrentRecords(t *testing.T) {
	r := newTestRoster()
	asOf := at(5000)
	r.cfg.ListedAsOf = func() time.Time { return asOf }

	r.SetLogUnavailable(at(0), true)
	r.SetLogUnavailable(at(5000), false)
	r.ObserveRemoval(at(5010), "a")
	r.Tick(at(9000))

	if _, ok := candidatesByID(r, at(9000))["a"]; !ok {
		t.Error("known as of 5 s: got a removed, want it kept")
	}

	asOf = at(7200)
	r.Tick(at(9250))

	if _, ok := candidatesByID(r, at(9250))["a"]; ok {
		t.Error("known as of 7.2 s: got a kept, want it removed")
	}
}

func TestDropWithoutLogOutageTakesEffectAtOnce(t *testing.T) {
	r := newTestRoster()
	r.ObserveRemoval(at(10), "a")

	if _, ok := candidatesByID(r, at(10))["a"]; ok {
		t.Error("got a kept, want it removed")
	}
}

func TestDropOfDrainingTargetIsNeverDelayed(t *testing.T) {
	r := newTestRoster()
	l := testListing("a", "10.0.0.1:80", 1)
	l.Draining = true
	r.ObserveListing(at(0), l)
	r.SetLogUnavailable(at(10), true)
	r.ObserveRemoval(at(20), "a")

	if got := r.Len(); got != 1 {
		t.Errorf("got %d targets, want 1", got)
	}
}

func TestVersionsOnlyRise(t *testing.T) {
	r := newTestRoster()
	r.ObserveVersion("a", "m", 3, "answer")
	r.ObserveListing(at(100), testListing("a", "10.0.0.1:80", 2)) // the register is stale

	if got := candidatesByID(r, at(100))["a"].Version; got != 3 {
		t.Errorf("got version %d, want 3", got)
	}
}

// A side process announces that its engine is about to load weights and dies before it reports
// the end of the load. Without a time limit the engine would never get work again.
func TestAnnouncedLoadExpires(t *testing.T) {
	r := newTestRoster()
	r.ObserveLoading(at(0), "a", "m", 2)

	if !candidatesByID(r, at(100))["a"].Loading {
		t.Error("got a not loading, want it loading")
	}

	if candidatesByID(r, at(4100))["a"].Loading {
		t.Error("after the time limit: got a loading")
	}

	r.ObserveLoading(at(5000), "a", "m", 2)
	r.ObserveVersion("a", "m", 2, "side process")

	if candidatesByID(r, at(5100))["a"].Loading {
		t.Error("with the new version: got a loading")
	}
}

func TestAnnouncementOfKnownVersionIsIgnored(t *testing.T) {
	r := newTestRoster()
	r.ObserveVersion("a", "m", 2, "answer")
	r.ObserveLoading(at(0), "a", "m", 2)

	if candidatesByID(r, at(10))["a"].Loading {
		t.Error("got a loading")
	}
}

func TestReportResetsSentSince(t *testing.T) {
	r := newTestRoster()
	r.ObserveReport(at(0), pulse.Report{Engine: "10.0.0.1:80", Running: 3, UsedTokens: 4000, Model: "m", Version: 1})
	s := r.Sent(at(10), "a", 500, 900)

	e := candidatesByID(r, at(20))["a"]
	if !e.Fresh || e.Report.Running != 3 || e.SentSince != (Sent{1, 500, 900}) {
		t.Errorf("got %+v, want the report and one request since", e)
	}

	r.ObserveReport(at(100), pulse.Report{Engine: "10.0.0.1:80", Running: 4, Model: "m", Version: 1})

	if got := candidatesByID(r, at(100))["a"].SentSince; got != (Sent{}) {
		t.Errorf("after the next report: got %+v, want none", got)
	}

	if candidatesByID(r, at(2000))["a"].Fresh {
		t.Error("got a stale report marked as fresh")
	}

	r.Done(at(2000), s, target.Succeeded)
}

// All VMs lose power and restart within a second. For some seconds the register lists each
// engine under both its old and its new id. Requests to the old ids are refused, and their
// callers retry late or not at all.
func TestRestartedTargetTakesOverAddress(t *testing.T) {
	r := newTestRoster()
	older, newer := testListing("a", "10.0.0.1:80", 1), testListing("a2", "10.0.0.1:80", 1)
	older.Offset, newer.Offset = 10, 14
	r.ObserveListing(at(0), newer)
	r.ObserveListing(at(0), older) // a full list is unordered

	got := candidatesByID(r, at(10))
	if _, ok := got["a"]; ok {
		t.Error("got the earlier start as a candidate")
	}

	if _, ok := got["a2"]; !ok {
		t.Error("got the new start left out, want it as a candidate")
	}

	if id, ok := r.ByAddress("10.0.0.1:80"); !ok || id != "a2" {
		t.Errorf("by address: got %q %v, want a2", id, ok)
	}

	r.ObserveRemoval(at(20), "a2")

	if _, ok := candidatesByID(r, at(30))["a"]; !ok {
		t.Error("with a2 dropped: got a left out, want it as a candidate")
	}

	if id, ok := r.ByAddress("10.9.9.9:80"); ok {
		t.Errorf("got %q for an unknown address", id)
	}
}

// A target is ejected after several failures in a row and tried again later.
func TestFailingTargetIsEjectedTemporarily(t *testing.T) {
	r := newTestRoster()

	for range 3 {
		r.Done(at(10), r.Sent(at(0), "a", 0, 0), target.Failed)
	}

	if _, ok := candidatesByID(r, at(20))["a"]; ok {
		t.Error("got a right after its failures, want it ejected")
	}

	if _, ok := candidatesByID(r, at(1500))["a"]; !ok {
		t.Error("got a ejected for good, want it tried again")
	}
}

// Guards against the earlier of two targets at an address that goes on as the current one, because the log has
// returned from a copy and gives out offsets again.
func TestTargetListedInALaterEraTakesOverAddress(t *testing.T) {
	r := newTestRoster()
	older, newer := testListing("a", "10.0.0.1:80", 1), testListing("a2", "10.0.0.1:80", 1)
	older.Era, older.Offset = 1, 90
	newer.Era, newer.Offset = 2, 14
	r.ObserveListing(at(0), older)
	r.ObserveListing(at(0), newer)

	if id, _ := r.ByAddress("10.0.0.1:80"); id != "a2" {
		t.Errorf("got %q, want a2", id)
	}
}

func TestDropAfterAResetOfTheLogIsDelayed(t *testing.T) {
	r := newTestRoster()
	r.LogReset(at(0))
	r.ObserveRemoval(at(10), "a")

	if _, ok := candidatesByID(r, at(20))["a"]; !ok {
		t.Error("got a removed at once, want its removal delayed")
	}

	r.Tick(at(2300))

	if _, ok := candidatesByID(r, at(2310))["a"]; ok {
		t.Error("got a kept, want it removed after the delay")
	}
}
