package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func request(n int) Fingerprint { return Of("bureau", fmt.Appendf(nil, "request %d", n)) }

func crashOf(n int, at time.Time, running ...Fingerprint) Crash {
	return Crash{Target: fmt.Sprintf("engine-%d", n), Boot: fmt.Sprint(n), At: at, Running: running}
}

func standing(t *testing.T, w *Tracker, f Fingerprint) Standing {
	t.Helper()

	s, err := w.Check(epoch.Add(time.Hour), f)
	if got, want := err != nil, s == Quarantined; got != want {
		t.Errorf("%v: got error %v", s, err)
	}

	if err != nil && failure.KindOf(err) != failure.Quarantined {
		t.Errorf("got kind %v, want quarantined", failure.KindOf(err))
	}

	return s
}

// A case file makes each engine crash that reads it, and the lawyer's client
// sends it again and again. Without a quarantine one engine after the other dies
// and takes everyone's requests along.
func TestSecondCrashQuarantines(t *testing.T) {
	w := NewTracker(TrackerConfig{})
	cause, beside, later := request(0), request(1), request(2)

	w.Crashed(epoch, crashOf(1, epoch, cause, beside))

	if got, want := standing(t, w, cause), Suspect; got != want {
		t.Errorf("cause after one crash: got %v, want %v", got, want)
	}

	// Two reports of one crash, by the side process and an entry, are one.
	w.Crashed(epoch, crashOf(1, epoch, cause))

	if got, want := standing(t, w, cause), Suspect; got != want {
		t.Errorf("cause after a second report of one crash: got %v, want %v", got, want)
	}

	refused := w.Crashed(epoch, crashOf(2, epoch, cause, later))
	if len(refused) != 1 || refused[0] != cause {
		t.Errorf("newly refused: got %v, want the cause alone", refused)
	}

	for _, c := range []struct {
		name string
		f    Fingerprint
		want Standing
	}{{"cause", cause, Quarantined}, {"beside the first crash", beside, Clear}, {"beside the second", later, Clear}} {
		if got := standing(t, w, c.f); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// The connection to an engine was cut, and an entry took it for a crash. All that
// ran there would stay suspect, and crowd where suspects may run.
func TestCutIsNoCrash(t *testing.T) {
	w := NewTracker(TrackerConfig{})
	w.Crashed(epoch, crashOf(1, epoch, request(0)))
	w.Survived(epoch, "engine-1", "1")

	if got, want := standing(t, w, request(0)), Clear; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Two requests were running on both engines that died, since they came together
// before the first report was round. Either may be the cause; were they to excuse
// each other, a third engine would die.
func TestTwoThatAlwaysRanTogetherAreBothRefused(t *testing.T) {
	w := NewTracker(TrackerConfig{})
	w.Crashed(epoch, crashOf(1, epoch, request(0), request(1)))
	w.Crashed(epoch, crashOf(2, epoch, request(0), request(1)))

	for n := range 2 {
		if got, want := standing(t, w, request(n)), Quarantined; got != want {
			t.Errorf("request %d: got %v, want %v", n, got, want)
		}
	}
}

// Two suspects of one crash are sent again to one engine. If both were to run
// and it died, both would be refused and one of them by mistake.
func TestSuspectsRunOneAtATime(t *testing.T) {
	var i Isolation

	for range 2 {
		if !i.Begin(request(0)) {
			t.Error("first suspect: got refused, want it to run, also twice")
		}
	}

	i.End(request(0))

	if i.Begin(request(1)) {
		t.Error("second suspect: got to run beside the first")
	}

	i.End(request(0))

	if !i.Begin(request(1)) {
		t.Error("second suspect: got refused with none running")
	}
}

// A lookup that many people send was running as two VMs died of old age. It must
// not be refused, since it has run to its end in between.
func TestCompletionClears(t *testing.T) {
	w := NewTracker(TrackerConfig{})
	w.Crashed(epoch, crashOf(1, epoch, request(0)))
	w.Completed(epoch.Add(time.Second), request(0))
	w.Crashed(epoch.Add(time.Minute), crashOf(2, epoch.Add(-time.Hour), request(0)))

	if got, want := standing(t, w, request(0)), Suspect; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Reports come from many entries and again from the log after a restart; what
// they fill must be bounded, and an old one must not refuse a request for ever.
func TestCrashesAreBoundedAndExpire(t *testing.T) {
	w := NewTracker(TrackerConfig{Most: 10, MostRunning: 5})

	for i := range 50 {
		var running []Fingerprint
		for j := range 20 {
			running = append(running, request(i*100+j))
		}

		w.Crashed(epoch, crashOf(i, epoch, running...))
	}

	crashes, fingerprints := w.Len()
	if crashes != 10 || fingerprints != 50 {
		t.Errorf("got %d crashes with %d fingerprints, want 10 with 50", crashes, fingerprints)
	}

	w.Crashes(epoch.Add(25 * time.Hour))

	if crashes, fingerprints = w.Len(); crashes+fingerprints != 0 {
		t.Errorf("after a day: got %d crashes with %d fingerprints, want none", crashes, fingerprints)
	}
}

// world is the model of TestThirdTargetIsNeverLost: targets, entries that hear of
// crashes late, and callers who try again at any entry.
type world struct {
	now      time.Time
	entries  []*Tracker
	targets  []*machine
	pending  []report
	deaths   map[int]int       // targets that died while the request ran, by request
	answered map[int]time.Time // when the request's caller last lost it
	refused  map[int]bool
	boots    int
}

type machine struct {
	boot      int
	running   []int
	isolation Isolation
	suspects  map[int]bool
}

type report struct {
	entry int
	due   time.Time
	crash Crash
}

// spread is how long a report takes at most to reach every entry, and how long a
// caller takes at least until it sends a request again after it lost it.
const spread = 5 * time.Second

func (w *world) deliver() {
	left := w.pending[:0]

	for _, r := range w.pending {
		if r.due.After(w.now) {
			left = append(left, r)
			continue
		}

		w.entries[r.entry].Crashed(w.now, r.crash)
	}

	w.pending = left
}

// start sends a request by an entry and reports whether it began to run.
func (w *world) start(entry, n, target int) bool {
	s, err := w.entries[entry].Check(w.now, request(n))
	if err != nil {
		w.refused[n] = true
		return false
	}

	m := w.targets[target]
	if s == Suspect && !m.isolation.Begin(request(n)) {
		return false
	}

	m.suspects[n] = s == Suspect
	m.running = append(m.running, n)

	return true
}

// finish ends a request on a target; a cause kills the target instead.
func (w *world) finish(rt *rapid.T, target int, causes map[int]bool, pick int) {
	m := w.targets[target]
	n := m.running[pick]

	if causes[n] {
		w.die(rt, target, true)
		return
	}

	m.running = append(m.running[:pick:pick], m.running[pick+1:]...)
	if m.suspects[n] {
		m.isolation.End(request(n))
	}

	for _, e := range w.entries {
		e.Completed(w.now, request(n))
	}
}

// die ends a target and everything on it, and sends its report to each entry.
func (w *world) die(rt *rapid.T, target int, crashed bool) {
	m := w.targets[target]
	c := Crash{Target: fmt.Sprint(target), Boot: fmt.Sprint(m.boot), At: w.now}

	for _, n := range m.running {
		w.deaths[n]++
		w.answered[n] = w.now

		c.Running = append(c.Running, request(n))
	}

	if crashed || rapid.Bool().Draw(rt, "reported") {
		for e := range w.entries {
			due := w.now.Add(time.Duration(rapid.Int64Range(0, int64(spread)).Draw(rt, "delay")))
			w.pending = append(w.pending, report{e, due, c})
		}
	}

	w.boots++
	w.targets[target] = &machine{boot: w.boots, suspects: map[int]bool{}}
}

func newWorld(entries, targets int) *world {
	w := &world{now: epoch, deaths: map[int]int{}, answered: map[int]time.Time{}, refused: map[int]bool{}}

	for range entries {
		w.entries = append(w.entries, NewTracker(TrackerConfig{}))
	}

	for range targets {
		w.boots++
		w.targets = append(w.targets, &machine{boot: w.boots, suspects: map[int]bool{}})
	}

	return w
}

// TestThirdTargetIsNeverLost has one or two requests that crash each target that
// runs them, among others that do no harm, and callers who try again at any
// entry after some seconds. The cause must never take a third target, and with
// one cause nobody else may be refused.
func TestThirdTargetIsNeverLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const requests = 6

		w := newWorld(3, 4)
		causes := map[int]bool{0: true, 1: rapid.Bool().Draw(rt, "second cause")}

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond)
				w.deliver()
			},
			"send": func(rt *rapid.T) {
				n := rapid.IntRange(0, requests-1).Draw(rt, "request")
				if at, ok := w.answered[n]; ok && w.now.Sub(at) <= spread {
					return
				}

				// A caller waits for its answer before it sends the request again.
				for _, m := range w.targets {
					for _, r := range m.running {
						if r == n {
							return
						}
					}
				}

				w.start(rapid.IntRange(0, 2).Draw(rt, "entry"), n, rapid.IntRange(0, 3).Draw(rt, "target"))
			},
			"finish": func(rt *rapid.T) {
				target := rapid.IntRange(0, 3).Draw(rt, "target")
				if k := len(w.targets[target].running); k > 0 {
					w.finish(rt, target, causes, rapid.IntRange(0, k-1).Draw(rt, "which"))
				}
			},
			"again": func(rt *rapid.T) {
				if len(w.pending) > 0 { // a report heard twice
					w.pending = append(w.pending, rapid.SampledFrom(w.pending).Draw(rt, "report"))
				}
			},
			"": func(rt *rapid.T) {
				for n := range causes {
					if causes[n] && w.deaths[n] > 2 {
						rt.Fatalf("request %d: got %d targets lost, want at most 2", n, w.deaths[n])
					}
				}

				for n := range w.refused {
					if !causes[n] && !causes[1] {
						rt.Fatalf("request %d: got refused, want only the cause refused", n)
					}
				}
			},
		})
	})
}

// TestOrderOfReportsDoesNotMatter gives two entries the same reports in different
// orders. Were they to disagree, a caller who tries the other entry would have
// its refused request run.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var crashes []Crash

		for i := range rapid.IntRange(1, 8).Draw(rt, "crashes") {
			numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 4, rapid.ID).Draw(rt, "running")

			var running []Fingerprint
			for _, n := range numbers {
				running = append(running, request(n))
			}

			crashes = append(crashes, crashOf(i, epoch, running...))
		}

		one, other := NewTracker(TrackerConfig{}), NewTracker(TrackerConfig{})
		for _, c := range crashes {
			one.Crashed(epoch, c)
		}

		for _, c := range rapid.Permutation(crashes).Draw(rt, "order") {
			other.Crashed(epoch, c)
			other.Crashed(epoch, c)
		}

		for n := range 6 {
			got, _ := one.Check(epoch, request(n))
			want, _ := other.Check(epoch, request(n))

			if got != want {
				rt.Fatalf("request %d: got %v in one order and %v in another", n, got, want)
			}
		}
	})
}

// A caller sends a suspect to many entries at once. They must all choose the
// same target, so that it takes one and not several.
func TestHomeIsTheSameForAll(t *testing.T) {
	vms := []string{"engine-1", "engine-2", "engine-3", "engine-4"}
	turned := []string{"engine-3", "engine-1", "engine-4", "engine-2"}
	homes := map[string]int{}

	for n := range 400 {
		got, want := Home(request(n), vms), Home(request(n), turned)
		if got != want {
			t.Errorf("request %d: got homes %s and %s", n, got, want)
		}

		homes[got]++
	}

	for _, vm := range vms {
		if got := homes[vm]; got < 60 || got > 140 {
			t.Errorf("%s: got %d of 400 suspects, want about a quarter", vm, got)
		}
	}
}

// Operators publish another number of crashes while requests are under suspicion.
func TestConfigureIsInForceAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewTracker(TrackerConfig{Crashes: 3})
	f := Of("transit", []byte("poison"))

	for _, target := range []string{"a", "b"} {
		w.Crashed(now, Crash{Target: target, Boot: "1", At: now, Running: []Fingerprint{f}})
	}

	if got, _ := w.Check(now, f); got != Suspect {
		t.Errorf("two crashes of three: got %v, want %v", got, Suspect)
	}

	w.Configure(TrackerConfig{Crashes: 2})

	if got, _ := w.Check(now, f); got != Quarantined {
		t.Errorf("two crashes of two: got %v, want %v", got, Quarantined)
	}
}
