package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"boragehub/pulse"
)

// limitedTarget is a simulated target that may name a rate limit.
type limitedTarget struct {
	id, address string
	limit       float64 // zero for none
	namedAt     time.Time
	// limits are the limits that the entries are held to, from when on.
	limits   []limitChange
	unknown  bool // no entry has got a response with the present limit yet
	arrivals []time.Time
}

type limitChange struct {
	at    time.Time
	limit float64
}

// limitedEntry is a simulated entry.
type limitedEntry struct {
	r     *Roster
	known *knownEntries
	// told is when the entry first got a response with a limit, by target.
	told        map[string]time.Time
	frozenUntil time.Time
	cutUntil    time.Time // until when it reaches neither targets nor entries
}

// excuse lets an entry that is frozen or cut off count again only once it got another response: it
// can't know that a limit has fallen meanwhile.
func (x *limitedEntry) excuse() { clear(x.told) }

// delayed is something that happens later.
type delayed struct {
	at time.Time
	do func()
}

// limitedFleet simulates entries that send requests to targets with rate limits, in virtual time
// and without a network.
type limitedFleet struct {
	rnd     *rand.Rand
	now     time.Time
	entries []*limitedEntry
	targets []*limitedTarget
	pending []delayed
	// loss is the fraction of announcements between entries that is lost.
	loss float64
}

func newLimitedFleet(seed uint64, entries, targets int, loss float64) *limitedFleet {
	f := &limitedFleet{rnd: rand.New(rand.NewPCG(seed, 2)), now: at(0), loss: loss}

	for i := range targets {
		f.targets = append(f.targets, &limitedTarget{id: fmt.Sprintf("e%d", i), address: fmt.Sprintf("10.0.0.%d:80", i)})
	}

	f.entries = make([]*limitedEntry, entries)
	for i := range f.entries {
		f.start(i)
	}

	return f
}

// start starts an entry, or starts it again.
func (f *limitedFleet) start(i int) {
	x := &limitedEntry{known: &knownEntries{i, []int{i}}, told: make(map[string]time.Time)}
	x.r = New(Config{
		Self: fmt.Sprint(i), DataCentre: "east", Entries: x.known, Log: logr.Discard(),
		RateLimitChanged: func(l RateLimit) { f.announce(x, l) },
	})
	f.entries[i] = x

	for _, e := range f.targets {
		x.r.ObserveListing(f.now, testListing(e.id, e.address, 1))
	}

	x.r.Tick(f.now)
	f.after(time.Second, func() { f.introduce(i) })
}

// introduce makes an entry know all others.
func (f *limitedFleet) introduce(i int) {
	known := []int{i}

	for j := range f.entries {
		if j != i {
			known = append(known, j)
		}
	}

	f.entries[i].known.known = known
}

// announce passes a limit on to all other entries. A cut-off entry reaches none.
func (f *limitedFleet) announce(from *limitedEntry, l RateLimit) {
	if f.now.Before(from.cutUntil) {
		return
	}

	for _, x := range f.entries {
		if x != from && f.rnd.Float64() >= f.loss {
			f.after(time.Duration(1+f.rnd.IntN(50))*time.Millisecond, func() { f.receive(x, l) })
		}
	}
}

// receive passes an announced limit to an entry. A frozen entry reads it when it resumes.
func (f *limitedFleet) receive(x *limitedEntry, l RateLimit) {
	switch wait := x.frozenUntil.Sub(f.now); {
	case wait > 0:
		f.after(wait, func() { f.receive(x, l) })
	case !f.now.Before(x.cutUntil):
		x.r.ObserveAnnouncedRateLimit(f.now, l)
	}
}

func (f *limitedFleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, delayed{f.now.Add(d), do})
}

// name changes the limit that a target names; zero ends it.
func (f *limitedFleet) name(e *limitedTarget, limit float64) {
	if e.limit == 0 {
		e.namedAt, e.limits, e.arrivals = f.now, nil, nil

		for _, x := range f.entries {
			delete(x.told, e.id)
		}
	}

	e.limit, e.unknown = limit, true
}

// run simulates time with requests at a rate of each entry.
func (f *limitedFleet) run(t rapid.TB, d time.Duration, perEntry float64) {
	t.Helper()

	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(simStep)

		kept := f.pending[:0]
		due := []delayed{}

		for _, p := range f.pending {
			if p.at.After(f.now) {
				kept = append(kept, p)
			} else {
				due = append(due, p)
			}
		}

		f.pending = kept

		for _, p := range due {
			p.do()
		}

		for i, x := range f.entries {
			if f.now.Before(x.frozenUntil) {
				continue
			}

			if f.now.Sub(at(0))/simStep%25 == 0 {
				x.r.Tick(f.now)
			}

			for want := perEntry * simStep.Seconds(); f.rnd.Float64() < want; want-- {
				f.request(i)
			}
		}

		if f.now.Sub(at(0))%(100*time.Millisecond) == 0 {
			for _, e := range f.targets {
				e.check(t, f.now)
			}
		}
	}
}

// request sends a request of an entry to a random target that may get one.
func (f *limitedFleet) request(i int) {
	x := f.entries[i]

	var eligible []string

	for _, c := range x.r.Candidates(f.now, "llm", "m") {
		if !c.Throttled {
			eligible = append(eligible, c.ID)
		}
	}

	if len(eligible) == 0 || f.now.Before(x.cutUntil) {
		return
	}

	id := eligible[f.rnd.IntN(len(eligible))]
	if !x.r.Admit(f.now, id) {
		return
	}

	for _, e := range f.targets {
		if e.id == id {
			f.arrive(x, e)
		}
	}
}

// arrive counts a request at its target and sends the response later.
func (f *limitedFleet) arrive(x *limitedEntry, e *limitedTarget) {
	if told, ok := x.told[e.id]; ok && e.limit > 0 && f.now.Sub(told) >= 500*time.Millisecond {
		e.arrivals = append(e.arrivals, f.now)
	}

	f.after(time.Duration(2+f.rnd.IntN(300))*time.Millisecond, func() {
		limit := e.limit

		if wait := x.frozenUntil.Sub(f.now); wait > 0 {
			f.after(wait, func() { f.respond(x, e, limit) })

			return
		}

		f.respond(x, e, limit)
	})
}

// respond passes a response to the entry that waits for it.
func (f *limitedFleet) respond(x *limitedEntry, e *limitedTarget, limit float64) {
	if f.now.Before(x.cutUntil) {
		return
	}

	x.r.ObserveRateLimit(f.now, e.id, limit)

	if _, ok := x.told[e.id]; !ok && limit > 0 {
		x.told[e.id] = f.now
	}

	if limit == e.limit && e.unknown {
		e.unknown = false
		e.limits = append(e.limits, limitChange{f.now.Add(500 * time.Millisecond), limit})
	}
}

// limitAt returns the limit that the entries are held to.
func (e *limitedTarget) limitAt(now time.Time) float64 {
	limit := e.limit

	for i, c := range e.limits {
		if i == 0 || !now.Before(c.at) {
			limit = c.limit
		}
	}

	return limit
}

// check fails the test if a target got more requests within 4 s than one and a half times its limit
// allows, and five, from entries that knew the limit for half a second.
func (e *limitedTarget) check(t rapid.TB, now time.Time) {
	t.Helper()

	const window = 4 * time.Second
	if e.limit <= 0 || now.Sub(e.namedAt) < 3*time.Second {
		return
	}

	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0]) > window {
		e.arrivals = e.arrivals[1:]
	}

	allowed := 5.0

	const step = 100 * time.Millisecond
	for past := time.Duration(0); past < window; past += step {
		allowed += 1.5 * max(e.limitAt(now.Add(-past)), e.limit) * step.Seconds()
	}

	if got := float64(len(e.arrivals)); got > allowed {
		t.Fatalf("%s at %v: got %.0f requests in 4 s at a limit of %.2f a second, want %.1f at most", e.id, now.Sub(epoch), got, e.limit, allowed)
	}
}

// Guards against a target that names a rate limit and gets more from the entries that it told, all
// of them together, also while the limit falls, rises and ends, and while entries start, freeze,
// are cut off or know only some of the others.
func TestRateLimitIsKeptByAllEntriesTogether(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.OneOf(rapid.IntRange(1, 20), rapid.SampledFrom([]int{60, 200})).Draw(r, "entries")
		f := newLimitedFleet(rapid.Uint64().Draw(r, "seed"), n, rapid.IntRange(2, 5).Draw(r, "targets"), rapid.SampledFrom([]float64{0, 0.02}).Draw(r, "loss"))
		perEntry := rapid.SampledFrom([]float64{3, 20, 60}).Draw(r, "demand") / (1 + float64(n)/20)
		f.run(r, 5*time.Second, perEntry)

		for range rapid.IntRange(1, 5).Draw(r, "events") {
			e := f.targets[rapid.IntRange(0, len(f.targets)-1).Draw(r, "target")]

			switch rapid.SampledFrom([]string{"limit", "limit", "start", "freeze", "cut", "forget"}).Draw(r, "event") {
			case "limit":
				f.name(e, rapid.SampledFrom([]float64{0, 0.2, 1, 4.6, 12, 40}).Draw(r, "limit"))
			case "start":
				f.start(rapid.IntRange(0, n-1).Draw(r, "entry"))
			case "freeze":
				f.some(r, func(x *limitedEntry) {
					x.frozenUntil = f.now.Add(2 * time.Second)
					x.excuse()
				})
			case "cut":
				f.some(r, func(x *limitedEntry) {
					x.cutUntil = f.now.Add(2 * time.Second)
					x.excuse()
				})
			case "forget":
				// Entries reach targets and not each other.
				f.some(r, func(x *limitedEntry) { x.known.known = x.known.known[:1] })
				f.after(5*time.Second, func() {
					for i := range f.entries {
						f.introduce(i)
					}
				})
			}

			f.run(r, time.Duration(rapid.IntRange(500, 9000).Draw(r, "ms"))*time.Millisecond, perEntry)
		}
	})
}

// some calls do for half of the entries, at least one.
func (f *limitedFleet) some(r *rapid.T, do func(x *limitedEntry)) {
	first := rapid.IntRange(0, 1).Draw(r, "first")
	for i := min(first, len(f.entries)-1); i < len(f.entries); i += 2 {
		do(f.entries[i])
	}
}

// Guards against a limit that is forgotten while the register lacks its target during an outage, that
// outlives a restart of the target, or that load reports end although responses still name it.
func TestRateLimitLastsAsLongAsItIsNamed(t *testing.T) {
	const address = "10.0.0.1:80"

	report := func(limit float64, startedMs int64) pulse.Report {
		return pulse.Report{Engine: address, Model: "m", Version: 1, RateLimit: limit, StartedMs: startedMs}
	}

	tests := []struct {
		name string
		do   func(r *Roster)
		want float64
	}{
		{"named in a response", func(*Roster) {}, 4.6},
		{"changed", func(r *Roster) { r.ObserveRateLimit(at(10), "a", 2) }, 2},
		{"ended", func(r *Roster) { r.ObserveRateLimit(at(10), "a", 0) }, 0},
		{"changed by an announcement", func(r *Roster) { r.ObserveAnnouncedRateLimit(at(10), RateLimit{"a", 3}) }, 3},
		{"announced for another start", func(r *Roster) { r.ObserveAnnouncedRateLimit(at(10), RateLimit{"z", 3}) }, 4.6},
		{"load report that never named one", func(r *Roster) { r.ObserveReport(at(10), report(0, 0)) }, 4.6},
		{"load report that names another one", func(r *Roster) { r.ObserveReport(at(10), report(3, 0)) }, 3},
		{"load report that names it no more", func(r *Roster) {
			r.ObserveReport(at(10), report(3, 0))
			r.ObserveReport(at(20), report(0, 0))
		}, 0},
		{"listed again", func(r *Roster) {
			r.ObserveRemoval(at(10), "a")
			r.ObserveListing(at(900), testListing("a", address, 1))
		}, 4.6},
		{"listed again much later", func(r *Roster) {
			r.ObserveRemoval(at(10), "a")
			r.Tick(at(100_000))
			r.ObserveListing(at(100_010), testListing("a", address, 1))
		}, 0},
		{"restarted", func(r *Roster) {
			r.ObserveReport(at(10), report(0, 1000))
			r.ObserveReport(at(20), report(0, 2000))
		}, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestRoster()
			r.ObserveRateLimit(at(0), "a", 4.6)
			tt.do(r)

			if got := candidatesByID(r, at(100_020))["a"].RateLimit; got != tt.want {
				t.Errorf("got a limit of %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against an entry that resumes after a pause, reads old responses and tells all others of a
// limit that has changed meanwhile.
func TestRateLimitsReadAfterAPauseAreNotAnnounced(t *testing.T) {
	var got []RateLimit

	r := New(Config{Self: "entry-1", DataCentre: "east", Log: logr.Discard(), RateLimitChanged: func(l RateLimit) { got = append(got, l) }})
	r.ObserveListing(at(0), testListing("a", "10.0.0.1:80", 1))

	steps := []struct {
		name  string
		at    int
		limit float64
		want  []RateLimit
	}{
		{"first", 250, 4.6, []RateLimit{{"a", 4.6}}},
		{"hardly changed", 500, 4.5, nil},
		{"fallen", 750, 2, []RateLimit{{"a", 2}}},
		{"after a pause", 5000, 0, nil},
		{"confirmed", 5250, 0, []RateLimit{{"a", 0}}},
	}

	for _, s := range steps {
		got = nil
		r.ObserveRateLimit(at(s.at), "a", s.limit)
		r.Tick(at(s.at))

		if !slices.Equal(got, s.want) {
			t.Errorf("%s: got %v announced, want %v", s.name, got, s.want)
		}
	}
}

// Guards against entries that don't know each other when a target names a limit, and that all take
// the first slot.
func TestEntriesThatDoNotKnowEachOtherDoNotShareASlot(t *testing.T) {
	f := newLimitedFleet(0, 200, 2, 0)
	f.run(t, 5*time.Second, 6)

	for i := 1; i < len(f.entries); i += 2 {
		f.entries[i].known.known = f.entries[i].known.known[:1]
	}

	f.name(f.targets[0], 1)
	f.run(t, 6*time.Second, 6)
}
