// Package crashed simulates the ways in which entries may find what crashes engines.
//
// # Model
//
// Prompts consist of a first part of which there are few, a document that few prompts share, and a part
// of their own. Some prompts have a bad part instead of the document: the engine that begins a
// response to one of them crashes with all that runs there, and comes back seconds later under
// another id. Engines also crash for other reasons, one by one or many at once. Entries are killed and start
// again with what the others know. Reports between entries take some time. The load and the faults
// are the same for all ways.
//
// # Example
//
//	for _, w := range crashed.Ways() {
//		fmt.Println(w, crashed.Simulate(crashed.Deployment{Entries: 4, Engines: 12, PerSecond: 220, Bad: 2, BadPerSecond: 2}, w, 1))
//	}
package crashed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"boragehub/quarantine"
)

// Deployment describes a fleet and its load.
type Deployment struct {
	// Entries and Engines are their numbers.
	Entries, Engines int
	// PerSecond is the rate of sound prompts at all entries, Documents the number of documents.
	PerSecond float64
	Documents int
	// Bad is the number of bad parts, BadPerSecond the rate of prompts with one of them.
	Bad          int
	BadPerSecond float64
	// Crashes is the number of times that engines crash for other reasons, one by one or many at once.
	Crashes int
	// Every, if not zero, is the time from one crash of a fraction Share of the engines to the next. They are back
	// after a second.
	Every time.Duration
	Share float64
}

// Way is a way to find what crashes engines.
type Way uint8

// The ways.
const (
	// Nothing refuses nothing.
	Nothing Way = iota
	// ByRequest refuses requests that were running when engines crashed.
	ByRequest
	// ByPart refuses prompts with parts that were, too.
	ByPart
)

var wayNames = [...]string{"nothing", "by_request", "by_part"}

// String returns the snake-case name of w.
func (w Way) String() string { return wayNames[w] }

// Ways returns all ways.
func Ways() []Way { return []Way{Nothing, ByRequest, ByPart} }

// Result is what a way gave.
type Result struct {
	// Ended is the largest number of engines that a bad part crashed, Late the largest number of prompts
	// with one that reached engines later than three seconds behind the fifth of these crashes.
	Ended, Late int
	// Served is the fraction of sound prompts that were served, Refused that of those that were refused as
	// they had a quarantined part.
	Served, Refused float64
	// Sound is the number of sound prompts.
	Sound int
}

// Parameters of a simulation.
const (
	step       = 10 * time.Millisecond
	length     = 40 * time.Second
	firstParts = 3
	down       = 3 * time.Second
	shortDown  = time.Second
	// badDelay is the time from the arrival of a bad prompt until its engine crashes, at least.
	badDelay = 60 * time.Millisecond
	// reportDelay is how long after a crash or a response other entries know, at most.
	reportDelay = 60 * time.Millisecond
	// startDelay is how long after its start an entry knows what others know.
	startDelay = 300 * time.Millisecond
	// firstProbe is how long after its last crash a quarantined part is first tried.
	firstProbe = 5 * time.Second
	// late is how long after the fifth crash a prompt counts as late.
	late, fifth = 3 * time.Second, 5
)

// prompt is a prompt that an engine runs.
type prompt struct {
	entry       int
	parts       []string
	fingerprint quarantine.Fingerprint
	bad         bool
	endsAt      time.Time
}

// engine is the state of one engine.
type engine struct {
	starts  int
	upAt    time.Time
	running []*prompt
}

// message is something that an entry learns at a time.
type message struct {
	at    time.Time
	entry int
	learn func(now time.Time, e *entry)
}

// entry is the state of one entry.
type entry struct {
	requests *quarantine.Tracker
	parts    *quarantine.PartTracker
	ended    quarantine.RecentTally
}

// simulation is the state of one run.
type simulation struct {
	d        Deployment
	way      Way
	rng      *rand.Rand
	now      time.Time
	entries  []*entry
	engines  []*engine
	messages []message
	prompts  int
	reached  map[string][]time.Time // arrivals of each bad part at engines

	sound, served, refused int
}

// Simulate plays a load, determined by a seed, with one way.
func Simulate(d Deployment, w Way, seed uint64) Result {
	s := &simulation{d: d, way: w, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), reached: make(map[string][]time.Time)}

	for range d.Entries {
		s.entries = append(s.entries, newEntry())
	}

	for range d.Engines {
		s.engines = append(s.engines, &engine{})
	}

	faults := rand.New(rand.NewPCG(seed, 8))

	var crashAt []time.Duration
	for range d.Crashes {
		crashAt = append(crashAt, time.Duration(faults.Int64N(int64(length))))
	}

	restartAt := time.Duration(faults.Int64N(int64(length)))

	for at := time.Duration(0); at < length; at += step {
		s.now = s.now.Add(step)
		s.deliver()
		s.run()
		s.load()

		for _, c := range crashAt {
			if c >= at && c < at+step {
				s.crashSome(faults, []float64{0, 0.3, 1}[faults.IntN(3)], down)
			}
		}

		if d.Every > 0 && at > 0 && at%d.Every < step {
			s.crashSome(faults, d.Share, shortDown)
		}

		if restartAt >= at && restartAt < at+step {
			s.restart(faults.IntN(d.Entries))
		}
	}

	return s.result()
}

func newEntry() *entry {
	return &entry{
		requests: quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3}),
		parts:    quarantine.NewPartTracker(quarantine.PartTrackerConfig{FirstProbe: firstProbe}),
	}
}

// tellOthers lets all entries but one learn of something some time later.
func (s *simulation) tellOthers(but int, learn func(now time.Time, e *entry)) {
	for i := range s.entries {
		if i != but {
			s.messages = append(s.messages, message{s.now.Add(time.Duration(s.rng.Int64N(int64(reportDelay)))), i, learn})
		}
	}
}

// deliver lets entries learn what is due.
func (s *simulation) deliver() {
	all := s.messages
	s.messages = nil // entries may send further ones

	for _, m := range all {
		if m.at.After(s.now) {
			s.messages = append(s.messages, m)
		} else {
			m.learn(s.now, s.entries[m.entry])
		}
	}
}

// restart starts an entry anew, which learns later what the others know.
func (s *simulation) restart(i int) {
	s.entries[i] = newEntry()
	s.messages = append(s.messages, message{s.now.Add(startDelay), i, func(now time.Time, e *entry) {
		for j, other := range s.entries {
			if j == i {
				continue
			}

			for _, c := range other.requests.Crashes(now) {
				e.requests.RecordCrash(now, c)
			}

			for _, c := range other.parts.Crashes(now) {
				e.parts.RecordCrash(now, c)
			}

			e.parts.Acquit(now, other.parts.Acquittals())
		}
	}})
}

// run ends the prompts that are due.
func (s *simulation) run() {
	for i, x := range s.engines {
		var due []*prompt

		x.running = slices.DeleteFunc(x.running, func(p *prompt) bool {
			if p.bad || p.endsAt.After(s.now) {
				return false
			}

			due = append(due, p)

			return true
		})

		for _, p := range due {
			s.served++

			s.complete(p)
		}

		if slices.ContainsFunc(x.running, func(p *prompt) bool { return !p.endsAt.After(s.now) }) {
			s.crash(i, down)
		}
	}
}

// complete completes the response to a prompt. Its entry tells the others of the parts that it clears.
func (s *simulation) complete(p *prompt) {
	e, at := s.entries[p.entry], s.now
	e.ended.Add(at, quarantine.Tally{Complete: 1})

	for _, part := range e.parts.RecordCompletion(at, p.parts) {
		s.tellOthers(p.entry, func(now time.Time, e *entry) { e.parts.Acquit(now, []quarantine.Acquittal{{Part: part, At: at}}) })
	}
}

// crash ends an engine for some time. Each entry reports the prompts that it had there, and others tell it of the parts
// that got responses there shortly before.
func (s *simulation) crash(i int, down time.Duration) {
	x := s.engines[i]
	c := quarantine.Crash{Target: fmt.Sprint(i), Boot: fmt.Sprint(x.starts), At: s.now}
	byEntry := make(map[int]quarantine.Crash)

	for _, p := range x.running {
		own, ok := byEntry[p.entry]
		if !ok {
			own = c
		}

		own.Running = append(own.Running, p.fingerprint)
		own.Parts = append(own.Parts, p.parts...)
		byEntry[p.entry] = own
	}

	for n := range s.entries {
		if own, ok := byEntry[n]; ok {
			s.report(n, own)
		}
	}

	x.running, x.upAt = nil, s.now.Add(down)
	x.starts++
}

// report reports the crash of an engine with the prompts of one entry.
func (s *simulation) report(n int, own quarantine.Crash) {
	e := s.entries[n]
	own.Beside = e.ended.Worst(s.now)
	e.ended.Add(s.now, quarantine.Tally{Broken: len(own.Running)})
	own.Parts = e.parts.CountsAgainst(s.now, own.Parts)
	e.requests.RecordCrash(s.now, own)
	e.parts.RecordCrash(s.now, own)

	s.tellOthers(n, func(now time.Time, e *entry) {
		acquitted := slices.DeleteFunc(slices.Clone(own.Parts), func(p string) bool { return len(e.parts.CountsAgainst(now, []string{p})) > 0 })
		e.requests.RecordCrash(now, own)
		e.parts.RecordCrash(now, own)

		if len(acquitted) == 0 {
			return
		}

		all := e.parts.Acquittals(acquitted...)
		s.tellOthers(-1, func(now time.Time, e *entry) { e.parts.Acquit(now, all) })
	})
}

// crashSome ends one engine and a fraction of the others for some time.
func (s *simulation) crashSome(faults *rand.Rand, share float64, down time.Duration) {
	one := faults.IntN(len(s.engines))

	for i, x := range s.engines {
		if (i == one || faults.Float64() < share) && x.upAt.Before(s.now) {
			s.crash(i, down)
		}
	}
}

// load sends the prompts of one step.
func (s *simulation) load() {
	for want := s.d.PerSecond * step.Seconds(); s.rng.Float64() < want; want-- {
		// Few documents are asked for often.
		document := int(float64(s.d.Documents) * s.rng.Float64() * s.rng.Float64())
		s.send(fmt.Sprintf("document%d", document), false)
	}

	for want := s.d.BadPerSecond * step.Seconds(); s.rng.Float64() < want; want-- {
		s.send(fmt.Sprintf("bad%d", s.rng.IntN(s.d.Bad)), true)
	}
}

// send sends one prompt to an engine, unless its entry refuses it.
func (s *simulation) send(second string, bad bool) {
	s.prompts++

	p := &prompt{
		entry: s.rng.IntN(len(s.entries)), parts: []string{fmt.Sprintf("first%d", s.rng.IntN(firstParts)), second}, bad: bad,
		fingerprint: quarantine.FingerprintOf("", fmt.Append(nil, s.prompts)),
		endsAt:      s.now.Add(badDelay + time.Duration(s.rng.Int64N(int64(badDelay)))),
	}

	if !bad {
		s.sound++

		p.endsAt = s.now.Add(time.Duration(50+s.rng.IntN(600)) * time.Millisecond)
	}

	to := s.engines[s.rng.IntN(len(s.engines))]
	e := s.entries[p.entry]
	_, err := e.requests.Check(s.now, p.fingerprint)

	switch {
	case s.way != Nothing && err != nil, s.way == ByPart && s.refuses(p, e):
		if !bad {
			s.refused++
		}

		return
	case !to.upAt.Before(s.now):
		return
	}

	if bad {
		s.reached[second] = append(s.reached[second], s.now)
	}

	to.running = append(to.running, p)
}

// refuses reports whether an entry refuses a prompt for one of its parts. Entries rank by their numbers.
func (s *simulation) refuses(p *prompt, e *entry) bool {
	v := e.parts.Check(s.now, p.parts)

	return v.Status == quarantine.Quarantined && (v.Quarantined > 1 || !e.parts.BeginProbe(s.now, v.Part, p.entry))
}

func (s *simulation) result() Result {
	r := Result{Sound: s.sound, Served: float64(s.served) / float64(max(s.sound, 1)), Refused: float64(s.refused) / float64(max(s.sound, 1))}

	for _, all := range s.reached {
		r.Ended = max(r.Ended, len(all))

		if len(all) < fifth {
			continue
		}

		behind := all[fifth-1].Add(badDelay + late)
		n := slices.IndexFunc(all, func(at time.Time) bool { return at.After(behind) })

		if n >= 0 {
			r.Late = max(r.Late, len(all)-n)
		}
	}

	return r
}
