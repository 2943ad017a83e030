package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"
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
	sent    int
}

func newLimitedFleet(seed uint64, entries, targets int) *limitedFleet {
	f := &limitedFleet{rnd: rand.New(rand.NewPCG(seed, 2)), now: at(0)}

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
	x.r = New(Config{Self: fmt.Sprint(i), DataCentre: "east", Entries: x.known, Log: logr.Discard()})
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

		for _, e := range f.targets {
			e.check(t, f.now)
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

	f.sent++

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
// of them together.
func TestRateLimitIsKeptByAllEntriesTogether(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newLimitedFleet(rapid.Uint64().Draw(r, "seed"), rapid.IntRange(1, 40).Draw(r, "entries"), rapid.IntRange(2, 5).Draw(r, "targets"))
		perEntry := rapid.SampledFrom([]float64{3, 20, 60}).Draw(r, "demand")
		f.run(r, 5*time.Second, perEntry)

		for range rapid.IntRange(1, 4).Draw(r, "events") {
			e := f.targets[rapid.IntRange(0, len(f.targets)-1).Draw(r, "target")]
			f.name(e, rapid.SampledFrom([]float64{0, 0.2, 1, 4.6, 12, 40}).Draw(r, "limit"))
			f.run(r, time.Duration(rapid.IntRange(500, 9000).Draw(r, "ms"))*time.Millisecond, perEntry)
		}
	})
}
