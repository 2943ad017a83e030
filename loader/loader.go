// Package loader brings the engine beside a side process to the weight version
// that operators named.
//
// # Model
//
// Each side process orders its own engine alone, so an engine has one holder by
// construction and nobody has to be elected. The fencing number of an order rises
// with the version that it names: versions only rise, so an order that comes late is
// always the one with the lower number. An order also names how many orders the
// engine had taken before, so that one which is carried out seconds late, after
// another, is dropped.
//
// Engines take turns (TakeTurn): each process works its engine's turn out from
// the register. Before the order, the entries are told, so that they send their
// requests elsewhere; afterwards they are told of the new version.
//
// A Standby, in each entry, orders those engines that have no loader.
package loader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// State is what an engine says of itself.
type State struct {
	// Versions are its weight versions by model.
	Versions map[string]int64
	// Busy says that an order is being carried out.
	Busy bool
	// Orders is how many orders it has taken since its start.
	Orders int64
	// Running and Waiting are its requests.
	Running, Waiting int
	// Born is when it was started, in ms of its clock; zero when it doesn't tell.
	Born int64
}

// Order is an order to load a weight version.
type Order struct {
	// Target is the id of the engine's start that it is for; empty for any.
	Target string
	// Model and Version say what to load.
	Model   string
	Version int64
	// Holder names this process's VM.
	Holder string
	// Fence is the fencing number.
	Fence int64
	// Expected is how many orders the engine is to have taken before.
	Expected int64
}

// Reply is what an engine answers to an order.
type Reply uint8

// The replies.
const (
	// NoReply means that none came: the order may have been taken, or may be
	// taken later.
	NoReply Reply = iota
	// Accepted means that it is being carried out.
	Accepted
	// Holds means that the engine has the version already.
	Holds
	// Busy means that another order is being carried out, or was taken since.
	Busy
	// Fenced means that a higher fencing number was seen.
	Fenced
	// Refused means that the order is wrong.
	Refused
)

// String returns the snake-case name of r.
func (r Reply) String() string {
	return [...]string{"no_reply", "accepted", "holds", "busy", "fenced", "refused"}[r]
}

// Engine calls the engine beside this process.
type Engine interface {
	// State asks for its state.
	State(ctx context.Context, address string) (State, error)
	// Order gives it an order.
	Order(ctx context.Context, address string, o Order) (Reply, error)
}

// Register finds the engine and its siblings.
type Register interface {
	// Siblings returns the id of the engine at an address and the engines of its
	// service that don't leave, itself included, with their version of a model.
	Siblings(ctx context.Context, address, model string) (self string, all []Sibling, err error)
}

// Entries are told what the engine is about to do.
type Entries interface {
	// Tell tells all entries that the engine at an address is about to load a
	// version, or has it.
	Tell(ctx context.Context, address, model string, version int64, loaded bool)
}

// Config is what a Loader works with.
type Config struct {
	// Address is the engine's.
	Address string
	// Holder is this process's VM.
	Holder string
	// Turn says how engines take turns.
	Turn TurnConfig
	// Engine, Register and Entries are whom it speaks with.
	Engine   Engine
	Register Register
	Entries  Entries
	// Log gets a line for each step.
	Log logr.Logger
}

// Timing of the loop.
const (
	// idleEvery is the pause between two looks at an engine that has what it
	// should. They are free and find an engine that was started anew.
	idleEvery = time.Second
	// loadEvery is the pause between two looks at an engine that loads.
	loadEvery = 50 * time.Millisecond
	// registerTimeout bounds the look into the register.
	registerTimeout = 800 * time.Millisecond
)

// namedRing is how many versions may be named while this process does something else.
const namedRing = 64

// Named is a weight version that operators named.
type Named struct {
	// Model is the model's name.
	Model string
	// Version is the version.
	Version int64
	// Before says that it was named before this process started, nobody knows when.
	Before bool
}

// Loader brings one engine to the versions that are named. Use New.
type Loader struct {
	cfg    Config
	wanted map[string]Named
	news   chan Named
	silent bool
	turn   atomic.Pointer[time.Time] // when the engine's turn to load is; nil for none
}

// New returns a Loader that Run starts.
func New(cfg Config) *Loader {
	return &Loader{cfg: cfg, wanted: make(map[string]Named), news: make(chan Named, namedRing)}
}

// LoadIn returns how long it is until the engine is ordered to load a version, zero
// while it loads; ok is false when it isn't to.
func (l *Loader) LoadIn(now time.Time) (in time.Duration, ok bool) {
	at := l.turn.Load()
	if at == nil {
		return 0, false
	}

	return max(at.Sub(now), 0), true
}

// Name takes that operators named a version.
func (l *Loader) Name(n Named) { l.news <- n }

// Run works until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.wait(ctx)

		for model, n := range l.wanted {
			s, ok := l.state(ctx)
			if ok && s.Versions[model] > 0 && s.Versions[model] < n.Version {
				l.bring(ctx, n)
			}
		}
	}
}

// wait waits for a version to be named, or for the next look.
func (l *Loader) wait(ctx context.Context) {
	t := time.NewTimer(idleEvery)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	case n := <-l.news:
		l.want(n)
	}

	l.takeNews()
}

func (l *Loader) takeNews() {
	for {
		select {
		case n := <-l.news:
			l.want(n)
		default:
			return
		}
	}
}

func (l *Loader) want(n Named) {
	if n.Version > l.wanted[n.Model].Version {
		l.wanted[n.Model] = n
	}
}

// state asks the engine and logs when it falls silent and answers again.
func (l *Loader) state(ctx context.Context) (State, bool) {
	s, err := askState(ctx, l.cfg.Engine, l.cfg.Address)
	if err != nil && ctx.Err() != nil {
		return State{}, false
	}

	switch {
	case err != nil && !l.silent:
		event.Fail(l.cfg.Log, err, event.EngineSilent, "address", l.cfg.Address)
	case err == nil && l.silent:
		event.Log(l.cfg.Log, event.EngineAnswers, "address", l.cfg.Address, "versions", s.Versions)
	}

	l.silent = err != nil

	return s, err == nil
}

// bring waits for the engine's turn and loads.
func (l *Loader) bring(ctx context.Context, n Named) {
	c, cancel := context.WithTimeout(ctx, registerTimeout)
	self, siblings, err := l.cfg.Register.Siblings(c, l.cfg.Address, n.Model)

	cancel()

	if err != nil {
		event.Fail(l.cfg.Log, err, event.TurnPlanned, "model", n.Model, "version", n.Version, "rank", 0, "of", 0, "wait_ms", 0)
	}

	cfg := l.cfg.Turn
	if n.Before {
		cfg = cfg.hurried()
	}

	turn := TakeTurn(cfg, self, n.Version, siblings)
	event.Log(l.cfg.Log, event.TurnPlanned, "model", n.Model, "version", n.Version, "rank", turn.Rank, "of", turn.Of, "wait_ms", turn.Wait.Milliseconds())

	at := time.Now().Add(turn.Wait)
	l.turn.Store(&at)

	defer l.turn.Store(nil)

	if !pause.For(ctx, max(turn.Wait, time.Millisecond)) {
		return
	}

	l.takeNews()
	n = l.wanted[n.Model]

	b := bringer{
		engine: l.cfg.Engine, entries: l.cfg.Entries, address: l.cfg.Address, holder: l.cfg.Holder,
		every: loadEvery, state: l.state, log: l.cfg.Log,
	}
	b.bring(ctx, self, n)
}
