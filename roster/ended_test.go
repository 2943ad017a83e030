package roster

import (
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"boragehub/pulse"
)

// Guards against ends of targets that nobody is told of, and against planned ends that count.
func TestEndsOfTargetsArePassedOn(t *testing.T) {
	const address = "10.0.0.1:80"

	lists := func(id string, startedMs int64) func(*Roster) {
		return func(r *Roster) {
			l := testListing(id, address, 1)
			l.StartedMs, l.Offset = startedMs, startedMs
			r.ObserveListing(at(10), l)
		}
	}
	reports := func(startedMs int64) func(*Roster) {
		return func(r *Roster) { r.ObserveReport(at(20), pulse.Report{Engine: address, StartedMs: startedMs}) }
	}
	removes := func(r *Roster) { r.ObserveRemoval(at(30), "a") }
	leaves := func(r *Roster) { r.ObserveLeaving(at(15), "a") }

	tests := []struct {
		name  string
		steps []func(*Roster)
		want  []Ended
	}{
		{"listed", []func(*Roster){lists("a", 5)}, nil},
		{"dropped", []func(*Roster){lists("a", 5), removes}, []Ended{{"a", 5, false}}},
		{"dropped after it said that it leaves", []func(*Roster){lists("a", 5), leaves, removes}, nil},
		{"another id at its address", []func(*Roster){lists("a", 5), lists("c", 6)}, []Ended{{"a", 5, true}}},
		{"another id at the address of one that leaves", []func(*Roster){lists("a", 5), leaves, lists("c", 6)}, nil},
		{"late record of an earlier target", []func(*Roster){lists("a", 5), lists("c", 4)}, nil},
		{"restarted under its id, as listed", []func(*Roster){lists("a", 5), lists("a", 6)}, []Ended{{"a", 5, true}}},
		{"restarted under its id, as reported", []func(*Roster){lists("a", 5), reports(6), lists("a", 6)}, []Ended{{"a", 5, true}}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []Ended

			r := New(Config{Self: "entry-1", DataCentre: "east", TargetEnded: func(e Ended) { got = append(got, e) }, Log: logr.Discard()})
			for _, step := range tt.steps {
				step(r)
			}

			r.Tick(at(40))
			r.Tick(at(50))

			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
