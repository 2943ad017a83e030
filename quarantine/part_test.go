package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// crashedAt returns the n-th crash with some parts.
func crashedAt(n int, at time.Time, parts ...string) Crash {
	return Crash{Target: fmt.Sprintf("engine-%d", n), Boot: fmt.Sprint(n), At: at, Parts: parts}
}

func seconds(s float64) time.Time {
	return epoch.Add(time.Duration(s * float64(time.Second)))
}

// Guards against a part that crashes targets and isn't found, and against one that is refused for crashes of another
// cause.
func TestPartsAreToldApart(t *testing.T) {
	type step struct {
		at        float64
		crash     []string // parts that were running when a target crashed
		completed []string
	}

	tests := []struct {
		name  string
		steps []step
		want  map[string]Status
	}{
		{"crashed thrice", []step{{1, []string{"a"}, nil}, {2, []string{"a"}, nil}, {3, []string{"a"}, nil}}, map[string]Status{"a": Quarantined}},
		{"crashed twice", []step{{1, []string{"a"}, nil}, {2, []string{"a"}, nil}}, map[string]Status{"a": Suspect}},
		{"crashed once", []step{{1, []string{"a"}, nil}}, map[string]Status{"a": Clear}},
		{"completed between", []step{{1, []string{"a"}, nil}, {2, []string{"a"}, nil}, {2.5, nil, []string{"a"}}, {5, []string{"a"}, nil}}, map[string]Status{"a": Clear}},
		{"completed just before each", []step{{0, nil, []string{"a"}}, {1, []string{"a"}, nil}, {1.5, []string{"a"}, nil}, {2, []string{"a"}, nil}}, map[string]Status{"a": Clear}},
		{"completed long before", []step{{0, nil, []string{"a"}}, {11, []string{"a"}, nil}, {12, []string{"a"}, nil}, {13, []string{"a"}, nil}}, map[string]Status{"a": Quarantined}},
		{"cleared once quarantined", []step{{1, []string{"a"}, nil}, {2, []string{"a"}, nil}, {3, []string{"a"}, nil}, {4, nil, []string{"a"}}}, map[string]Status{"a": Clear}},
		{"all targets lose power", []step{
			{1, []string{"a", "b"}, nil}, {1.001, []string{"a", "c"}, nil}, {1.002, []string{"a", "b"}, nil}, {1.1, []string{"a"}, nil}, {1.2, []string{"a"}, nil},
		}, map[string]Status{"a": Clear, "b": Clear, "c": Clear}},
		{"others have responses", []step{
			{1, []string{"first", "bad"}, nil}, {1.5, nil, []string{"first"}}, {2, []string{"first", "bad"}, nil}, {3, []string{"first", "bad"}, nil},
		}, map[string]Status{"first": Clear, "bad": Quarantined}},
		{"others had responses long ago", []step{
			{0, nil, []string{"first"}}, {11, []string{"first", "bad"}, nil}, {12, []string{"first", "bad"}, nil}, {13, []string{"first", "bad"}, nil},
		}, map[string]Status{"first": Clear, "bad": Quarantined}},
		{"beside the cause by chance", []step{
			{1, []string{"bad", "beside"}, nil}, {2, []string{"bad"}, nil}, {3, []string{"bad", "beside"}, nil}, {4, []string{"bad", "beside"}, nil},
		}, map[string]Status{"bad": Quarantined, "beside": Clear}},
		{"always together", []step{{1, []string{"a", "b"}, nil}, {2, []string{"a", "b"}, nil}, {3, []string{"a", "b"}, nil}}, map[string]Status{"a": Quarantined, "b": Quarantined}},
		{"two causes with the same first part", []step{
			{0, nil, []string{"first"}},
			{11, []string{"first", "bad1"}, nil}, {12, []string{"first", "bad2"}, nil}, {13, []string{"first", "bad1"}, nil},
			{14, []string{"first", "bad2"}, nil}, {15, []string{"first", "bad1"}, nil}, {16, []string{"first", "bad2"}, nil},
		}, map[string]Status{"first": Clear, "bad1": Quarantined, "bad2": Quarantined}},
	}

	for _, tt := range tests {
		tr := NewPartTracker(PartTrackerConfig{})
		now := epoch

		for i, s := range tt.steps {
			now = seconds(s.at)
			tr.RecordCrash(now, crashedAt(i, now, s.crash...))
			tr.RecordCompletion(now, s.completed)
		}

		for part, want := range tt.want {
			v := tr.Check(now, []string{part})
			if v.Status != want {
				t.Errorf("%s: got %s %v after %d crashes, want %v", tt.name, part, v.Status, v.Crashes, want)
			}

			if got := v.Err(); (got != nil) != (want == Quarantined) || got != nil && failure.KindOf(got) != failure.Quarantined {
				t.Errorf("%s: got error %v for %s", tt.name, got, part)
			}
		}
	}
}

// Guards against a target's end that counts several times, as each entry reports it with its own prompts, and against a
// report that comes after the response which clears a part.
func TestReportsOfOneCrashAreMerged(t *testing.T) {
	tr := NewPartTracker(PartTrackerConfig{Separation: 1})

	for i := range 5 {
		tr.RecordCrash(seconds(float64(i)), crashedAt(1, seconds(float64(i)), "a"))
	}

	if got, want := tr.Check(seconds(6), []string{"a"}).Status, Clear; got != want {
		t.Errorf("one crash reported five times: got %v, want %v", got, want)
	}

	tr.RecordCompletion(seconds(7), []string{"a"})

	for i := range 5 {
		tr.RecordCrash(seconds(8), crashedAt(10+i, seconds(6), "a"))
	}

	if got, want := tr.Check(seconds(9), []string{"a"}).Status, Clear; got != want {
		t.Errorf("reports that came late: got %v, want %v", got, want)
	}
}

// Guards against a part that is refused forever although only other causes crashed its targets, and against one that is
// tried so often that it crashes one target after the other.
func TestQuarantinedPartIsProbed(t *testing.T) {
	tr := NewPartTracker(PartTrackerConfig{ProbeDelay: time.Minute})
	at, crashes, probes := 0.0, 0, []float64{}

	crash := func() {
		crashes++

		tr.RecordCrash(seconds(at), crashedAt(crashes, seconds(at), "a"))
	}

	for range 3 {
		at++

		crash()
	}

	for ; at < 600; at++ {
		if tr.BeginProbe(seconds(at), "a", 0) {
			probes = append(probes, at)

			crash()
		}
	}

	if want := []float64{63, 183, 423}; !slices.Equal(probes, want) {
		t.Errorf("got probes at %v s, want %v", probes, want)
	}

	if cleared := tr.RecordCompletion(seconds(at), []string{"a", "b"}); !slices.Equal(cleared, []string{"a"}) {
		t.Errorf("got %v cleared by a response, want a", cleared)
	}

	if tr.BeginProbe(seconds(10*at), "a", 0) || tr.Check(seconds(at), []string{"a"}).Status != Clear {
		t.Error("got a part that is still refused after a response")
	}
}

// Guards against memory that grows with crashes and prompts, and against crashes that count forever.
func TestPartsAreBoundedAndExpire(t *testing.T) {
	tr := NewPartTracker(PartTrackerConfig{MaxCrashes: 10, MaxParts: 5, MaxCompleted: 7})

	for i := range 50 {
		var parts []string
		for j := range 20 {
			parts = append(parts, fmt.Sprint(i, j))
		}

		tr.RecordCrash(seconds(float64(i)), crashedAt(i, seconds(float64(i)), parts...))
		tr.RecordCompletion(seconds(float64(i)), []string{fmt.Sprint("completed", i)})
	}

	if crashes, parts := tr.Len(); crashes != 10 || parts != 50 || tr.completed.Len() != 7 {
		t.Errorf("got %d crashes with %d parts, and %d completed ones, want 10, 50 and 7", crashes, parts, tr.completed.Len())
	}

	tr.Check(epoch.Add(25*time.Hour), nil)

	if crashes, parts := tr.Len(); crashes+parts != 0 {
		t.Errorf("after a day: got %d crashes with %d parts, want none", crashes, parts)
	}
}

// Guards against a process that starts and takes parts for suspects which got responses at others that it doesn't know
// of.
func TestOnlySuspectPartsArePassedOn(t *testing.T) {
	known, started := NewPartTracker(PartTrackerConfig{}), NewPartTracker(PartTrackerConfig{})

	for i := range 6 {
		at := seconds(float64(10 * i))
		known.RecordCrash(at, crashedAt(i, at, "sound", "bad"))
		known.RecordCompletion(at.Add(time.Second), []string{"sound"})
	}

	now := seconds(60)
	if got, other := known.Digest(now), started.Digest(now); got == other {
		t.Error("got equal digests of different crashes")
	}

	for _, c := range known.Crashes(now) {
		started.RecordCrash(now, c)
	}

	for part, want := range map[string]Status{"sound": Clear, "bad": Quarantined} {
		if got := started.Check(now, []string{part}).Status; got != want {
			t.Errorf("%s: got %v at the process that started, want %v", part, got, want)
		}
	}

	if got, want := started.Digest(now), known.Digest(now); got != want {
		t.Errorf("got digest %x at the process that started, want %x", got, want)
	}
}

// partFleet is the model of TestPartsOfAllEntries: entries that hear of crashes and responses at once or
// later.
type partFleet struct {
	now     time.Time
	entries []*partEntry
	crashes int
	ended   map[string]int // targets that ended under a part
}

type partEntry struct {
	tracker *PartTracker
	pending []func(now time.Time, e *partEntry)
}

// soundParts are the parts of sound prompts.
var soundParts = []string{"first", "second", "third"}

func newPartFleet(entries int) *partFleet {
	f := &partFleet{now: epoch, ended: make(map[string]int)}
	for range entries {
		f.entries = append(f.entries, &partEntry{tracker: NewPartTracker(PartTrackerConfig{})})
	}

	return f
}

// tell lets entries know of something, now or with the next step.
func (f *partFleet) tell(rt *rapid.T, what func(now time.Time, e *partEntry)) {
	for _, e := range f.entries {
		if rapid.Bool().Draw(rt, "at once") {
			what(f.now, e)
		} else {
			e.pending = append(e.pending, what)
		}
	}
}

func (f *partFleet) crash(rt *rapid.T, parts ...string) {
	f.crashes++

	c := crashedAt(f.crashes, f.now, parts...)
	f.tell(rt, func(now time.Time, e *partEntry) { e.tracker.RecordCrash(now, c) })
}

func (f *partFleet) complete(rt *rapid.T, parts ...string) {
	f.tell(rt, func(now time.Time, e *partEntry) { e.tracker.RecordCompletion(now, parts) })
}

func (f *partFleet) pass(d time.Duration) {
	f.now = f.now.Add(d)

	for _, e := range f.entries {
		for _, what := range e.pending {
			what(f.now, e)
		}

		e.pending = nil
	}
}

// restart starts an entry anew, which learns from the others.
func (f *partFleet) restart(rt *rapid.T) {
	f.pass(0)

	started := NewPartTracker(PartTrackerConfig{})
	f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(rt, "entry")].tracker = started

	for _, other := range f.entries {
		for _, c := range other.tracker.Crashes(f.now) {
			started.RecordCrash(f.now, c)
		}
	}
}

// accepts reports whether an entry accepts a prompt.
func (f *partFleet) accepts(rt *rapid.T, parts ...string) bool {
	e := f.entries[rapid.IntRange(0, len(f.entries)-1).Draw(rt, "entry")]

	return e.tracker.Check(f.now, parts).Status != Quarantined
}

// probe lets entries try quarantined parts that are sound.
func (f *partFleet) probe(rt *rapid.T) {
	for _, e := range f.entries {
		for _, p := range soundParts {
			if e.tracker.Check(f.now, []string{p}).Status == Quarantined && e.tracker.BeginProbe(f.now, p, 0) {
				f.complete(rt, p)
			}
		}
	}
}

// Guards against a part that crashes more than five targets and three more, whatever the order of requests,
// reports, responses, other crashes and starts of entries, and against sound parts that stay refused.
func TestPartsOfAllEntries(t *testing.T) {
	const (
		limit   = 5 + 3
		entries = 4
	)

	rapid.Check(t, func(rt *rapid.T) {
		f := newPartFleet(entries)
		bad := rapid.IntRange(1, 3).Draw(rt, "bad")
		shared := func() []string {
			return [][]string{{"first"}, {"first", "second"}, {"first", "third"}}[rapid.IntRange(0, 2).Draw(rt, "shared")]
		}

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				f.pass(time.Duration(rapid.IntRange(300, 3000).Draw(rt, "ms")) * time.Millisecond)
			},
			"bad prompt": func(rt *rapid.T) {
				part := fmt.Sprintf("bad%d", rapid.IntRange(1, bad).Draw(rt, "part"))

				parts := append(shared(), part)
				if !f.accepts(rt, parts...) {
					return
				}

				f.ended[part]++
				f.crash(rt, parts...)
				f.pass(300 * time.Millisecond)

				if f.ended[part] > limit {
					rt.Fatalf("got %d targets ended under %s, want at most %d", f.ended[part], part, limit)
				}
			},
			"sound prompt": func(rt *rapid.T) {
				if parts := shared(); f.accepts(rt, parts...) {
					f.complete(rt, parts...)
				}
			},
			"loss of power": func(rt *rapid.T) {
				for range 6 {
					f.crash(rt, soundParts...)
				}

				f.pass(300 * time.Millisecond)
			},
			"start of an entry": f.restart,
		})

		// In the end prompts are tried, and what got responses is served. A part that explained the crashes
		// of another one may have to be tried first.
		for range soundParts {
			f.pass(2 * time.Hour)
			f.probe(rt)
		}

		f.pass(time.Second)

		for i, e := range f.entries {
			if v := e.tracker.Check(f.now, soundParts); v.Status == Quarantined {
				rt.Errorf("entry %d: got %s refused after a response to a prompt with it", i, v.Part)
			}
		}
	})
}
