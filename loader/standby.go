package loader

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pulse"
	"boragehub/roster"
)

// An engine without a loader beside it keeps its weights when operators publish newer ones.
// Its requests then go to the other engines, and where there are no loaders at all every
// caller is refused once the old weights may no longer be used.
//
// Entries therefore order the engines whose VM says that no loader runs there, and from which no load
// report ever came although they were asked for. Which entry does follows from a hash over the live entries: each has an
// ordering window after the engine's rollout slot, in which it may order and the others may
// not. An engine whose loader was seen before, or whose VM doesn't reply, is left to that loader: it may
// be back at any moment, and not all engines check the holder of an order.

// Fleet lists the engines; *roster.Roster implements it.
type Fleet interface {
	// Holdings returns the engines that have a version of a model and aren't draining.
	Holdings(now time.Time, model string) []roster.Holding
}

// Ring ranks the live entries.
type Ring interface {
	// Rank returns this entry's position, from zero, in the rendezvous hashing order
	// of a key.
	Rank(now time.Time, key string) int
	// Size returns the number of live entries, this one included.
	Size(now time.Time) int
}

// StandbyConfig configures a Standby.
type StandbyConfig struct {
	// Holder is the VM of this process.
	Holder string
	// Rollout configures the rollout slots; it must equal that of the loaders. Utilisation is
	// ignored: it differs from entry to entry, and entries with different slots for an engine
	// would have overlapping ordering windows.
	Rollout RolloutConfig
	// Engine, Entries, Fleet and Ring are the interfaces to the other processes.
	Engine  Engine
	Entries Entries
	Fleet   Fleet
	Ring    Ring
	// Holders records the engines that this process orders, before it orders them.
	Holders Holders
	// SideProcess asks the VM of the engine at an address whether a side process runs there.
	SideProcess func(ctx context.Context, address string) pulse.Presence
	// VersionsSyncedAt returns the latest time at which this process certainly knew the newest
	// version.
	VersionsSyncedAt func() time.Time
	// Log receives an event for each step.
	Log logr.Logger
}

// Timing of a Standby.
const (
	// maxVersionsAge is the greatest staleness of the known versions at which engines are
	// ordered. The first slot starts later than that after a version is published, so an
	// entry that orders knows of it.
	maxVersionsAge = 1100 * time.Millisecond
	// standbyPollInterval is the time between two checks for due engines.
	standbyPollInterval = 250 * time.Millisecond
	// windowInterval is the time from the start of one entry's ordering window to the start
	// of the next one's, windowLength the part of it in which the entry may order. The sender
	// of an order counts as the engine's holder for three seconds, and entries learn of a
	// version up to a second apart.
	windowInterval = 6 * time.Second
	windowLength   = 2 * time.Second
	// standbyLoadPollInterval is the time between two state queries while an engine loads;
	// longer than at a loader, as the queries cross data centres.
	standbyLoadPollInterval = 200 * time.Millisecond
)

// Standby orders engines that have no loader. Use NewStandby.
type Standby struct {
	cfg     StandbyConfig
	updates chan DesiredVersion

	mu         sync.Mutex
	fences     map[string]*fences  // by address of the engine
	recorded   map[string]struct{} // engines that Holders has a record of, by id
	rollouts   map[string]*rollout // by model
	inProgress map[string]struct{} // engines that this process is reloading, by id
}

// rollout is the schedule by which the engines load a version of a model.
type rollout struct {
	desired    DesiredVersion
	learnedAt  time.Time            // when this process learned of the version
	slotStarts map[string]time.Time // by engine
}

// NewStandby returns a Standby; Run starts it.
func NewStandby(cfg StandbyConfig) *Standby {
	cfg.Rollout.Utilisation = 0

	return &Standby{
		cfg: cfg, updates: make(chan DesiredVersion, updateQueueSize), fences: make(map[string]*fences), recorded: make(map[string]struct{}), rollouts: make(map[string]*rollout), inProgress: make(map[string]struct{}),
	}
}

// SetDesired queues a version that operators published.
func (s *Standby) SetDesired(n DesiredVersion) { s.updates <- n }

// Run orders due engines until ctx ends.
func (s *Standby) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	t := time.NewTicker(standbyPollInterval)
	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.updates:
			s.planRollout(time.Now(), n)
		case <-t.C:
		}

		for _, j := range s.due(time.Now()) {
			wg.Go(func() {
				s.reload(ctx, j)
				s.finish(j)
			})
		}
	}
}

// planRollout starts the rollout of a version, unless one of it or of a newer version
// has started.
func (s *Standby) planRollout(now time.Time, n DesiredVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if r, ok := s.rollouts[n.Model]; ok && r.desired.Version >= n.Version {
		return
	}

	s.rollouts[n.Model] = &rollout{desired: n, learnedAt: now, slotStarts: make(map[string]time.Time)}
}

// windowAt returns the ordering window that covers now, counted from the start of the
// engine's rollout slot, and when its entry must stop ordering; ok is false outside of
// windows.
func windowAt(now, slotStart time.Time) (window int, until time.Time, ok bool) {
	after := now.Sub(slotStart)
	if after < 0 {
		return 0, time.Time{}, false
	}

	window = int(after / windowInterval)
	until = slotStart.Add(time.Duration(window)*windowInterval + windowLength)

	return window, until, now.Before(until)
}

// job is an engine that is due to load a version.
type job struct {
	engine     roster.Holding
	desired    DesiredVersion
	window     int
	rank       int       // of this process among the entries, for this engine
	orderUntil time.Time // end of the window
}

// due returns the engines that this process has to order now, and marks them as in
// progress.
func (s *Standby) due(now time.Time) []job {
	// With stale versions this process might order an older version after a newer one.
	if now.Sub(s.cfg.VersionsSyncedAt()) > maxVersionsAge {
		return nil
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	var jobs []job

	for model, r := range s.rollouts {
		engines := s.cfg.Fleet.Holdings(now, model)
		r.schedule(now, s.cfg.Rollout, engines)

		for _, e := range engines {
			if _, busy := s.inProgress[e.ID]; busy || !e.NoSideProcess || e.Loading || e.Version >= r.desired.Version {
				continue
			}

			window, until, ok := windowAt(now, r.slotStarts[e.ID])
			rank := s.cfg.Ring.Rank(now, e.ID)

			if !ok || window%s.cfg.Ring.Size(now) != rank {
				continue
			}

			s.inProgress[e.ID] = struct{}{}
			jobs = append(jobs, job{e, r.desired, window, rank, until})
		}
	}

	return jobs
}

// schedule assigns slots to engines without a loader that have none yet. The engines that
// are known when the version is published get the slots that loaders compute for theirs;
// those seen later get expedited slots.
func (r *rollout) schedule(now time.Time, cfg RolloutConfig, engines []roster.Holding) {
	from := r.learnedAt

	if r.desired.PublishedBeforeStart || len(r.slotStarts) > 0 {
		cfg, from = cfg.expedited(), now
	}

	var all []Sibling

	for _, e := range engines {
		if _, ok := r.slotStarts[e.ID]; ok || !e.NoSideProcess || e.Version >= r.desired.Version {
			continue
		}

		if all == nil {
			all = siblingsOf(engines)
		}

		r.slotStarts[e.ID] = from.Add(AssignSlot(cfg, e.ID, r.desired.Version, all).Wait)
	}
}

func siblingsOf(engines []roster.Holding) []Sibling {
	all := make([]Sibling, len(engines))
	for i, e := range engines {
		all[i] = Sibling{ID: e.ID, Version: e.Version}
	}

	return all
}

// finish ends an attempt. The engine may be ordered again if it still lacks the version.
func (s *Standby) finish(j job) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.inProgress, j.engine.ID)
}

// reload queries the engine, whose state is more recent than the roster's, and orders it
// if it lacks the version.
func (s *Standby) reload(ctx context.Context, j job) {
	e, n := j.engine, j.desired

	state, err := pollState(ctx, s.cfg.Engine, e.Address)
	if err != nil {
		event.Fail(s.cfg.Log, err, event.StandbyUnheard, "target", e.ID, "model", n.Model, "version", n.Version)

		return
	}

	switch {
	case state.Versions[n.Model] >= n.Version:
		s.cfg.Entries.AnnounceVersion(ctx, e.Address, n.Model, state.Versions[n.Model], true)

		return
	case state.Busy:
		return
	}

	event.Log(s.cfg.Log, event.StandbyOrders, "target", e.ID, "model", n.Model, "version", n.Version, "has", state.Versions[n.Model], "slot", j.window)

	r := reloader{
		engine: s.cfg.Engine, entries: s.cfg.Entries, address: e.Address, holder: s.cfg.Holder, pollInterval: standbyLoadPollInterval, number: j.rank + 1, fence: s.fencesOf(e.Address), orderUntil: j.orderUntil, log: s.cfg.Log,
		mayHold: func(ctx context.Context) bool { return s.record(ctx, j) && s.absent(ctx, j) },
		queryState: func(ctx context.Context) (State, bool) {
			state, err := pollState(ctx, s.cfg.Engine, e.Address)

			return state, err == nil
		},
	}
	r.reload(ctx, e.ID, n)
}

// record makes sure that the log has a record of the engine.
func (s *Standby) record(ctx context.Context, j job) bool {
	s.mu.Lock()
	_, ok := s.recorded[j.engine.ID]
	s.mu.Unlock()

	if ok {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	if err := s.cfg.Holders.Record(ctx, j.engine.ID); err != nil {
		event.Fail(s.cfg.Log, err, event.StandbyWithheld, "target", j.engine.ID, "model", j.desired.Model, "version", j.desired.Version, "side_process", "not_asked")

		return false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.recorded) >= maxFences {
		clear(s.recorded)
	}

	s.recorded[j.engine.ID] = struct{}{}

	return true
}

// absent reports whether the VM of the engine replies that no side process runs there.
func (s *Standby) absent(ctx context.Context, j job) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	p := s.cfg.SideProcess(ctx, j.engine.Address)
	if p != pulse.Absent {
		event.Log(s.cfg.Log, event.StandbyWithheld, "target", j.engine.ID, "model", j.desired.Model, "version", j.desired.Version, "side_process", p.String())
	}

	return p == pulse.Absent
}

// maxFences bounds the engines whose last fencing number is kept, and those known to be recorded.
const maxFences = 4096

// fencesOf returns the fencing numbers of this process for the engine at an address.
func (s *Standby) fencesOf(address string) *fences {
	s.mu.Lock()
	defer s.mu.Unlock()

	f, ok := s.fences[address]
	if !ok {
		if len(s.fences) >= maxFences {
			clear(s.fences)
		}

		f = &fences{}
		s.fences[address] = f
	}

	return f
}
