package gateway

import (
	"slices"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/roster"
	"boragehub/route"
	"boragehub/vault"
)

// choice is the target of an attempt.
type choice struct {
	engine roster.Engine
	// sending is what goes with the request.
	sending Sending
	// unread are the tokens that the target is expected to read, memory those that
	// the request takes of its memory.
	unread, memory int
	// fetchWait and fetchTime are how long the longest fetch is expected to wait
	// for its store's link and to take.
	fetchWait, fetchTime time.Duration
}

// Times to a target and back, for weighing one against another.
const (
	// nearTime is within a data centre.
	nearTime = 400 * time.Microsecond
	// farTime is between data centres. The way takes 1 to 2 ms; the rest stands
	// for the price of bytes between them, so that a far target is taken when
	// the near one has about one more call before it.
	farTime = 8 * time.Millisecond
	// callTime is how long a call of a plain service takes.
	callTime = 30 * time.Millisecond
)

// Pauses told to callers.
const (
	// loadingPause is for engines that load weights: half a second each, a few at
	// a time.
	loadingPause = 300 * time.Millisecond
	// roomPause is for engines without room: a long prompt takes about that time.
	roomPause = time.Second
	// nonePause is for a service without targets: one that was started anew is
	// listed within about a second.
	nonePause = 700 * time.Millisecond
)

// choose returns the target of the next attempt.
func (t *task) choose(now time.Time) (choice, error) {
	candidates := t.g.cfg.Roster.Candidates(now, t.service.Name, t.model())
	if len(candidates) == 0 {
		return choice{}, failure.New(failure.Unavailable, "the service has no target").After(nonePause)
	}

	if t.service.Engines != nil && t.arrival.Prompt != nil {
		return t.chooseEngine(now, candidates)
	}

	return t.chooseCall(now, candidates)
}

// chooseCall takes the target of a plain service with the least work before it.
func (t *task) chooseCall(now time.Time, all []roster.Engine) (choice, error) {
	calls := make([]route.CallCandidate, len(all))

	for i, e := range all {
		calls[i] = route.CallCandidate{
			Name: e.ID, Draining: e.Loading, Suspected: e.Doubted || e.Failures > 0, Tried: t.tried[e.ID],
			Delay: t.distance(e), LoadAt: now.Add(-e.Load.Age), Running: e.Load.Running, Waiting: e.Load.Waiting,
			InFlight: e.Ahead, CallTime: callTime, AtOnce: e.Slots,
		}
	}

	d := route.DecideCall(now, route.Config{}, t.draw+uint64(t.attempts), calls)
	if !d.Found() {
		return choice{}, failure.New(failure.Unavailable, "no target is left to try").After(loadingPause)
	}

	e := all[d.Target()]
	c := choice{engine: e, sending: t.sending(now, e)}
	t.log(c, "least_work", float64(d.Cost(d.Target()).Seconds)*1000, len(all))

	return c, nil
}

// chooseEngine takes the engine that brings a prompt's first event soonest, what
// it costs to read the prompt again being counted.
func (t *task) chooseEngine(now time.Time, all []roster.Engine) (choice, error) {
	p := t.arrival.Prompt
	newest := t.g.newest(p.Model)
	due, required := t.g.namedFor(now, p.Model, versionGrace), t.g.required(now, p.Model)
	candidates := make([]route.OpeningCandidate, len(all))
	all = expectRequired(all, required)
	l := t.lookup(now, all)

	for i, e := range all {
		candidates[i] = route.OpeningCandidate{
			Name: e.ID, Excluded: t.exclusion(e, required), Suspected: e.Doubted || e.Failures > 1 || e.Quiet,
			Old: e.Version > 0 && e.Version < due, Slots: e.Slots, Distance: t.distance(e),
		}
		load(&candidates[i], e)
		l.fill(&candidates[i], e, newest)
	}

	cfg := t.g.cfg.Opening
	cfg.MemoryTokens = t.service.Engines.MemoryTokens

	d := route.DecideOpening(cfg, t.opening(), candidates)
	if !d.Found() {
		return choice{}, nobody(candidates)
	}

	e := all[d.Target()]
	reason := "home"

	if d.Target() != d.Home() {
		reason = "spill"
	}

	c := choice{engine: e, sending: t.sending(now, e), unread: p.Tokens, memory: p.Tokens + p.Output}
	t.contexts(l, &c)
	t.log(c, reason, d.Cost(), len(all))

	return c, nil
}

// expectRequired returns the engines as they are asked to be when none is believed
// to have the weights that are required: with those weights. One that has them, and
// of which this entry missed it, serves; one that hasn't refuses without running.
func expectRequired(all []roster.Engine, required int64) []roster.Engine {
	for _, e := range all {
		if e.Version >= required {
			return all
		}
	}

	asked := slices.Clone(all)
	for i := range asked {
		asked[i].Version = required
	}

	return asked
}

// load fills in what an engine has to do: its pulse and what was sent since, or
// what this entry knows by itself.
func load(c *route.OpeningCandidate, e roster.Engine) {
	if e.Fresh {
		c.Running, c.Waiting = e.Pulse.Running+e.Since.Requests, e.Pulse.Waiting
		c.SentTokens = e.Since.Reading
		c.UsedTokens = e.Pulse.UsedTokens + e.Since.Memory

		return
	}

	c.Running, c.Waiting = max(e.Ahead, e.Load.Running), e.Load.Waiting
	c.SentTokens = e.AheadTokens
	c.UsedTokens = e.AheadTokens
}

// opening describes the prompt for the decision.
func (t *task) opening() route.OpeningRequest {
	p := t.arrival.Prompt
	shared := p.Shared()

	return route.OpeningRequest{
		Opening: p.Opening(), Shared: shared, Own: p.Tokens - shared, Output: p.Output,
	}
}

// longest returns the index of the longest shared part, -1 when there is none.
func (t *task) longest() int {
	parts := t.arrival.Prompt.Parts
	best := -1

	for i := range len(parts) - 1 {
		if best < 0 || parts[i].Tokens > parts[best].Tokens {
			best = i
		}
	}

	return best
}

func (t *task) exclusion(e roster.Engine, required int64) route.Exclusion {
	switch {
	case t.tried[e.ID]:
		return route.AlreadyTried
	case e.Loading, e.Version > 0 && e.Version < required:
		return route.OtherVersion
	case t.long() && e.Fresh && !t.fits(e):
		return route.NoRoom
	default:
		return route.None
	}
}

// Memory of engines for long prompts.
const (
	// longTokens is the memory that a long prompt takes which an engine has not
	// started: an opening of 12,800 tokens, and what it has of its own.
	longTokens = 15_000
	// memoryShare is the part of an engine's memory up to which long prompts are sent.
	// Of 12 days on two sites, with 0.8 and 0.95 of it: worth 0.681 and 0.680, 0.620
	// and 0.626; with three prompts an engine, whatever their length: 0.669 and 0.617.
	memoryShare = 0.95
)

// fits reports whether a long prompt fits into an engine's memory beside what runs and
// waits there; one alone always does. With more, each is read in pieces between all
// the others', they keep their memory for seconds, and contexts that were fetched are
// pushed out and read again: at twice the usual load an engine then does a quarter of
// its work.
func (t *task) fits(e roster.Engine) bool {
	if e.Pulse.Running+e.Pulse.Waiting+e.Since.Requests == 0 {
		return true
	}

	p := t.arrival.Prompt
	used := e.Pulse.UsedTokens + e.Since.Memory + longTokens*e.Pulse.Waiting

	return float64(used+p.Tokens+p.Output) <= memoryShare*float64(t.service.Engines.MemoryTokens)
}

// long reports whether the prompt's opening is a long one.
func (t *task) long() bool {
	i := t.longest()

	return i >= 0 && t.arrival.Prompt.Parts[i].Tokens > t.g.cfg.Opening.Short()
}

// errNoRoom says that engines which could take the prompt have no room for it now.
var errNoRoom = failure.New(failure.QueueFull, "no engine has room for a long prompt").After(roomPause)

// nobody is why no engine was found.
func nobody(candidates []route.OpeningCandidate) error {
	for _, c := range candidates {
		if c.Excluded == route.NoRoom {
			return errNoRoom
		}
	}

	return failure.New(failure.Unavailable, "all engines load weights or were tried").After(loadingPause)
}

func (t *task) distance(e roster.Engine) time.Duration {
	if e.DataCentre == t.g.cfg.DataCentre {
		return nearTime
	}

	return farTime
}

// sending is what goes with the request to any kind of target.
func (t *task) sending(now time.Time, e roster.Engine) Sending {
	s := Sending{
		Target: e.ID, Address: e.Address, Left: t.deadline.Sub(now), Priority: t.priority(),
		ResumeAfter: t.resumeAfter(),
	}

	if t.organisation != nil {
		s.Organisation = t.organisation.Name
	}

	return s
}

// scope says who may use what the request leaves in caches.
func (t *task) scope(version int64) vault.Scope {
	s := vault.Scope{Model: t.arrival.Prompt.Model, Version: version}
	if t.organisation != nil && t.organisation.Isolated {
		s.Wall = t.organisation.Name
	}

	return s
}

// contexts fills in which cached parts the engine uses: only such as were made
// under the version that the engine is asked to have.
func (t *task) contexts(l *lookup, c *choice) {
	s := &c.sending

	if c.engine.Version == 0 {
		// Nobody knows which version it has, so nothing may be shared.
		s.Salt = "request/" + t.arrival.ID

		return
	}

	s.Version = c.engine.Version
	s.Salt = t.scope(s.Version).Salt()

	t.fetchAndSave(l, c)
}

// keepLeast is the length from which a part is kept in stores: a block of an
// engine's memory. Also the short ones at the beginning have to be there: a part is
// of use only together with all before it.
const keepLeast = 16

// fetchAndSave names for each part that is long enough where to bring it from, and
// the store to keep it in from now on where none has it.
func (t *task) fetchAndSave(l *lookup, c *choice) {
	s := &c.sending
	parts := t.arrival.Prompt.Parts
	newest := s.Version >= t.g.newest(t.arrival.Prompt.Model)

	clock, ok := t.g.cfg.Vaults.Clock(l.now)
	if !ok {
		return
	}

	fetch, save := make([]string, len(parts)), make([]string, len(parts))

	for i := range len(parts) - 1 {
		if parts[i].Tokens < keepLeast {
			continue
		}

		x := l.part(i, s.Version)
		found, ok := l.find(x, c.engine)

		switch {
		case x.on(c.engine):
			c.unread -= parts[i].Tokens
		case ok:
			t.g.cfg.Vaults.Promise(l.now, found)

			if found.Transfer > c.fetchTime {
				c.fetchWait, c.fetchTime = found.Wait, found.Transfer
			}

			c.unread -= parts[i].Tokens
		case x.long:
			t.g.reading.begin(l.now, x.key, c.engine.ID)
		}

		if ok {
			// Also where the engine has the part: it may just have lost it, and
			// brings nothing that it has.
			fetch[i] = found.Address
			s.Fetch = fetch
			s.FetchUntil = clock + vault.MaxFetch.Milliseconds()
		}

		if x.stored || !newest {
			continue
		}

		if address, ok := t.g.cfg.Vaults.Place(l.now, vault.Held{Part: x.part, Tokens: parts[i].Tokens}); ok {
			save[i] = address
			s.Save = save
		}
	}
}

// log writes down where the request goes and what spoke for it.
func (t *task) log(c choice, reason string, cost float64, candidates int) {
	e := c.engine

	event.Log(t.g.cfg.Log, event.AttemptSent, "request_id", t.arrival.ID, "route", t.route.Name, "attempt", t.attempts+1,
		"target", e.ID, "reason", reason, "cost_ms", int(cost), "candidates", candidates, "config", t.cfg.Version(),
		"running", max(e.Pulse.Running, e.Load.Running), "waiting", max(e.Pulse.Waiting, e.Load.Waiting),
		"used_tokens", e.Pulse.UsedTokens, "pulse_age_ms", age(e), "sent_since", e.Since.Requests,
		"version", c.sending.Version, "fetches", len(c.sending.Fetch) > 0, "saves", len(c.sending.Save) > 0, "unread", c.unread, "fetch_wait_ms", c.fetchWait.Milliseconds(), "fetch_ms", c.fetchTime.Milliseconds(),
		"opening", t.openingID(), "salt", c.sending.Salt)
}

// openingID returns the id of the prompt's opening, empty for none.
func (t *task) openingID() string {
	if t.arrival.Prompt == nil {
		return ""
	}

	return t.arrival.Prompt.Opening()
}

// noPulse stands for the age of a pulse that never came.
const noPulse = -1

func age(e roster.Engine) int64 {
	if e.Pulse.Start == 0 {
		return noPulse
	}

	return e.PulseAge.Milliseconds()
}
