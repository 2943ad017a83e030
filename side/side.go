// Package side is the process beside each target: the guard of what the target
// is given and the checkCrash of what it does.
//
// # Model
//
// Entries route by beliefs that are late. The side process is where belief ends:
// it admits or refuses at first hand, checks that the target holds the weight
// version that a run asks for, follows the cache events, verifies every copy
// before the engine gets it, and tells the entries when its target crashed and
// what ran then.
//
// # Duties
//
// Each runs in a goroutine of its own; rings join them:
//
//	watch    asks the target how it is, notices a new boot
//	events   follows the engine's cache events
//	park     exports contexts and seals them in stores
//	report   tells entries of copies and crashes
//
// Conversations from entries come through Handle, each in its own goroutine.
package side

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

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
	"boragehub/vm"
)

// Sizes of the rings between duties.
const (
	parkRing   = 64
	reportRing = 256
)

// entryRole is the role that a peer's certificate must bear to give work.
const entryRole = "entry"

// Claims records the runs of non-idempotent calls; see package claim.
type Claims interface {
	Claim(ctx context.Context, now time.Time, q claim.Request) (claim.Ticket, error)
	Settle(ctx context.Context, t claim.Ticket, o claim.Outcome) error
	Withdraw(ctx context.Context, t claim.Ticket) error
	Lose(ctx context.Context, t claim.Ticket) error
	// Homes returns the shards whose home this process is.
	Homes() []int
}

// Opener opens conversations with peers; *peer.Dialer is one.
type Opener interface {
	Ask(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister knows the platform's list of VMs; *vm.Follower is one.
type Lister interface {
	List() *vm.List
}

// Config says what a side process guards.
type Config struct {
	// VM and DataCentre are where it runs.
	VM         string
	DataCentre string
	// Service is what the target serves.
	Service string
	// Plain says that the target is a plain service and not an engine.
	Plain bool
	// Address is the target's IP and port.
	Address string
	// MaxWaiting is how many requests may be admitted beyond those that the
	// target runs at once; zero is DefaultMaxWaiting.
	MaxWaiting int
	// FirstSilence is how long the engine may be silent before a first token, and
	// TokenSilence between two; zero is DefaultFirstSilence and DefaultTokenSilence.
	FirstSilence time.Duration
	TokenSilence time.Duration
	// DrainTimeout is how long a planned stop waits for what runs.
	DrainTimeout time.Duration
	// Settings are passed on to other processes.
	Settings exchange.Keeper
	// Claims records non-idempotent calls; nil refuses them.
	Claims Claims
	// Post puts a crash into the log; nil does nothing.
	Post func(quarantine.Crash)
	// Peers opens conversations with entries.
	Peers Opener
	// VMs knows the entries and stores.
	VMs Lister
	// Views are documents for operators.
	Views []operator.View
	// Log gets a line for each decision.
	Log logr.Logger
}

// Defaults of Config. A prompt may wait long for its first token, behind others
// and for its own prefill; after it, tokens come every few hundredths of a second.
const (
	DefaultMaxWaiting   = 64
	DefaultFirstSilence = time.Minute
	DefaultTokenSilence = 3 * time.Second
)

// Side is a side process. Use New.
type Side struct {
	cfg       Config
	engine    engine.Client
	runs      engine.Client // the same engine, with a connection for each run
	plain     *http.Client
	stores    *http.Client
	rooming   *http.Client
	guard     *guard
	held      *held
	parks     *ring.Ring[parkJob]
	reports   *ring.Ring[report]
	parked    *parkedSet
	isolation quarantine.Isolation
	orders    orders

	ordering sync.Mutex // one order at a time reaches the engine
}

// storeTimeout bounds the transfer of one copy, roomTimeout the question for a
// store's room.
const (
	storeTimeout = 30 * time.Second
	roomTimeout  = time.Second
)

// engineConnections is how many idle connections to the engine are kept.
const engineConnections = 256

// New returns a Side that has not seen its target yet.
func New(cfg Config) *Side {
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}

	if cfg.FirstSilence <= 0 {
		cfg.FirstSilence = DefaultFirstSilence
	}

	if cfg.TokenSilence <= 0 {
		cfg.TokenSilence = DefaultTokenSilence
	}

	return &Side{
		cfg:     cfg,
		engine:  engine.Client{Address: cfg.Address, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: engineConnections}}},
		runs:    engine.Client{Address: cfg.Address, HTTP: once.NewClient()},
		plain:   once.NewClient(),
		stores:  &http.Client{Timeout: storeTimeout, Transport: &http.Transport{}},
		rooming: &http.Client{Timeout: roomTimeout, Transport: &http.Transport{}},
		guard:   newGuard(cfg.MaxWaiting),
		held:    newHeld(),
		parks:   ring.New[parkJob](parkRing),
		reports: ring.New[report](reportRing),
		parked:  newParkedSet(),
	}
}

// Run does the duties until ctx ends.
func (s *Side) Run(ctx context.Context) {
	duties := []func(context.Context){s.watch, s.report}
	if !s.cfg.Plain {
		duties = append(duties, s.followEvents, s.park)
	}

	var all sync.WaitGroup

	for _, duty := range duties {
		all.Go(func() { duty(ctx) })
	}

	all.Wait()
}

// Ready reports whether new work is taken.
func (s *Side) Ready() bool { return s.guard.ready() }

// Drain refuses new work at once and waits until nothing runs, the drain
// timeout passes or ctx ends.
func (s *Side) Drain(ctx context.Context) {
	event.Log(s.cfg.Log, event.DrainBegan, "running", s.guard.count())
	s.guard.drain()

	ctx, cancel := context.WithTimeout(ctx, s.cfg.DrainTimeout)
	defer cancel()

	s.guard.wait(ctx)
	event.Log(s.cfg.Log, event.DrainEnded, "running", s.guard.count())
}

// Handle answers one conversation of an entry.
func (s *Side) Handle(ctx context.Context, from peer.Identity, t *peer.Stream) {
	m, err := t.Receive()
	if err != nil {
		return
	}

	if givesWork(m) && from.Role != entryRole {
		peer.Refuse(t, failure.New(failure.Forbidden, "role %q gives no work", from.Role))

		return
	}

	// The run ends with the conversation: an entry that cancels or is gone has
	// nobody left to answer.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	stop := context.AfterFunc(t.Context(), cancel) //nolint:contextcheck // the peer's end of it
	defer stop()

	switch m := m.(type) {
	case message.Ask:
		err = t.Send(s.state(time.Now()))
	case message.Run:
		err = s.run(ctx, t, m)
	case message.Call:
		err = s.call(ctx, t, m)
	case message.Order:
		err = s.order(ctx, t, m)
	default:
		answers := operator.Responder{Settings: s.cfg.Settings, Views: s.cfg.Views}
		err = t.Send(answers.Answer(time.Now(), from, m))
	}

	if err != nil {
		peer.Refuse(t, err)
	}
}

// givesWork reports whether only an entry may send m.
func givesWork(m message.Message) bool {
	switch m.(type) {
	case message.Run, message.Call, message.Order:
		return true
	default:
		return false
	}
}

// state describes the target at first hand.
func (s *Side) state(now time.Time) message.State {
	st := s.guard.state(now)
	st.VM = s.cfg.VM
	st.Service = s.cfg.Service

	s.orders.describe(now, &st)

	if s.cfg.Claims != nil {
		st.Homes = s.cfg.Claims.Homes()
	}

	return st
}
