package target

import (
	"fmt"
	"testing"
	"time"
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
		t.ObserveState(epoch, StateReport{VM: vm, BootID: "1", Sequence: 1, State: Ready})
	}

	return t
}

func isCandidate(t *Table, now time.Time, vm string) bool {
	for _, c := range t.Candidates(now, service) {
		if c.VM == vm {
			return true
		}
	}

	return false
}

// Guards against requests that are cut off when a VM is removed: its side process reports
// draining at once, while the list shows the VM as live for a while longer.
func TestLaggingListDoesNotBringBackALeavingTarget(t *testing.T) {
	tab := newTable("a", "b")
	tab.ObserveState(epoch, StateReport{VM: "a", BootID: "1", Sequence: 5, State: Draining})
	tab.ObserveState(epoch, StateReport{VM: "a", BootID: "1", Sequence: 4, State: Ready})
	tab.ObserveList(epoch.Add(time.Second), list("a", "b"))

	if isCandidate(tab, epoch.Add(time.Second), "a") {
		t.Error("a: got offered after it reported draining")
	}

	tab.ObserveState(epoch.Add(time.Minute), StateReport{VM: "a", BootID: "2", Sequence: 1, State: Ready})
	tab.ObserveState(epoch.Add(time.Minute), StateReport{VM: "a", BootID: "1", Sequence: 9, State: Draining})

	if !isCandidate(tab, epoch.Add(time.Minute), "a") {
		t.Error("a: got no offer after a report of a new boot that it is ready")
	}
}

// A target restarts and its first report is that it drains; a report of the boot before
// arrives late. Found by TestTableAgainstOracle with seed 12414.
func TestLateReportOfEarlierBootDoesNotRestoreLeavingTarget(t *testing.T) {
	tab := newTable("b")
	tab.ObserveState(epoch, StateReport{VM: "a", BootID: "2", Started: epoch, Sequence: 1, State: Draining, Service: service})
	tab.ObserveState(epoch, StateReport{VM: "a", BootID: "1", Started: epoch.Add(-time.Hour), Sequence: 7, State: Ready, Service: service})

	if isCandidate(tab, epoch, "a") {
		t.Error("a: got offered after its newest boot reported draining")
	}
}

// Guards against ignoring a VM that was replaced under its old name by one whose clock is
// behind. It must get work once no report of the old VM can be in flight.
func TestReplacedTargetWithASlowClockGetsWork(t *testing.T) {
	tab := newTable("b")
	tab.ObserveState(epoch, StateReport{VM: "a", BootID: "1", Started: epoch, Sequence: 1, State: Draining, Service: service})

	later := epoch.Add(time.Minute)
	tab.ObserveState(later, StateReport{VM: "a", BootID: "2", Started: epoch.Add(-time.Hour), Sequence: 1, State: Ready, Service: service})

	if !isCandidate(tab, later, "a") {
		t.Error("a: got no offer, want one for the new boot")
	}
}

// Guards against sending more requests to a target that has refused one as draining, when
// its side process sent no report and the list lags.
func TestRefusalAsDrainingExcludesTarget(t *testing.T) {
	tab := newTable("a", "b")
	tab.Done(epoch, tab.Sent(epoch, "a", 10), RefusedDraining)

	if isCandidate(tab, epoch, "a") {
		t.Error("a: got offered after it refused as draining")
	}
}

// Guards against emptying the pool when the list service restarts and serves an empty list
// for a moment: all requests would be refused as unavailable although all targets are up.
func TestEmptyListDoesNotEmptyThePool(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveList(epoch.Add(time.Second), nil)

	if got, want := len(tab.Candidates(epoch.Add(time.Second), service)), 3; got != want {
		t.Errorf("candidates: got %d, want %d", got, want)
	}
}

// Guards against a VM that was paused for so long that the list dropped it, and then resumes:
// its report must not add it as a new target.
func TestResumedTargetStaysUnlisted(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveList(epoch.Add(time.Minute), list("b", "c"))
	tab.ObserveList(epoch.Add(time.Hour), list("b", "c"))
	tab.ObserveState(epoch.Add(time.Hour), StateReport{VM: "a", BootID: "1", Sequence: 2, State: Ready, Service: service})

	if isCandidate(tab, epoch.Add(time.Hour), "a") {
		t.Error("a: got offered though the list dropped it")
	}
}

// Guards against an ejection that never ends: a target that fails for a while and recovers
// must be probed and restored, or the rest of the pool would remain overloaded.
func TestEjectedTargetIsTriedByOneRequestAndRestored(t *testing.T) {
	tab := newTable("a", "b", "c", "d")

	for range 3 {
		tab.Done(epoch, tab.Sent(epoch, "a", 1), Failed)
	}

	if isCandidate(tab, epoch, "a") {
		t.Fatal("a: got offered right after its ejection")
	}

	later := epoch.Add(3 * time.Second)
	if !isCandidate(tab, later, "a") {
		t.Fatal("a: got no probe after its ejection")
	}

	probe := tab.Sent(later, "a", 1)
	if isCandidate(tab, later, "a") {
		t.Error("a: got offered while a probe was in flight")
	}

	tab.Done(later, probe, Succeeded)

	if !isCandidate(tab, later, "a") {
		t.Error("a: got no offer after its probe succeeded")
	}
}

// Guards against ejecting all targets when all appear to fail, as from an entry with a bad
// cable: the entry could then no longer tell better targets from worse.
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

// Guards against a refusal as draining being undone by the first report of the boot that
// refused, which was sent before it drained and arrives later.
func TestRefusalOverridesFirstReportOfItsBoot(t *testing.T) {
	tab := newTable("a", "b")
	tab.Done(epoch, tab.Sent(epoch, "a", 1), RefusedDraining)
	tab.ObserveState(epoch.Add(time.Second), StateReport{VM: "a", BootID: "2", Sequence: 1, State: Ready})

	if isCandidate(tab, epoch.Add(time.Second), "a") {
		t.Error("a: got offered after its refusal")
	}

	tab.ObserveState(epoch.Add(time.Minute), StateReport{VM: "a", BootID: "2", Sequence: 2, State: Ready})

	if !isCandidate(tab, epoch.Add(time.Minute), "a") {
		t.Error("a: got no offer a minute after its refusal, want one")
	}
}

func TestOperatorsDrainedTargetGetsNoWork(t *testing.T) {
	tab := newTable("a", "b")
	tab.ObserveDrained(epoch, []string{"a"}, nil)

	if isCandidate(tab, epoch, "a") {
		t.Error("a: got offered though operators drained it")
	}

	tab.ObserveDrained(epoch, nil, nil)

	if !isCandidate(tab, epoch, "a") {
		t.Error("a: got no offer after operators undrained it")
	}
}

// Guards against sending new work to a data centre that operators evacuated.
func TestEvacuatedDataCentreGetsNoWork(t *testing.T) {
	tab := newTable("a")
	rows := list("a", "b")
	rows[1].DataCentre = "yvr-west"
	tab.ObserveList(epoch, rows)
	tab.ObserveDrained(epoch, nil, []string{rows[0].DataCentre, "nowhere"})

	if isCandidate(tab, epoch, "a") || !isCandidate(tab, epoch, "b") {
		t.Errorf("got a offered: %v, b: %v; want b alone", isCandidate(tab, epoch, "a"), isCandidate(tab, epoch, "b"))
	}

	tab.ObserveDrained(epoch, nil, nil)

	if !isCandidate(tab, epoch, "a") {
		t.Error("a: got no offer after its data centre was repopulated")
	}
}

func TestSubsetPrefersTheOwnDataCentreThenTheRegion(t *testing.T) {
	tab := NewTable(TableConfig{
		Self: "entry-1", DataCentre: "yvr-east", SubsetSize: 4,
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

// Guards against losing the side process's address when a report without addresses arrives:
// the target was then treated as having no side process, and its missing reports went
// unnoticed.
func TestUnresponsiveTargetIsSuspected(t *testing.T) {
	tab := newTable("a", "b", "c")
	later := epoch.Add(time.Minute)

	for _, vm := range []string{"b", "c"} {
		tab.ObserveState(later, StateReport{VM: vm, BootID: "1", Sequence: 2, State: Ready})
	}

	if isCandidate(tab, later, "a") {
		t.Error("a: got offered after a minute without a report while others report")
	}

	for _, c := range tab.Candidates(later.Add(time.Minute), service) {
		if !c.Suspected {
			t.Errorf("%s: got offered without suspicion, want suspected: none reports", c.VM)
		}
	}

	if got, want := len(tab.Candidates(later.Add(time.Minute), service)), 3; got != want {
		t.Errorf("none reports: got %d offered, want %d", got, want)
	}
}

// Guards against suspecting targets that were not polled. An entry with 200 targets that
// polls two per second needs 100 s for a round; after 30 s without a report all targets
// would be suspected.
func TestTargetNotPolledIsNotSuspected(t *testing.T) {
	var vms []string
	for i := range 200 {
		vms = append(vms, fmt.Sprintf("engine-%03d", i))
	}

	tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east", SubsetSize: 200, MaxSubsetTotal: 200})
	tab.ObserveList(epoch, list(vms...))

	for _, vm := range vms {
		tab.ObserveState(epoch, StateReport{VM: vm, BootID: "1", Sequence: 1, State: Ready})
	}

	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{2 * time.Minute, false}, {4 * time.Minute, true}} {
		got, _ := tab.Target(epoch.Add(c.after), "engine-000")
		if got.Suspected != c.want {
			t.Errorf("after %v: got suspected %v, want %v", c.after, got.Suspected, c.want)
		}
	}
}

// Guards against polling targets in a fixed order: with a few hundred targets a round would
// take so long that responsive targets are suspected.
func TestNextToPollIsLeastRecentlySeen(t *testing.T) {
	tab := newTable("a", "b", "c")
	tab.ObserveState(epoch.Add(time.Second), StateReport{VM: "a", BootID: "1", Sequence: 2, State: Ready})
	tab.ObserveLoad(epoch.Add(2*time.Second), "b", Load{Running: 1})

	steps := []struct {
		at   time.Duration
		want string
	}{
		{3 * time.Second, ""}, {5 * time.Second, "c"}, {5 * time.Second, ""}, {6 * time.Second, "a"},
		{7 * time.Second, "b"}, {9 * time.Second, ""}, {10 * time.Second, "c"},
	}

	for _, s := range steps {
		got, _ := tab.NextToPoll(epoch.Add(s.at), 5*time.Second)
		if got.VM != s.want {
			t.Errorf("after %v: got %q, want %q", s.at, got.VM, s.want)
		}
	}
}

// Guards against exceeding an entry's budget of bandwidth and memory: with 35 models, eight
// connections for each would be too many.
func TestSubsetsOfManyServicesStayWithinLimit(t *testing.T) {
	tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east"})

	var rows []Listed
	for i := range 350 {
		rows = append(rows, Listed{VM: fmt.Sprint(i), DataCentre: "yvr-east", Kind: KindEngine, Service: fmt.Sprint(i % 35), State: Live})
	}

	tab.ObserveList(epoch, rows[:20])

	if got, want := len(tab.Subset("0")), 1; got != want {
		t.Errorf("one target of a service: got %d in the subset, want %d", got, want)
	}

	tab.ObserveList(epoch, rows)

	for _, s := range tab.Services() {
		if got, want := len(tab.Subset(s)), 3; got != want {
			t.Errorf("service %s: got %d in the subset, want %d", s, got, want)
		}
	}
}
