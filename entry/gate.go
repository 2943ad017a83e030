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

// placesPerRunning is the number of admission places (see package limit) for each
// request that the targets of a service can run at once; the entries divide them
// equally. One is for a running request, one for a waiting request, and one because
// callers are not spread evenly over the entries.
const placesPerRunning = 3

// gates holds an admission gate for each service, so that overload of one service
// takes no places from another.
type gates struct {
	seed uint64

	mu        sync.Mutex
	entries   int
	byService map[string]*limit.Gate
}

func newGates(seed uint64) *gates {
	return &gates{seed: seed, entries: 1, byService: map[string]*limit.Gate{}}
}

func (g *gates) forService(service string) *limit.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()

	gate := g.byService[service]
	if gate == nil {
		gate = limit.NewGate(limit.GateConfig{Seed: g.seed, Entries: g.entries})
		g.byService[service] = gate
	}

	return gate
}

// setEntries sets the number of entries among which the gates divide rate limits.
func (g *gates) setEntries(now time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.entries = n

	for _, gate := range g.byService {
		gate.SetEntries(now, n)
	}
}

// used returns the number of places in use at all gates.
func (g *gates) used() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	sum := 0.0
	for _, gate := range g.byService {
		sum += gate.Used()
	}

	return sum
}

// updatePlaces sets each gate's places according to how many requests its targets can
// run at once.
func (e *Entry) updatePlaces(now time.Time) {
	entries := max(1, len(e.cfg.VMs.List().OfKind(vm.Entry, "")))

	for _, service := range e.targets.Services() {
		running := 0
		for _, t := range e.targets.Candidates(now, service) {
			running += e.engines.get(t.VM).maxRunning
		}

		if running > 0 {
			e.gates.forService(service).SetPlaces(now, float64(running*placesPerRunning)/float64(entries))
		}
	}
}

// expectedWait estimates the time to the first token of a one-token prompt that is
// admitted now, at the best target of a service; zero when no target is available.
func (e *Entry) expectedWait(now time.Time, service string, seed uint64) time.Duration {
	targets := e.targets.Candidates(now, service)
	candidates := make([]route.Candidate, len(targets))

	for i, t := range targets {
		candidates[i] = e.routeCandidate(now, t)
	}

	d := route.Decide(now, route.Config{}, route.Request{Tokens: 1, Seed: seed}, candidates)
	if !d.Found() {
		return 0
	}

	return d.FirstToken()
}

// routeCandidate returns what is known of a target as input for a routing decision.
func (e *Entry) routeCandidate(now time.Time, t target.Target) route.Candidate {
	info := e.engines.get(t.VM)
	mean, _ := e.serviceTimes.get(t.Service, t.VM)

	return route.Candidate{
		Name:                   t.VM,
		DataCentre:             t.DataCentre,
		Version:                t.WeightVersion,
		Draining:               t.State == target.Draining,
		Suspected:              t.Suspected,
		RoundTrip:              e.roundTrip(t.DataCentre),
		LoadAt:                 now.Add(-t.Load.Age),
		Running:                t.Load.Running,
		Waiting:                t.Load.Waiting,
		WaitingPrefillTokens:   t.Load.WaitingTokens,
		SentTokens:             t.SentTokens,
		SentRequests:           t.SentRequests,
		MaxRunning:             info.maxRunning,
		SlotTime:               mean,
		PrefillTokensPerSecond: info.prefillRate,
	}
}

// admit requests admission at the gate of a service. The caller must call release
// when an admitted request ends.
func (e *Entry) admit(q callerRequest, service string, v setting.Values, wait time.Duration) (release func(), err error) {
	now := time.Now()
	gate := e.gates.forService(service)

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
