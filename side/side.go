// Package side implements the side process, which runs beside each target. It
// admits the requests for the target and reports the target's state and crashes.
//
// # Model
//
// Entries route by state that may be out of date. The side process decides with
// the target's own state: it admits or refuses requests, checks that the target
// has loaded the weight version that a run requires, tracks the engine's cache
// by its events, verifies every copy before it is imported, and reports a crash
// of the target to the entries with the requests that were running.
//
// # Goroutines
//
// Each of these loops runs in its own goroutine; they pass work on through ring
// buffers:
//
//	pollTarget      polls the target's state and detects a new boot
//	followEvents    applies the engine's cache events
//	exportContexts  exports contexts and writes them to stores as sealed copies
//	deliverReports  reports copies and crashes to entries
//
// Handle serves the streams that peers open, each in its own goroutine.
package side

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/backpressure"
	"boragehub/claim"
	"boragehub/engine"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/once"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/ring"
	"boragehub/setting/exchange"
	"boragehub/store"
	"boragehub/upstream"
	"boragehub/vm"
)

// Capacities of the ring buffers between the loops, in items.
const (
	parkQueueSize   = 64
	reportQueueSize = 256
)

// entryRole is the role that a peer's certificate must have to send work.
const entryRole = "entry"

// Claims records the runs of non-idempotent calls; see package claim.
type Claims interface {
	Claim(ctx context.Context, now time.Time, q claim.Request) (claim.Ticket, error)
	Complete(ctx context.Context, t claim.Ticket, o claim.Outcome) error
	Withdraw(ctx context.Context, t claim.Ticket) error
	MarkUnknown(ctx context.Context, t claim.Ticket) error
	// OwnedShards returns the numbers of the shards that this process owns.
	OwnedShards() []int
}

// Opener sends requests to peers; *peer.Dialer implements it.
type Opener interface {
	Call(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister returns the platform's list of VMs; *vm.Follower implements it.
type Lister interface {
	List() *vm.List
}

// Config configures a side process and its target.
type Config struct {
	// VM and DataCentre are the names of the VM and data centre that it runs in.
	VM         string
	DataCentre string
	// Service is the name of the service that the target provides.
	Service string
	// Plain is true if the target is a plain service and not an engine.
	Plain bool
	// Address is the target's IP and port.
	Address string
	// MaxWaiting is the maximum number of requests admitted beyond those that the
	// target runs concurrently; zero means DefaultMaxWaiting.
	MaxWaiting int
	// FirstTokenTimeout is the maximum time until the first token of a run, and
	// TokenTimeout between two tokens; zero means DefaultFirstTokenTimeout and
	// DefaultTokenTimeout.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
	// DrainTimeout is the maximum time that Drain waits for requests in flight.
	DrainTimeout time.Duration
	// Settings answers other processes' requests for settings.
	Settings exchange.SettingsReplica
	// Claims records non-idempotent calls; if nil, such calls are refused.
	Claims Claims
	// PostCrash appends a crash to the log; nil means that crashes are not logged.
	PostCrash func(quarantine.Crash)
	// Peers sends reports to entries.
	Peers Opener
	// VMs lists the entries and stores.
	VMs Lister
	// Views are the documents that operators can query.
	Views []operator.View
	// Log receives one line for each decision.
	Log logr.Logger
}

// Defaults of Config. The first token may take long because the prompt waits in
// the queue and is prefilled first; later tokens arrive every few hundredths of
// a second.
const (
	DefaultMaxWaiting        = 64
	DefaultFirstTokenTimeout = time.Minute
	DefaultTokenTimeout      = 3 * time.Second
)

// Side is a side process. Create it with New.
type Side struct {
	cfg       Config
	engine    engine.Client
	runEngine engine.Client // the same engine, with a connection for each run
	plainHTTP *http.Client
	storeHTTP *http.Client
	spaceHTTP *http.Client
	target    *targetState
	cache     *cacheIndex
	parkJobs  *ring.Queue[parkJob]
	reports   *ring.Queue[report]
	parked    *parkedContexts
	isolation quarantine.Isolation
	orders    orderState

	orderMu sync.Mutex // one order at a time reaches the engine
}

// storeTimeout bounds the transfer of one copy, spaceTimeout a query for a store's
// free space.
const (
	storeTimeout = 30 * time.Second
	spaceTimeout = time.Second
)

// maxIdleEngineConns is the maximum number of idle connections to the engine.
const maxIdleEngineConns = 256

// New returns a Side that has not contacted its target yet.
func New(cfg Config) *Side {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}

	if cfg.FirstTokenTimeout <= 0 {
		cfg.FirstTokenTimeout = DefaultFirstTokenTimeout
	}

	if cfg.TokenTimeout <= 0 {
		cfg.TokenTimeout = DefaultTokenTimeout
	}

	s := &Side{
		cfg:       cfg,
		engine:    engine.Client{Address: cfg.Address, HTTP: &http.Client{Transport: upstream.NewTransport(upstream.TransportConfig{MaxIdlePerAddress: maxIdleEngineConns})}},
		runEngine: engine.Client{Address: cfg.Address, HTTP: once.NewClient()},
		plainHTTP: once.NewClient(),
		storeHTTP: store.NewHTTP(storeTimeout),
		spaceHTTP: store.NewHTTP(spaceTimeout),
		target:    newTargetState(cfg.MaxWaiting),
		cache:     newCacheIndex(),
		parkJobs:  ring.New[parkJob](parkQueueSize),
		reports:   ring.New[report](reportQueueSize),
		parked:    newParkedContexts(),
	}

	for _, c := range []*http.Client{s.engine.HTTP, s.runEngine.HTTP, s.plainHTTP} {
		c.Transport = backpressure.Transport{Base: c.Transport, Observe: s.observeSignals}
	}

	return s
}

// observeSignals records what the target asked for in a response to any request.
func (s *Side) observeSignals(now time.Time, _ string, signals backpressure.Signals) {
	if s.target.observeSignals(now, signals) {
		event.Log(s.cfg.Log, event.TargetSignals, "rate_limit", signals.RateLimit, "leaving", signals.Leaving, "retry_after_ms", signals.RetryAfter.Milliseconds())
	}
}

// Run runs the background loops until ctx ends.
func (s *Side) Run(ctx context.Context) {
	loops := []func(context.Context){s.pollTarget, s.deliverReports}
	if !s.cfg.Plain {
		loops = append(loops, s.followEvents, s.exportContexts)
	}

	var all sync.WaitGroup

	for _, loop := range loops {
		all.Go(func() { loop(ctx) })
	}

	all.Wait()
}

// Ready reports whether new requests are admitted.
func (s *Side) Ready() bool { return s.target.ready() }

// Drain refuses new requests at once and waits until none is in flight, the
// drain timeout elapses or ctx ends.
func (s *Side) Drain(ctx context.Context) {
	event.Log(s.cfg.Log, event.DrainBegan, "running", s.target.activeCount())
	s.target.startDrain()

	ctx, cancel := context.WithTimeout(ctx, s.cfg.DrainTimeout)
	defer cancel()

	s.target.waitIdle(ctx)
	event.Log(s.cfg.Log, event.DrainEnded, "running", s.target.activeCount())
}

// Handle answers the message on a stream that a peer opened.
func (s *Side) Handle(ctx context.Context, from peer.Identity, t *peer.Stream) {
	m, err := t.Receive()
	if err != nil {
		return
	}

	if isEntryOnly(m) && from.Role != entryRole {
		peer.Refuse(t, failure.New(failure.Forbidden, "role %q may not send work", from.Role))

		return
	}

	// The request is cancelled with the stream: once the entry has cancelled or
	// disconnected, the response has no receiver.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(t.Context(), cancel) //nolint:contextcheck // the stream's context ends when the peer closes it
	defer stop()

	switch m := m.(type) {
	case message.StateRequest:
		err = t.Send(s.stateMessage(time.Now()))
	case message.Run:
		err = s.handleRun(ctx, t, m)
	case message.Call:
		err = s.handleCall(ctx, t, m)
	case message.Order:
		err = s.handleOrder(ctx, t, m)
	default:
		answers := operator.Responder{Settings: s.cfg.Settings, Views: s.cfg.Views}
		err = t.Send(answers.Respond(time.Now(), from, m))
	}

	if err != nil {
		peer.Refuse(t, err)
	}
}

// isEntryOnly reports whether m is work, which only an entry may send.
func isEntryOnly(m message.Message) bool {
	switch m.(type) {
	case message.Run, message.Call, message.Order:
		return true
	default:
		return false
	}
}

// stateMessage returns the current state of the target, as sent to entries.
func (s *Side) stateMessage(now time.Time) message.State {
	st := s.target.stateMessage(now)
	st.VM = s.cfg.VM
	st.Service = s.cfg.Service

	s.orders.fillState(now, &st)

	if s.cfg.Claims != nil {
		st.OwnedShards = s.cfg.Claims.OwnedShards()
	}

	return st
}
