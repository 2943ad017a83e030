// Package placement is the duty of the entry that places weights in one data
// centre.
//
// # Model
//
// The entries of a data centre share one lease. Its holder, the leader, asks the
// side processes of the data centre's engines what they have, compares it with
// the settings (package weights) and sends the orders, each with the lease's
// fencing number. Leaders come and go without handing anything over: all that
// counts is read from the engines, and side processes refuse an old fence.
package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/journal"
	"boragehub/journal/lease"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/setting"
	"boragehub/setting/publication"
	"boragehub/vm"
	"boragehub/weights"
)

// Timing of the leader. A round asks each engine of the data centre once, about
// 420 bytes each; between rolls it is slow, so that 155 engines cost 540 bytes a
// second.
const (
	busyEvery  = 2 * time.Second
	idleEvery  = 2 * time.Minute
	askTimeout = 2 * time.Second
	askAtOnce  = 16
)

// Asker opens conversations; *peer.Dialer is one.
type Asker interface {
	Ask(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister knows the platform's list of VMs; *vm.Follower is one.
type Lister interface {
	List() *vm.List
}

// Settings gives the published settings in force, nil before there are any.
type Settings interface {
	Current() *publication.Published
}

// Fence tells whether this process leads, and under which fencing number;
// *lease.Keeper is one.
type Fence interface {
	Fence(now time.Time) (uint64, bool)
}

// Config says where a Leader leads.
type Config struct {
	// DataCentre is the data centre.
	DataCentre string
	// Lease tells whether this process leads.
	Lease Fence
	// Peers, VMs and Settings are the entry's.
	Peers    Asker
	VMs      Lister
	Settings Settings
	// Log gets a line for each order.
	Log logr.Logger
}

// Name returns the lease's name for a data centre.
func Name(dataCentre string) string { return "placement/" + dataCentre }

// NewKeeper returns the keeper of a data centre's lease for one process.
func NewKeeper(log journal.Log, dataCentre, holder string, l logr.Logger) *lease.Keeper {
	return lease.NewKeeper(lease.Config{
		Log:    log,
		Stream: "leases." + dataCentre, // read by the entries of this data centre alone
		Name:   Name(dataCentre),
		Holder: holder,
		Logger: l,
	})
}

// Leader places weights while this process holds the lease. Use New.
type Leader struct {
	cfg       Config
	inventory *weights.Inventory
	fence     uint64
	since     time.Time

	mu       sync.Mutex
	progress []weights.Progress
}

// New returns a Leader.
func New(cfg Config) *Leader {
	return &Leader{cfg: cfg, inventory: weights.NewInventory(weights.InventoryConfig{})}
}

// Roll is how far one model's roll is, as operators see it.
type Roll struct {
	// Model and WeightVersion say what is rolled out.
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	// FellBack says that the wanted version failed and this is the one before.
	FellBack bool `json:"fell_back"`
	// Done, Loading, Left and Ready count engines.
	Done    int `json:"done"`
	Loading int `json:"loading"`
	Left    int `json:"left"`
	Ready   int `json:"ready"`
	// Halt is why nothing goes on, "none" when something does.
	Halt string `json:"halt"`
}

// Rolls returns how far the rolls are; empty while another process leads.
func (l *Leader) Rolls() []Roll {
	l.mu.Lock()
	defer l.mu.Unlock()

	all := make([]Roll, len(l.progress))

	for i, p := range l.progress {
		all[i] = Roll{
			Model: p.Model, WeightVersion: p.Version, FellBack: p.FellBack,
			Done: p.Done, Loading: p.Loading, Left: p.Left, Ready: p.Ready, Halt: p.Halt.String(),
		}
	}

	return all
}

// Run leads whenever this process holds the lease, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	t := time.NewTimer(busyEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}

		t.Reset(l.round(ctx))
	}
}

// round does one round and returns the time until the next.
func (l *Leader) round(ctx context.Context) time.Duration {
	now := time.Now()
	fence, leads := l.cfg.Lease.Fence(now)
	settings := l.cfg.Settings.Current()
	l.note(now, fence, leads)

	if !leads || settings == nil {
		l.report(nil)

		return busyEvery
	}

	engines := l.engines()
	l.hear(ctx, engines)

	wanted := Wanted(settings.Tree(), count(engines))
	r := weights.Plan(time.Now(), l.config(settings.Tree()), l.inventory.View(time.Now(), wanted, l.fence, l.since))
	l.report(r.Progress)

	for _, o := range r.Orders {
		l.send(ctx, o)
	}

	if idle(r) {
		return idleEvery
	}

	return busyEvery
}

// note logs when leading begins or ends.
func (l *Leader) note(now time.Time, fence uint64, leads bool) {
	if !leads {
		fence = 0
	}

	if fence == l.fence {
		return
	}

	l.fence, l.since = fence, now
	event.Log(l.cfg.Log, event.PlacementLeader, "held", leads, "fence", fence)
}

func (l *Leader) report(p []weights.Progress) {
	l.mu.Lock()
	before := l.progress
	l.progress = p
	l.mu.Unlock()

	for _, now := range p {
		i := slices.IndexFunc(before, func(b weights.Progress) bool { return b.Model == now.Model })
		if i < 0 {
			l.tell(weights.Progress{Model: now.Model, Version: now.Version}, now)
		} else if before[i] != now {
			l.tell(before[i], now)
		}
	}
}

// tell logs how a roll has changed since the round before.
func (l *Leader) tell(before, now weights.Progress) {
	log, about := l.cfg.Log, []any{"model", now.Model, "weight_version", now.Version}

	event.Log(log, event.RollProgressed, append(about, "done", now.Done, "loading", now.Loading, "left", now.Left, "ready", now.Ready, "halt", now.Halt.String())...)

	switch {
	case now.Halt != before.Halt && now.Halt == weights.VersionFailed:
		event.Log(log, event.RollHalted, about...)
	case now.Halt != before.Halt && now.Halt == weights.Settling:
		event.Log(log, event.LeaderSettling, "fence", l.fence)
	case now.FellBack && !before.FellBack:
		event.Log(log, event.RollFellBack, append(about, "fallback", now.Version)...)
	case now.Left+now.Loading == 0 && before.Left+before.Loading > 0:
		event.Log(log, event.RollCompleted, about...)
	}
}

// idle reports that nothing is under way or left to do.
func idle(r weights.Result) bool {
	for _, p := range r.Progress {
		if p.Left > 0 || p.Loading > 0 {
			return false
		}
	}

	return len(r.Orders) == 0
}

// engines returns the engines of the data centre that have a side process.
func (l *Leader) engines() []vm.VM {
	var all []vm.VM

	for _, m := range l.cfg.VMs.List().All() {
		if m.Kind == vm.Engine && m.DataCentre == l.cfg.DataCentre && m.SideAddress != "" {
			all = append(all, m)
		}
	}

	return all
}

// hear asks all engines how they are.
func (l *Leader) hear(ctx context.Context, engines []vm.VM) {
	var all sync.WaitGroup

	room := make(chan struct{}, askAtOnce)

	for _, m := range engines {
		room <- struct{}{}

		all.Go(func() {
			l.ask(ctx, m)

			<-room
		})
	}

	all.Wait()
}

func (l *Leader) ask(ctx context.Context, m vm.VM) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	answer, err := l.cfg.Peers.Ask(ctx, sideOf(m), message.Ask{})
	if err != nil {
		return
	}

	s, err := message.Expect[message.State](answer)
	if err != nil {
		return
	}

	l.inventory.Hear(time.Now(), weights.Report{
		VM:            m.Name,
		DataCentre:    m.DataCentre,
		Model:         s.Model,
		Boot:          s.Boot,
		Sequence:      s.Sequence,
		Version:       s.Version,
		Adapters:      s.Adapters,
		Role:          s.Role,
		State:         stateOf(s),
		StateAge:      time.Duration(s.StateAgeMS) * time.Millisecond,
		Running:       s.Load.Running,
		FailedVersion: s.FailedVersion,
		FailedAge:     time.Duration(s.FailedAgeMS) * time.Millisecond,
		Fence:         s.Fence,
		Accepted:      s.Accepted,
	})
}

func sideOf(m vm.VM) peer.Address { return peer.Address{VM: m.Name, Addr: m.SideAddress} }

func stateOf(s message.State) weights.State {
	switch {
	case s.Draining:
		return weights.Leaving
	case s.Loading:
		return weights.Loading
	default:
		return weights.Ready
	}
}

// send gives one order. The lease is looked at once more just before: a process
// that was paused since the plan was made must not send it.
func (l *Leader) send(ctx context.Context, o weights.Order) {
	now := time.Now()

	if fence, leads := l.cfg.Lease.Fence(now); !leads || fence != o.Fence {
		return
	}

	m, ok := l.cfg.VMs.List().Get(o.VM)
	if !ok {
		return
	}

	event.Log(l.cfg.Log, event.WeightsOrdered, "vm", o.VM, "kind", string(o.Kind), "model", o.Model, "weight_version", o.Version,
		"adapter", o.Adapter, "role", o.Role, "fence", o.Fence, "number", o.Number)
	l.inventory.Ordered(now, o)

	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()

	answer, err := l.cfg.Peers.Ask(ctx, sideOf(m), message.Order{
		Fence:   o.Fence,
		Number:  o.Number,
		Kind:    string(o.Kind),
		Version: o.Version,
		Adapter: o.Adapter,
		Role:    o.Role,
	})
	if err == nil {
		_, err = message.Expect[message.Ack](answer)
	}

	l.inventory.Answered(time.Now(), o, err)

	if err != nil {
		event.Fail(l.cfg.Log, err, event.WeightsRefused, "vm", o.VM, "kind", string(o.Kind))
	}
}

func (l *Leader) config(t *setting.Tree) weights.Config {
	d, _ := t.DataCentre(l.cfg.DataCentre)

	return weights.Config{Loads: d.ConcurrentLoads}
}

// spareShare is the part of a data centre's engines that a roll may take out at
// once; one always.
const spareShare = 4

// count returns the number of engines by service.
func count(engines []vm.VM) map[string]int {
	n := map[string]int{}
	for _, m := range engines {
		n[m.Service]++
	}

	return n
}

// Wanted returns what the settings ask of the models of one data centre, whose
// engines are counted by service. A roll that failed goes back to the service's
// own version.
func Wanted(t *setting.Tree, engines map[string]int) []weights.Wanted {
	var all []weights.Wanted

	for _, s := range t.Services() {
		if s.Kind != setting.EngineService {
			continue
		}

		version, fallback, paused := s.WeightVersion, "", false

		for _, r := range t.WeightRolls() {
			if r.Service == s.Name {
				version, fallback, paused = r.WeightVersion, s.WeightVersion, r.Paused
			}
		}

		if version == "" || paused {
			continue
		}

		n := engines[s.Name]

		for _, model := range s.Models {
			all = append(all, weights.Wanted{Model: model, Version: version, Fallback: fallback, MinReady: n - max(1, n/spareShare)})
		}
	}

	return all
}
