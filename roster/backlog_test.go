package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

const reportingAddress = "10.0.0.1:80"

func stateReport(sequence, state uint64, backlog, leases int) pulse.Report {
	return pulse.Report{Engine: reportingAddress, Sequence: sequence, SourceStart: 1, StateSequence: state, UsedTokens: 1000, Backlog: backlog, Leases: leases, Leased: 17_000 * leases}
}

// A side process sends a report when leases change. Guards against taking it for a new
// one: what this process sent since would be forgotten, and a dead engine would seem to be alive as
// long as other entries claim.
func TestPushedReportsChangeTheBacklogOnly(t *testing.T) {
	r := newTestRoster()
	r.ObserveReport(at(0), stateReport(1, 1, 0, 0))
	r.ObserveReport(at(0), pulse.Report{Engine: "10.0.0.2:80"})
	r.Sent(at(10), "a", 500, 600)
	r.SentLeased(at(10), "a", 10_000, 17_000)

	pushed := stateReport(2, 2, 10_000, 1) // of a query that this process has no report of
	pushed.UsedTokens, pushed.LeasesOnly = 0, true
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
		// A report without LeasesOnly of the same query has no other news either.
		p := stateReport(uint64(3+i), 1, i, 1)
		p.LeasesOnly = i%2 == 0
		r.ObserveReport(at(250*i), p)
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

// Side processes of old builds, and restarted ones, count from the beginning or not at all. Guards
// against taking their reports for repeated ones.
func TestReportsOfOtherBuildsAndStartsAreNew(t *testing.T) {
	restarted := stateReport(1, 1, 0, 0)
	restarted.SourceStart = 2
	leases := stateReport(1, 1, 7, 1)
	leases.SourceStart, leases.LeasesOnly = 2, true

	for _, tt := range []struct {
		name   string
		report pulse.Report
		known  bool
		tokens int
		sent   int
	}{
		{"old build", pulse.Report{Engine: reportingAddress, Sequence: 2, SourceStart: 1}, false, 0, 0},
		{"restarted side process", restarted, true, 0, 0},
		{"leases of a restarted side process", leases, true, 5, 1},
	} {
		r := newTestRoster()
		r.ObserveReport(at(0), stateReport(1, 1, 5, 1))
		r.Sent(at(10), "a", 500, 600)
		r.ObserveReport(at(20), tt.report)

		if e := candidatesByID(r, at(20))["a"]; e.SentSince.Requests != tt.sent || e.Backlog.Known != tt.known || e.Backlog.Tokens != tt.tokens {
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
