// Package weights decides which engine loads which weight version, adapter and
// role, and when.
//
// # Model
//
// Plan compares the desired state of each model with the state that its engines
// report and returns the orders to send now. It is stateless: loads in progress
// are read from the engines, so a new leader continues where the previous one
// stopped, and the same view always gives the same orders.
//
// Concurrent loads slow each other down and the weight store is rate-limited, so
// at most Config.MaxLoads run at once in a data centre. An engine doesn't serve while
// it loads, so a ready one is ordered to load only if Wanted.MinReady others stay ready.
// A rollout starts with one canary engine and continues after Config.CanaryPeriod.
// When the version fails on Config.FailureThreshold engines the rollout stops, or,
// with a Wanted.Fallback, that version is rolled out instead.
//
// # Orders and fences
//
// Orders carry the fencing number of the leader's lease. A new leader first
// announces its number to every side process (AnnounceFence) and orders nothing
// in a data centre until every engine there that isn't lost has confirmed it: from
// then on an order of the previous leader that is still in flight is refused, and
// one that arrived before shows as a load in the confirming report. Lost engines
// are waited for during Config.SettleTimeout and then ignored.
//
// An Inventory keeps the reports of the engines and the orders sent to them, and
// builds the View.
//
// # Example
//
//	inventory := weights.NewInventory(weights.InventoryConfig{})
//	inventory.RecordReport(now, report)
//	r := weights.Plan(now, cfg, inventory.View(now, wanted, lease.Offset, lease.At))
//	for _, o := range r.Orders {
//		inventory.RecordOrder(now, o)
//		inventory.RecordReply(now, o, send(o))
//	}
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Plan returns the orders to send at now, and the progress of each wanted model.
func Plan(now time.Time, cfg Config, v View) Result {
	p := &planner{now: now, cfg: cfg.withDefaults(), view: v, loads: map[string]int{}, unconfirmed: map[string]bool{}}

	engines := slices.Clone(v.Engines)
	slices.SortFunc(engines, byModel)

	for _, e := range engines {
		p.observe(e)
	}

	var r Result

	for _, w := range v.Wanted {
		first, _ := slices.BinarySearchFunc(engines, w.Model, func(e Engine, m string) int { return cmp.Compare(e.Model, m) })
		last := first

		for last < len(engines) && engines[last].Model == w.Model {
			last++
		}

		r.Progress = append(r.Progress, p.planModel(w, engines[first:last]))
	}

	r.Orders = p.orders

	return r
}

func byModel(a, b Engine) int { return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.VM, b.VM)) }

// planner is the state of one call of Plan.
type planner struct {
	now         time.Time
	cfg         Config
	view        View
	loads       map[string]int  // by data centre, including loads ordered by this plan
	unconfirmed map[string]bool // data centres where the fence isn't confirmed yet
	orders      []Order
}

// observe counts the load of e, if any, in its data centre, and announces the fence to e
// if it hasn't confirmed it.
func (p *planner) observe(e Engine) {
	if p.busy(e) {
		p.loads[e.DataCentre]++
	}

	if e.Fence >= p.view.Fence {
		return
	}

	if !e.Lost || p.now.Sub(p.view.Since) < p.cfg.SettleTimeout {
		p.unconfirmed[e.DataCentre] = true
	}

	p.appendOrder(e, Order{Kind: AnnounceFence})
}

// busy reports whether e is loading, or was ordered to load and may not report it yet. A
// lost engine that last reported a load may still be loading.
func (p *planner) busy(e Engine) bool {
	return e.State == Loading || p.orderPending(e)
}

func (p *planner) orderPending(e Engine) bool {
	return !e.Ordered.IsZero() && p.now.Sub(e.Ordered) < p.cfg.OrderTimeout
}

// hasCapacity reports whether one more load may start in a data centre.
func (p *planner) hasCapacity(dataCentre string) bool {
	limit, ok := p.cfg.MaxLoadsByDataCentre[dataCentre]
	if !ok {
		limit = p.cfg.MaxLoads
	}

	return p.loads[dataCentre] < limit
}

// planModel plans the orders for one model.
func (p *planner) planModel(w Wanted, engines []Engine) Progress {
	version, failed := p.chooseVersion(w, engines)
	progress := Progress{Model: w.Model, Version: version, FellBack: version != w.Version}

	var remaining []Engine

	for _, e := range engines {
		switch {
		case e.State == Leaving:
		case p.busy(e):
			progress.Loading++
		case e.Version == version:
			progress.Done++
		default:
			progress.Left++
			remaining = append(remaining, e)
		}

		if p.ready(e) {
			progress.Ready++
		}
	}

	switch {
	case failed:
		progress.Halt = VersionFailed
	case len(remaining) > 0:
		progress.Halt = p.rollOut(w, version, engines, remaining, progress.Ready)
	default:
		p.orderAdaptersAndRoles(w, engines, progress.Ready)
	}

	return progress
}

// ready reports whether e serves with some weights and has no pending order.
func (p *planner) ready(e Engine) bool {
	return e.State == Ready && !e.Lost && !p.orderPending(e) && e.Version != ""
}

// chooseVersion returns the version to roll out; failed is set if the wanted version failed
// and there is no fallback. Failed loads are read from the engines' reports, so that the
// choice doesn't change with the leader; crashes that an Inventory attributes to a version
// are known only to the leader that saw them. A failed version isn't tried again until
// operators publish another one, so that the rollout doesn't oscillate.
func (p *planner) chooseVersion(w Wanted, engines []Engine) (version string, failed bool) {
	n := 0

	for _, e := range engines {
		if e.FailedVersion == w.Version && w.Version != "" {
			n++
		}
	}

	if n < p.cfg.FailureThreshold {
		return w.Version, false
	}

	if w.Fallback == "" || w.Fallback == w.Version {
		return w.Version, true
	}

	return w.Fallback, false
}

// rollOut orders as many loads of version as the limits allow. It returns why none was
// ordered, or NoHalt.
func (p *planner) rollOut(w Wanted, version string, engines, remaining []Engine, ready int) Halt {
	started, passed := p.canary(version, engines)
	p.sortByCost(remaining)

	halt := NoHalt
	issued := 0

	for _, e := range remaining {
		reason := p.mayLoad(w, e, ready)
		if reason == NoHalt && !passed && (started || issued > 0) {
			reason = Trying
		}

		if reason != NoHalt {
			halt = max(halt, reason)
			continue
		}

		if p.ready(e) {
			ready--
		}

		issued++
		p.issue(e, Order{Kind: LoadWeights, Version: version})
	}

	if issued > 0 {
		return NoHalt
	}

	return halt
}

// canary reports whether an engine of the model serves with the version or loads, and
// whether the canary has passed, which it has as soon as one engine has served with the
// version for CanaryPeriod. If no engine has another version no canary is needed: a load
// takes no capacity from engines without weights.
func (p *planner) canary(version string, engines []Engine) (started, passed bool) {
	empty := true

	for _, e := range engines {
		if e.Version != "" && e.Version != version {
			empty = false
		}

		if p.busy(e) {
			started = true
		}

		if e.Version == version && p.ready(e) {
			started = true
			passed = passed || p.now.Sub(e.Since) >= p.cfg.CanaryPeriod
		}
	}

	return started, passed || empty
}

// sortByCost sorts engines by the cost of a load: first those without weights, then those
// with the fewest running requests.
func (p *planner) sortByCost(engines []Engine) {
	slices.SortStableFunc(engines, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(loadCost(a), loadCost(b)), cmp.Compare(a.Running, b.Running), cmp.Compare(a.VM, b.VM))
	})
}

func loadCost(e Engine) int {
	if e.Version == "" {
		return 0
	}

	return 1
}

// mayLoad returns why e may not load now; NoHalt if it may.
func (p *planner) mayLoad(w Wanted, e Engine, ready int) Halt {
	switch {
	case e.Lost || (!e.FailedAt.IsZero() && p.now.Sub(e.FailedAt) < p.cfg.RetryAfter):
		return EnginesLost
	case p.unconfirmed[e.DataCentre]:
		return Settling
	case !p.hasCapacity(e.DataCentre):
		return LoadsFull
	case p.ready(e) && ready-1 < w.MinReady:
		return TooFewReady
	default:
		return NoHalt
	}
}

// issue adds an order to the plan; all kinds except SetRole count as loads.
func (p *planner) issue(e Engine, o Order) {
	p.appendOrder(e, o)

	if o.Kind != SetRole {
		p.loads[e.DataCentre]++
	}
}

// appendOrder fills in the order's engine, fence and number, and adds it to the plan.
func (p *planner) appendOrder(e Engine, o Order) {
	o.VM = e.VM
	o.Model = e.Model
	o.Fence = p.view.Fence
	o.Number = p.view.Number + uint64(len(p.orders)) + 1
	p.orders = append(p.orders, o)
}

// orderAdaptersAndRoles orders adapters, and roles if no adapter is ordered, once no engine
// lacks the version.
func (p *planner) orderAdaptersAndRoles(w Wanted, engines []Engine, ready int) {
	issued := len(p.orders)

	for _, e := range engines {
		adapter := firstMissing(w.Adapters, e.Adapters)
		if adapter == "" || !p.ready(e) || p.mayLoad(w, e, ready) != NoHalt {
			continue
		}

		ready--
		p.issue(e, Order{Kind: LoadAdapter, Version: e.Version, Adapter: adapter})
	}

	if len(p.orders) == issued {
		p.orderRoleChange(w, engines)
	}
}

// firstMissing returns the first wanted adapter that isn't loaded; empty for none.
func firstMissing(wanted, have []string) string {
	for _, a := range wanted {
		if !slices.Contains(have, a) {
			return a
		}
	}

	return ""
}
