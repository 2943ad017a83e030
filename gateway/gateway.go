// Package gateway serves callers whose requests are routed by host and path to
// the targets of a service.
//
// # Model
//
// A request passes these steps: its route and organisation are found in the
// configuration in force; it is read whole, so that it can be sent again;
// a target is chosen; the target's answer is passed on. When an attempt fails,
// one place (mayRepeat) decides whether the request may go to another target: it
// may if it has certainly not run, or if it may run twice, and if the budget of
// repeats, the route's number of attempts and the time left allow it.
//
// Answers that aren't streams are read whole before their first byte goes to the
// caller, so that a broken one can be replaced. Streams are passed on event by
// event; one that breaks off goes on at another target, behind the last whole
// event, where its route allows it. An answer that can't be completed ends with
// a broken connection, so that it doesn't look complete.
//
// A request that is given up gets its final answer at once. The answer says that
// the request has not run only where no byte of it may have reached a target, or
// where each target that it reached said so.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/upstream"
	"boragehub/vault"
)

// Config is what a Gateway works with.
type Config struct {
	// DataCentre is where it runs.
	DataCentre string
	// Dialect translates requests and answers.
	Dialect Dialect
	// Roster are the targets.
	Roster *roster.Roster
	// Pool keeps the connections to targets.
	Pool *upstream.Pool
	// Vaults knows what the stores of contexts keep.
	Vaults *vault.Directory
	// Crashes knows requests that crash targets.
	Crashes *quarantine.Tracker
	// TellCrash tells the other entries what was on a target as it crashed; nil tells
	// nobody.
	TellCrash func(quarantine.Crash)
	// RepeatRatio and RepeatWindow bound repeats to a part of the first attempts;
	// RepeatSlack is how many all entries together may make in a window besides.
	RepeatRatio  float64
	RepeatWindow time.Duration
	RepeatSlack  int
	// VersionWithin is the time after which no request may begin on replaced
	// weights; zero allows it for ever.
	VersionWithin time.Duration
	// SlowStartOverage and SlowStartSlack bound what a cold target may get within any one
	// second: its rate times the one plus the other.
	SlowStartOverage float64
	SlowStartSlack   int
	// HoldUntil is the end of the startup window. Requests that arrive earlier are held until
	// the configuration and the targets are known, but not beyond it. If zero, requests are
	// never held.
	HoldUntil time.Time
	// Meter counts; nil counts nothing.
	Meter Meter
	// Log gets a line for each decision.
	Log logr.Logger
}

// Meter counts what happens to requests.
type Meter interface {
	// Served counts a request, of a kind of route, that got its whole answer.
	Served(kind string, first, total time.Duration, attempts int)
	// Refused counts a request that got an answer of ours.
	Refused(kind, reason string)
	// Failed counts an attempt without a whole answer.
	Failed(outcome string)
}

// Gateway serves callers. Use New; it is an http.Handler.
type Gateway struct {
	cfg     Config
	active  atomic.Int64
	prompts atomic.Int64 // that came since the start

	current  atomic.Pointer[site.Configuration]
	stopping atomic.Bool
	work     *work

	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	sharers  int // entries that share the slack of repeats
	versions map[string][]named
	lastSeen func() time.Time // when the newest versions were surely known
	listed   func() time.Time // since when this process is asked before contexts are freed
	suspects *suspects
	room     *room
	startup  *startupHold
	flights  flights
	fleets   fleets
}

// New returns a Gateway without a configuration. Known tells when the newest
// weight versions were surely known, listed since when this process is registered,
// so that it is asked before contexts are freed; zero for not yet.
func New(cfg Config, known, listed func() time.Time) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		budgets:  make(map[string]*retry.Budget),
		sharers:  leastSharers,
		versions: make(map[string][]named),
		lastSeen: known,
		listed:   listed,
		suspects: newSuspects(cfg.Crashes, cfg.TellCrash, cfg.Log),
		room:     newRoom(),
		work:     newWork(),
	}
	g.startup = newStartupHold(cfg.HoldUntil, func() bool { return g.Ready() || g.stopping.Load() })

	return g
}

// Configure puts a configuration in force. One that is older than that in force
// is ignored.
func (g *Gateway) Configure(c *site.Configuration) {
	for {
		old := g.current.Load()
		if old != nil && old.Version() >= c.Version() {
			return
		}

		if g.current.CompareAndSwap(old, c) {
			return
		}
	}
}

// Configured reports whether a configuration is in force.
func (g *Gateway) Configured() bool { return g.current.Load() != nil }

// HasEngines reports whether a service is one of model engines.
func (g *Gateway) HasEngines(service string) bool {
	c := g.current.Load()
	if c == nil {
		return false
	}

	s, ok := c.Service(service)

	return ok && s.Engines != nil
}

// Prompts returns how many prompts came since the start.
func (g *Gateway) Prompts() int64 { return g.prompts.Load() }

// SlowStart returns what a service's targets bear while they are cold.
func (g *Gateway) SlowStart(service string) slowstart.Limit {
	c := g.current.Load()
	if c == nil {
		return slowstart.Limit{}
	}

	s, ok := c.Service(service)
	if !ok {
		return slowstart.Limit{}
	}

	return slowstart.NewLimit(s.SlowStart.Duration, s.SlowStart.PerSecond, g.cfg.SlowStartOverage, g.cfg.SlowStartSlack)
}

// Serves reports whether operators named a service. Before a configuration is known
// each may be one.
func (g *Gateway) Serves(service string) bool {
	c := g.current.Load()
	if c == nil {
		return true
	}

	_, ok := c.Service(service)

	return ok
}

// Restarted takes that a target was started anew under its id: what waits for an answer
// of its last start gets none.
func (g *Gateway) Restarted(id string) {
	if n := g.flights.abandon(id, errRestarted); n > 0 {
		event.Log(g.cfg.Log, event.AttemptsLost, "target", id, "attempts", n)
	}
}

// ConfigVersion returns the version of the configuration in force, zero for none.
func (g *Gateway) ConfigVersion() int64 {
	if c := g.current.Load(); c != nil {
		return c.Version()
	}

	return 0
}

// Ready reports whether callers should come here.
func (g *Gateway) Ready() bool {
	return g.Configured() && !g.stopping.Load() && g.cfg.Roster.Len() > 0
}

// Tick gives up what waits for targets from which nothing is to be expected, or for
// weights that it may no longer begin on. Call it four times a second.
func (g *Gateway) Tick(now time.Time) {
	due := func(model string) int64 { return g.overdue(now, model) }
	if n := g.flights.takeBack(due); n > 0 {
		event.Log(g.cfg.Log, event.AttemptsOverdue, "attempts", n)
	}

	for _, id := range g.cfg.Roster.Silent() {
		if n := g.flights.abandon(id, errSilent); n > 0 {
			event.Log(g.cfg.Log, event.TargetSilent, "target", id, "attempts", n)
		}
	}
}

// Heard takes what another entry tells of a target's crash.
func (g *Gateway) Heard(now time.Time, c quarantine.Crash) { g.suspects.heard(now, c) }

// TokensPerMs returns how fast the fastest engines are known to read prompts, zero while
// not known.
func (g *Gateway) TokensPerMs() float64 { return g.fleets.tokensPerMs() }

// Active returns how many requests are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)

	now := time.Now()
	t := &task{g: g, w: w, r: r, began: now}

	if len(r.TransferEncoding) > 0 {
		// A chunked request that names a length too may hide a second request
		// behind its end. Closing the connection after the answer leaves what
		// follows unread.
		w.Header().Set("Connection", "close")
	}

	g.startup.wait(r.Context(), now)

	if err := t.accept(now); err != nil {
		t.refuse(err)

		return
	}

	defer func() { g.work.done(time.Now(), t) }()

	if t.arrival.Prompt != nil {
		g.prompts.Add(1)
	}

	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()

	t.run(ctx)
}

// notReady is the answer while there is no configuration.
func notReady() error {
	return failure.New(failure.NotReady, "no configuration is known yet").After(time.Second)
}
