// Package entry accepts callers' requests and is responsible for their outcome.
//
// # Model
//
// A request is authenticated, which gives its organisation, and gets the settings
// that apply to its site, service, organisation and workload. It passes admission
// control (package limit) and the quarantine check for requests that crash targets
// (package quarantine), is routed to a target (package route) and runs there through
// the target's side process. When a target is lost during a prompt, the prompt is
// resumed at another target after the last token delivered, so the caller gets the
// complete response exactly once.
//
// # Background tasks
//
//	pollTargets    polls side processes for the state of their targets, at a limited rate
//	sendUpdates    reports to directory owners which contexts engines hold
//
// Every entry also owns a part of the context directory, which records the engines
// and stores that hold each context. The directory is soft state that is rebuilt
// during operation; its loss causes recomputation but never a wrong response.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/backpressure"
	"boragehub/directory"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/once"
	"boragehub/operator"
	"boragehub/organisation"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/ring"
	"boragehub/setting"
	"boragehub/setting/exchange"
	"boragehub/setting/publication"
	"boragehub/target"
	"boragehub/vm"
)

// Settings returns the published settings in force; Current returns nil before the
// first publication. *publication.Follower implements it.
type Settings interface {
	exchange.SettingsReplica
	Current() *publication.Published
}

// PeerClient opens streams to peers (Open) and sends single requests to them (Call).
// *peer.Dialer implements it.
type PeerClient interface {
	Open(ctx context.Context, a peer.Address) (*peer.Stream, error)
	Call(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister returns the platform's current list of VMs. *vm.Follower implements it.
type Lister interface {
	List() *vm.List
}

// Config configures an Entry.
type Config struct {
	// VM, DataCentre and Site say where the entry runs.
	VM         string
	DataCentre string
	Site       string
	// MaxRequests is the maximum number of requests in flight; zero means no limit.
	MaxRequests int
	// Settings returns the settings in force.
	Settings Settings
	// Peers connects to side processes and other entries.
	Peers PeerClient
	// VMs lists the targets, stores and entries.
	VMs Lister
	// ReportCrash writes a crash report to the shared log; nil drops it.
	ReportCrash func(quarantine.Crash)
	// Views are documents for operators in addition to the entry's own.
	Views []operator.View
	// Log receives an event for each decision.
	Log logr.Logger
	// Seed seeds the random choices, such as those between equal targets, so that
	// they are reproducible; zero uses a random seed.
	Seed uint64
}

// updateQueueSize is the maximum number of directory updates waiting to be sent.
const updateQueueSize = 1024

// Entry is one entry process. Use New.
type Entry struct {
	cfg          Config
	targets      *target.Table
	gates        *gates
	crashes      *quarantine.Tracker
	budgets      *retryBudgets
	updates      *ring.Queue[directoryUpdate]
	policy       atomic.Pointer[policy]
	metrics      *metrics
	owned        *ownedContexts
	engines      engineTable
	shardOwners  *shardOwners
	links        *linkTable
	serviceTimes *serviceTimes
	directClient *http.Client // for targets without a side process
	active       atomic.Int64
	draining     atomic.Bool
	ended        context.Context // ends with EndRequests
	endRequests  context.CancelFunc
	polledAll    atomic.Bool       // pollTargets has polled all targets once
	connected    map[string]string // by entry, the address that pollTargets connected to

	rngMu sync.Mutex
	rng   *rand.Rand
}

// policy is one version of the settings with the register derived from it.
type policy struct {
	version  uint64
	tree     *setting.Tree
	register *organisation.KeyRegistry
}

// New returns an Entry without settings or known targets.
func New(cfg Config) *Entry {
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}

	e := &Entry{
		cfg:          cfg,
		targets:      target.NewTable(target.TableConfig{Self: cfg.VM, DataCentre: cfg.DataCentre}),
		gates:        newGates(cfg.Seed),
		crashes:      quarantine.NewTracker(quarantine.TrackerConfig{}),
		budgets:      newRetryBudgets(),
		updates:      ring.New[directoryUpdate](updateQueueSize),
		metrics:      newMetrics(),
		owned:        newOwnedContexts(directory.Config{}),
		engines:      engineTable{byVM: map[string]engineInfo{}},
		shardOwners:  newShardOwners(),
		connected:    map[string]string{},
		links:        newLinkTable(),
		serviceTimes: newServiceTimes(),
		directClient: once.NewClient(),
		rng:          rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
	}
	e.ended, e.endRequests = context.WithCancel(context.Background())
	e.directClient.Transport = backpressure.Transport{Base: e.directClient.Transport, Observe: e.observeDirectSignals}
	e.cfg.Views = append(e.ownViews(), cfg.Views...)

	return e
}

// Run runs the background tasks until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	var wg sync.WaitGroup

	for _, task := range []func(context.Context){e.pollTargets, e.sendUpdates} {
		wg.Go(func() { task(ctx) })
	}

	wg.Wait()
}

// Ready reports whether callers can be served: settings are in force, the platform's
// VM list is known, the targets in it were polled once and no drain has started.
func (e *Entry) Ready() bool {
	return !e.draining.Load() && e.policy.Load() != nil && e.polledAll.Load()
}

// StartDrain starts the drain before a planned stop: /readyz fails from now on, so that
// the platform's load balancer sends no new callers. Requests that still arrive are
// served.
func (e *Entry) StartDrain() { e.draining.Store(true) }

// errStopped is the error of a request that outlasts a planned stop.
var errStopped = failure.New(failure.TargetLost, "this entry stops, and the request has not been answered")

// EndRequests ends a planned stop: requests in flight get an error response, which says whether they may have run, in
// place of a broken connection. Call it just before the connections are closed.
func (e *Entry) EndRequests() { e.endRequests() }

// untilEnded returns a context of a request that ends with EndRequests, with errStopped as its cause. The returned
// function releases it.
func (e *Entry) untilEnded(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(e.ended, func() { cancel(errStopped) })

	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Active returns the number of requests in flight.
func (e *Entry) Active() int64 { return e.active.Load() }

// OnList applies a new list of VMs.
func (e *Entry) OnList(now time.Time, l *vm.List) {
	listed := make([]target.Listed, 0, len(l.All()))
	entries := 0

	for _, m := range l.All() {
		if m.Kind == vm.Entry {
			entries++
		}

		listed = append(listed, target.Listed{
			VM:          m.Name,
			DataCentre:  m.DataCentre,
			Kind:        m.Kind.String(),
			Service:     m.Service,
			Address:     m.Address,
			SideAddress: m.SideAddress,
			State:       m.State.String(),
		})
	}

	e.logChanges(e.targets.ObserveList(now, listed))
	e.gates.setEntries(now, max(entries, 1))
}

// OnSettings applies a new version of the settings.
func (e *Entry) OnSettings(now time.Time, p *publication.Published) {
	drained := make([]string, 0, len(p.Tree().Drains()))
	for _, d := range p.Tree().Drains() {
		drained = append(drained, d.Target)
	}

	evacuated := make([]string, 0, len(p.Tree().Evacuations()))
	for _, v := range p.Tree().Evacuations() {
		evacuated = append(evacuated, v.DataCentre)
	}

	e.targets.ObserveDrained(now, drained, evacuated)
	e.links.configure(p.Tree().Links())

	// Crashes are counted for the entry as a whole, so the site's values apply and
	// not those of a workload.
	v := p.Tree().Effective(setting.Path{Site: e.cfg.Site})
	e.crashes.Configure(quarantine.TrackerConfig{CrashLimit: v.QuarantineCrashes, Retention: v.QuarantineMemory})
	e.policy.Store(&policy{version: p.Version(), tree: p.Tree(), register: organisation.NewKeyRegistry(p.Tree())})
	event.Log(e.cfg.Log, event.PolicyChanged, "version", p.Version(), "author", p.Author())
}

// logChanges logs changes in the status of targets.
func (e *Entry) logChanges(changes []target.Change) {
	for _, c := range changes {
		if c.Until.IsZero() {
			event.Log(e.cfg.Log, event.TargetChanged, "vm", c.VM, "reason", c.Reason.String())
		} else {
			event.Log(e.cfg.Log, event.TargetChanged, "vm", c.VM, "reason", c.Reason.String(), "until", c.Until)
		}
	}
}

// nextSeed returns a random seed for one request.
func (e *Entry) nextSeed() uint64 {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()

	return e.rng.Uint64()
}
