package drawn

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"boragehub/profile"
	"boragehub/pulse"
	"boragehub/route"
)

// Policy is a way to choose an engine.
type Policy uint8

// The policies.
const (
	// Decide is the entries' own: route.DecideOpening with learned speeds.
	Decide Policy = iota
	// Home always takes the first engine of a prompt's opening, by hash.
	Home
	// Least takes the engine with the fewest prompts.
	Least
)

// String returns the snake-case name of p.
func (p Policy) String() string { return [...]string{"decide", "home", "least"}[p] }

// Result is what became of the prompts.
type Result struct {
	// Asked, InTime and Late count prompts: all, those whose first event came within
	// their aim, and those whose came later. The others were refused.
	Asked, InTime, Late int
	// ByKind are the parts of the prompts of each kind that were in time.
	ByKind []float64
	// ReadAgain are the tokens of openings that an engine read though one had read them.
	ReadAgain int
}

// OnTime returns the part of the prompts whose first event came within their aim.
func (r Result) OnTime() float64 { return float64(r.InTime) / float64(max(r.Asked, 1)) }

// Times of a play.
const (
	played = 12 * time.Second
	// pulseEvery is the pause between two pulses, look that between two looks for room.
	pulseEvery = 100 * time.Millisecond
	look       = 25 * time.Millisecond
	// swing is the period in which the load goes up and down by waves, of a half.
	swing = 7 * time.Second
	waves = 0.5
)

// entry is what one entry has learned, and what it sent since the last pulses.
type entry struct {
	learned              profile.Fleet
	requests, read, held []int // by engine
}

// world is one play.
type world struct {
	d       Deployment
	policy  Policy
	engines []*engine
	entries []*entry
	read    map[int]bool
	events  queue
	result  Result
	asked   []int
	inTime  []int
}

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// Play plays a policy on a deployment, with the load of a seed.
func Play(d Deployment, policy Policy, seed uint64) Result {
	w := &world{d: d, policy: policy, read: make(map[int]bool), asked: make([]int, len(d.Kinds)), inTime: make([]int, len(d.Kinds))}

	for i := range d.Engines {
		rate := d.TokensPerMs * (1 + d.Spread*float64(i%3)/2)
		w.engines = append(w.engines, &engine{d: &w.d, rate: rate, cached: make(map[int]int)})
	}

	for range d.Entries {
		w.entries = append(w.entries, &entry{requests: make([]int, d.Engines), read: make([]int, d.Engines), held: make([]int, d.Engines)})
	}

	w.load(rand.New(rand.NewPCG(seed, 2))) //nolint:gosec // a model's, and the same each time
	w.at(0, w.pulses)

	for len(w.events) > 0 {
		e, ok := heap.Pop(&w.events).(event)
		if ok {
			e.do(e.at)
		}
	}

	for i, n := range w.asked {
		w.result.ByKind = append(w.result.ByKind, float64(w.inTime[i])/float64(max(n, 1)))
	}

	return w.result
}

func (w *world) at(t time.Duration, do func(now time.Duration)) {
	heap.Push(&w.events, event{t, w.result.Asked + len(w.events), do})
}

// load lets prompts come.
func (w *world) load(r *rand.Rand) {
	shares := 0.0
	for _, k := range w.d.Kinds {
		shares += k.Share
	}

	for t := time.Duration(0); t < played; {
		perS := w.d.PerS * (1 + waves*math.Sin(2*math.Pi*t.Seconds()/swing.Seconds()))
		t += time.Duration(r.ExpFloat64() / perS * float64(time.Second))

		drawn, kind := r.Float64()*shares, 0
		for kind < len(w.d.Kinds)-1 && drawn > w.d.Kinds[kind].Share {
			drawn -= w.d.Kinds[kind].Share
			kind++
		}

		k := w.d.Kinds[kind]
		session := r.IntN(k.Sessions)
		p := &prompt{
			kind: kind, opening: kind*10_000 + session, came: t, entry: w.entries[r.IntN(len(w.entries))],
			shared: length(rand.New(rand.NewPCG(uint64(session), uint64(kind))), k.Shared), own: length(r, k.Own), steps: length(r, k.Steps), //nolint:gosec // as above
		}

		w.at(t, func(now time.Duration) { w.come(now, p) })
	}
}

// length draws a length around a mean.
func length(r *rand.Rand, mean float64) int {
	const sigma = 0.5

	return max(int(mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)), 1)
}

// pulses tells all entries what engines have to do, now and then.
func (w *world) pulses(now time.Duration) {
	for _, e := range w.engines {
		e.told = e.pulse()
	}

	for _, x := range w.entries {
		clear(x.requests)
		clear(x.read)
		clear(x.held)
	}

	if now < played {
		w.at(now+pulseEvery, w.pulses)
	}
}

// come takes a prompt that has just arrived.
func (w *world) come(now time.Duration, p *prompt) {
	w.result.Asked++
	w.asked[p.kind]++
	w.send(now, p)
}

// send sends a prompt to an engine, or holds it until one has room.
func (w *world) send(now time.Duration, p *prompt) {
	i, held := w.choose(p)

	if held && now-p.came < w.d.Kinds[p.kind].Aim {
		w.at(now+look, func(now time.Duration) { w.send(now, p) })

		return
	}

	if i < 0 {
		return // refused
	}

	e, x := w.engines[i], p.entry
	p.sent, p.idle = now, e.told.Reading+e.told.Waiting+x.requests[i] == 0

	unread := p.own
	if e.cached[p.opening] == 0 {
		unread += p.shared
	}

	x.learned.Sent(unread, p.memory(), w.d.Kinds[p.kind].Aim)

	if w.policy == Decide && !x.learned.Quick(unread) {
		p.urgency = 1
	}

	x.requests[i]++
	x.read[i] += unread
	x.held[i] += p.memory()

	e.take(p)
	w.step(now, e)
}

// step starts an engine's next step if none is under way.
func (w *world) step(now time.Duration, e *engine) {
	if e.stepped {
		return
	}

	took, ok := e.begin(w.read)
	if !ok {
		return
	}

	e.stepped = true

	w.at(now+took, func(now time.Duration) {
		e.stepped = false
		for _, p := range e.end() {
			w.first(now, p)
		}

		w.step(now, e)
	})
}

// first takes a prompt's first event.
func (w *world) first(now time.Duration, p *prompt) {
	w.result.ReadAgain += p.again

	if p.idle {
		p.entry.learned.Read(p.unread, now-p.sent)
	}

	if now-p.came <= w.d.Kinds[p.kind].Aim {
		w.result.InTime++
		w.inTime[p.kind]++
	} else {
		w.result.Late++
	}
}

// choose returns the engine for a prompt, -1 for none; held says that it may wait.
func (w *world) choose(p *prompt) (target int, held bool) {
	x := p.entry
	r := route.OpeningRequest{
		Opening: strconv.Itoa(p.opening), Shared: p.shared, Own: p.own, Output: p.steps, Aim: w.d.Kinds[p.kind].Aim,
	}
	candidates := make([]route.OpeningCandidate, len(w.engines))
	full := 0

	for i, e := range w.engines {
		c := &candidates[i]
		c.Name, c.Slots = strconv.Itoa(i), slots
		c.Running, c.Reading, c.Waiting = e.told.Running+x.requests[i], e.told.Reading, e.told.Waiting
		c.SentTokens, c.UsedTokens = x.read[i], e.told.UsedTokens+x.held[i]
		c.Has, c.New = e.cached[p.opening] > 0, !w.read[p.opening]

		if roomless(e.told, c.UsedTokens+x.learned.Memory()*c.Waiting+p.memory(), x.requests[i], w.d.Memory) {
			c.Excluded = route.NoRoom
			full++
		}
	}

	switch w.policy {
	case Home:
		return route.DecideOpening(route.OpeningConfig{}, r, candidates).Home(), false
	case Least:
		return least(candidates), false
	default:
	}

	d := route.DecideOpening(x.learned.Opening(w.d.Memory), r, candidates)

	switch {
	case !d.Found():
		return -1, full > 0
	case d.Pace() != route.SendNow:
		return -1, d.Pace() == route.Hold
	default:
		return d.Target(), false
	}
}

// memoryShare is as the entries' own bound.
const memoryShare = 0.95

func roomless(told pulse.Pulse, tokens, since, memory int) bool {
	return told.Running+told.Waiting+since > 0 && float64(tokens) > memoryShare*float64(memory)
}

// least returns the engine with the fewest prompts.
func least(all []route.OpeningCandidate) int {
	best := 0
	for i, c := range all {
		if c.Running+c.Waiting < all[best].Running+all[best].Waiting {
			best = i
		}
	}

	return best
}
