// Package weights decides which engine loads which weight version, adapter and
// role, and when.
//
// # Model
//
// Plan compares what is wanted of a model with what the engines say they have
// and returns the orders to give now. It remembers nothing: what is under way
// is read from the engines, so a new leader goes on where the last one stopped,
// and the same view always gives the same orders.
//
// Loads slow each other and the weight store is rate-limited, so at most
// Config.Loads run at once in a data centre. A load takes its engine out, so an
// engine is ordered only while the others that are ready are as many as wanted.
// A roll tries one engine first, waits, and goes on; when loads of the version
// fail on too many engines it stops, and with a Fallback the engines go back.
//
// # Orders and fences
//
// Orders bear the fencing number of the leader's lease. A new leader first
// announces its number to every side process (AnnounceFence) and orders nothing
// in a data centre until each engine heard there has confirmed it: an order of
// the old leader that is still under way is refused from then on, and one that
// came before shows in the same report as a load. Engines that aren't heard are
// waited for during Config.Settle and then left out.
//
// A Inventory keeps what the engines said and which orders were given, and makes the
// View.
//
// # Example
//
//	b := weights.NewInventory(weights.InventoryConfig{})
//	b.Hear(now, report)
//	r := weights.Plan(now, cfg, b.View(now, wanted, lease.Offset, lease.At))
//	for _, o := range r.Orders {
//		b.Ordered(now, o)
//		b.Answered(now, o, send(o))
//	}
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Config configures Plan. Zero values get a default.
type Config struct {
	// Loads is how many loads may run at once in one data centre. 2 when zero.
	Loads int
	// DataCentreLoads overrides Loads by data centre.
	DataCentreLoads map[string]int
	// Settle is how long a new leader waits for engines that aren't heard, before
	// it orders in their data centre. It must be longer than an order can be under
	// way. 10 s when zero.
	Settle time.Duration
	// OrderPatience is how long a given order counts as a load though the engine
	// doesn't show it. 30 s when zero.
	OrderPatience time.Duration
	// Trial is how long the first engine of a version serves before the others follow. 10 s when zero.
	Trial time.Duration
	// Failures is on how many engines a version's load may fail before its roll stops. 2 when zero.
	Failures int
	// RetryAfter is how long an engine whose load failed is left alone. 30 s when zero.
	RetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	c.Loads = or(c.Loads, 2)
	c.Settle = or(c.Settle, 10*time.Second)
	c.OrderPatience = or(c.OrderPatience, 30*time.Second)
	c.Trial = or(c.Trial, 10*time.Second)
	c.Failures = or(c.Failures, 2)
	c.RetryAfter = or(c.RetryAfter, 30*time.Second)

	return c
}

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}

	return v
}

// State is what an engine says of itself. The zero State is Ready.
type State uint8

// The states.
const (
	// Ready means that it serves, or would if it had weights.
	Ready State = iota
	// Loading means that it loads.
	Loading
	// Leaving means that it drains for good.
	Leaving
)

// String returns the snake-case name of s.
func (s State) String() string {
	return [...]string{"ready", "loading", "leaving"}[min(s, Leaving)]
}

// Engine is what one engine last said, and what was ordered of it.
type Engine struct {
	// VM and DataCentre say which.
	VM, DataCentre string
	// Model is the model that it serves.
	Model string
	// Version is the weight version loaded; empty for none.
	Version string
	// Adapters are those loaded.
	Adapters []string
	// Role is its role; empty for any work.
	Role string
	// State is its state.
	State State
	// Since is when it reached State.
	Since time.Time
	// Lost says that it was not heard lately.
	Lost bool
	// Running is how many requests it runs.
	Running int
	// FailedVersion is the version whose load failed last; FailedAt is when.
	FailedVersion string
	FailedAt      time.Time
	// Fence is the highest fencing number that its side process has confirmed.
	Fence uint64
	// Ordered is when it was last given an order that it has not answered for;
	// zero for none.
	Ordered time.Time
}

// Wanted is what operators published for one model.
type Wanted struct {
	// Model is the model.
	Model string
	// Version is the version that all its engines shall have.
	Version string
	// Fallback is the version to go back to when Version fails; empty to stop instead.
	Fallback string
	// MinReady is how many engines must be ready at any time, whatever their
	// version. A roll takes none out that is needed for it.
	MinReady int
	// Adapters are those that each engine shall have.
	Adapters []string
	// Roles says how many engines shall have a role; the rest have none.
	Roles []RoleCount
}

// RoleCount is how many engines shall have a role.
type RoleCount struct {
	// Role is the role's name.
	Role string
	// Count is the number of engines.
	Count int
}

// View is all that Plan looks at.
type View struct {
	// Wanted is by model.
	Wanted []Wanted
	// Engines are all engines, in any order.
	Engines []Engine
	// Fence is the fencing number of the lease under which orders are given.
	Fence uint64
	// Number is the number of the last order given.
	Number uint64
	// Since is when the lease was got.
	Since time.Time
}

// Kind is what an order asks for, in the words of the engines' protocol.
type Kind string

// The kinds.
const (
	// LoadWeights loads a weight version.
	LoadWeights Kind = "load_weights"
	// LoadAdapter loads an adapter.
	LoadAdapter Kind = "load_adapter"
	// SetRole changes the role.
	SetRole Kind = "set_role"
	// AnnounceFence asks the side process to remember the fencing number, and
	// nothing of the engine.
	AnnounceFence Kind = "announce_fence"
)

// Order is one order to an engine, through its side process.
type Order struct {
	// VM is the engine's VM.
	VM string
	// Fence is the fencing number, and Number counts the orders given under it.
	Fence, Number uint64
	// Kind says which of the fields below count.
	Kind Kind
	// Model, Version, Adapter and Role are what to load or to be.
	Model, Version, Adapter, Role string
}

// Halt is why a model's roll does not go on.
type Halt uint8

// The halts.
const (
	// NoHalt means that the roll goes on or is done.
	NoHalt Halt = iota
	// Settling means that the fencing number is not confirmed everywhere yet.
	Settling
	// Trying means that the first engine's trial is not over.
	Trying
	// TooFewReady means that no engine can be spared.
	TooFewReady
	// LoadsFull means that as many loads run as may.
	LoadsFull
	// VersionFailed means that the version's loads failed, and there is no fallback.
	VersionFailed
	// EnginesLost means that the engines left to do are not heard, or failed just now.
	EnginesLost
)

// String returns the snake-case name of h.
func (h Halt) String() string {
	return [...]string{"none", "settling", "trying", "too_few_ready", "loads_full", "version_failed", "engines_lost"}[min(h, EnginesLost)]
}

// Progress is how far one model's roll is.
type Progress struct {
	// Model is the model.
	Model string
	// Version is the version aimed at: the wanted one, or its fallback.
	Version string
	// FellBack says that the wanted version failed and Version is the fallback.
	FellBack bool
	// Done, Loading, Left and Ready count engines: with the version, loading
	// anything, still to do, and ready with any version.
	Done, Loading, Left, Ready int
	// Halt is why nothing was ordered though something is left.
	Halt Halt
}

// Result is what Plan returns.
type Result struct {
	// Orders are to be given now.
	Orders []Order
	// Progress is by model, in the order of View.Wanted.
	Progress []Progress
}

// Plan returns the orders to give at now.
func Plan(now time.Time, cfg Config, v View) Result {
	p := &planner{now: now, cfg: cfg.withDefaults(), view: v, loads: map[string]int{}, closed: map[string]bool{}}

	engines := slices.Clone(v.Engines)
	slices.SortFunc(engines, byModel)

	for _, e := range engines {
		p.count(e)
	}

	var r Result

	for _, w := range v.Wanted {
		first, _ := slices.BinarySearchFunc(engines, w.Model, func(e Engine, m string) int { return cmp.Compare(e.Model, m) })
		last := first

		for last < len(engines) && engines[last].Model == w.Model {
			last++
		}

		r.Progress = append(r.Progress, p.model(w, engines[first:last]))
	}

	r.Orders = p.orders

	return r
}

func byModel(a, b Engine) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.VM, b.VM)) }

// planner is the work of one Plan.
type planner struct {
	now    time.Time
	cfg    Config
	view   View
	loads  map[string]int  // by data centre, those ordered now included
	closed map[string]bool // data centres where the fence isn't confirmed
	orders []Order
}

// count takes e into its data centre's loads, and announces the fence to it.
func (p *planner) count(e Engine) {
	if p.busy(e) {
		p.loads[e.DataCentre]++
	}

	if e.Fence >= p.view.Fence {
		return
	}

	if !e.Lost || p.now.Sub(p.view.Since) < p.cfg.Settle {
		p.closed[e.DataCentre] = true
	}

	p.add(e, Order{Kind: AnnounceFence})
}

// busy reports whether e loads, or was ordered to and may not show it yet. An
// engine that fell silent while loading may still be loading.
func (p *planner) busy(e Engine) bool {
	return e.State == Loading || p.pending(e)
}

func (p *planner) pending(e Engine) bool {
	return !e.Ordered.IsZero() && p.now.Sub(e.Ordered) < p.cfg.OrderPatience
}

// room reports whether one more load may start in a data centre.
func (p *planner) room(dataCentre string) bool {
	most, ok := p.cfg.DataCentreLoads[dataCentre]
	if !ok {
		most = p.cfg.Loads
	}

	return p.loads[dataCentre] < most
}

// model plans one model.
func (p *planner) model(w Wanted, engines []Engine) Progress {
	version, failed := p.aim(w, engines)
	g := Progress{Model: w.Model, Version: version, FellBack: version != w.Version}

	var todo []Engine

	for _, e := range engines {
		switch {
		case e.State == Leaving:
		case p.busy(e):
			g.Loading++
		case e.Version == version:
			g.Done++
		default:
			g.Left++
			todo = append(todo, e)
		}

		if p.ready(e) {
			g.Ready++
		}
	}

	switch {
	case failed:
		g.Halt = VersionFailed
	case len(todo) > 0:
		g.Halt = p.roll(w, version, engines, todo, g.Ready)
	default:
		p.rest(w, engines, g.Ready)
	}

	return g
}

// ready reports whether e serves and was not just ordered away.
func (p *planner) ready(e Engine) bool {
	return e.State == Ready && !e.Lost && !p.pending(e) && e.Version != ""
}

// aim returns the version to go to; failed says that there is none to go to. It
// is worked out from what engines say, so that it doesn't change with the
// leader; and a failed version is not tried again until operators publish
// another one, so that it doesn't swing to and fro.
func (p *planner) aim(w Wanted, engines []Engine) (version string, failed bool) {
	n := 0

	for _, e := range engines {
		if e.FailedVersion == w.Version && w.Version != "" {
			n++
		}
	}

	if n < p.cfg.Failures {
		return w.Version, false
	}

	if w.Fallback == "" || w.Fallback == w.Version {
		return w.Version, true
	}

	return w.Fallback, false
}

// roll orders loads of version as far as it may.
func (p *planner) roll(w Wanted, version string, engines, todo []Engine, ready int) Halt {
	trial, over := p.trial(version, engines)
	p.sort(todo)

	halt := NoHalt
	given := 0

	for _, e := range todo {
		why := p.mayLoad(w, e, ready)
		if why == NoHalt && !over && (trial || given > 0) {
			why = Trying
		}

		if why != NoHalt {
			halt = max(halt, why)
			continue
		}

		if p.ready(e) {
			ready--
		}

		given++
		p.order(e, Order{Kind: LoadWeights, Version: version})
	}

	if given > 0 {
		return NoHalt
	}

	return halt
}

// trial reports whether an engine already tries the version, or loads it, and
// whether the trial is over, which it is as soon as one has served for Trial.
// Engines without any weights need no trial: they have nothing to lose.
func (p *planner) trial(version string, engines []Engine) (running, over bool) {
	empty := true

	for _, e := range engines {
		if e.Version != "" && e.Version != version {
			empty = false
		}

		if p.busy(e) {
			running = true
		}

		if e.Version == version && p.ready(e) {
			running = true
			over = over || p.now.Sub(e.Since) >= p.cfg.Trial
		}
	}

	return running, over || empty
}

// sort puts first what costs least: engines without weights, then those that
// run least.
func (p *planner) sort(engines []Engine) {
	slices.SortStableFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.VM, b.VM))
	})
}

func rank(e Engine) int {
	if e.Version == "" {
		return 0
	}

	return 1
}

// mayLoad reports why e may not load now; NoHalt when it may.
func (p *planner) mayLoad(w Wanted, e Engine, ready int) Halt {
	switch {
	case e.Lost || (!e.FailedAt.IsZero() && p.now.Sub(e.FailedAt) < p.cfg.RetryAfter):
		return EnginesLost
	case p.closed[e.DataCentre]:
		return Settling
	case !p.room(e.DataCentre):
		return LoadsFull
	case p.ready(e) && ready-1 < w.MinReady:
		return TooFewReady
	default:
		return NoHalt
	}
}

// order gives an order; every kind but SetRole takes part in the loads.
func (p *planner) order(e Engine, o Order) {
	p.add(e, o)

	if o.Kind != SetRole {
		p.loads[e.DataCentre]++
	}
}

// add completes an order.
func (p *planner) add(e Engine, o Order) {
	o.VM = e.VM
	o.Model = e.Model
	o.Fence = p.view.Fence
	o.Number = p.view.Number + uint64(len(p.orders)) + 1
	p.orders = append(p.orders, o)
}

// rest orders adapters and roles once all have the version.
func (p *planner) rest(w Wanted, engines []Engine, ready int) {
	given := len(p.orders)

	for _, e := range engines {
		adapter := missing(w.Adapters, e.Adapters)
		if adapter == "" || !p.ready(e) || p.mayLoad(w, e, ready) != NoHalt {
			continue
		}

		ready--
		p.order(e, Order{Kind: LoadAdapter, Version: e.Version, Adapter: adapter})
	}

	if len(p.orders) == given {
		p.roles(w, engines)
	}
}

// missing returns the first adapter that is wanted and not there.
func missing(wanted, have []string) string {
	for _, a := range wanted {
		if !slices.Contains(have, a) {
			return a
		}
	}

	return ""
}
