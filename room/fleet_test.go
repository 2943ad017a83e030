package room_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/room"
	"boragehub/route"
)

// The fleet is that of the deployment N of docs/design/contention.md, of any size: 45 engines for 24
// entries, 118 long and 911 short prompts a second, and 2.2 times as many long ones in a burst.
const (
	fleetEngines, fleetEntries = 45, 24
	engineMemory, engineSlots  = 107_770, 16
	tokensPerMs                = 157
	longTokens, shortTokens    = 17_000, 380
	longRate, shortRate        = 118, 911
	burstFactor                = 2.2
	longAim, shortAim          = time.Second, 250 * time.Millisecond
	longOutput, shortOutput    = 30, 11
	timePerToken               = 15 * time.Millisecond
	oneWay                     = time.Millisecond
	fleetTime                  = 3 * time.Second
	burstFrom, burstTo         = time.Second, 2 * time.Second
)

// prompt is a prompt in the fleet.
type prompt struct {
	tokens, memory int
	arrivedAt      time.Duration
	aim            time.Duration
	entry          *fleetEntry
	claim          uint64
}

func (p *prompt) long() bool { return p.tokens == longTokens }

// fleetEngine prefills one prompt after the other, short ones first, and decodes all at once.
type fleetEngine struct {
	name            string
	waiting         []*prompt // for a slot, without memory
	queue           []*prompt // for prefill
	prefilling      *prompt
	running, used   int
	ledger          *room.Ledger
	subscribers     []*fleetView
	pushDue, idling bool
}

// fleetView is what an entry knows of an engine.
type fleetView struct {
	engine              *fleetEngine
	running, prefilling int
	waiting, used       int
	sent, sentTokens    int
	sentMemory          int
	usage               room.Usage
	usageAt             time.Duration
}

type fleetEntry struct {
	name    string
	views   []*fleetView
	waiting []*prompt // only the first one polls for capacity
}

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type fleetEvents []fleetEvent

func (q fleetEvents) Len() int { return len(q) }
func (q fleetEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q fleetEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetEvents) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]

	return x
}

// fleet is a fleet on virtual time, with what was measured.
type fleet struct {
	leases   bool
	random   *rand.Rand
	now      time.Duration
	events   fleetEvents
	sequence int
	claims   uint64

	engines []*fleetEngine
	entries []*fleetEntry
	cfg     route.PrefixConfig

	overcommits, peakOver              int // times that an engine got more than its memory, most tokens beyond it
	shortWaits, longWaits              []time.Duration
	longOnTime, longCount, longGivenUp int
	shortOnTime                        int
	denied, reports, claimMessages     int
	pushes                             int
}

func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, fleetEvent{f.now + d, f.sequence, do})
}

func (f *fleet) clock() time.Time { return time.Unix(1000, 0).Add(f.now) }

func newFleet(entries int, leases bool) *fleet {
	mean := float64(longRate*longTokens+shortRate*shortTokens) / (longRate + shortRate)
	f := &fleet{
		leases: leases, random: rand.New(rand.NewPCG(1, uint64(entries))),
		cfg: route.PrefixConfig{TokensPerMs: tokensPerMs, PromptTokens: mean, ShortPromptTokens: shortTokens, ShortPromptAim: shortAim, MemoryTokens: engineMemory},
	}

	for i := range entries * fleetEngines / fleetEntries {
		e := &fleetEngine{name: fmt.Sprintf("engine-%d", i), ledger: room.NewLedger()}
		e.ledger.SetCapacity(engineSlots, engineMemory)
		f.engines = append(f.engines, e)
	}

	subscribed, interval := pulse.PlanSubscriptions(len(f.engines))

	for i := range entries {
		x := &fleetEntry{name: fmt.Sprintf("entry-%d", i)}

		for _, j := range f.random.Perm(len(f.engines))[:subscribed] {
			v := &fleetView{engine: f.engines[j]}
			x.views = append(x.views, v)
			f.engines[j].subscribers = append(f.engines[j].subscribers, v)
			f.after(time.Duration(f.random.Int64N(int64(interval))), func() { f.report(v, interval) })
		}

		f.entries = append(f.entries, x)
	}

	for _, e := range f.engines {
		f.poll(e)
	}

	scale := float64(entries) / fleetEntries
	f.arrive(scale, longRate, longTokens, longOutput, longAim)
	f.arrive(scale, shortRate, shortTokens, shortOutput, shortAim)

	return f
}

// arrive lets the next prompt of a kind arrive, and those after it.
func (f *fleet) arrive(scale, rate float64, tokens, output int, aim time.Duration) {
	perSecond := scale * rate
	if tokens == longTokens && f.now >= burstFrom && f.now < burstTo {
		perSecond *= burstFactor
	}

	f.after(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		p := &prompt{tokens: tokens, memory: tokens + output, arrivedAt: f.now, aim: aim, entry: f.entries[f.random.IntN(len(f.entries))]}
		f.decide(p, nil)

		if tokens == longTokens {
			f.longCount++
		}

		f.arrive(scale, rate, tokens, output, aim)
	})
}

// poll lets the side process query its engine, every 100 ms.
func (f *fleet) poll(e *fleetEngine) {
	e.ledger.Observe(f.clock(), f.clock(), room.State{Running: e.running, Waiting: len(e.waiting), UsedTokens: e.used, TotalTokens: engineMemory})
	f.after(pulse.MinInterval, func() { f.poll(e) })
}

// report sends a load report.
func (f *fleet) report(v *fleetView, interval time.Duration) {
	e := v.engine
	running, prefilling, waiting, used, usage := e.running, len(e.queue), len(e.waiting), e.used, e.ledger.Usage(f.clock())

	if e.prefilling != nil {
		prefilling++
	}

	f.reports++
	f.after(oneWay, func() {
		v.running, v.prefilling, v.waiting, v.used, v.usage, v.usageAt = running, prefilling, waiting, used, usage, f.now
		v.sent, v.sentTokens, v.sentMemory = 0, 0, 0
	})
	f.after(interval, func() { f.report(v, interval) })
}

// push sends the leases of an engine to its subscribers, at most every 20 ms.
func (f *fleet) push(e *fleetEngine) {
	e.pushDue = true

	if e.idling {
		return
	}

	e.pushDue, e.idling = false, true
	usage := e.ledger.Usage(f.clock())

	for _, v := range e.subscribers {
		f.pushes++
		f.after(oneWay, func() { v.usage, v.usageAt = usage, f.now })
	}

	f.after(20*time.Millisecond, func() {
		if e.idling = false; e.pushDue {
			f.push(e)
		}
	})
}

// candidate returns what an entry knows of an engine for a decision.
func (f *fleet) candidate(v *fleetView, p *prompt, denied []*fleetView) route.PrefixCandidate {
	c := route.PrefixCandidate{
		Name: v.engine.name, Slots: engineSlots, HasPrefix: true, Running: v.running + v.sent, Prefilling: v.prefilling, Waiting: v.waiting, SentTokens: v.sentTokens, UsedTokens: v.used + v.sentMemory,
	}

	if f.leases {
		left := max(float64(v.usage.Backlog)-tokensPerMs*float64(f.now-v.usageAt)/float64(time.Millisecond), float64(v.usage.Backlog)/4)
		c.HasBacklog, c.Backlog, c.Leases, c.UsedTokens = true, int(left), v.usage.Leases, max(c.UsedTokens, v.usage.Occupied)
	}

	if slices.Contains(denied, v) || (c.Running > 0 && float64(c.UsedTokens+p.memory) > 0.95*engineMemory) {
		c.Excluded = route.NoRoom
	}

	return c
}

// decide sends a prompt, claims for it, or lets it wait.
func (f *fleet) decide(p *prompt, denied []*fleetView) {
	if f.now-p.arrivedAt > p.aim {
		if p.long() {
			f.longGivenUp++
		}

		f.leave(p)

		return
	}

	candidates := make([]route.PrefixCandidate, len(p.entry.views))
	for i, v := range p.entry.views {
		candidates[i] = f.candidate(v, p, denied)
	}

	f.claims++
	d := route.DecidePrefix(f.cfg, route.PrefixRequest{SharedPrefixID: fmt.Sprint(f.claims), OwnTokens: p.tokens, OutputTokens: p.memory - p.tokens, Aim: p.aim}, candidates)

	switch {
	case !d.Found(), d.Admission() != route.SendNow, len(denied) >= 3:
		f.wait(p)
	case f.leases && p.long():
		f.claim(p, p.entry.views[d.Target()], denied)
	default:
		f.send(p, p.entry.views[d.Target()])
	}
}

// wait lets a prompt wait for capacity in its entry's queue.
func (f *fleet) wait(p *prompt) {
	x := p.entry

	if !slices.Contains(x.waiting, p) {
		x.waiting = append(x.waiting, p)
	}

	if x.waiting[0] == p {
		f.after(25*time.Millisecond, func() { f.decide(p, nil) })
	}
}

// leave removes a prompt from its entry's queue.
func (f *fleet) leave(p *prompt) {
	x := p.entry
	if len(x.waiting) == 0 || x.waiting[0] != p {
		return
	}

	if x.waiting = x.waiting[1:]; len(x.waiting) > 0 {
		first := x.waiting[0]
		f.after(0, func() { f.decide(first, nil) })
	}
}

// claim claims capacity for a long prompt.
func (f *fleet) claim(p *prompt, v *fleetView, denied []*fleetView) {
	e := v.engine
	p.claim = f.claims
	f.claimMessages += 2
	f.after(oneWay, func() {
		g, ok := e.ledger.Claim(f.clock(), f.key(p), room.Claim{
			ID: p.claim, PrefillTokens: p.tokens, MemoryTokens: p.memory, MaxBacklog: f.cfg.MaxBacklog(p.aim), TimeLeftMs: 6000, TokensPerMs: tokensPerMs,
		})
		usage := e.ledger.Usage(f.clock())

		if g.Outcome == room.Granted {
			f.push(e)
		}

		f.after(oneWay, func() {
			v.usage, v.usageAt = usage, f.now

			if ok && g.Outcome == room.Granted {
				f.send(p, v)

				return
			}

			f.denied++
			f.decide(p, append(slices.Clone(denied), v))
		})
	})
}

func (f *fleet) key(p *prompt) room.Key { return room.Key{Entry: p.entry.name, Start: 1, ID: p.claim} }

// send sends a prompt to an engine.
func (f *fleet) send(p *prompt, v *fleetView) {
	f.leave(p)

	v.sent++
	v.sentMemory += p.memory

	if p.claim == 0 {
		v.sentTokens += p.tokens
	}

	e := v.engine
	f.after(oneWay, func() {
		e.waiting = append(e.waiting, p)
		f.admit(e)
	})
}

// takeFirst removes the first short prompt of a queue or, if there is none, the first one.
func takeFirst(queue *[]*prompt) *prompt {
	i := max(slices.IndexFunc(*queue, func(p *prompt) bool { return !p.long() }), 0)
	p := (*queue)[i]
	*queue = slices.Delete(*queue, i, i+1)

	return p
}

// admit gives the free slots of an engine to prompts that wait there.
func (f *fleet) admit(e *fleetEngine) {
	for e.running < engineSlots && len(e.waiting) > 0 {
		p := takeFirst(&e.waiting)
		e.running++
		e.used += p.memory

		if over := e.used - engineMemory; over > 0 {
			f.overcommits++
			f.peakOver = max(f.peakOver, over)
		}

		e.queue = append(e.queue, p)
		f.prefill(e)
	}
}

// prefill starts the next prompt of an engine.
func (f *fleet) prefill(e *fleetEngine) {
	if e.prefilling != nil || len(e.queue) == 0 {
		return
	}

	p := takeFirst(&e.queue)
	e.prefilling = p

	if p.long() {
		f.longWaits = append(f.longWaits, f.now-p.arrivedAt)
	} else {
		f.shortWaits = append(f.shortWaits, f.now-p.arrivedAt)
	}

	f.after(time.Duration(float64(p.tokens)/tokensPerMs*float64(time.Millisecond)), func() {
		e.prefilling = nil

		switch late := f.now+oneWay-p.arrivedAt > p.aim; {
		case late:
		case p.long():
			f.longOnTime++
		default:
			f.shortOnTime++
		}

		f.tell(e, p, e.ledger.Started)
		f.after(time.Duration(p.memory-p.tokens)*timePerToken, func() {
			e.running--
			e.used -= p.memory
			f.tell(e, p, e.ledger.Done)
			f.admit(e)
		})
		f.prefill(e)
	})
}

// tell tells the side process of a lease, through the entry.
func (f *fleet) tell(e *fleetEngine, p *prompt, what func(time.Time, room.Key) bool) {
	if p.claim == 0 {
		return
	}

	f.claimMessages++
	f.after(2*oneWay, func() {
		if what(f.clock(), f.key(p)) {
			f.push(e)
		}
	})
}

func (f *fleet) run() {
	for f.events.Len() > 0 {
		x := heap.Pop(&f.events).(fleetEvent)
		if x.at > fleetTime {
			return
		}

		f.now = x.at
		x.do()
	}
}

func quantile(all []time.Duration, q float64) time.Duration {
	all = slices.Sorted(slices.Values(all))

	return all[int(q*float64(len(all)-1))].Round(100 * time.Microsecond)
}

func mean(all []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range all {
		sum += d
	}

	return (sum / time.Duration(len(all))).Round(100 * time.Microsecond)
}

func shareOver(all []time.Duration, limit time.Duration) float64 {
	n := 0

	for _, d := range all {
		if d > limit {
			n++
		}
	}

	return float64(n) / float64(len(all))
}

// The long prompts of a deployment come in a burst of 2.2 times the usual, at entries that know an
// engine's load from reports of 0.2 to 1 s ago. Guards against leases that don't keep engines within
// their memory, or that delay short prompts. The figures are in docs/design/contention.md.
func TestLeasesKeepFleetsWithinMemory(t *testing.T) {
	for _, entries := range []int{24, 100, 400} {
		var without, with *fleet

		for _, leases := range []bool{false, true} {
			f := newFleet(entries, leases)
			f.run()
			t.Logf("%d entries, leases %v: over memory %d times, by %d tokens at most; wait of short prompts: mean %v, over 50 ms %.4f, 99%% %v, on time %.4f; of long prompts: median %v, 99%% %v, on time %.3f of %d, given up %d; denied %d; messages per second: reports %d, claims %d, pushes %d",
				entries, leases, f.overcommits, f.peakOver, mean(f.shortWaits), shareOver(f.shortWaits, 50*time.Millisecond), quantile(f.shortWaits, 0.99), float64(f.shortOnTime)/float64(len(f.shortWaits)),
				quantile(f.longWaits, 0.5), quantile(f.longWaits, 0.99), float64(f.longOnTime)/float64(f.longCount), f.longCount, f.longGivenUp, f.denied,
				f.reports/int(fleetTime.Seconds()), f.claimMessages/int(fleetTime.Seconds()), f.pushes/int(fleetTime.Seconds()))

			if leases {
				with = f
			} else {
				without = f
			}
		}

		if with.overcommits > without.overcommits/20 {
			t.Errorf("%d entries: got engines over their memory %d times with leases, %d times without", entries, with.overcommits, without.overcommits)
		}

		if got, want := mean(with.shortWaits), mean(without.shortWaits); got > want {
			t.Errorf("%d entries: got short prompts that wait %v with leases, %v without", entries, got, want)
		}
	}
}
