package roster

import (
	"testing"
	"time"

	"boragehub/pulse"
)

// Guards against two sources of load orders for one engine: an entry orders loads for engines
// without a side process, and takes the side process for missing because load reports are, or because
// it never subscribed to them or did so only just now.
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

	reply := func(p pulse.Presence, at ...time.Duration) func() {
		return func() {
			for _, d := range at {
				r.ObserveSideProcess(t0.Add(d), "a:1", p)
			}
		}
	}

	const late = noSideProcessAfter + time.Minute

	steps := []struct {
		name string
		do   func()
		at   time.Duration
		want bool
	}{
		{"not subscribed", reply(pulse.Absent, time.Second, time.Second+absentFor), time.Second + absentFor, false},
		{"subscribed", func() {
			r.Subscriptions(t0, func(string) bool { return true })
			reply(pulse.Absent, noSideProcessAfter-absentFor-1, noSideProcessAfter-1)()
		}, noSideProcessAfter - 1, false},
		{"subscription unanswered for long, absent", func() {}, noSideProcessAfter, true},
		{"last reply too old", func() {}, noSideProcessAfter + maxProbeInterval, false},
		{"absent once", reply(pulse.Absent, late), late, false},
		{"absent for too short a time", reply(pulse.Absent, late+absentFor-1), late + absentFor - 1, false},
		{"absent for long enough", reply(pulse.Absent, late+absentFor), late + absentFor, true},
		{"present", reply(pulse.Present, late+absentFor+1), late + absentFor + 1, false},
		{"no reply behind it", reply(pulse.Unknown, late+time.Hour, late+time.Hour+absentFor), late + time.Hour + absentFor, false},
		{"replies too far apart", reply(pulse.Absent, late+2*time.Hour, late+2*time.Hour+maxProbeInterval+1), late + 2*time.Hour + maxProbeInterval + 1, false},
		{"no reply between two", func() {
			reply(pulse.Absent, late+3*time.Hour)()
			reply(pulse.Unknown, late+3*time.Hour+time.Second)()
			reply(pulse.Absent, late+3*time.Hour+absentFor)()
		}, late + 3*time.Hour + absentFor, false},
		{"absent again", reply(pulse.Absent, late+3*time.Hour+2*absentFor), late + 3*time.Hour + 2*absentFor, true},
		{"report received", func() {
			r.ObserveReport(t0, pulse.Report{Engine: "a:1", Sequence: 1, SourceStart: 1, Model: "m", Version: 3})
		}, late + 3*time.Hour + 2*absentFor, false},
		{"report received long ago", func() {}, late + 4*time.Hour, false},
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
