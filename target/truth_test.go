package target

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

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
