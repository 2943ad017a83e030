package target

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const service = "boragehub-llm"

func list(vms ...string) []Listed {
	var rows []Listed
	for _, vm := range vms {
		rows = append(rows, Listed{VM: vm, DataCentre: "yvr-east", Kind: KindEngine, Service: service, SideAddress: "127.0.0.1:1", State: Live})
	}

	return rows
}

func newTable(vms ...string) *Table {
	t := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east"})
	t.ObserveList(epoch, list(vms...))

	for _, vm := range vms {
		t.ObserveHello(epoch, Hello{VM: vm, BootID: "1", Sequence: 1, State: Ready})
	}

	return t
}

func offers(t *Table, now time.Time, vm string) bool {
	for _, c := range t.Candidates(now, service) {
		if c.VM == vm {
			return true
		}
	}

	return false
}

// A VM is told to go. Its side process says so at once and the list still shows
// it as live for a while. A user would see requests cut off when it goes.
func TestLaggingListDoesNotBringBackALeavingTarget(t *testing.T) {
	tab := newTable("a", "b")
	tab.ObserveHello(epoch, Hello{VM: "a", BootID: "1", Sequence: 5, State: Draining})
	tab.ObserveHello(epoch, Hello{VM: "a", BootID: "1", Sequence: 4, State: Ready})
	tab.ObserveList(epoch.Add(time.Second), list("a", "b"))

	if offers(tab, epoch.Add(time.Second), "a") {
		t.Error("a: got offered after it said draining")
	}

	tab.ObserveHello(epoch.Add(time.Minute), Hello{VM: "a", BootID: "2", Sequence: 1, State: Ready})
	tab.ObserveHello(epoch.Add(time.Minute), Hello{VM: "a", BootID: "1", Sequence: 9, State: Draining})

	if !offers(tab, epoch.Add(time.Minute), "a") {
		t.Error("a: got no offer after a new boot id said ready")
	}
}

// A target was started anew and its first word is that it drains; a hello of the
// boot before arrives late. Found by TestWordsAgainstTruth with seed 12414.
func TestLateHelloOfAnEarlierBootDoesNotBringBackALeavingTarget(t *testing.T) {
	tab := newTable("b")
	tab.ObserveHello(epoch, Hello{VM: "a", BootID: "2", Started: epoch, Sequence: 1, State: Draining, Service: service})
	tab.ObserveHello(epoch, Hello{VM: "a", BootID: "1", Started: epoch.Add(-time.Hour), Sequence: 7, State: Ready, Service: service})

	if offers(tab, epoch, "a") {
		t.Error("a: got offered after its newest boot said draining")
	}
}

// A VM is replaced under its old name by one whose clock is behind. It must get
// work again once nothing of the old one can be under way.
func TestReplacedTargetWithASlowClockGetsWork(t *testing.T) {
	tab := newTable("b")
	tab.ObserveHello(epoch, Hello{VM: "a", BootID: "1", Started: epoch, Sequence: 1, State: Draining, Service: service})

	later := epoch.Add(time.Minute)
	tab.ObserveHello(later, Hello{VM: "a", BootID: "2", Started: epoch.Add(-time.Hour), Sequence: 1, State: Ready, Service: service})

	if !offers(tab, later, "a") {
		t.Error("a: got no offer, want one for the new boot")
	}
}

// The side process of a leaving VM is silent and the list lags; the first
// request that reaches the side process is refused as draining. The entry must
// not send it more.
func TestRefusalAsDrainingTakesATargetOut(t *testing.T) {
	tab := newTable("a", "b")
	tab.Done(epoch, tab.Sent(epoch, "a", 10), RefusedDraining)

	if offers(tab, epoch, "a") {
		t.Error("a: got offered after it refused as draining")
	}
}

// The list service restarts and serves an empty list for a moment. Were it
// believed, every user would get "unavailable" though all targets are well.
func TestEmptyListDoesNotEmptyThePool(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveList(epoch.Add(time.Second), nil)

	if got, want := len(tab.Candidates(epoch.Add(time.Second), service)), 3; got != want {
		t.Errorf("candidates: got %d, want %d", got, want)
	}
}

// A VM was frozen for so long that the list dropped it, and wakes as if nothing
// had happened. Its hello must not make a new target of it.
func TestWokenTargetStaysGone(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveList(epoch.Add(time.Minute), list("b", "c"))
	tab.ObserveList(epoch.Add(time.Hour), list("b", "c"))
	tab.ObserveHello(epoch.Add(time.Hour), Hello{VM: "a", BootID: "1", Sequence: 2, State: Ready, Service: service})

	if offers(tab, epoch.Add(time.Hour), "a") {
		t.Error("a: got offered though the list dropped it")
	}
}

// A target fails for a while and recovers. Were it never tried again, its users
// would find the rest of the pool crowded for good.
func TestEjectedTargetIsTriedByOneRequestAndRestored(t *testing.T) {
	tab := newTable("a", "b", "c", "d")

	for range 3 {
		tab.Done(epoch, tab.Sent(epoch, "a", 1), Failed)
	}

	if offers(tab, epoch, "a") {
		t.Fatal("a: got offered right after its ejection")
	}

	later := epoch.Add(3 * time.Second)
	if !offers(tab, later, "a") {
		t.Fatal("a: got no probe after its ejection")
	}

	probe := tab.Sent(later, "a", 1)
	if offers(tab, later, "a") {
		t.Error("a: got offered beside a probe under way")
	}

	tab.Done(later, probe, Succeeded)

	if !offers(tab, later, "a") {
		t.Error("a: got no offer after its probe succeeded")
	}
}

// All targets fail, or so it looks from an entry whose cable is bad. Were all
// ejected, it could not tell the better ones from the worse.
func TestEjectionsTakeAtMostHalfOfAPool(t *testing.T) {
	tab := newTable("a", "b", "c", "d", "e")
	ejected := 0

	for range 10 {
		for _, vm := range []string{"a", "b", "c", "d", "e"} {
			for _, c := range tab.Done(epoch, tab.Sent(epoch, vm, 1), Failed) {
				if c.Reason == Ejected {
					ejected++
				}
			}
		}
	}

	if got, want := ejected, 2; got != want {
		t.Errorf("ejected: got %d of 5, want %d", got, want)
	}
}

// A request refused as draining comes from a boot of which the entry knows
// nothing yet; that boot's first hello, of before it drained, arrives later.
func TestRefusalOutlivesTheFirstHelloOfItsBoot(t *testing.T) {
	tab := newTable("a", "b")
	tab.Done(epoch, tab.Sent(epoch, "a", 1), RefusedDraining)
	tab.ObserveHello(epoch.Add(time.Second), Hello{VM: "a", BootID: "2", Sequence: 1, State: Ready})

	if offers(tab, epoch.Add(time.Second), "a") {
		t.Error("a: got offered after its refusal")
	}

	tab.ObserveHello(epoch.Add(time.Minute), Hello{VM: "a", BootID: "2", Sequence: 2, State: Ready})

	if !offers(tab, epoch.Add(time.Minute), "a") {
		t.Error("a: got no offer a minute after its refusal, want one")
	}
}

func TestOperatorsDrainedTargetGetsNoWork(t *testing.T) {
	tab := newTable("a", "b")
	tab.ObserveDrained(epoch, []string{"a"})

	if offers(tab, epoch, "a") {
		t.Error("a: got offered though operators drained it")
	}

	tab.ObserveDrained(epoch, nil)

	if !offers(tab, epoch, "a") {
		t.Error("a: got no offer after operators undrained it")
	}
}

func TestSubsetPrefersTheOwnDataCentreThenTheRegion(t *testing.T) {
	tab := NewTable(TableConfig{
		Self: "entry-1", DataCentre: "yvr-east", Subset: 4,
		Regions: map[string]string{"yvr-east": "bc", "yvr-west": "bc", "medeu-hall": "almaty"},
	})

	var rows []Listed
	for i, dc := range []string{"medeu-hall", "yvr-west", "yvr-east", "medeu-hall", "yvr-west", "yvr-east", "yvr-west"} {
		rows = append(rows, Listed{VM: fmt.Sprint(i), DataCentre: dc, Kind: KindEngine, Service: service, State: Live})
	}

	tab.ObserveList(epoch, rows)

	got := map[string]int{}
	for _, c := range tab.Subset(service) {
		got[c.DataCentre]++
	}

	if got["yvr-east"] != 2 || got["yvr-west"] != 2 {
		t.Errorf("subset: got %v, want 2 of yvr-east and 2 of yvr-west", got)
	}
}

// A side process says hello without its addresses, which the list has told. Lost
// with them was that it has a side process at all: its silence went unnoticed.
func TestSilentTargetIsDoubted(t *testing.T) {
	tab := newTable("a", "b", "c")
	later := epoch.Add(time.Minute)

	for _, vm := range []string{"b", "c"} {
		tab.ObserveHello(later, Hello{VM: vm, BootID: "1", Sequence: 2, State: Ready})
	}

	if offers(tab, later, "a") {
		t.Error("a: got offered after a minute of silence while others speak")
	}

	for _, c := range tab.Candidates(later.Add(time.Minute), service) {
		if !c.Doubted {
			t.Errorf("%s: got offered without doubt, want doubted: all are silent", c.VM)
		}
	}

	if got, want := len(tab.Candidates(later.Add(time.Minute), service)), 3; got != want {
		t.Errorf("all silent: got %d offered, want %d", got, want)
	}
}

// An entry knows 200 targets and asks two a second. A round takes 100 s; were 30 s
// of silence enough, users would be sent to all of them only for want of better.
func TestTargetThatWasNotAskedIsNotSilent(t *testing.T) {
	var vms []string
	for i := range 200 {
		vms = append(vms, fmt.Sprintf("engine-%03d", i))
	}

	tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east", Subset: 200, Known: 200})
	tab.ObserveList(epoch, list(vms...))

	for _, vm := range vms {
		tab.ObserveHello(epoch, Hello{VM: vm, BootID: "1", Sequence: 1, State: Ready})
	}

	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{2 * time.Minute, false}, {4 * time.Minute, true}} {
		got, _ := tab.Target(epoch.Add(c.after), "engine-000")
		if got.Doubted != c.want {
			t.Errorf("after %v: got doubted %v, want %v", c.after, got.Doubted, c.want)
		}
	}
}

// An entry knows a few hundred targets. Were all asked in turn, a round would
// take so long that targets which are well count as silent.
func TestNextToAskIsTheOneHeardLongestAgo(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveHello(epoch.Add(time.Second), Hello{VM: "a", BootID: "1", Sequence: 2, State: Ready})
	tab.ObserveLoad(epoch.Add(2*time.Second), "b", Load{Running: 1})

	steps := []struct {
		at   time.Duration
		want string
	}{
		{3 * time.Second, ""}, {5 * time.Second, "c"}, {5 * time.Second, ""}, {6 * time.Second, "a"},
		{7 * time.Second, "b"}, {9 * time.Second, ""}, {10 * time.Second, "c"},
	}

	for _, s := range steps {
		got, _ := tab.NextToAsk(epoch.Add(s.at), 5*time.Second)
		if got.VM != s.want {
			t.Errorf("after %v: got %q, want %q", s.at, got.VM, s.want)
		}
	}
}

// An entry serves 35 models. Eight connections for each would cost it more bytes
// and memory than it may spend.
func TestSubsetsOfManyServicesStayWithinWhatIsKnown(t *testing.T) {
	tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east"})

	var rows []Listed
	for i := range 350 {
		rows = append(rows, Listed{VM: fmt.Sprint(i), DataCentre: "yvr-east", Kind: KindEngine, Service: fmt.Sprint(i % 35), State: Live})
	}

	tab.ObserveList(epoch, rows[:20])

	if got, want := len(tab.Subset("0")), 1; got != want {
		t.Errorf("one target of a service: got %d known well, want %d", got, want)
	}

	tab.ObserveList(epoch, rows)

	for _, s := range tab.Services() {
		if got, want := len(tab.Subset(s)), 3; got != want {
			t.Errorf("service %s: got %d known well, want %d", s, got, want)
		}
	}
}

// truth is the oracle of TestWordsAgainstTruth: what really is, and which words
// of it reached the entry. It knows nothing of how the table works.
type truth struct {
	vms       []string
	boot      map[string]int       // present boot by VM
	draining  map[string]bool      // the present boot drains
	listState map[string]string    // what the platform's list will say
	toldBoot  map[string]int       // newest boot that spoke to the entry
	toldDrain map[string]bool      // that boot said draining to the entry
	toldLoad  map[string]time.Time // that boot's last word was loading
	listed    map[string]string    // last list that reached the entry; "" is left out
	everSeen  map[string]bool      // the list showed it at least once
	heard     map[string]time.Time // when it last spoke
	pending   []sentHello          // hellos under way, which may be late, crossed or lost
	lists     []map[string]string  // snapshots under way
	sequence  map[string]uint64    // of the present boot
	newestSeq map[string]uint64    // newest that reached the entry, of toldBoot
	doubted   map[string]bool      // the last list left out too many that speak
	wire      map[string][]Sending // requests under way
	refusal   map[string]refusal   // the last one
}

// sentHello is a hello under way. Streams have deadlines, so it arrives within
// 20 s or never.
type sentHello struct {
	Hello
	at time.Time
}

func newTruth(n int) *truth {
	w := &truth{
		boot: map[string]int{}, draining: map[string]bool{}, listState: map[string]string{}, toldBoot: map[string]int{},
		toldDrain: map[string]bool{}, toldLoad: map[string]time.Time{}, listed: map[string]string{}, everSeen: map[string]bool{},
		heard: map[string]time.Time{}, sequence: map[string]uint64{}, newestSeq: map[string]uint64{}, doubted: map[string]bool{},
		wire: map[string][]Sending{}, refusal: map[string]refusal{},
	}

	for i := range n {
		vm := fmt.Sprintf("engine-%d", i)
		w.vms = append(w.vms, vm)
		w.listState[vm] = Live
		w.boot[vm] = 1
	}

	return w
}

// mustNot reports whether the entry was told in any way that vm is leaving.
func (w *truth) mustNot(vm string) bool {
	if w.toldDrain[vm] {
		return true
	}

	return w.everSeen[vm] && w.listed[vm] != Live && !w.doubted[vm]
}

// may reports whether nothing firm speaks against vm.
func (w *truth) may(now time.Time, vm string) bool {
	if w.mustNot(vm) {
		return false
	}

	loading, ok := w.toldLoad[vm]
	if ok && now.Sub(loading) <= 30*time.Second {
		return false
	}

	return w.everSeen[vm] || w.toldBoot[vm] > 0
}

// refusal is one as draining: by which boot, unknown to the entry, and when.
type refusal struct {
	boot int
	at   time.Time
}

func (w *truth) hear(now time.Time, h Hello) {
	var boot int
	_, _ = fmt.Sscan(h.BootID, &boot)

	// Nothing that the refusing boot or one before it says can take its refusal back.
	if r, ok := w.refusal[h.VM]; ok && boot <= r.boot {
		return
	}

	// The entry may take its time to believe a later boot.
	if r, ok := w.refusal[h.VM]; ok && now.Sub(r.at) <= 30*time.Second {
		return
	}

	if boot < w.toldBoot[h.VM] || (boot == w.toldBoot[h.VM] && h.Sequence <= w.newestSeq[h.VM]) {
		return
	}

	if boot > w.toldBoot[h.VM] {
		w.toldDrain[h.VM] = false
	}

	w.toldBoot[h.VM] = boot
	w.newestSeq[h.VM] = h.Sequence
	w.heard[h.VM] = now
	w.toldDrain[h.VM] = w.toldDrain[h.VM] || h.State == Draining
	delete(w.toldLoad, h.VM)

	if h.State == Loading {
		w.toldLoad[h.VM] = now
	}
}

// TestWordsAgainstTruth draws faults together and twice: targets leave, restart,
// load and freeze; hellos are late, crossed and lost; the list lags; requests
// fail. A user must never be sent to a target of which the entry was told that
// it leaves, and must never be refused while a usable target is left.
func TestWordsAgainstTruth(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTruth(rapid.IntRange(1, 8).Draw(rt, "targets"))
		tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east", Subset: 4})
		now := epoch
		vm := func() string { return rapid.SampledFrom(w.vms).Draw(rt, "vm") }

		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(rt, "ms")) * time.Millisecond)
			},
			"leave": func(*rapid.T) {
				v := vm()
				w.draining[v] = true
				w.listState[v] = Leaving
			},
			"go":    func(*rapid.T) { w.listState[vm()] = "" },
			"again": func(*rapid.T) { w.listState[vm()] = Live },
			"restart": func(*rapid.T) {
				v := vm()
				w.boot[v]++
				w.sequence[v] = 0
				w.draining[v] = false
			},
			"hello": func(rt *rapid.T) {
				v := vm()
				w.sequence[v]++
				h := Hello{VM: v, BootID: fmt.Sprint(w.boot[v]), Sequence: w.sequence[v], State: Ready, Service: service, DataCentre: "yvr-east"}

				switch {
				case w.draining[v]:
					h.State = Draining
				case rapid.IntRange(0, 5).Draw(rt, "loading") == 0:
					h.State = Loading
				}

				h.Started = epoch.Add(time.Duration(w.boot[v]) * time.Second)
				w.pending = append(w.pending, sentHello{h, now})
			},
			"deliver": func(rt *rapid.T) {
				if len(w.pending) == 0 {
					return
				}

				i := rapid.IntRange(0, len(w.pending)-1).Draw(rt, "which")
				h := w.pending[i]

				if rapid.Bool().Draw(rt, "taken off") {
					w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
				}

				if now.Sub(h.at) > 20*time.Second {
					return
				}

				w.hear(now, h.Hello)
				tab.ObserveHello(now, h.Hello)
			},
			"snapshot": func(*rapid.T) {
				s := map[string]string{}
				for v, state := range w.listState {
					s[v] = state
				}

				w.lists = append(w.lists, s)
			},
			"list": func(*rapid.T) {
				if len(w.lists) == 0 {
					return
				}

				takeList(now, w, tab)
			},
			"send": func(rt *rapid.T) {
				c := tab.Candidates(now, service)
				if len(c) == 0 {
					return
				}

				v := c[rapid.IntRange(0, len(c)-1).Draw(rt, "candidate")].VM
				s := tab.Sent(now, v, 10)
				w.wire[v] = append(w.wire[v], s)
			},
			"refuse": func(*rapid.T) {
				v := vm()
				if !w.draining[v] || len(w.wire[v]) == 0 {
					return
				}

				tab.Done(now, w.wire[v][0], RefusedDraining)
				w.wire[v] = w.wire[v][1:]
				w.toldDrain[v] = true
				w.refusal[v] = refusal{w.boot[v], now}
			},
			"end": func(rt *rapid.T) {
				v := vm()
				if len(w.wire[v]) == 0 {
					return
				}

				s := w.wire[v][0]
				w.wire[v] = w.wire[v][1:]
				o := rapid.SampledFrom([]Outcome{Succeeded, Failed, Failed, Failed, Neutral}).Draw(rt, "outcome")
				tab.Done(now, s, o)
			},
			"": func(rt *rapid.T) { checkOffers(rt, now, w, tab) },
		})
	})
}

// speaks reports whether vm said lately that it is ready, and was not listed as leaving.
func (w *truth) speaks(now time.Time, vm, listed string) bool {
	at, ok := w.heard[vm]
	_, loading := w.toldLoad[vm]

	return ok && now.Sub(at) <= 30*time.Second && !loading && !w.toldDrain[vm] && listed == Live
}

// takeList gives the entry the next list and works out which of the targets that
// it leaves out speak: when they are more than half of all that speak, the list
// has lost them and not the platform.
func takeList(now time.Time, w *truth, tab *Table) {
	next := w.lists[0]
	w.lists = w.lists[1:]

	var rows []Listed

	speaking, lost := 0, map[string]bool{}

	for _, v := range w.vms {
		// What a target is listed as when it is asked whether it speaks: by this
		// list, or by the last one that was followed.
		listed := next[v]
		if listed == "" && (w.listed[v] == Live || w.doubted[v] || !w.everSeen[v]) {
			listed = Live
		}

		if w.speaks(now, v, listed) {
			speaking++
			lost[v] = w.everSeen[v] && next[v] == ""
		}
	}

	missing := 0

	for _, l := range lost {
		if l {
			missing++
		}
	}

	for _, v := range w.vms {
		w.doubted[v] = lost[v] && missing*2 > speaking
		w.listed[v] = next[v]

		if next[v] != "" {
			w.everSeen[v] = true
			rows = append(rows, Listed{VM: v, DataCentre: "yvr-east", Kind: KindEngine, Service: service, SideAddress: "127.0.0.1:1", State: next[v]})
		}
	}

	tab.ObserveList(now, rows)
}

func checkOffers(rt *rapid.T, now time.Time, w *truth, tab *Table) {
	offered := map[string]bool{}
	for _, c := range tab.Candidates(now, service) {
		offered[c.VM] = true
	}

	usable, got := 0, 0

	for _, v := range w.vms {
		if offered[v] && w.mustNot(v) {
			rt.Fatalf("%s: got offered, want not: the entry was told that it leaves", v)
		}

		if w.may(now, v) {
			usable++

			if offered[v] {
				got++
			}
		}
	}

	if want := int(math.Floor(float64(usable) / 2)); got < want || (usable > 0 && got == 0) {
		rt.Fatalf("got %d offered of %d usable, want at least half and one", got, usable)
	}
}
