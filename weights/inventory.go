package weights

import (
	"slices"
	"sync"
	"time"

	"boragehub/failure"
)

// Report is what a side process reports about its engine. Times are sent as ages
// measured by its own clock, so that clock skew between VMs doesn't matter.
type Report struct {
	// VM, DataCentre and Model identify the engine.
	VM, DataCentre, Model string
	// Boot is the engine's boot id; Sequence rises with each report of one side
	// process; zero exempts a report from the check for staleness.
	Boot     string
	Sequence uint64
	// Version, Adapters, Role and State are the engine's current ones.
	Version  string
	Adapters []string
	Role     string
	State    State
	// StateAge is the time since the engine reached State.
	StateAge time.Duration
	// Running is the number of requests in flight on the engine.
	Running int
	// FailedVersion is the version whose load failed last, empty for none, and
	// FailedAge is the time since then.
	FailedVersion string
	FailedAge     time.Duration
	// Fence is the highest fencing number that the side process has seen, and
	// Accepted is the number of the last order that it accepted under that fence.
	Fence, Accepted uint64
}

// InventoryConfig configures an Inventory. Zero values get a default.
type InventoryConfig struct {
	// LostAfter is the time without a report after which an engine counts as lost.
	// 45 s when zero.
	LostAfter time.Duration
	// ForgetAfter is the time without a report after which an engine is removed,
	// together with a load that it may be running. 10 min when zero.
	ForgetAfter time.Duration
	// CrashWindow is how long an engine must serve with a version that it was
	// ordered to load before a crash is no longer attributed to that version. 60 s
	// when zero.
	CrashWindow time.Duration
}

// Inventory keeps the last reports of engines and the orders sent to them. Use
// NewInventory. Its methods are safe for concurrent use.
type Inventory struct {
	cfg InventoryConfig

	mu      sync.Mutex
	engines map[string]*engineRecord
	number  uint64 // of the last order
}

// engineRecord is the state of one engine in an Inventory.
type engineRecord struct {
	engine         Engine
	order          Order // the last one sent; engine.Ordered refers to it
	boot           string
	previousBoots  [4]string // boots before boot, newest first
	sequence       uint64
	lastSeen       time.Time
	suspectVersion string // version loaded shortly before the last boot ended; cleared when the next is ready
	crashVersion   string // version that the engine crashed on
	crashedAt      time.Time
}

// NewInventory returns an empty Inventory.
func NewInventory(cfg InventoryConfig) *Inventory {
	cfg.LostAfter = orDefault(cfg.LostAfter, 45*time.Second)
	cfg.ForgetAfter = orDefault(cfg.ForgetAfter, 10*time.Minute)
	cfg.CrashWindow = orDefault(cfg.CrashWindow, time.Minute)

	return &Inventory{cfg: cfg, engines: map[string]*engineRecord{}}
}

// RecordReport records a report, unless it is stale.
func (i *Inventory) RecordReport(now time.Time, r Report) {
	i.mu.Lock()
	defer i.mu.Unlock()

	rec, ok := i.engines[r.VM]
	if !ok {
		rec = &engineRecord{}
		i.engines[r.VM] = rec
	}

	if ok && rec.stale(r) {
		return
	}

	if ok && r.Boot != rec.boot {
		rec.recordReboot(now, i.cfg.CrashWindow)
	}

	// A report that was sent before the order arrived must not clear the order, or
	// the engine would be ordered twice. A report that confirms the order's number
	// also shows its load.
	ordered := rec.engine.Ordered
	if r.Boot != rec.boot || (r.Fence == rec.order.Fence && r.Accepted >= rec.order.Number) {
		ordered = time.Time{}
	}

	rec.boot = r.Boot
	rec.sequence = r.Sequence
	rec.lastSeen = now
	rec.engine = Engine{
		VM: r.VM, DataCentre: r.DataCentre, Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role,
		State: r.State, Since: now.Add(-r.StateAge), Running: r.Running, FailedVersion: r.FailedVersion, Fence: r.Fence, Ordered: ordered,
	}

	if r.FailedVersion != "" {
		rec.engine.FailedAt = now.Add(-r.FailedAge)
	}

	rec.attributeCrash(now, r)
}

// stale reports whether a newer report than r was recorded.
func (e *engineRecord) stale(r Report) bool {
	if r.Boot == e.boot {
		return r.Sequence != 0 && r.Sequence <= e.sequence
	}

	return slices.Contains(e.previousBoots[:], r.Boot)
}

// recordReboot records the end of the last boot, and the ordered version if the engine
// was loading it or had served with it for less than crashWindow.
func (e *engineRecord) recordReboot(now time.Time, crashWindow time.Duration) {
	copy(e.previousBoots[1:], e.previousBoots[:])
	e.previousBoots[0] = e.boot

	if e.order.Kind != LoadWeights {
		return
	}

	served := e.engine.State == Ready && e.engine.Version == e.order.Version
	if e.engine.State == Loading || (served && now.Sub(e.engine.Since) < crashWindow) {
		e.suspectVersion = e.order.Version
	}
}

// attributeCrash decides whether suspectVersion ended the last boot. Weights that load and
// then crash the engine cause no report of a failed load; without this check the rollout
// would take out one engine after the other, and the first one repeatedly. If the engine
// still has the version, only its side process restarted.
func (e *engineRecord) attributeCrash(now time.Time, r Report) {
	if e.suspectVersion != "" && r.State == Ready {
		if r.Version != e.suspectVersion {
			e.crashVersion, e.crashedAt = e.suspectVersion, now
		}

		e.suspectVersion = ""
	}

	if e.crashVersion != "" && e.engine.FailedVersion == "" {
		e.engine.FailedVersion, e.engine.FailedAt = e.crashVersion, e.crashedAt
	}
}

// RecordOrder records that an order is being sent. It is unknown whether the order arrives
// until a report confirms it, so it counts as a load from now on; an announcement of a
// fence never does.
func (i *Inventory) RecordOrder(now time.Time, o Order) {
	i.mu.Lock()
	defer i.mu.Unlock()

	i.number = max(i.number, o.Number)

	if rec, ok := i.engines[o.VM]; ok && o.Kind != AnnounceFence {
		rec.engine.Ordered = now
		rec.order = o
	}
}

// RecordReply records the result of sending an order. Only an error which says that the
// order has certainly not run releases it; after a lost reply it still counts as a load.
// An acceptance (nil) changes nothing: the load shows in the next report.
func (i *Inventory) RecordReply(_ time.Time, o Order, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()

	rec, ok := i.engines[o.VM]
	if !ok || err == nil || rec.order != o {
		return
	}

	if failure.KindOf(err).Response().Ran == failure.NotRun {
		rec.engine.Ordered = time.Time{}
	}
}

// Forget removes an engine that is no longer in the VM list.
func (i *Inventory) Forget(vm string) {
	i.mu.Lock()
	defer i.mu.Unlock()

	delete(i.engines, vm)
}

// View returns the input of Plan, with the engines in no particular order. It removes
// engines without a report for ForgetAfter.
func (i *Inventory) View(now time.Time, wanted []Wanted, fence uint64, since time.Time) View {
	i.mu.Lock()
	defer i.mu.Unlock()

	v := View{Wanted: wanted, Fence: fence, Number: i.number, Since: since, Engines: make([]Engine, 0, len(i.engines))}

	for vm, rec := range i.engines {
		age := now.Sub(rec.lastSeen)
		if age > i.cfg.ForgetAfter {
			delete(i.engines, vm)
			continue
		}

		e := rec.engine
		e.Lost = age > i.cfg.LostAfter
		v.Engines = append(v.Engines, e)
	}

	return v
}
