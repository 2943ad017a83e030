package target

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// oracle is the reference model of TestTableAgainstOracle: the real state of the targets and
// the reports that reached the entry. It is independent of the implementation of the table.
type oracle struct {
	vms             []string
	boot            map[string]int       // current boot by VM
	draining        map[string]bool      // the current boot drains
	listState       map[string]string    // state in the platform's next list
	reportedBoot    map[string]int       // newest boot that reported to the entry
	reportedDrain   map[string]bool      // that boot reported draining to the entry
	reportedLoading map[string]time.Time // when that boot last reported, if that was loading
	listed          map[string]string    // state in the last list that reached the entry; "" when missing
	everSeen        map[string]bool      // contained in at least one list
	lastSeen        map[string]time.Time // when its last report arrived
	pending         []pendingReport      // reports in flight, which may be late, reordered or lost
	lists           []map[string]string  // lists in flight
	sequence        map[string]uint64    // of the current boot
	newestSeq       map[string]uint64    // newest that reached the entry, of reportedBoot
	listRejected    map[string]bool      // the last list lacked too many that report ready
	inFlight        map[string][]Attempt // requests in flight
	refusal         map[string]refusal   // the last refusal
}

// pendingReport is a state report in flight. Streams have deadlines, so it arrives within
// 20 s or never.
type pendingReport struct {
	StateReport
	at time.Time
}

func newOracle(n int) *oracle {
	w := &oracle{
		boot: map[string]int{}, draining: map[string]bool{}, listState: map[string]string{}, reportedBoot: map[string]int{},
		reportedDrain: map[string]bool{}, reportedLoading: map[string]time.Time{}, listed: map[string]string{}, everSeen: map[string]bool{},
		lastSeen: map[string]time.Time{}, sequence: map[string]uint64{}, newestSeq: map[string]uint64{}, listRejected: map[string]bool{},
		inFlight: map[string][]Attempt{}, refusal: map[string]refusal{},
	}

	for i := range n {
		vm := fmt.Sprintf("engine-%d", i)
		w.vms = append(w.vms, vm)
		w.listState[vm] = Live
		w.boot[vm] = 1
	}

	return w
}

// knownLeaving reports whether any source reported to the entry that vm is leaving.
func (w *oracle) knownLeaving(vm string) bool {
	if w.reportedDrain[vm] {
		return true
	}

	return w.everSeen[vm] && w.listed[vm] != Live && !w.listRejected[vm]
}

// mayReceive reports whether vm may get requests, suspicions aside.
func (w *oracle) mayReceive(now time.Time, vm string) bool {
	if w.knownLeaving(vm) {
		return false
	}

	loading, ok := w.reportedLoading[vm]
	if ok && now.Sub(loading) <= 30*time.Second {
		return false
	}

	return w.everSeen[vm] || w.reportedBoot[vm] > 0
}

// refusal is a refusal as draining: the boot that refused, unknown to the entry, and the time.
type refusal struct {
	boot int
	at   time.Time
}

func (w *oracle) applyHello(now time.Time, h StateReport) {
	var boot int
	_, _ = fmt.Sscan(h.BootID, &boot)

	// A report of the refusing boot or an earlier one can't undo the refusal.
	if r, ok := w.refusal[h.VM]; ok && boot <= r.boot {
		return
	}

	// The entry may wait before it accepts a report of a later boot.
	if r, ok := w.refusal[h.VM]; ok && now.Sub(r.at) <= 30*time.Second {
		return
	}

	if boot < w.reportedBoot[h.VM] || (boot == w.reportedBoot[h.VM] && h.Sequence <= w.newestSeq[h.VM]) {
		return
	}

	if boot > w.reportedBoot[h.VM] {
		w.reportedDrain[h.VM] = false
	}

	w.reportedBoot[h.VM] = boot
	w.newestSeq[h.VM] = h.Sequence
	w.lastSeen[h.VM] = now
	w.reportedDrain[h.VM] = w.reportedDrain[h.VM] || h.State == Draining
	delete(w.reportedLoading, h.VM)

	if h.State == Loading {
		w.reportedLoading[h.VM] = now
	}
}

// TestTableAgainstOracle draws random, overlapping faults: targets leave, restart, load and
// pause; reports are late, reordered and lost; the list lags; requests fail. It guards
// against sending requests to a target that any source reported as leaving, and against
// refusing requests while a usable target is left.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newOracle(rapid.IntRange(1, 8).Draw(rt, "targets"))
		tab := NewTable(TableConfig{Self: "entry-1", DataCentre: "yvr-east", SubsetSize: 4})
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
				h := StateReport{VM: v, BootID: fmt.Sprint(w.boot[v]), Sequence: w.sequence[v], State: Ready, Service: service, DataCentre: "yvr-east"}

				switch {
				case w.draining[v]:
					h.State = Draining
				case rapid.IntRange(0, 5).Draw(rt, "loading") == 0:
					h.State = Loading
				}

				h.Started = epoch.Add(time.Duration(w.boot[v]) * time.Second)
				w.pending = append(w.pending, pendingReport{h, now})
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

				w.applyHello(now, h.StateReport)
				tab.ObserveState(now, h.StateReport)
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

				deliverList(now, w, tab)
			},
			"send": func(rt *rapid.T) {
				c := tab.Candidates(now, service)
				if len(c) == 0 {
					return
				}

				v := c[rapid.IntRange(0, len(c)-1).Draw(rt, "candidate")].VM
				s := tab.Sent(now, v, 10)
				w.inFlight[v] = append(w.inFlight[v], s)
			},
			"refuse": func(*rapid.T) {
				v := vm()
				if !w.draining[v] || len(w.inFlight[v]) == 0 {
					return
				}

				tab.Done(now, w.inFlight[v][0], RefusedDraining)
				w.inFlight[v] = w.inFlight[v][1:]
				w.reportedDrain[v] = true
				w.refusal[v] = refusal{w.boot[v], now}
			},
			"end": func(rt *rapid.T) {
				v := vm()
				if len(w.inFlight[v]) == 0 {
					return
				}

				s := w.inFlight[v][0]
				w.inFlight[v] = w.inFlight[v][1:]
				o := rapid.SampledFrom([]Outcome{Succeeded, Failed, Failed, Failed, Neutral}).Draw(rt, "outcome")
				tab.Done(now, s, o)
			},
			"": func(rt *rapid.T) { checkCandidates(rt, now, w, tab) },
		})
	})
}

// reportsReady reports whether vm recently reported ready and was not listed as leaving.
func (w *oracle) reportsReady(now time.Time, vm, listed string) bool {
	at, ok := w.lastSeen[vm]
	_, loading := w.reportedLoading[vm]

	return ok && now.Sub(at) <= 30*time.Second && !loading && !w.reportedDrain[vm] && listed == Live
}

// deliverList gives the entry the next list and works out whether to expect a rejection: when
// more than half of the targets that report ready are missing, the list is at fault, not the
// targets.
func deliverList(now time.Time, w *oracle, tab *Table) {
	next := w.lists[0]
	w.lists = w.lists[1:]

	var rows []Listed

	reporting, lost := 0, map[string]bool{}

	for _, v := range w.vms {
		// The listed state when the list is evaluated: that of this list or else of the last
		// list that was accepted.
		listed := next[v]
		if listed == "" && (w.listed[v] == Live || w.listRejected[v] || !w.everSeen[v]) {
			listed = Live
		}

		if w.reportsReady(now, v, listed) {
			reporting++
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
		w.listRejected[v] = lost[v] && missing*2 > reporting
		w.listed[v] = next[v]

		if next[v] != "" {
			w.everSeen[v] = true
			rows = append(rows, Listed{VM: v, DataCentre: "yvr-east", Kind: KindEngine, Service: service, SideAddress: "127.0.0.1:1", State: next[v]})
		}
	}

	tab.ObserveList(now, rows)
}

func checkCandidates(rt *rapid.T, now time.Time, w *oracle, tab *Table) {
	offered := map[string]bool{}
	for _, c := range tab.Candidates(now, service) {
		offered[c.VM] = true
	}

	usable, got := 0, 0

	for _, v := range w.vms {
		if offered[v] && w.knownLeaving(v) {
			rt.Fatalf("%s: got offered, want not: a source reported that it leaves", v)
		}

		if w.mayReceive(now, v) {
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
