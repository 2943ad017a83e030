package weights

import (
	"slices"
	"sync"
	"time"

	"boragehub/failure"
)

// Report is what a side process says of its engine. Times are ages by its own
// clock, so that clocks which are apart don't matter.
type Report struct {
	// VM, DataCentre and Model say which.
	VM, DataCentre, Model string
	// Boot is the engine's boot id; Sequence rises with each report of one side process.
	Boot     string
	Sequence uint64
	// Version, Adapters, Role and State are what it has.
	Version  string
	Adapters []string
	Role     string
	State    State
	// StateAge is how long it has been in State.
	StateAge time.Duration
	// Running is how many requests it runs.
	Running int
	// FailedVersion is the version whose load failed last, empty for none, and
	// FailedAge how long ago.
	FailedVersion string
	FailedAge     time.Duration
	// Fence is the highest fencing number that the side process has seen, and
	// Accepted the number of the last order that it accepted under it.
	Fence, Accepted uint64
}

// InventoryConfig configures a Inventory. Zero values get a default.
type InventoryConfig struct {
	// LostAfter is the silence after which an engine counts as lost. 45 s when zero.
	LostAfter time.Duration
	// ForgetAfter is the silence after which it is forgotten, and a load that it
	// may be running with it. 10 min when zero.
	ForgetAfter time.Duration
	// SoundAfter is how long an engine must serve with a version that it was
	// ordered to load before its death isn't put down to it. 60 s when zero.
	SoundAfter time.Duration
}

// Inventory keeps what engines said and which orders were given to them. Use
// NewInventory. Its methods may be called from many goroutines.
type Inventory struct {
	cfg InventoryConfig

	mu      sync.Mutex
	engines map[string]*post
	number  uint64 // of the last order
}

// post is one engine on the board.
type post struct {
	engine   Engine
	order    Order // the last one given, which Engine.Ordered is about
	boot     string
	former   [4]string // boots before it, newest first
	sequence uint64
	heard    time.Time
	died     string // version that was new when the last boot ended, until the next is ready
	broken   string // version that it died of
	brokenAt time.Time
}

// NewInventory returns an empty Inventory.
func NewInventory(cfg InventoryConfig) *Inventory {
	cfg.LostAfter = or(cfg.LostAfter, 45*time.Second)
	cfg.ForgetAfter = or(cfg.ForgetAfter, 10*time.Minute)
	cfg.SoundAfter = or(cfg.SoundAfter, time.Minute)

	return &Inventory{cfg: cfg, engines: map[string]*post{}}
}

// Hear takes a report; one that was overtaken is ignored.
func (b *Inventory) Hear(now time.Time, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()

	p, ok := b.engines[r.VM]
	if !ok {
		p = &post{}
		b.engines[r.VM] = p
	}

	if ok && p.overtaken(r) {
		return
	}

	if ok && r.Boot != p.boot {
		p.rebooted(now, b.cfg.SoundAfter)
	}

	// A report that left before the order came in must not clear it, or the
	// engine would be ordered twice; one that names the order shows its load too.
	ordered := p.engine.Ordered
	if r.Boot != p.boot || (r.Fence == p.order.Fence && r.Accepted >= p.order.Number) {
		ordered = time.Time{}
	}

	p.boot = r.Boot
	p.sequence = r.Sequence
	p.heard = now
	p.engine = Engine{
		VM: r.VM, DataCentre: r.DataCentre, Model: r.Model, Version: r.Version, Adapters: r.Adapters, Role: r.Role,
		State: r.State, Since: now.Add(-r.StateAge), Running: r.Running, FailedVersion: r.FailedVersion, Fence: r.Fence, Ordered: ordered,
	}

	if r.FailedVersion != "" {
		p.engine.FailedAt = now.Add(-r.FailedAge)
	}

	p.judge(now, r)
}

// overtaken reports whether something newer than r was heard.
func (p *post) overtaken(r Report) bool {
	if r.Boot == p.boot {
		return r.Sequence != 0 && r.Sequence <= p.sequence
	}

	return slices.Contains(p.former[:], r.Boot)
}

// rebooted notes that the last boot ended, and the version that was new then.
func (p *post) rebooted(now time.Time, soundAfter time.Duration) {
	copy(p.former[1:], p.former[:])
	p.former[0] = p.boot

	if p.order.Kind != LoadWeights {
		return
	}

	served := p.engine.State == Ready && p.engine.Version == p.order.Version
	if p.engine.State == Loading || (served && now.Sub(p.engine.Since) < soundAfter) {
		p.died = p.order.Version
	}
}

// judge decides what the end of the last boot means. Weights that load and then
// crash the engine report no failed load; without this the roll would take out
// one engine after the other, and the first again and again. An engine that has
// the version still wasn't ended by it: its side process was started anew.
func (p *post) judge(now time.Time, r Report) {
	if p.died != "" && r.State == Ready {
		if r.Version != p.died {
			p.broken, p.brokenAt = p.died, now
		}

		p.died = ""
	}

	if p.broken != "" && p.engine.FailedVersion == "" {
		p.engine.FailedVersion, p.engine.FailedAt = p.broken, p.brokenAt
	}
}

// Ordered records that an order is being sent. Whether it arrives is not known
// until the engine answers for it, so it counts as a load from here on.
func (b *Inventory) Ordered(now time.Time, o Order) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.number = max(b.number, o.Number)

	if p, ok := b.engines[o.VM]; ok && o.Kind != AnnounceFence {
		p.engine.Ordered = now
		p.order = o
	}
}

// Answered records what became of an order. Only a refusal that is certain takes
// it back; a lost answer leaves it counting. An acceptance changes nothing: what
// the engine then does comes with its next report.
func (b *Inventory) Answered(_ time.Time, o Order, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	p, ok := b.engines[o.VM]
	if !ok || err == nil || p.order != o {
		return
	}

	if failure.KindOf(err).Answer().Ran == failure.NotRun {
		p.engine.Ordered = time.Time{}
	}
}

// Forget drops an engine that the VM list dropped.
func (b *Inventory) Forget(vm string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	delete(b.engines, vm)
}

// View returns what Plan looks at, in no order.
func (b *Inventory) View(now time.Time, wanted []Wanted, fence uint64, since time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()

	v := View{Wanted: wanted, Fence: fence, Number: b.number, Since: since, Engines: make([]Engine, 0, len(b.engines))}

	for vm, p := range b.engines {
		silence := now.Sub(p.heard)
		if silence > b.cfg.ForgetAfter {
			delete(b.engines, vm)
			continue
		}

		e := p.engine
		e.Lost = silence > b.cfg.LostAfter
		v.Engines = append(v.Engines, e)
	}

	return v
}
