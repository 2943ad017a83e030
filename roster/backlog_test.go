package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/resident"
)

const reportingAddress = "10.0.0.1:80"

func stateReport(sequence, state uint64, backlog, leases int) pulse.Report {
	return pulse.Report{Engine: reportingAddress, Sequence: sequence, SourceStart: 1, StateSequence: state, UsedTokens: 1000, Backlog: backlog, Leases: leases, Leased: 17_000 * leases}
}

// A side process sends its last report again when leases change. Guards against taking it for a new
// one: what this process sent since would be forgotten, and a dead engine would seem to be alive as
// long as other entries claim.
func TestPushedReportsChangeTheBacklogOnly(t *testing.T) {
	r := newTestRoster()
	r.ObserveReport(at(0), stateReport(1, 1, 0, 0))
	r.ObserveReport(at(0), pulse.Report{Engine: "10.0.0.2:80"})
	r.Sent(at(10), "a", 500, 600)
	r.SentLeased(at(10), "a", 10_000, 17_000)

	pushed := stateReport(2, 1, 10_000, 1)
	pushed.UsedTokens = 99_999 // no figure of the engine is newer
	r.ObserveReport(at(20), pushed)

	e := candidatesByID(r, at(50))["a"]
	if want := (Sent{Requests: 2, PrefillTokens: 500, CacheTokens: 17_600}); e.SentSince != want {
		t.Errorf("got %+v sent since the report, want %+v", e.SentSince, want)
	}

	if want := (Backlog{Known: true, Tokens: 10_000, Leases: 1, MemoryTokens: 17_000, Age: 30 * time.Millisecond}); e.Backlog != want {
		t.Errorf("got %+v, want %+v", e.Backlog, want)
	}

	if e.ReportAge != 50*time.Millisecond || e.Report.UsedTokens != 1000 {
		t.Errorf("got age %v and %d tokens used, want those of the first report", e.ReportAge, e.Report.UsedTokens)
	}

	for i := range 5 {
		r.ObserveReport(at(250*i), pulse.Report{Engine: "10.0.0.2:80"})
		r.ObserveReport(at(250*i), stateReport(uint64(3+i), 1, i, 1))
		r.Tick(at(250*i + 1))
	}

	if got := r.Unresponsive(); len(got) != 1 || got[0] != "a" {
		t.Errorf("got %v unresponsive, want the engine whose state is not renewed", got)
	}

	if got := r.Backlog(at(1100)); got != 0 {
		t.Errorf("got a backlog of %d by an old report, want 0", got)
	}

	r.ObserveReport(at(1300), stateReport(9, 2, 0, 0))

	if e := candidatesByID(r, at(1300))["a"]; e.SentSince != (Sent{}) || !e.Fresh {
		t.Errorf("got %+v after a new query, want nothing sent since", e.SentSince)
	}
}

// A pushed report is the first one of a query that was made some time ago, as this process gets not
// each report. Guards against forgetting what was sent after the query, and against a state that
// seems newer than it is or holds no shared parts.
func TestPushedStateIsAsOldAsItsQuery(t *testing.T) {
	for _, tt := range []struct {
		sentAt int
		want   Sent
	}{{30, Sent{}}, {50, Sent{Requests: 1, PrefillTokens: 500, CacheTokens: 600}}} {
		r := newTestRoster()
		first := stateReport(1, 1, 0, 0)
		first.Resident = []resident.Part{{Key: 7, Tokens: 2048}}
		r.ObserveReport(at(0), first)
		r.Sent(at(tt.sentAt), "a", 500, 600)

		pushed := stateReport(2, 2, 0, 0)
		pushed.StateAgeMs = 60
		r.ObserveReport(at(100), pushed)

		if e := candidatesByID(r, at(110))["a"]; e.SentSince != tt.want || e.ReportAge != 70*time.Millisecond || !e.Report.Has(7, 2048) {
			t.Errorf("sent at %d ms: got %+v with age %v, want %+v with 70 ms", tt.sentAt, e.SentSince, e.ReportAge, tt.want)
		}
	}
}

// Side processes of old builds, and restarted ones, count from the beginning or not at all. Guards
// against taking their reports for repeated ones.
func TestReportsOfOtherBuildsAndStartsAreNew(t *testing.T) {
	restarted := stateReport(1, 1, 0, 0)
	restarted.SourceStart = 2

	for _, tt := range []struct {
		name   string
		report pulse.Report
		known  bool
	}{
		{"old build", pulse.Report{Engine: reportingAddress, Sequence: 2, SourceStart: 1}, false},
		{"restarted side process", restarted, true},
	} {
		r := newTestRoster()
		r.ObserveReport(at(0), stateReport(1, 1, 5, 1))
		r.Sent(at(10), "a", 500, 600)
		r.ObserveReport(at(20), tt.report)

		if e := candidatesByID(r, at(20))["a"]; e.SentSince != (Sent{}) || e.Backlog.Known != tt.known || e.Backlog.Tokens != 0 {
			t.Errorf("%s: got %+v, %+v", tt.name, e.SentSince, e.Backlog)
		}
	}
}

func TestBacklogShrinksWithItsAge(t *testing.T) {
	b := Backlog{Known: true, Tokens: 10_000}

	for _, tt := range []struct {
		ms   int
		want int
	}{{0, 10_000}, {50, 5000}, {90, 2500}, {-5, 10_000}} {
		b.Age = time.Duration(tt.ms) * time.Millisecond
		if got := b.Left(100); got != tt.want {
			t.Errorf("after %d ms: got %d, want %d", tt.ms, got, tt.want)
		}
	}
}
