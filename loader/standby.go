package loader

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
)

// An engine whose loader is dead, stands still or is cut off from all news keeps its
// weights when operators name newer ones. One notices that its requests go to the other
// engines, and that with many such engines callers are refused until loaders are back.
//
// So each entry stands by for engines: when an engine's turn has passed and nobody has
// ordered it, an entry does. Who does follows from a hash over the entries alive; the next
// one in that order follows a little later. Two that order the same engine do no harm: an
// order says how many orders the engine has taken before, and versions only rise.

// Candidate is an engine as an entry believes it to be.
type Candidate struct {
	// ID is the id of its present start, Address where it is.
	ID, Address string
	// Version is its weight version.
	Version int64
	// Loading says that it loads, as somebody told.
	Loading bool
	// Heard says that its loader was heard of late.
	Heard bool
}

// Fleet knows the engines.
type Fleet interface {
	// Serving returns the engines that have a version of a model and don't leave.
	Serving(now time.Time, model string) []Candidate
}

// Ring orders the entries alive.
type Ring interface {
	// Turn returns how many of them come before this one for a matter.
	Turn(now time.Time, matter string) int
}

// StandbyConfig is what a Standby works with.
type StandbyConfig struct {
	// Holder is this process's VM.
	Holder string
	// Turn says how engines take turns, as at their loaders.
	Turn TurnConfig
	// Engine, Entries, Fleet and Ring are whom it speaks with.
	Engine  Engine
	Entries Entries
	Fleet   Fleet
	Ring    Ring
	// Log gets a line for each step.
	Log logr.Logger
}

// Timing of a Standby.
const (
	// standbyEvery is the pause between two looks at what is due.
	standbyEvery = 250 * time.Millisecond
	// unheardMargin is how long after its turn an engine is ordered whose loader isn't heard.
	unheardMargin = 200 * time.Millisecond
	// heardMargin is the same where the loader is heard, which may be late itself.
	heardMargin = 1500 * time.Millisecond
	// placeMargin is how much later each further entry of the order follows.
	placeMargin = 700 * time.Millisecond
	// standbyAgain is how long after a try the next one follows.
	standbyAgain = time.Second
	// standbyLoadEvery is the pause between two looks at an engine that loads; they cross
	// data centres.
	standbyLoadEvery = 200 * time.Millisecond
)

// Standby orders engines that their loaders have left behind. Use NewStandby.
type Standby struct {
	cfg  StandbyConfig
	news chan Named

	mu    sync.Mutex
	plans map[string]*plan    // by model
	under map[string]struct{} // engines that are being brought to a version
}

// plan is when engines are to load a version.
type plan struct {
	named Named
	at    time.Time            // when it was named, as far as known here
	turns map[string]time.Time // by engine
}

// NewStandby returns a Standby that Run starts.
func NewStandby(cfg StandbyConfig) *Standby {
	return &Standby{
		cfg: cfg, news: make(chan Named, namedRing), plans: make(map[string]*plan), under: make(map[string]struct{}),
	}
}

// Name takes that operators named a version.
func (s *Standby) Name(n Named) { s.news <- n }

// Run works until ctx ends.
func (s *Standby) Run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()

	t := time.NewTicker(standbyEvery)
	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.news:
			s.want(time.Now(), n)
		case <-t.C:
		}

		for _, j := range s.due(time.Now()) {
			all.Go(func() {
				s.bring(ctx, j)
				s.done(time.Now(), j)
			})
		}
	}
}

// want plans the turns of a version.
func (s *Standby) want(now time.Time, n Named) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if p, ok := s.plans[n.Model]; ok && p.named.Version >= n.Version {
		return
	}

	s.plans[n.Model] = &plan{named: n, at: now, turns: make(map[string]time.Time)}
}

// job is an engine that is to be brought to a version.
type job struct {
	engine Candidate
	named  Named
}

// due returns the engines that this process is to order now, and counts them as being
// brought.
func (s *Standby) due(now time.Time) []job {
	s.mu.Lock()
	defer s.mu.Unlock()

	var jobs []job

	for model, p := range s.plans {
		engines := s.cfg.Fleet.Serving(now, model)
		p.take(now, s.cfg.Turn, engines)

		for _, e := range engines {
			if _, busy := s.under[e.ID]; busy || e.Loading || e.Version >= p.named.Version {
				continue
			}

			if !now.Before(s.after(now, p.turns[e.ID], e)) {
				s.under[e.ID] = struct{}{}
				jobs = append(jobs, job{e, p.named})
			}
		}
	}

	return jobs
}

// after returns when this process orders an engine whose turn is at a time.
func (s *Standby) after(now, turn time.Time, e Candidate) time.Time {
	margin := unheardMargin
	if e.Heard {
		margin = heardMargin
	}

	return turn.Add(margin + time.Duration(s.cfg.Ring.Turn(now, e.ID))*placeMargin)
}

// take plans the turns of engines that have none yet. Those that are known when the version
// is named have the turns that their loaders work out; others come as soon after each other
// as may be.
func (p *plan) take(now time.Time, cfg TurnConfig, engines []Candidate) {
	first := len(p.turns) == 0
	from := p.at

	if p.named.Before || !first {
		cfg, from = cfg.hurried(), now
	}

	all := make([]Sibling, len(engines))
	for i, e := range engines {
		all[i] = Sibling{ID: e.ID, Version: e.Version}
	}

	for _, e := range engines {
		if _, ok := p.turns[e.ID]; !ok && e.Version < p.named.Version {
			p.turns[e.ID] = from.Add(TakeTurn(cfg, e.ID, p.named.Version, all).Wait)
		}
	}
}

// done ends a try. The engine is due again after a while, if it still lacks the version.
func (s *Standby) done(now time.Time, j job) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.under, j.engine.ID)

	if p := s.plans[j.named.Model]; p != nil {
		p.turns[j.engine.ID] = now.Add(standbyAgain)
	}
}

// bring asks the engine first, which knows best, and orders it if it lacks the version.
func (s *Standby) bring(ctx context.Context, j job) {
	e, n := j.engine, j.named

	state, err := askState(ctx, s.cfg.Engine, e.Address)
	if err != nil {
		event.Fail(s.cfg.Log, err, event.StandbyUnheard, "target", e.ID, "model", n.Model, "version", n.Version)

		return
	}

	switch {
	case state.Versions[n.Model] >= n.Version:
		s.cfg.Entries.Tell(ctx, e.Address, n.Model, state.Versions[n.Model], true)

		return
	case state.Busy:
		return
	}

	event.Log(s.cfg.Log, event.StandbyOrders, "target", e.ID, "model", n.Model, "version", n.Version, "has", state.Versions[n.Model], "loader_heard", e.Heard)

	b := bringer{
		engine: s.cfg.Engine, entries: s.cfg.Entries, address: e.Address, holder: s.cfg.Holder, every: standbyLoadEvery, log: s.cfg.Log,
		state: func(ctx context.Context) (State, bool) {
			state, err := askState(ctx, s.cfg.Engine, e.Address)

			return state, err == nil
		},
	}
	b.bring(ctx, e.ID, n)
}
