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

// Policy decides which engine gets a prompt. The zero Policy is Decide.
type Policy uint8

// The policies.
const (
	// Decide is the entries' policy: route.DecidePrefix with learned prefill rates.
	Decide Policy = iota
	// HomeEngine always chooses the home engine of the shared prefix, which a hash
	// determines.
	HomeEngine
	// LeastLoaded chooses the engine with the fewest known prompts.
	LeastLoaded
)

// String returns the name of p in output: "decide", "home" or "least".
func (p Policy) String() string { return [...]string{"decide", "home", "least"}[p] }

// Result counts the outcomes of the prompts.
type Result struct {
	// Prompts is the number of all prompts, OnTimeCount of those whose first event came
	// within their limit, and Late of those whose first event came later. The others were
	// refused.
	Prompts, OnTimeCount, Late int
	// OnTimeByKind are the fractions of the prompts of each kind that were on time.
	OnTimeByKind []float64
	// RecomputedTokens is the number of tokens of shared prefixes that were prefilled
	// although some engine had computed them before.
	RecomputedTokens int
}

// OnTime returns the fraction of the prompts whose first event came within their limit.
func (r Result) OnTime() float64 { return float64(r.OnTimeCount) / float64(max(r.Prompts, 1)) }

// Times of a simulation, and the shape of its load.
const (
	loadDuration = 12 * time.Second
	// reportInterval is the interval of load reports, and holdRetryInterval the interval at
	// which the decision is retried for a held prompt.
	reportInterval    = 100 * time.Millisecond
	holdRetryInterval = 25 * time.Millisecond
	// loadPeriod is the period in which the load oscillates around its mean, by the
	// fraction loadAmplitude.
	loadPeriod    = 7 * time.Second
	loadAmplitude = 0.5
)

// entry is what an entry has learned, and what it has sent since the last load reports.
type entry struct {
	profile                               profile.Service
	sentRequests, sentPrefill, sentMemory []int // by engine
}

// simulation is the state of one simulation.
type simulation struct {
	d                Deployment
	policy           Policy
	engines          []*engine
	entries          []*entry
	computedPrefixes map[int]bool
	events           eventQueue
	result           Result
	promptsByKind    []int
	onTimeByKind     []int
}

// event runs do at a virtual time. seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// Simulate simulates a policy on a deployment with the load of a seed.
func Simulate(d Deployment, policy Policy, seed uint64) Result {
	s := &simulation{d: d, policy: policy, computedPrefixes: make(map[int]bool), promptsByKind: make([]int, len(d.Kinds)), onTimeByKind: make([]int, len(d.Kinds))}

	for i := range d.Engines {
		rate := d.TokensPerMs * (1 + d.Spread*float64(i%3)/2)
		s.engines = append(s.engines, &engine{d: &s.d, tokensPerMs: rate, cached: make(map[int]int)})
	}

	for range d.Entries {
		s.entries = append(s.entries, &entry{sentRequests: make([]int, d.Engines), sentPrefill: make([]int, d.Engines), sentMemory: make([]int, d.Engines)})
	}

	s.generateLoad(rand.New(rand.NewPCG(seed, 2))) //nolint:gosec // a simulation needs reproducible numbers
	s.at(0, s.updateReports)

	for len(s.events) > 0 {
		e, ok := heap.Pop(&s.events).(event)
		if ok {
			e.do(e.at)
		}
	}

	for i, n := range s.promptsByKind {
		s.result.OnTimeByKind = append(s.result.OnTimeByKind, float64(s.onTimeByKind[i])/float64(max(n, 1)))
	}

	return s.result
}

func (s *simulation) at(t time.Duration, do func(now time.Duration)) {
	heap.Push(&s.events, event{t, s.result.Prompts + len(s.events), do})
}

// generateLoad schedules the arrivals of all prompts.
func (s *simulation) generateLoad(r *rand.Rand) {
	shares := 0.0
	for _, k := range s.d.Kinds {
		shares += k.Share
	}

	for t := time.Duration(0); t < loadDuration; {
		promptsPerSecond := s.d.PromptsPerSecond * (1 + loadAmplitude*math.Sin(2*math.Pi*t.Seconds()/loadPeriod.Seconds()))
		t += time.Duration(r.ExpFloat64() / promptsPerSecond * float64(time.Second))

		sample, kind := r.Float64()*shares, 0
		for kind < len(s.d.Kinds)-1 && sample > s.d.Kinds[kind].Share {
			sample -= s.d.Kinds[kind].Share
			kind++
		}

		k := s.d.Kinds[kind]
		prefix := r.IntN(k.Prefixes)
		p := &prompt{
			kind: kind, prefix: kind*10_000 + prefix, arrivedAt: t, entry: s.entries[r.IntN(len(s.entries))],
			sharedTokens: logNormalLength(rand.New(rand.NewPCG(uint64(prefix), uint64(kind))), k.SharedTokens), ownTokens: logNormalLength(r, k.OwnTokens), stepsLeft: logNormalLength(r, k.DecodeSteps), //nolint:gosec // as above
		}

		s.at(t, func(now time.Duration) { s.arrive(now, p) })
	}
}

// logNormalLength draws a log-normal length with the given mean, at least 1.
func logNormalLength(r *rand.Rand, mean float64) int {
	const sigma = 0.5

	return max(int(mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)), 1)
}

// updateReports takes load reports of all engines, known to all entries at once, and repeats
// this every reportInterval.
func (s *simulation) updateReports(now time.Duration) {
	for _, e := range s.engines {
		e.report = e.loadReport()
	}

	for _, x := range s.entries {
		clear(x.sentRequests)
		clear(x.sentPrefill)
		clear(x.sentMemory)
	}

	if now < loadDuration {
		s.at(now+reportInterval, s.updateReports)
	}
}

// arrive handles the arrival of a prompt.
func (s *simulation) arrive(now time.Duration, p *prompt) {
	s.result.Prompts++
	s.promptsByKind[p.kind]++
	s.send(now, p)
}

// send sends a prompt to an engine, holds it to retry later, or refuses it.
func (s *simulation) send(now time.Duration, p *prompt) {
	i, hold := s.choose(p)

	if hold && now-p.arrivedAt < s.d.Kinds[p.kind].FirstEventLimit {
		s.at(now+holdRetryInterval, func(now time.Duration) { s.send(now, p) })

		return
	}

	if i < 0 {
		return // refused
	}

	e, x := s.engines[i], p.entry
	p.sentAt, p.engineIdle = now, e.report.Prefilling+e.report.Waiting+x.sentRequests[i] == 0

	prefillTokens := p.ownTokens
	if e.cached[p.prefix] == 0 {
		prefillTokens += p.sharedTokens
	}

	x.profile.ObservePrompt(prefillTokens, p.memory(), s.d.Kinds[p.kind].FirstEventLimit)

	if s.policy == Decide && !x.profile.IsShort(prefillTokens) {
		p.rank = 1
	}

	x.sentRequests[i]++
	x.sentPrefill[i] += prefillTokens
	x.sentMemory[i] += p.memory()

	e.enqueue(p)
	s.step(now, e)
}

// step starts an engine's next step if none is in progress.
func (s *simulation) step(now time.Duration, e *engine) {
	if e.stepping {
		return
	}

	took, ok := e.beginStep(s.computedPrefixes)
	if !ok {
		return
	}

	e.stepping = true

	s.at(now+took, func(now time.Duration) {
		e.stepping = false
		for _, p := range e.endStep() {
			s.firstEvent(now, p)
		}

		s.step(now, e)
	})
}

// firstEvent records a prompt's first event. If the engine was idle, the entry learns its
// prefill rate from it.
func (s *simulation) firstEvent(now time.Duration, p *prompt) {
	s.result.RecomputedTokens += p.recomputedTokens

	if p.engineIdle {
		p.entry.profile.ObserveFirstEvent(p.prefillTokens, now-p.sentAt)
	}

	if now-p.arrivedAt <= s.d.Kinds[p.kind].FirstEventLimit {
		s.result.OnTimeCount++
		s.onTimeByKind[p.kind]++
	} else {
		s.result.Late++
	}
}

// choose returns the index of the engine for a prompt, -1 for none. hold reports whether the
// prompt should then be held.
func (s *simulation) choose(p *prompt) (target int, hold bool) {
	x := p.entry
	r := route.PrefixRequest{
		SharedPrefixID: strconv.Itoa(p.prefix), SharedTokens: p.sharedTokens, OwnTokens: p.ownTokens, OutputTokens: p.stepsLeft, Aim: s.d.Kinds[p.kind].FirstEventLimit,
	}
	candidates := make([]route.PrefixCandidate, len(s.engines))
	fullEngines := 0

	for i, e := range s.engines {
		c := &candidates[i]
		c.Name, c.Slots = strconv.Itoa(i), batchSlots
		c.Running, c.Prefilling, c.Waiting = e.report.Running+x.sentRequests[i], e.report.Prefilling, e.report.Waiting
		c.SentTokens, c.UsedTokens = x.sentPrefill[i], e.report.UsedTokens+x.sentMemory[i]
		c.HasPrefix, c.NewPrefix = e.cached[p.prefix] > 0, !s.computedPrefixes[p.prefix]

		if memoryFull(e.report, c.UsedTokens+x.profile.MeanKVTokens()*c.Waiting+p.memory(), x.sentRequests[i], s.d.MemoryTokens) {
			c.Excluded = route.NoRoom
			fullEngines++
		}
	}

	switch s.policy {
	case HomeEngine:
		return route.DecidePrefix(route.PrefixConfig{}, r, candidates).Home(), false
	case LeastLoaded:
		return leastLoaded(candidates), false
	default:
	}

	d := route.DecidePrefix(x.profile.SharedPrefixConfig(s.d.MemoryTokens), r, candidates)

	switch {
	case !d.Found():
		return -1, fullEngines > 0
	case d.Admission() != route.SendNow:
		return -1, d.Admission() == route.Hold
	default:
		return d.Target(), false
	}
}

// maxMemoryShare is the fraction of an engine's memory up to which prompts are sent, as in
// package gateway.
const maxMemoryShare = 0.95

func memoryFull(report pulse.Report, tokens, sentRequests, memory int) bool {
	return report.Running+report.Waiting+sentRequests > 0 && float64(tokens) > maxMemoryShare*float64(memory)
}

// leastLoaded returns the index of the engine with the fewest prompts.
func leastLoaded(candidates []route.PrefixCandidate) int {
	best := 0
	for i, c := range candidates {
		if c.Running+c.Waiting < candidates[best].Running+candidates[best].Waiting {
			best = i
		}
	}

	return best
}
