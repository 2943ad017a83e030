package roster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/capacity"
	"boragehub/profile"
	"boragehub/pulse"
	"boragehub/route"
)

// host is an engine in the simulation of uneven engines.
type host struct {
	address, id string
	speed       float64
	slowFrom    []int // starts of the phases, in ms, in which work takes slowHost times as long
	freeAt      int   // when its last prompt is prefilled
	ends        []int // when its prompts are prefilled
	side        struct{ percent, at int }
}

const (
	slowHost      = 2.5
	slowPhaseMs   = 600
	slowShare     = 0.15
	promptTokens  = 4260 // the mean; they have half as many to one and a half times as many
	tokensPerMs   = 36.7 // 116 ms for a prompt
	simulationMs  = 40_000
	uneventfulMs  = 5000 // at the beginning, while speeds are learned
	lateMs        = 250
	sendMs        = 80 // between two prompts of an entry
	unevenEntries = 4
	unevenEngines = 12
)

func (h *host) slowdown(ms int) float64 {
	for _, from := range h.slowFrom {
		if ms >= from && ms < from+slowPhaseMs {
			return slowHost
		}
	}

	return 1
}

// prefill queues a prompt and returns when it is prefilled.
func (h *host) prefill(ms, tokens int) int {
	begin := max(ms, h.freeAt)
	h.freeAt = begin + int(float64(tokens)/tokensPerMs*h.speed*h.slowdown(begin))
	h.ends = append(h.ends, h.freeAt)

	return h.freeAt
}

func (h *host) running(ms int) int {
	h.ends = slices.DeleteFunc(h.ends, func(end int) bool { return end <= ms })

	return len(h.ends)
}

// unevenFleet simulates entries that send long prompts to engines.
type unevenFleet struct {
	hosts    []*host
	entries  []*Roster
	reportMs int // between two reports of an engine
	profiles []profile.Service
	random   *rand.Rand
	events   map[int][]func() // by ms
	now      int
	sent     []bool // for each prompt that counts, whether it was on time
	slow     int    // number of those that went to slow engines
}

// serveUnevenEngines returns the share of the prompts that went to slow engines, and the share that were
// late.
func serveUnevenEngines(hosts []*host, reportMs int, isSlow func(h *host, ms int) bool, mode Contention) (slow, late float64) {
	f := &unevenFleet{hosts: hosts, reportMs: reportMs, profiles: make([]profile.Service, unevenEntries), random: rand.New(rand.NewPCG(5, 5)), events: map[int][]func(){}}

	for i := range unevenEntries {
		r := New(Config{
			Self: fmt.Sprint("entry-", i), DataCentre: "east", Contention: mode, Log: logr.Discard(),
			SlowdownChanged: func(address string, percent int) { f.at(address).side = struct{ percent, at int }{percent, f.now} },
		})
		for _, h := range hosts {
			r.ObserveListing(at(0), testListing(h.id, h.address, 1))
		}

		r.Subscriptions(at(0), func(string) bool { return true })
		f.entries = append(f.entries, r)
	}

	for ; f.now < simulationMs; f.now++ {
		f.step(isSlow)
	}

	for _, onTime := range f.sent {
		if !onTime {
			late++
		}
	}

	return float64(f.slow) / float64(len(f.sent)), late / float64(len(f.sent))
}

func (f *unevenFleet) at(address string) *host {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *host) bool { return h.address == address })]
}

func (f *unevenFleet) step(isSlow func(h *host, ms int) bool) {
	for _, arrive := range f.events[f.now] {
		arrive()
	}

	for i, h := range f.hosts {
		if f.now%f.reportMs == i%f.reportMs {
			f.report(h)
		}
	}

	for i := range f.entries {
		if f.now%sendMs != sendMs/unevenEntries*i {
			continue
		}

		h, end := f.send(i)
		if f.now < uneventfulMs {
			continue
		}

		f.sent = append(f.sent, end-f.now <= lateMs)

		if isSlow(h, f.now) {
			f.slow++
		}
	}
}

// report sends an engine's load report to all entries.
func (f *unevenFleet) report(h *host) {
	n := h.running(f.now)

	var mean capacity.Mean

	for _, r := range f.entries {
		percent, samples := r.Speed(h.address)
		mean.Add(capacity.Speed{Ratio: capacity.FromPercent(percent), Samples: samples})
	}

	for _, r := range f.entries {
		r.ObserveReport(at(f.now), pulse.Report{
			Engine: h.address, Running: n, Prefilling: n, Slowdown: h.side.percent, SlowdownAgeMs: int64(f.now - h.side.at),
			Speed: capacity.Percent(mean.Speed().Factor()),
		})
	}
}

// send sends a prompt of an entry, and returns its engine and when its first event arrives.
func (f *unevenFleet) send(entry int) (h *host, end int) {
	r, learned, sentAt := f.entries[entry], &f.profiles[entry], f.now
	tokens := promptTokens/2 + f.random.IntN(promptTokens)
	engines := r.Candidates(at(f.now), "llm", "m")

	var all []route.PrefixCandidate
	for _, e := range engines {
		all = append(all, route.PrefixCandidate{
			Name: e.ID, HasPrefix: true, Running: e.Report.Running, Prefilling: e.Report.Prefilling, SentTokens: e.SentSince.PrefillTokens, Slowdown: e.Slowdown,
		})
	}

	d := route.DecidePrefix(route.PrefixConfig{TokensPerMs: tokensPerMs, PromptTokens: promptTokens}, route.PrefixRequest{SharedPrefixID: fmt.Sprint(f.now), OwnTokens: tokens}, all)
	e := engines[d.Target()]
	idle := e.Report.Prefilling+e.SentSince.Requests == 0
	h = f.at(e.Address)
	end = h.prefill(f.now, tokens)

	r.Sent(at(f.now), e.ID, tokens, 0)

	f.events[end] = append(f.events[end], func() {
		r.ObserveSlowdown(at(f.now), e.ID, h.slowdown(f.now))

		if took := at(f.now).Sub(at(sentAt)); idle {
			if usual, ok := learned.UsualFirstEvent(tokens); ok {
				r.ObserveFirstEvent(at(f.now), e.ID, took, usual)
			}

			learned.ObserveFirstEvent(tokens, took)
		}
	})

	return h, end
}

func newHosts(seed uint64) []*host {
	r := rand.New(rand.NewPCG(seed, seed))
	hosts := make([]*host, unevenEngines)

	for i := range hosts {
		hosts[i] = &host{id: fmt.Sprint("e", i), address: fmt.Sprintf("10.0.0.%d:80", i+1), speed: 1}

		for ms := r.IntN(4000); ms < simulationMs; ms += slowPhaseMs + int(r.ExpFloat64()*slowPhaseMs*(1/slowShare-1)) {
			hosts[i].slowFrom = append(hosts[i].slowFrom, ms)
		}
	}

	return hosts
}

// pushedMs is the time between two reports that are pushed when work is sent; polledMs is that without.
const pushedMs, polledMs = 20, 200

// Engines on shared hosts are 2.5 times slower for 0.6 s at a time, 15% of the time. Guards against
// sending them as much as the others: an entry learns it from a response, the others from its report.
func TestWorkAvoidsEnginesOnSlowHosts(t *testing.T) {
	isSlow := func(h *host, ms int) bool { return h.slowdown(ms) > 1 }

	for _, reportMs := range []int{pushedMs, polledMs} {
		slow, late := serveUnevenEngines(newHosts(1), reportMs, isSlow, ContentionAuto)
		slowBefore, lateBefore := serveUnevenEngines(newHosts(1), reportMs, isSlow, ContentionOff)

		t.Logf("reports every %d ms: %.3f to slow engines instead of %.3f, %.3f late instead of %.3f", reportMs, slow, slowBefore, late, lateBefore)

		if slow > 0.7*slowBefore || late > lateBefore || reportMs == pushedMs && late > 0.7*lateBefore {
			t.Errorf("reports every %d ms: got %.3f of the prompts at slow engines and %.3f late; without the figures %.3f and %.3f", reportMs, slow, late, slowBefore, lateBefore)
		}
	}
}

// A third of the engines is 1.3 times slower. Guards against dividing the work evenly, and against
// entries that all turn to the faster engines where they learn too late what others have sent there.
func TestSlowerEnginesGetLessWork(t *testing.T) {
	isSlow := func(h *host, _ int) bool { return h.speed > 1 }
	uneven := func(reportMs int, mode Contention) (slow, late float64) {
		hosts := newHosts(2)
		for i, h := range hosts {
			h.slowFrom = nil
			if i%3 == 0 {
				h.speed = 1.3
			}
		}

		return serveUnevenEngines(hosts, reportMs, isSlow, mode)
	}

	for _, reportMs := range []int{pushedMs, polledMs} {
		slow, late := uneven(reportMs, ContentionOn)
		slowBefore, lateBefore := uneven(reportMs, ContentionOff)

		t.Logf("reports every %d ms: %.3f to slow engines instead of %.3f, %.3f late instead of %.3f", reportMs, slow, slowBefore, late, lateBefore)

		if reportMs == pushedMs && slow > 0.7*slowBefore || late > 1.1*lateBefore {
			t.Errorf("reports every %d ms: got %.3f of the prompts at slow engines and %.3f late; without the estimate %.3f and %.3f", reportMs, slow, late, slowBefore, lateBefore)
		}
	}
}

func newCapacityRoster(told *[]int, mode Contention) *Roster {
	r := New(Config{
		Self: "entry-1", DataCentre: "east", Contention: mode, Log: logr.Discard(),
		SlowdownChanged: func(_ string, percent int) { *told = append(*told, percent) },
	})
	l := testListing("a", "10.0.0.1:80", 1)
	l.StartedMs = 1
	r.ObserveListing(epoch, l)
	r.Subscriptions(epoch, func(string) bool { return true })
	r.ObserveReport(epoch, pulse.Report{Engine: "10.0.0.1:80", StartedMs: 1})

	return r
}

// Figures change many times a second. Guards against a datagram for each response, and against figures
// that other entries no longer use although the host is still slow.
func TestChangedSlowdownsArePassedOn(t *testing.T) {
	steps := []struct {
		ms      int
		percent float64
		want    []int // all that were passed on
	}{
		{0, 100, nil}, {10, 109, nil}, {20, 110, []int{110}}, {30, 119, []int{110}}, {40, 250, []int{110, 250}}, {200, 252, []int{110, 250}},
		{290, 250, []int{110, 250, 250}}, {300, 100, []int{110, 250, 250, 100}}, {900, 100, []int{110, 250, 250, 100}}, {1000, -5, []int{110, 250, 250, 100}},
	}

	var told, off []int

	r, silent := newCapacityRoster(&told, ContentionAuto), newCapacityRoster(&off, ContentionOff)

	for _, s := range steps {
		for _, x := range []*Roster{r, silent} {
			x.ObserveSlowdown(at(s.ms), "a", s.percent/100)
			x.ObserveSlowdown(at(s.ms), "unknown", s.percent/100)
		}

		if fmt.Sprint(told) != fmt.Sprint(s.want) {
			t.Errorf("at %d ms: got %v passed on, want %v", s.ms, told, s.want)
		}
	}

	if len(off) > 0 || silent.AnyContended() || !r.AnyContended() || !r.Contended("llm") || r.Contended("other") {
		t.Errorf("got %v passed on with contention off", off)
	}
}

// Guards against use of figures that are out of date, false or of an earlier start, and against use of
// a dead side process's speed instead of this entry's own.
func TestSlowdownOfCandidates(t *testing.T) {
	report := func(startedMs int64, slowdown int, ageMs int64, speed int) pulse.Report {
		return pulse.Report{Engine: "10.0.0.1:80", StartedMs: startedMs, Slowdown: slowdown, SlowdownAgeMs: ageMs, Speed: speed}
	}

	tests := []struct {
		name    string
		mode    Contention
		observe func(r *Roster)
		ms      int
		want    float64
	}{
		{"nothing known", ContentionOn, func(*Roster) {}, 0, 1},
		{"own response", ContentionAuto, func(r *Roster) { r.ObserveSlowdown(at(0), "a", 2.5) }, 0, 2.5},
		{"out of date", ContentionAuto, func(r *Roster) { r.ObserveSlowdown(at(0), "a", 2.5) }, 500, 1},
		{"reported with its age", ContentionAuto, func(r *Roster) { r.ObserveReport(at(0), report(1, 250, 250, 0)) }, 0, 1.75},
		{"reported twice", ContentionAuto, func(r *Roster) {
			r.ObserveReport(at(0), report(1, 250, 0, 0))
			r.ObserveReport(at(400), report(1, 250, 400, 0))
		}, 400, 1.3},
		{"older than the own response", ContentionAuto, func(r *Roster) {
			r.ObserveSlowdown(at(0), "a", 1)
			r.ObserveReport(at(0), report(1, 250, 50, 0))
		}, 0, 1},
		{"speed of all", ContentionOn, func(r *Roster) { r.ObserveReport(at(0), report(1, 0, 0, 130)) }, 0, 1.3},
		{"speed, with a load report of some age", ContentionOn, func(r *Roster) { r.ObserveReport(at(0), report(1, 0, 0, 200)) }, 100, 1.5},
		{"speed, with an old load report", ContentionOn, func(r *Roster) { r.ObserveReport(at(0), report(1, 0, 0, 200)) }, 200, 1},
		{"both", ContentionAuto, func(r *Roster) { r.ObserveReport(at(0), report(1, 250, 0, 130)) }, 0, 3.25},
		{"side process dead", ContentionOn, func(r *Roster) { r.ObserveReport(at(0), report(1, 0, 0, 130)) }, 5000, 1},
		{"side process dead, own estimate", ContentionOn, func(r *Roster) {
			r.ObserveReport(at(0), report(1, 0, 0, 130))

			for range 32 {
				r.ObserveFirstEvent(at(0), "a", 2*time.Second, time.Second)
			}
		}, 5000, math.Pow(2, 0.8)},
		{"false figures", ContentionOn, func(r *Roster) {
			r.ObserveReport(at(0), report(1, -250, 0, -130))
			r.ObserveReport(at(0), report(1, 250, -1, 1<<40))
			r.ObserveReport(at(0), report(1, 250, math.MaxInt64, 0))
			r.ObserveReport(at(0), report(1, 1<<40, 0, 0))
			r.ObserveSlowdown(at(0), "a", math.NaN())
		}, 0, 1},
		{"false but valid figures", ContentionOn, func(r *Roster) { r.ObserveReport(at(0), report(1, 10_000, 0, 10_000)) }, 0, capacity.MaxFactor},
		{"restarted under the same id", ContentionAuto, func(r *Roster) {
			r.ObserveReport(at(0), report(1, 250, 0, 130))
			r.ObserveFirstEvent(at(0), "a", 2*time.Second, time.Second)
			r.ObserveReport(at(0), report(2, 0, 0, 0))
		}, 0, 1},
		{"report of the earlier start", ContentionAuto, func(r *Roster) {
			r.ObserveReport(at(0), report(2, 100, 0, 0))
			r.ObserveReport(at(0), report(1, 250, 0, 130))
		}, 0, 1},
		{"not contended", ContentionAuto, func(r *Roster) { r.ObserveReport(at(0), report(1, 0, 0, 130)) }, 0, 1},
		{"switched off", ContentionOff, func(r *Roster) { r.ObserveReport(at(0), report(1, 250, 0, 130)) }, 0, 1},
	}

	for _, tt := range tests {
		var told []int

		r := newCapacityRoster(&told, tt.mode)
		tt.observe(r)

		if got := candidatesByID(r, at(tt.ms))["a"].Slowdown; math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}

		if _, got, _ := r.Slowdowns(at(tt.ms)); math.Abs(got-tt.want) > 1e-9 {
			t.Errorf("%s: got %v in the metrics, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against a new engine at the address of another one that is taken to be as slow.
func TestTargetWithAnotherIDHasNoSpeed(t *testing.T) {
	var told []int

	r := newCapacityRoster(&told, ContentionOn)
	r.ObserveFirstEvent(epoch, "a", 2*time.Second, time.Second)

	if _, got := r.Speed("10.0.0.1:80"); got != 1 {
		t.Errorf("got %d samples, want 1", got)
	}

	l := testListing("b", "10.0.0.1:80", 1)
	l.Offset = 1
	r.ObserveListing(epoch, l)

	if _, got := r.Speed("10.0.0.1:80"); got != 0 {
		t.Errorf("another target: got %d samples, want none", got)
	}
}
