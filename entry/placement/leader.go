// Package placement manages the model weights of the engines in one data centre.
//
// # Model
//
// The entries of a data centre share one lease. Its holder, the leader, polls the side
// processes of the data centre's engines for their state, compares it with the settings
// (package weights) and sends orders that carry the lease's fencing number. A new
// leader takes over without a handover: it reads all state from the engines, and side
// processes refuse orders with an old fencing number.
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

// A round polls each engine of the data centre once, which takes about 420 bytes on the
// wire for each. Between rollouts rounds are rare: at idleInterval 155 engines cost
// 540 bytes a second.
const (
	activeInterval       = 2 * time.Second
	idleInterval         = 2 * time.Minute
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 16
)

// PeerClient sends single requests to peers. *peer.Dialer implements it.
type PeerClient interface {
	Call(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister returns the platform's current list of VMs. *vm.Follower implements it.
type Lister interface {
	List() *vm.List
}

// Settings returns the published settings in force; Current returns nil before the
// first publication.
type Settings interface {
	Current() *publication.Published
}

// Lease reports the fencing number and whether this process holds the lease at now.
// *lease.Keeper implements it.
type Lease interface {
	Fence(now time.Time) (uint64, bool)
}

// Config configures a Leader.
type Config struct {
	// DataCentre is the data centre whose engines are managed.
	DataCentre string
	// Lease reports whether this process is the leader.
	Lease Lease
	// Peers, VMs and Settings are those of the entry.
	Peers    PeerClient
	VMs      Lister
	Settings Settings
	// Log receives an event for each order and each change of a rollout.
	Log logr.Logger
}

// LeaseName returns the name of a data centre's lease.
func LeaseName(dataCentre string) string { return "placement/" + dataCentre }

// NewKeeper returns the lease keeper of one process, named holder, for a data centre's
// lease.
func NewKeeper(log journal.Log, dataCentre, holder string, l logr.Logger) *lease.Keeper {
	return lease.NewKeeper(lease.Config{
		Log:    log,
		Stream: "leases." + dataCentre, // read only by the entries of this data centre
		Name:   LeaseName(dataCentre),
		Holder: holder,
		Logger: l,
	})
}

// Leader manages the weights of a data centre's engines while this process holds the
// lease. Use New.
type Leader struct {
	cfg        Config
	inventory  *weights.Inventory
	fence      uint64
	fenceSince time.Time

	mu       sync.Mutex
	progress []weights.Progress
}

// New returns a Leader without any state of engines.
func New(cfg Config) *Leader {
	return &Leader{cfg: cfg, inventory: weights.NewInventory(weights.InventoryConfig{})}
}

// Rollout is the progress of one model's rollout, as shown to operators.
type Rollout struct {
	// Model and WeightVersion say what is rolled out.
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	// FellBack says that the wanted version failed and WeightVersion is the fallback.
	FellBack bool `json:"fell_back"`
	// Done, Loading, Left and Ready are numbers of engines: with the version, loading,
	// still to be ordered, and able to serve with any version.
	Done    int `json:"done"`
	Loading int `json:"loading"`
	Left    int `json:"left"`
	Ready   int `json:"ready"`
	// Halt is the reason why the rollout is stopped; "none" when it is not.
	Halt string `json:"halt"`
}

// Rollouts returns the progress of all rollouts; empty while another process leads.
func (l *Leader) Rollouts() []Rollout {
	l.mu.Lock()
	defer l.mu.Unlock()

	all := make([]Rollout, len(l.progress))

	for i, p := range l.progress {
		all[i] = Rollout{
			Model: p.Model, WeightVersion: p.Version, FellBack: p.FellBack,
			Done: p.Done, Loading: p.Loading, Left: p.Left, Ready: p.Ready, Halt: p.Halt.String(),
		}
	}

	return all
}

// Run manages the weights whenever this process holds the lease, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	t := time.NewTimer(activeInterval)
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

// round polls the engines, sends the orders that are due and returns the time until the
// next round.
func (l *Leader) round(ctx context.Context) time.Duration {
	now := time.Now()
	fence, leading := l.cfg.Lease.Fence(now)
	settings := l.cfg.Settings.Current()
	l.updateFence(now, fence, leading)

	if !leading || settings == nil {
		l.setProgress(nil)

		return activeInterval
	}

	engines := l.engines()
	l.pollEngines(ctx, engines)

	wanted := Wanted(settings.Tree(), countByService(engines))
	r := weights.Plan(time.Now(), l.planConfig(settings.Tree()), l.inventory.View(time.Now(), wanted, l.fence, l.fenceSince))
	l.setProgress(r.Progress)

	for _, o := range r.Orders {
		l.sendOrder(ctx, o)
	}

	if idle(r) {
		return idleInterval
	}

	return activeInterval
}

// updateFence records and logs the start and the end of leadership. A fence of zero
// means that this process does not lead.
func (l *Leader) updateFence(now time.Time, fence uint64, leading bool) {
	if !leading {
		fence = 0
	}

	if fence == l.fence {
		return
	}

	l.fence, l.fenceSince = fence, now
	event.Log(l.cfg.Log, event.PlacementLeader, "held", leading, "fence", fence)
}

func (l *Leader) setProgress(p []weights.Progress) {
	l.mu.Lock()
	before := l.progress
	l.progress = p
	l.mu.Unlock()

	for _, now := range p {
		i := slices.IndexFunc(before, func(b weights.Progress) bool { return b.Model == now.Model })
		if i < 0 {
			l.logProgress(weights.Progress{Model: now.Model, Version: now.Version}, now)
		} else if before[i] != now {
			l.logProgress(before[i], now)
		}
	}
}

// logProgress logs how a rollout has changed since the previous round.
func (l *Leader) logProgress(before, now weights.Progress) {
	log, fields := l.cfg.Log, []any{"model", now.Model, "weight_version", now.Version}

	event.Log(log, event.RollProgressed, append(fields, "done", now.Done, "loading", now.Loading, "left", now.Left, "ready", now.Ready, "halt", now.Halt.String())...)

	switch {
	case now.Halt != before.Halt && now.Halt == weights.VersionFailed:
		event.Log(log, event.RollHalted, fields...)
	case now.Halt != before.Halt && now.Halt == weights.Settling:
		event.Log(log, event.LeaderSettling, "fence", l.fence)
	case now.FellBack && !before.FellBack:
		event.Log(log, event.RollFellBack, append(fields, "fallback", now.Version)...)
	case now.Left+now.Loading == 0 && before.Left+before.Loading > 0:
		event.Log(log, event.RollCompleted, fields...)
	}
}

// idle reports whether no engine is loading or has yet to load, and no order is due.
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

// pollEngines polls all engines concurrently and records their reports.
func (l *Leader) pollEngines(ctx context.Context, engines []vm.VM) {
	var wg sync.WaitGroup

	slots := make(chan struct{}, maxConcurrentQueries)

	for _, m := range engines {
		slots <- struct{}{}

		wg.Go(func() {
			l.pollEngine(ctx, m)

			<-slots
		})
	}

	wg.Wait()
}

func (l *Leader) pollEngine(ctx context.Context, m vm.VM) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	response, err := l.cfg.Peers.Call(ctx, sideAddress(m), message.StateRequest{})
	if err != nil {
		return
	}

	s, err := message.Expect[message.State](response)
	if err != nil {
		return
	}

	l.inventory.RecordReport(time.Now(), weights.Report{
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

func sideAddress(m vm.VM) peer.Address { return peer.Address{VM: m.Name, Addr: m.SideAddress} }

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

// sendOrder sends one order. It checks the lease again first: a process that was paused
// after the plan was made must not send it.
func (l *Leader) sendOrder(ctx context.Context, o weights.Order) {
	now := time.Now()

	if fence, leading := l.cfg.Lease.Fence(now); !leading || fence != o.Fence {
		return
	}

	m, ok := l.cfg.VMs.List().Get(o.VM)
	if !ok {
		return
	}

	event.Log(l.cfg.Log, event.WeightsOrdered, "vm", o.VM, "kind", string(o.Kind), "model", o.Model, "weight_version", o.Version,
		"adapter", o.Adapter, "role", o.Role, "fence", o.Fence, "number", o.Number)
	l.inventory.RecordOrder(now, o)

	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()

	response, err := l.cfg.Peers.Call(ctx, sideAddress(m), message.Order{
		Fence:   o.Fence,
		Number:  o.Number,
		Kind:    string(o.Kind),
		Version: o.Version,
		Adapter: o.Adapter,
		Role:    o.Role,
	})
	if err == nil {
		_, err = message.Expect[message.Ack](response)
	}

	l.inventory.RecordReply(time.Now(), o, err)

	if err != nil {
		event.Fail(l.cfg.Log, err, event.WeightsRefused, "vm", o.VM, "kind", string(o.Kind))
	}
}

func (l *Leader) planConfig(t *setting.Tree) weights.Config {
	d, _ := t.DataCentre(l.cfg.DataCentre)

	return weights.Config{MaxLoads: d.ConcurrentLoads}
}

// unavailableDivisor limits how many engines of a service a rollout may take out of
// service at once: one in unavailableDivisor, but at least one.
const unavailableDivisor = 4

// countByService returns the number of engines of each service.
func countByService(engines []vm.VM) map[string]int {
	n := map[string]int{}
	for _, m := range engines {
		n[m.Service]++
	}

	return n
}

// Wanted returns what the settings require of the models in one data centre. engines is
// the number of its engines for each service. The fallback of a rollout that fails is
// the service's own version. Services without a weight version, and those whose rollout
// is paused, are left out.
func Wanted(t *setting.Tree, engines map[string]int) []weights.Wanted {
	var all []weights.Wanted

	for _, s := range t.Services() {
		if s.Kind != setting.EngineService {
			continue
		}

		version, fallback, paused := s.WeightVersion, "", false

		for _, r := range t.WeightRollouts() {
			if r.Service == s.Name {
				version, fallback, paused = r.WeightVersion, s.WeightVersion, r.Paused
			}
		}

		if version == "" || paused {
			continue
		}

		n := engines[s.Name]

		for _, model := range s.Models {
			all = append(all, weights.Wanted{Model: model, Version: version, Fallback: fallback, MinReady: n - max(1, n/unavailableDivisor)})
		}
	}

	return all
}
