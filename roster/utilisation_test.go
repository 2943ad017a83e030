package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

// Load: a service in which a share of the engines prefills long prompts, beside a service at rest.
// Guards against figures of other services, of the past, or from too few reports.
func TestUtilisationIsTheShareOfReportsInPrefill(t *testing.T) {
	const contended, other = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name          string
		mode          Contention
		reports, busy int           // of the contended service
		after         time.Duration // since the last report
		sameState     bool          // all reports carry the same state of the engine
		want          int
	}{
		{name: "none", mode: ContentionOn, want: 0},
		{name: "too few", mode: ContentionOn, reports: minUtilisationReports - 1, busy: minUtilisationReports - 1, want: 0},
		{name: "idle but known", mode: ContentionOn, reports: 20, want: 1},
		{name: "three quarters", mode: ContentionOn, reports: 20, busy: 15, want: 75},
		{name: "all", mode: ContentionOn, reports: 20, busy: 20, want: 100},
		{name: "not contended", mode: ContentionOff, reports: 20, busy: 20, want: 0},
		{name: "long ago", mode: ContentionOn, reports: 20, busy: 20, after: utilisationWindow, want: 0},
		{name: "pushed again without a new state", mode: ContentionOn, reports: 20, busy: 20, sameState: true, want: 0},
	}

	for _, tt := range tests {
		now := time.Unix(100, 0)
		r := New(Config{Contention: tt.mode})
		r.ObserveListing(now, Listing{ID: "a", Service: "llm", Address: contended, Slots: 8})
		r.ObserveListing(now, Listing{ID: "b", Service: "other", Address: other, Slots: 8})

		for i := range tt.reports {
			p := pulse.Report{Engine: contended, Sequence: uint64(i + 1), SourceStart: 1, StateSequence: uint64(i + 1)}
			if i < tt.busy {
				p.Prefilling = 1
			}

			if tt.sameState {
				p.StateSequence = 1
			}

			now = now.Add(50 * time.Millisecond)
			r.ObserveReport(now, p)
			r.ObserveReport(now, pulse.Report{Engine: other, Sequence: uint64(i + 1), SourceStart: 1})
		}

		now = now.Add(tt.after)

		if got := r.Utilisation(now, contended); got != tt.want {
			t.Errorf("%s: got %d%%, want %d%%", tt.name, got, tt.want)
		}

		if got := r.Utilisation(now, other); got > 1 {
			t.Errorf("%s: got %d%% for the service at rest, want 1 at most", tt.name, got)
		}

		if got := r.Utilisation(now, "10.0.0.3:80"); got != 0 {
			t.Errorf("%s: got %d%% for an unknown target, want 0", tt.name, got)
		}
	}
}
