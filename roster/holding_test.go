package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

// Guards against two sources of load orders for one engine: an entry orders loads for engines
// without a side process, and takes the side process for missing when it never subscribed to the
// engine's load reports or did so only just now.
func TestHoldingsReportMissingSideProcess(t *testing.T) {
	t0 := time.Unix(1000, 0)
	r := New(Config{Self: "entry-1", DataCentre: "east"})

	for _, l := range []Listing{
		{ID: "a", Service: "llm", Address: "a:1", Versions: map[string]int64{"m": 3}},
		{ID: "leaving", Service: "llm", Address: "b:1", Versions: map[string]int64{"m": 3}, Draining: true},
		{ID: "of another model", Service: "llm", Address: "c:1", Versions: map[string]int64{"n": 3}},
	} {
		r.ObserveListing(t0, l)
	}

	steps := []struct {
		name string
		do   func()
		at   time.Duration
		want bool
	}{
		{"not subscribed", func() {}, time.Hour, false},
		{"subscribed", func() { r.Subscriptions(t0, func(string) bool { return true }) }, noSideProcessAfter - 1, false},
		{"subscription unanswered for long", func() {}, noSideProcessAfter, true},
		{"report received", func() {
			r.ObserveReport(t0, pulse.Report{Engine: "a:1", Sequence: 1, SourceStart: 1, Model: "m", Version: 3})
		}, noSideProcessAfter, false},
		{"report received long ago", func() {}, time.Hour, false},
	}

	for _, s := range steps {
		s.do()

		got := r.Holdings(t0.Add(s.at), "m")
		if len(got) != 1 {
			t.Fatalf("%s: got %+v, want one", s.name, got)
		}

		if want := (Holding{ID: "a", Address: "a:1", Version: 3, NoSideProcess: s.want}); got[0] != want {
			t.Errorf("%s: got %+v, want %+v", s.name, got[0], want)
		}
	}
}
