package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func fingerprint(n int) Fingerprint {
	return FingerprintOf("bureau", fmt.Appendf(nil, "request %d", n))
}

func crashOf(n int, at time.Time, running ...Fingerprint) Crash {
	return Crash{Target: fmt.Sprintf("engine-%d", n), Boot: fmt.Sprint(n), At: at, Running: running}
}

func checkStatus(t *testing.T, tr *Tracker, f Fingerprint) Status {
	t.Helper()

	s, err := tr.Check(epoch.Add(time.Hour), f)
	if got, want := err != nil, s == Quarantined; got != want {
		t.Errorf("%v: got error %v", s, err)
	}

	if err != nil && failure.KindOf(err) != failure.Quarantined {
		t.Errorf("got kind %v, want quarantined", failure.KindOf(err))
	}

	return s
}

// A request crashes every engine that runs it, and its caller retries it. If it is not
// quarantined it crashes one engine after the other, each with all other requests on it.
func TestSecondCrashQuarantines(t *testing.T) {
	tr := NewTracker(TrackerConfig{})
	cause, bystander, later := fingerprint(0), fingerprint(1), fingerprint(2)

	tr.RecordCrash(epoch, crashOf(1, epoch, cause, bystander))

	if got, want := checkStatus(t, tr, cause), Suspect; got != want {
		t.Errorf("cause after one crash: got %v, want %v", got, want)
	}

	// Two reports of one crash, by the side process and by an entry, count once.
	tr.RecordCrash(epoch, crashOf(1, epoch, cause))

	if got, want := checkStatus(t, tr, cause), Suspect; got != want {
		t.Errorf("cause after a second report of one crash: got %v, want %v", got, want)
	}

	refused := tr.RecordCrash(epoch, crashOf(2, epoch, cause, later))
	if len(refused) != 1 || refused[0] != cause {
		t.Errorf("newly refused: got %v, want the cause alone", refused)
	}

	for _, c := range []struct {
		name string
		f    Fingerprint
		want Status
	}{{"cause", cause, Quarantined}, {"beside the first crash", bystander, Clear}, {"beside the second", later, Clear}} {
		if got := checkStatus(t, tr, c.f); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// The connection to an engine broke, and an entry reported a crash. If the report is not
// withdrawn, all requests that ran there stay suspects and queue for isolated runs.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	tr := NewTracker(TrackerConfig{})
	tr.RecordCrash(epoch, crashOf(1, epoch, fingerprint(0)))
	tr.WithdrawCrash(epoch, "engine-1", "1")

	if got, want := checkStatus(t, tr, fingerprint(0)), Clear; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Two requests ran on both engines that crashed, because they arrived together before the
// first report had spread. Either may be the cause; if each cleared the other, they would
// crash a third engine.
func TestTwoThatAlwaysRanTogetherAreBothRefused(t *testing.T) {
	tr := NewTracker(TrackerConfig{})
	tr.RecordCrash(epoch, crashOf(1, epoch, fingerprint(0), fingerprint(1)))
	tr.RecordCrash(epoch, crashOf(2, epoch, fingerprint(0), fingerprint(1)))

	for n := range 2 {
		if got, want := checkStatus(t, tr, fingerprint(n)), Quarantined; got != want {
			t.Errorf("request %d: got %v, want %v", n, got, want)
		}
	}
}

// Two suspects of one crash are retried on the same engine. If they ran together and it
// crashed, both would be refused, one of them wrongly.
func TestSuspectsRunOneAtATime(t *testing.T) {
	var i Isolation

	for range 2 {
		if !i.Begin(fingerprint(0)) {
			t.Error("first suspect: got refused, want it to run twice concurrently")
		}
	}

	i.End(fingerprint(0))

	if i.Begin(fingerprint(1)) {
		t.Error("second suspect: got started beside the first, want it refused")
	}

	i.End(fingerprint(0))

	if !i.Begin(fingerprint(1)) {
		t.Error("second suspect: got refused with none running, want it to run")
	}
}

// A harmless request was running when two VMs failed, and completed in between. Only the
// second crash counts, although its reporter's clock is behind, so it is not refused.
func TestCompletionClears(t *testing.T) {
	tr := NewTracker(TrackerConfig{})
	tr.RecordCrash(epoch, crashOf(1, epoch, fingerprint(0)))
	tr.RecordCompletion(epoch.Add(time.Second), fingerprint(0))
	tr.RecordCrash(epoch.Add(time.Minute), crashOf(2, epoch.Add(-time.Hour), fingerprint(0)))

	if got, want := checkStatus(t, tr, fingerprint(0)), Suspect; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Reports arrive from many entries, and again from the log after a restart. The memory for
// them must be bounded, and an old report must not refuse a request forever.
func TestCrashesAreBoundedAndExpire(t *testing.T) {
	tr := NewTracker(TrackerConfig{MaxCrashes: 10, MaxRunning: 5})

	for i := range 50 {
		var running []Fingerprint
		for j := range 20 {
			running = append(running, fingerprint(i*100+j))
		}

		tr.RecordCrash(epoch, crashOf(i, epoch, running...))
	}

	crashes, fingerprints := tr.Len()
	if crashes != 10 || fingerprints != 50 {
		t.Errorf("got %d crashes with %d fingerprints, want 10 with 50", crashes, fingerprints)
	}

	tr.Crashes(epoch.Add(25 * time.Hour))

	if crashes, fingerprints = tr.Len(); crashes+fingerprints != 0 {
		t.Errorf("after a day: got %d crashes with %d fingerprints, want none", crashes, fingerprints)
	}
}

// testEnv is the model of TestCauseNeverCrashesThirdTarget: targets, entries that receive
// crash reports late, and callers that retry at any entry.
type testEnv struct {
	now     time.Time
	entries []*Tracker
	targets []*testTarget
	pending []delayedReport
	crashes map[int]int       // targets that crashed while the request ran, by request
	lostAt  map[int]time.Time // when the request was last lost in a crash, by request
	refused map[int]bool
	boots   int
}

type testTarget struct {
	boot      int
	running   []int
	isolation Isolation
	suspects  map[int]bool
}

type delayedReport struct {
	entry     int
	deliverAt time.Time
	crash     Crash
}

// maxReportDelay is the maximum time until a report has reached every entry, and the
// minimum time until a caller retries a request that it lost.
const maxReportDelay = 5 * time.Second

func (e *testEnv) deliver() {
	left := e.pending[:0]

	for _, r := range e.pending {
		if r.deliverAt.After(e.now) {
			left = append(left, r)
			continue
		}

		e.entries[r.entry].RecordCrash(e.now, r.crash)
	}

	e.pending = left
}

// start sends a request through an entry to a target and reports whether it started.
func (e *testEnv) start(entry, n, target int) bool {
	s, err := e.entries[entry].Check(e.now, fingerprint(n))
	if err != nil {
		e.refused[n] = true
		return false
	}

	m := e.targets[target]
	if s == Suspect && !m.isolation.Begin(fingerprint(n)) {
		return false
	}

	m.suspects[n] = s == Suspect
	m.running = append(m.running, n)

	return true
}

// finish completes a request on a target; a cause crashes the target instead.
func (e *testEnv) finish(rt *rapid.T, target int, causes map[int]bool, pick int) {
	m := e.targets[target]
	n := m.running[pick]

	if causes[n] {
		e.crash(rt, target, true)
		return
	}

	m.running = append(m.running[:pick:pick], m.running[pick+1:]...)
	if m.suspects[n] {
		m.isolation.End(fingerprint(n))
	}

	for _, entry := range e.entries {
		entry.RecordCompletion(e.now, fingerprint(n))
	}
}

// crash restarts a target, which loses its requests, and sends a report to each entry;
// without crashed, the target failed for another reason and a report is optional.
func (e *testEnv) crash(rt *rapid.T, target int, crashed bool) {
	m := e.targets[target]
	c := Crash{Target: fmt.Sprint(target), Boot: fmt.Sprint(m.boot), At: e.now}

	for _, n := range m.running {
		e.crashes[n]++
		e.lostAt[n] = e.now

		c.Running = append(c.Running, fingerprint(n))
	}

	if crashed || rapid.Bool().Draw(rt, "reported") {
		for entry := range e.entries {
			due := e.now.Add(time.Duration(rapid.Int64Range(0, int64(maxReportDelay)).Draw(rt, "delay")))
			e.pending = append(e.pending, delayedReport{entry, due, c})
		}
	}

	e.boots++
	e.targets[target] = &testTarget{boot: e.boots, suspects: map[int]bool{}}
}

func newTestEnv(entries, targets int) *testEnv {
	e := &testEnv{now: epoch, crashes: map[int]int{}, lostAt: map[int]time.Time{}, refused: map[int]bool{}}

	for range entries {
		e.entries = append(e.entries, NewTracker(TrackerConfig{}))
	}

	for range targets {
		e.boots++
		e.targets = append(e.targets, &testTarget{boot: e.boots, suspects: map[int]bool{}})
	}

	return e
}

// TestCauseNeverCrashesThirdTarget has one or two requests that crash every target that runs
// them, harmless requests beside them, and callers that retry at any entry after some
// seconds. No cause may crash a third target, and with a single cause no other request
// may be refused.
func TestCauseNeverCrashesThirdTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const requests = 6

		e := newTestEnv(3, 4)
		causes := map[int]bool{0: true, 1: rapid.Bool().Draw(rt, "second cause")}

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				e.now = e.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond)
				e.deliver()
			},
			"send": func(rt *rapid.T) {
				n := rapid.IntRange(0, requests-1).Draw(rt, "request")
				if at, ok := e.lostAt[n]; ok && e.now.Sub(at) <= maxReportDelay {
					return
				}

				// A caller waits for the response before it sends the request again.
				for _, m := range e.targets {
					for _, r := range m.running {
						if r == n {
							return
						}
					}
				}

				e.start(rapid.IntRange(0, 2).Draw(rt, "entry"), n, rapid.IntRange(0, 3).Draw(rt, "target"))
			},
			"finish": func(rt *rapid.T) {
				target := rapid.IntRange(0, 3).Draw(rt, "target")
				if k := len(e.targets[target].running); k > 0 {
					e.finish(rt, target, causes, rapid.IntRange(0, k-1).Draw(rt, "which"))
				}
			},
			"again": func(rt *rapid.T) {
				if len(e.pending) > 0 { // a report that is delivered twice
					e.pending = append(e.pending, rapid.SampledFrom(e.pending).Draw(rt, "report"))
				}
			},
			"": func(rt *rapid.T) {
				for n := range causes {
					if causes[n] && e.crashes[n] > 2 {
						rt.Fatalf("request %d: got %d targets crashed, want at most 2", n, e.crashes[n])
					}
				}

				for n := range e.refused {
					if !causes[n] && !causes[1] {
						rt.Fatalf("request %d: got refused, want only the cause refused", n)
					}
				}
			},
		})
	})
}

// TestOrderOfReportsDoesNotMatter gives two entries the same reports in different orders.
// If they disagreed, a refused request would run when its caller retries at the other
// entry.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var crashes []Crash

		for i := range rapid.IntRange(1, 8).Draw(rt, "crashes") {
			numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 4, rapid.ID).Draw(rt, "running")

			var running []Fingerprint
			for _, n := range numbers {
				running = append(running, fingerprint(n))
			}

			crashes = append(crashes, crashOf(i, epoch, running...))
		}

		one, other := NewTracker(TrackerConfig{}), NewTracker(TrackerConfig{})
		for _, c := range crashes {
			one.RecordCrash(epoch, c)
		}

		for _, c := range rapid.Permutation(crashes).Draw(rt, "order") {
			other.RecordCrash(epoch, c)
			other.RecordCrash(epoch, c)
		}

		for n := range 6 {
			got, _ := one.Check(epoch, fingerprint(n))
			want, _ := other.Check(epoch, fingerprint(n))

			if got != want {
				rt.Fatalf("request %d: got %v in one order and %v in another", n, got, want)
			}
		}
	})
}

// A caller sends a suspect to many entries at once. All of them must choose the same
// target, so that at most one crashes.
func TestEntriesChooseTheSameIsolationVM(t *testing.T) {
	vms := []string{"engine-1", "engine-2", "engine-3", "engine-4"}
	permuted := []string{"engine-3", "engine-1", "engine-4", "engine-2"}
	chosen := map[string]int{}

	for n := range 400 {
		got, want := IsolationVM(fingerprint(n), vms), IsolationVM(fingerprint(n), permuted)
		if got != want {
			t.Errorf("request %d: got VMs %s and %s, want the same", n, got, want)
		}

		chosen[got]++
	}

	for _, vm := range vms {
		if got := chosen[vm]; got < 60 || got > 140 {
			t.Errorf("%s: got %d of 400 suspects, want about a quarter", vm, got)
		}
	}
}

// Operators publish another number of crashes while requests are suspects.
func TestConfigureTakesEffectAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tr := NewTracker(TrackerConfig{CrashLimit: 3})
	f := FingerprintOf("transit", []byte("poison"))

	for _, target := range []string{"a", "b"} {
		tr.RecordCrash(now, Crash{Target: target, Boot: "1", At: now, Running: []Fingerprint{f}})
	}

	if got, _ := tr.Check(now, f); got != Suspect {
		t.Errorf("two crashes of three: got %v, want %v", got, Suspect)
	}

	tr.Configure(TrackerConfig{CrashLimit: 2})

	if got, _ := tr.Check(now, f); got != Quarantined {
		t.Errorf("two crashes of two: got %v, want %v", got, Quarantined)
	}
}

func TestDigestDependsOnTheCrashesOnly(t *testing.T) {
	fill := func(order ...int) *Tracker {
		tr := NewTracker(TrackerConfig{})
		for _, i := range order {
			tr.RecordCrash(epoch.Add(time.Duration(i)*time.Second), crashOf(i, epoch, fingerprint(i), fingerprint(i+1)))
		}

		return tr
	}

	a, b, c := fill(1, 2, 3), fill(3, 1, 2, 2), fill(1, 2)
	if got, want := a.Digest(epoch), b.Digest(epoch); got != want {
		t.Errorf("same crashes: got %x and %x, want equal digests", got, want)
	}

	if got := c.Digest(epoch); got == a.Digest(epoch) {
		t.Error("one crash less: got equal digests")
	}

	c.RecordCrash(epoch, crashOf(3, epoch, fingerprint(3)))

	if got := c.Digest(epoch); got == a.Digest(epoch) {
		t.Error("one request less: got equal digests")
	}

	c.RecordCrash(epoch, crashOf(3, epoch, fingerprint(4)))

	if got, want := c.Digest(epoch), a.Digest(epoch); got != want {
		t.Errorf("after the last request: got %x, want %x", got, want)
	}
}
