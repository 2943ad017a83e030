// Package limited simulates the ways in which entries may keep to the rate limit that a target
// names for all of them together.
//
// # Model
//
// Requests arrive at random entries, in bursts with pauses between them, and go to the target with
// the fewest requests in flight among those that the entry may use. Some targets name a limit,
// which falls, rises and ends. An entry learns of a change from the response to its own request, or
// 250 ms after the first entry did. The load is the same for all ways.
//
// # Example
//
//	for _, w := range limited.Ways() {
//		fmt.Println(w, limited.Simulate(limited.Deployment{Entries: 4, Targets: 12, Limited: 6, Limit: 4.6, PerSecond: 135}, w, 1))
//	}
package limited

import (
	"math/rand/v2"
	"time"

	"boragehub/quota"
)

// Deployment describes a fleet and its load.
type Deployment struct {
	// Entries and Targets are their numbers; Limited targets name a limit.
	Entries, Targets, Limited int
	// Limit is the limit that they name first, in requests a second.
	Limit float64
	// PerSecond is the mean rate of requests at all entries.
	PerSecond float64
}

// Way is a way to keep to a limit.
type Way uint8

// The ways.
const (
	// Ignored sends without regard to limits.
	Ignored Way = iota
	// Alone lets each entry use the whole limit.
	Alone
	// SavedSlots gives each entry an equal share, of which it may use later what it didn't use.
	SavedSlots
	// Slots gives each entry an equal share in slots that expire (package quota).
	Slots
)

var wayNames = [...]string{"ignored", "each_alone", "saved_slots", "slots"}

// String returns the snake-case name of w.
func (w Way) String() string { return wayNames[w] }

// Ways returns all ways.
func Ways() []Way { return []Way{Ignored, Alone, SavedSlots, Slots} }

// Result is what a way gave.
type Result struct {
	// Most is the largest number of requests that a target got in 4 s from the entries that it had
	// told, as a fraction of one and a half times what its limit allows, and five.
	Most float64
	// Used is the fraction of the limits that was used while they were named.
	Used float64
	// Refused is the fraction of the requests that no target was left for.
	Refused float64
}

// Timing of a simulation.
const (
	step      = 5 * time.Millisecond
	length    = 60 * time.Second
	window    = 4 * time.Second
	runTime   = 400 * time.Millisecond
	announced = 250 * time.Millisecond
	// toldDelay is how long after an entry got a response that names a limit it is counted.
	toldDelay = 500 * time.Millisecond
	// named, halved, restored and ended are when the limits change.
	named, halved, restored, ended = 5 * time.Second, 20 * time.Second, 35 * time.Second, 50 * time.Second
	// burst and pause are the parts of the load's period; all requests come in bursts.
	burst, pause = 6 * time.Second, 2 * time.Second
)

// limitAt returns the limit that limited targets name.
func (d Deployment) limitAt(at time.Duration) float64 {
	switch {
	case at < named || at >= ended:
		return 0
	case at >= halved && at < restored:
		return d.Limit / 2
	default:
		return d.Limit
	}
}

// allowed returns how many requests a target may get in the window before at, in which entries may
// have gone by the limit as it was up to a second earlier.
func (d Deployment) allowed(at time.Duration) float64 {
	sum := 5.0
	for past := time.Duration(0); past < window; past += step {
		sum += 1.5 * max(d.limitAt(at-past), d.limitAt(at-past-time.Second)) * step.Seconds()
	}

	return sum
}

// share is what an entry knows of a target's limit.
type share struct {
	way   Way
	limit float64
	slots quota.Share
	saved float64 // requests that may be sent, of SavedSlots and Alone
	at    time.Time
	// toldAt is when the entry got its first response that names a limit; zero for none.
	toldAt time.Duration
}

func (s *share) set(now time.Time, limit float64, entries int, phase float64) {
	if s.limit == 0 {
		s.saved, s.at = 0, now
	}

	s.limit = limit
	s.slots.Set(now, limit, entries, phase)
}

// open reports whether a request may be sent.
func (s *share) open(now time.Time, entries int) bool {
	switch {
	case s.way == Ignored || s.limit == 0:
		return true
	case s.way == Slots:
		return s.slots.Wait(now) == 0
	case s.way == Alone:
		entries = 1
	}

	s.saved = min(s.saved+now.Sub(s.at).Seconds()*s.limit/float64(entries), max(1, s.limit/float64(entries)))
	s.at = now

	return s.saved >= 1
}

func (s *share) take(now time.Time) {
	s.slots.Take(now)
	s.saved--
}

// change is a limit that an entry learns at a time.
type change struct {
	at            time.Duration
	entry, target int
	limit         float64
}

// simulation is the state of one run.
type simulation struct {
	d         Deployment
	rng       *rand.Rand
	shares    [][]share         // by entry and target
	inFlight  [][]time.Duration // ends of the requests at each target
	arrivals  [][]time.Duration // at each limited target
	told      []float64         // limit that entries were last told, by target
	changes   []change
	sent      int
	requested int
	refused   int
}

// Simulate plays a load, determined by a seed, with one way.
func Simulate(d Deployment, w Way, seed uint64) Result {
	s := &simulation{
		d: d, rng: rand.New(rand.NewPCG(seed, 4)), inFlight: make([][]time.Duration, d.Targets), arrivals: make([][]time.Duration, d.Targets),
		told: make([]float64, d.Targets),
	}

	for range d.Entries {
		row := make([]share, d.Targets)
		for i := range row {
			row[i].way = w
		}

		s.shares = append(s.shares, row)
	}

	perStep := d.PerSecond * step.Seconds() * float64(burst+pause) / float64(burst)

	for at := time.Duration(0); at < length; at += step {
		s.learn(at)

		if at%(burst+pause) >= burst {
			continue
		}

		for want := perStep; s.rng.Float64() < want; want-- {
			s.request(at)
		}
	}

	return s.result()
}

// learn applies the changes that are due.
func (s *simulation) learn(at time.Duration) {
	kept := s.changes[:0]

	for _, c := range s.changes {
		if c.at > at {
			kept = append(kept, c)

			continue
		}

		s.shares[c.entry][c.target].set(time.Time{}.Add(at), c.limit, s.d.Entries, float64(c.entry)/float64(s.d.Entries))
	}

	s.changes = kept
}

// request sends a request of a random entry.
func (s *simulation) request(at time.Duration) {
	entry := s.rng.IntN(s.d.Entries)
	now := time.Time{}.Add(at)
	best := -1
	s.requested++

	for i, first := 0, s.rng.IntN(s.d.Targets); i < s.d.Targets; i++ {
		target := (first + i) % s.d.Targets
		if s.shares[entry][target].open(now, s.d.Entries) && (best < 0 || s.running(at, target) < s.running(at, best)) {
			best = target
		}
	}

	if best < 0 {
		s.refused++

		return
	}

	s.shares[entry][best].take(now)
	s.inFlight[best] = append(s.inFlight[best], at+runTime)

	if best < s.d.Limited {
		s.arrive(at, entry, best)
	}
}

// running returns the number of requests at a target.
func (s *simulation) running(at time.Duration, target int) int {
	for len(s.inFlight[target]) > 0 && s.inFlight[target][0] <= at {
		s.inFlight[target] = s.inFlight[target][1:]
	}

	return len(s.inFlight[target])
}

// arrive counts a request at a limited target. Its response names the limit.
func (s *simulation) arrive(at time.Duration, entry, target int) {
	limit := s.d.limitAt(at)
	x := &s.shares[entry][target]

	if x.toldAt > 0 && at-x.toldAt >= toldDelay {
		s.arrivals[target] = append(s.arrivals[target], at)
	}

	if limit > 0 {
		s.sent++

		if x.toldAt == 0 {
			x.toldAt = at + runTime
		}
	}

	s.changes = append(s.changes, change{at + runTime, entry, target, limit})

	if limit == s.told[target] {
		return
	}

	s.told[target] = limit

	for other := range s.d.Entries {
		s.changes = append(s.changes, change{at + runTime + announced, other, target, limit})
	}
}

func (s *simulation) result() Result {
	r := Result{Refused: float64(s.refused) / float64(max(s.requested, 1))}
	limits := 0.0

	for at := named; at < ended; at += step {
		limits += s.d.limitAt(at) * step.Seconds() * float64(s.d.Limited)
	}

	r.Used = float64(s.sent) / limits

	for _, all := range s.arrivals {
		from := 0

		for i, at := range all {
			for at-all[from] > window {
				from++
			}

			if at < named+3*time.Second || at >= ended {
				continue
			}

			r.Most = max(r.Most, float64(i-from+1)/s.d.allowed(at))
		}
	}

	return r
}
