package roster

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
)

// reportRange has an engine's load reports made and arrive from one time to another, in ms.
func reportRange(r *Roster, engine string, from, to int) {
	for ms := from; ms <= to; ms += 200 {
		r.ObserveReport(at(ms), pulse.Report{Engine: engine, Clock: int64(ms), Interval: 200 * time.Millisecond})
	}
}

// Guards against freeing what a paused engine is fetching. The entry that frees stood still together with the
// engine's VM, has just started, or follows other engines only, so it noticed no pause.
func TestEngineNotHeardLatelyCountsAsPaused(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name  string
		heard func(r *Roster)
		want  int64
	}{
		{"heard all along", func(r *Roster) { reportRange(r, a, 1000, 10_000) }, 10_000},
		{"this process stood still with it", func(r *Roster) { reportRange(r, a, 1000, 4000) }, 4000},
		{"not heard of", func(*Roster) {}, 0},
		{"heard of once", func(r *Roster) { reportRange(r, a, 10_000, 10_000) }, 0},
		{"sent before the pause and read after it", func(r *Roster) {
			reportRange(r, a, 1000, 3000)
			r.ObserveReport(at(10_000), pulse.Report{Engine: a, Clock: 3100})
		}, 3100},
		{"has just resumed", func(r *Roster) {
			reportRange(r, a, 1000, 4000)
			reportRange(r, a, 9400, 10_000)
		}, 4000},
		{"resumed a while ago", func(r *Roster) {
			reportRange(r, a, 1000, 4000)
			reportRange(r, a, 8000, 10_000)
		}, 10_000},
		{"two of three reports lost", func(r *Roster) {
			for ms := 5800; ms <= 10_000; ms += 600 {
				reportRange(r, a, ms, ms)
			}
		}, 7600},
		{"asked every 400 ms", func(r *Roster) {
			for ms := 6000; ms <= 10_000; ms += 400 {
				reportRange(r, a, ms, ms)
			}
		}, 8400},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			reportRange(r, b, 1000, 10_000)
			tt.heard(r)
			r.Tick(at(10_000))

			if got := r.RanUntil(at(10_000)); got != tt.want {
				t.Errorf("got all engines run until %d, want %d", got, tt.want)
			}

			wantUnproven := []string{}
			if tt.want < 10_000 {
				wantUnproven = []string{a}
			}

			if got, _ := r.Unproven(at(10_000), 10_000); !slices.Equal(got, wantUnproven) {
				t.Errorf("got %v unproven, want %v", got, wantUnproven)
			}
		})
	}
}

// Guards against freeing what an engine is fetching that has left the register: its VM is paused, or it serves for some
// seconds more, as those do that don't say that they leave. Parts are not kept for a start that has ended.
func TestDroppedEngineCountsWhileItMayResume(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name string
		drop func(r *Roster)
		now  int
		want int64
	}{
		{"silent", func(r *Roster) { r.ObserveRemoval(at(8000), "a") }, 18_900, 4000},
		{"silent, long ago", func(r *Roster) { r.ObserveRemoval(at(8000), "a") }, 19_000, 19_000},
		{"heard until it was dropped", func(r *Roster) {
			reportRange(r, a, 4200, 8000)
			r.ObserveRemoval(at(8000), "a")
		}, 10_000, 8000},
		{"runs on", func(r *Roster) {
			r.ObserveRemoval(at(8000), "a")
			reportRange(r, a, 8200, 10_000)
		}, 10_000, 10_000},
		{"listed again when it has just resumed", func(r *Roster) {
			r.ObserveRemoval(at(8000), "a")
			r.ObserveListing(at(9800), testListing("a", a, 1))
			reportRange(r, a, 9800, 10_000)
		}, 10_000, 4000},
		{"this process stood still with it and reads a report of before", func(r *Roster) {
			r.ObserveReport(at(8500), pulse.Report{Engine: a, Clock: 4050, Interval: 200 * time.Millisecond})
			r.ObserveRemoval(at(8510), "a")
		}, 8600, 4050},
		{"another start at its address", func(r *Roster) {
			r.ObserveListing(at(7000), Listing{ID: "a2", Service: "llm", Address: a, Offset: 9})
			reportRange(r, a, 7000, 10_000)
			r.ObserveRemoval(at(8000), "a")
		}, 10_000, 10_000},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			reportRange(r, a, 1000, 4000)
			reportRange(r, b, 1000, tt.now)
			tt.drop(r)

			if got := r.RanUntil(at(tt.now)); got != tt.want {
				t.Errorf("got all engines run until %d, want %d", got, tt.want)
			}
		})
	}
}

// Guards against freeing nothing any more where a service's targets are no engines.
func TestOnlyModelEnginesHaveToBeHeard(t *testing.T) {
	r := New(Config{Self: "entry-1", HasEngines: func(service string) bool { return service == "other" }, Log: logr.Discard()})

	if got := r.RanUntil(at(0)); got != 0 {
		t.Errorf("before anything is listed: got %d, want 0", got)
	}

	r.ObserveListing(at(0), testListing("a", "10.0.0.1:80", 1))

	if got, want := r.RanUntil(at(1000)), int64(math.MaxInt64); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// Guards against freeing what an engine that has just resumed is fetching, if the pause is short for the interval of
// its load reports, or if it is paused a second time before it has ended what was overdue.
func TestEngineThatHasJustResumedProvesNothing(t *testing.T) {
	const a, b = "10.0.0.1:80", "10.0.0.2:80"

	tests := []struct {
		name     string
		interval time.Duration
		reports  []int // in ms; the engine has just resumed at the last one
		want     int64
	}{
		{"paused for 1.9 s, of 200 engines", 842 * time.Millisecond, []int{1000, 1842, 2684, 3526, 5526}, 3526},
		{"paused again after 100 ms", 100 * time.Millisecond, []int{1000, 1100, 1200, 1300, 1400, 1500, 1600, 1700, 1800, 1900, 2000, 2100, 7000, 12_000}, 2100},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			reportRange(r, b, 1000, 14_000)

			for _, ms := range tt.reports {
				r.ObserveReport(at(ms), pulse.Report{Engine: a, Clock: int64(ms), Interval: tt.interval})
			}

			if got := r.RanUntil(at(12_000)); got > tt.want {
				t.Errorf("got all engines run until %d, want %d at most", got, tt.want)
			}
		})
	}
}
