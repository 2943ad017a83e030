// Package loader loads the weight version that operators published into the engine
// beside a side process.
//
// # Model
//
// Each side process orders only its own engine, so an engine has one holder by
// construction and no leader election is needed. The fencing number of an order rises
// with time, so that a delayed order always has the lower number, and so does one of an
// earlier holder. An order also states how many orders the engine must have accepted
// before, so that an order that arrives seconds late, after another one, is rejected.
//
// Engines load in rollout slots (AssignSlot): each process computes the slot of its
// engine from the register. The load is announced to the entries before the order, so
// that they send their requests to other engines, and the new version after the load.
//
// A Standby, in each entry, orders the engines that have no loader. It asks the engine's VM for one
// right before each order, and a loader that has just started holds its orders back for HoldOff, so
// that the two are never holders of an engine within the time that an order counts. It needs to only
// if the log says that entries have ordered its engine (Holders).
package loader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// State is the state that an engine reports.
type State struct {
	// Versions are the loaded weight versions by model.
	Versions map[string]int64
	// Busy is set while the engine carries out an order.
	Busy bool
	// AcceptedOrders is the number of orders accepted since the engine's start.
	AcceptedOrders int64
	// Running and Waiting are the numbers of running and queued requests.
	Running, Waiting int
	// StartTime is the start time in milliseconds of the engine's clock; zero when the
	// engine doesn't report it.
	StartTime int64
	// Clock is the time in milliseconds of the clock that all engines share when the state was
	// taken; zero when the engine doesn't report it.
	Clock int64
}

// Order is an order to load a weight version.
type Order struct {
	// Target is the target id, which identifies one start of the engine; an engine with
	// another id refuses the order. Empty for any start.
	Target string
	// Model and Version name the weights to load.
	Model   string
	Version int64
	// Holder is the VM of the process that sends the order.
	Holder string
	// Fence is the fencing number; an engine that checks it rejects an order below
	// the highest number seen.
	Fence int64
	// ExpectedOrders is the number of orders that the engine must have accepted before.
	ExpectedOrders int64
}

// Reply is an engine's reply to an order.
type Reply uint8

// The values of Reply.
const (
	// NoReply means that no reply was received: the order may have been accepted,
	// or may be accepted later.
	NoReply Reply = iota
	// Accepted means that the order is being carried out.
	Accepted
	// AlreadyLoaded means that the version is already loaded.
	AlreadyLoaded
	// Busy means that another order is being carried out, or that the number of
	// accepted orders isn't the expected one.
	Busy
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
	// Refused means that the order is invalid, for example for another start of
	// the engine.
	Refused
)

// String returns the snake-case name of r.
func (r Reply) String() string {
	return [...]string{"no_reply", "accepted", "holds", "busy", "fenced", "refused"}[r]
}

// Engine calls engines by address.
type Engine interface {
	// State returns the state of the engine at an address.
	State(ctx context.Context, address string) (State, error)
	// Order sends an order to the engine at an address.
	Order(ctx context.Context, address string, o Order) (Reply, error)
}

// Register looks engines up in the register.
type Register interface {
	// Siblings returns the target id of the engine at an address and the engines of its
	// service that aren't draining, itself included, with their version of a model.
	Siblings(ctx context.Context, address, model string) (self string, all []Sibling, err error)
}

// Entries announces loads to all entries.
type Entries interface {
	// AnnounceVersion announces that the engine at an address is about to load a
	// version, or, with loaded set, that it has loaded it.
	AnnounceVersion(ctx context.Context, address, model string, version int64, loaded bool)
}

// Holders records in the log which engines entries order. An entry writes its record before it asks the
// engine's VM for a loader, and a loader reads it after its start, so that one of the two learns of the other.
type Holders interface {
	// Record records that entries order a target.
	Record(ctx context.Context, target string) error
	// Recorded reports whether there is such a record.
	Recorded(ctx context.Context, target string) (bool, error)
}

// Config configures a Loader.
type Config struct {
	// Address is the address of the engine.
	Address string
	// Holder is the VM of this process.
	Holder string
	// Rollout configures the rollout slots.
	Rollout RolloutConfig
	// Engine, Register and Entries are the interfaces to the other processes.
	Engine   Engine
	Register Register
	Entries  Entries
	// Start is the time since which entries find this process, FirstStart reports whether the whole
	// system starts for the first time, so that no entry has given an order. Otherwise orders begin
	// HoldOff after Start if Holders has a record of the engine or can't be read.
	Start      time.Time
	FirstStart bool
	Holders    Holders
	// Utilisation returns the part of the engines' prefill capacity that is in use, from 0 to 1, and
	// the age of that figure; zero when unknown. Nil means that it is never known.
	Utilisation func(now time.Time) (share float64, age time.Duration)
	// Log receives an event for each step.
	Log logr.Logger
}

// Timing of the loop.
const (
	// idlePollInterval is the time between two state queries while nothing is to be
	// loaded. The queries cost nothing and detect an engine that restarted.
	idlePollInterval = time.Second
	// loadPollInterval is the time between two state queries while the engine loads.
	loadPollInterval = 50 * time.Millisecond
	// registerTimeout is the timeout of a read of the register.
	registerTimeout = 800 * time.Millisecond
)

// HoldOff is the time after its start in which a loader gives no order: an entry that found no loader just
// before may have an order under way for callTimeout, and then counts as the engine's holder for three
// seconds.
const HoldOff = 4 * time.Second

// updateQueueSize is the number of published versions that are queued while a load is
// under way; beyond it SetDesired blocks.
const updateQueueSize = 64

// DesiredVersion is a weight version that operators published.
type DesiredVersion struct {
	// Model is the name of the model.
	Model string
	// Version is the weight version; versions of a model only rise.
	Version int64
	// PublishedBeforeStart is set if the version was published before this process started, at
	// an unknown time.
	PublishedBeforeStart bool
}

// Loader loads published versions into one engine. Use New.
type Loader struct {
	cfg          Config
	desired      map[string]DesiredVersion
	updates      chan DesiredVersion
	unresponsive bool
	fence        fences
	slotStart    atomic.Pointer[time.Time] // start of the engine's rollout slot; nil for none
}

// New returns a Loader; Run starts it.
func New(cfg Config) *Loader {
	return &Loader{cfg: cfg, desired: make(map[string]DesiredVersion), updates: make(chan DesiredVersion, updateQueueSize)}
}

// LoadIn returns the time until the engine is ordered to load a version, zero while it
// loads; ok is false when no load is planned.
func (l *Loader) LoadIn(now time.Time) (in time.Duration, ok bool) {
	at := l.slotStart.Load()
	if at == nil {
		return 0, false
	}

	return max(at.Sub(now), 0), true
}

// SetDesired queues a version that operators published for loading.
func (l *Loader) SetDesired(n DesiredVersion) { l.updates <- n }

// Run loads queued versions until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.wait(ctx)

		for model, n := range l.desired {
			s, ok := l.state(ctx)
			if ok && s.Versions[model] > 0 && s.Versions[model] < n.Version {
				l.reload(ctx, n)
			}
		}
	}
}

// wait waits for a published version, or for idlePollInterval.
func (l *Loader) wait(ctx context.Context) {
	t := time.NewTimer(idlePollInterval)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	case n := <-l.updates:
		l.raiseDesired(n)
	}

	l.drainUpdates()
}

func (l *Loader) drainUpdates() {
	for {
		select {
		case n := <-l.updates:
			l.raiseDesired(n)
		default:
			return
		}
	}
}

func (l *Loader) raiseDesired(n DesiredVersion) {
	if n.Version > l.desired[n.Model].Version {
		l.desired[n.Model] = n
	}
}

// state queries the engine and logs when it stops responding and when it responds again.
func (l *Loader) state(ctx context.Context) (State, bool) {
	s, err := pollState(ctx, l.cfg.Engine, l.cfg.Address)
	if err != nil && ctx.Err() != nil {
		return State{}, false
	}

	switch {
	case err != nil && !l.unresponsive:
		event.Fail(l.cfg.Log, err, event.EngineSilent, "address", l.cfg.Address)
	case err == nil && l.unresponsive:
		event.Log(l.cfg.Log, event.EngineAnswers, "address", l.cfg.Address, "versions", s.Versions)
	}

	l.unresponsive = err != nil

	return s, err == nil
}

// reload waits for the engine's rollout slot and loads the newest published version.
func (l *Loader) reload(ctx context.Context, n DesiredVersion) {
	c, cancel := context.WithTimeout(ctx, registerTimeout)
	self, siblings, err := l.cfg.Register.Siblings(c, l.cfg.Address, n.Model)

	cancel()

	if err != nil {
		event.Fail(l.cfg.Log, err, event.TurnPlanned, "model", n.Model, "version", n.Version, "rank", 0, "of", 0, "wait_ms", 0,
			"utilisation", 0, "utilisation_age_ms", 0, "interval_ms", 0)
	}

	defer l.slotStart.Store(nil)

	if !l.awaitSlot(ctx, self, n, siblings) {
		return
	}

	l.drainUpdates()
	n = l.desired[n.Model]

	r := reloader{
		engine: l.cfg.Engine, entries: l.cfg.Entries, address: l.cfg.Address, holder: l.cfg.Holder,
		pollInterval: loadPollInterval, queryState: l.state, fence: &l.fence, log: l.cfg.Log,
	}
	r.reload(ctx, self, n)
}

// heldFor returns for how long orders are still held back after the start of this process.
func (l *Loader) heldFor(ctx context.Context, now time.Time, self string) time.Duration {
	wait := l.cfg.Start.Add(HoldOff).Sub(now)
	if l.cfg.FirstStart || wait <= 0 {
		return 0
	}

	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()

	recorded, err := l.cfg.Holders.Recorded(ctx, self)
	if err == nil && !recorded {
		return 0
	}

	event.Log(l.cfg.Log, event.OrdersHeld, "wait_ms", wait.Milliseconds(), "recorded", recorded)

	return wait
}

// slotCheckInterval is the time between two looks at the utilisation while a loader waits for its
// slot.
const slotCheckInterval = 500 * time.Millisecond

// awaitSlot waits for the engine's rollout slot; it returns false if ctx ended before. While it waits,
// the slot moves to a later time if the utilisation rises: contexts are prefilled again in the time
// after the load, not in that before. It never moves to an earlier one, as engines whose slots are at
// different times would then load at once.
func (l *Loader) awaitSlot(ctx context.Context, self string, n DesiredVersion, siblings []Sibling) bool {
	cfg := l.cfg.Rollout
	if n.PublishedBeforeStart {
		cfg = cfg.expedited()
	}

	began := time.Now()
	planned := time.Duration(-1) // the last planned time of the slot after began
	heldFor := l.heldFor(ctx, began, self)

	for {
		now := time.Now()
		age := time.Duration(0)

		if l.cfg.Utilisation != nil && !n.PublishedBeforeStart {
			share, shareAge := l.cfg.Utilisation(now)
			cfg.Utilisation, age = max(cfg.Utilisation, share), shareAge
		}

		if slot := AssignSlot(cfg, self, n.Version, siblings); max(slot.Wait, heldFor) > planned {
			planned = max(slot.Wait, heldFor)
			at := began.Add(planned)
			l.slotStart.Store(&at)
			event.Log(l.cfg.Log, event.TurnPlanned, "model", n.Model, "version", n.Version, "rank", slot.Rank, "of", slot.Of, "wait_ms", at.Sub(now).Milliseconds(),
				"utilisation", cfg.Utilisation, "utilisation_age_ms", age.Milliseconds(), "interval_ms", slot.Interval.Milliseconds())
		}

		left := planned - time.Since(began)
		if !pause.For(ctx, max(min(left, slotCheckInterval), time.Millisecond)) {
			return false
		}

		if left <= slotCheckInterval {
			return true
		}
	}
}
