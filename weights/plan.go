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
