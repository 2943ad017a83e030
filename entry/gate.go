package entry

import (
	"sync"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/limit"
	"boragehub/route"
	"boragehub/setting"
	"boragehub/target"
	"boragehub/vm"
)

// placesPerRunning is how many requests one entry lets in for each that the
// targets of a service run at once, shared among the entries: those that run,
// as many that wait for them, and as many again since callers don't come to all
// entries alike.
const placesPerRunning = 3

// gates has a gate for each service, so that a crowd before one service takes no
// places from another.
type gates struct {
	seed uint64

	mu        sync.Mutex
	entries   int
	byService map[string]*limit.Gate
}

func newGates(seed uint64) *gates {
	return &gates{seed: seed, entries: 1, byService: map[string]*limit.Gate{}}
}

func (g *gates) of(service string) *limit.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()

	gate := g.byService[service]
	if gate == nil {
		gate = limit.NewGate(limit.GateConfig{Seed: g.seed, Entries: g.entries})
		g.byService[service] = gate
	}

	return gate
}

// setEntries tells the gates among how many entries rates are divided.
func (g *gates) setEntries(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.entries = n

	for _, gate := range g.byService {
		gate.SetEntries(now, n)
	}
}

// used returns the places taken at all gates.
func (g *gates) used() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	sum := 0.0
	for _, gate := range g.byService {
		sum += gate.Used()
	}

	return sum
}

// measure sets each gate's places by what its targets run at once.
func (e *Entry) measure(now time.Time) {
	entries := max(1, len(e.cfg.VMs.List().Of(vm.Entry, "")))

	for _, service := range e.targets.Services() {
		running := 0
		for _, t := range e.targets.Candidates(now, service) {
			running += e.speeds.get(t.VM).maxRunning
		}

		if running > 0 {
			e.gates.of(service).SetPlaces(now, float64(running*placesPerRunning)/float64(entries))
		}
	}
}

// expectedWait estimates the time until a request that is let in now could
// begin at the least busy target of a service.
func (e *Entry) expectedWait(now time.Time, service string, seed uint64) time.Duration {
	targets := e.targets.Candidates(now, service)
	candidates := make([]route.Candidate, len(targets))

	for i, t := range targets {
		candidates[i] = e.candidate(now, t)
	}

	d := route.Decide(now, route.Config{}, route.Request{Tokens: 1, Seed: seed}, candidates)
	if !d.Found() {
		return 0
	}

	return d.FirstToken()
}

// candidate tells a decision what is believed of a target.
func (e *Entry) candidate(now time.Time, t target.Target) route.Candidate {
	sp := e.speeds.get(t.VM)
	mean, _ := e.pace.of(t.Service, t.VM)

	return route.Candidate{
		Name:                   t.VM,
		DataCentre:             t.DataCentre,
		Version:                t.WeightVersion,
		Draining:               t.State == target.Draining,
		Suspected:              t.Doubted,
		Delay:                  e.delay(t.DataCentre),
		LoadAt:                 now.Add(-t.Load.Age),
		Running:                t.Load.Running,
		Waiting:                t.Load.Waiting,
		WaitingPrefillTokens:   t.Load.WaitingTokens,
		SentTokens:             t.AheadTokens,
		SentRequests:           t.Ahead,
		MaxRunning:             sp.maxRunning,
		PlaceTime:              mean,
		PrefillTokensPerSecond: sp.prefill,
	}
}

// admit passes the gate of a service.
func (e *Entry) admit(q request, service string, v setting.Values, wait time.Duration) (release func(), err error) {
	now := time.Now()
	gate := e.gates.of(service)

	p, err := gate.Admit(now, limit.Request{
		Organisation: q.organisation,
		Class:        v.Class,
		Rate:         v.RequestsPerSecond,
		Burst:        v.RequestBurst,
		Weight:       v.Share,
		Deadline:     q.arrived.Add(v.Deadline),
		Wait:         wait,
	})
	if err != nil {
		event.Log(e.cfg.Log, event.RequestRefused, "request_id", q.id, "organisation", q.organisation, "class", v.Class.String(),
			"kind", failure.KindOf(err).String(), "wait_ms", wait.Milliseconds(), "retry_after_ms", failure.As(err).RetryAfter().Milliseconds())

		return nil, err
	}

	event.Log(e.cfg.Log.V(1), event.RequestAdmitted, "request_id", q.id, "organisation", q.organisation, "class", v.Class.String(), "places_used", gate.Used())

	return func() { gate.Release(time.Now(), p) }, nil
}
