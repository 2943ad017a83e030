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
	"boragehub/route"
	"boragehub/site"
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
	// Opening says what running prompts costs.
	Opening route.OpeningConfig
	// RepeatRatio and RepeatWindow bound repeats to a part of the first attempts;
	// RepeatSlack is how many all entries together may make in a window besides.
	RepeatRatio  float64
	RepeatWindow time.Duration
	RepeatSlack  int
	// VersionWithin is the time after which no request may begin on replaced
	// weights; zero allows it for ever.
	VersionWithin time.Duration
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
	cfg    Config
	active atomic.Int64

	current  atomic.Pointer[site.Configuration]
	stopping atomic.Bool

	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	sharers  int // entries that share the slack of repeats
	versions map[string][]named
	lastSeen func() time.Time // when the newest versions were surely known
	listed   func() time.Time // since when this process is asked before contexts are freed
	suspects *suspects
	room     *room
	flights  flights
	reading  reading
}

// named is a weight version that operators named.
type named struct {
	version int64
	// at is when this process learned of it.
	at time.Time
	// before is the last time at which the versions before it were surely the newest.
	before time.Time
}

// versionGrace is how long after a weight version was named answers on the one
// before are as good: operators allow 1.5 s, and a request takes a while.
const versionGrace = 1200 * time.Millisecond

// Margins before the time within which an engine with replaced weights may begin
// requests. One that begins on them later breaks what operators were promised.
const (
	// versionMargin is how long before it such an engine gets no more requests. They
	// wait for their turn there, in bad times for more than a second; the last engines
	// are loading by then anyway.
	versionMargin = 1500 * time.Millisecond
	// overdueMargin is how long before it what still waits there is taken back. It is
	// looked for four times a second.
	overdueMargin = 400 * time.Millisecond
)

// maxNamed bounds the versions remembered of a model.
const maxNamed = 8

// New returns a Gateway without a configuration. Known tells when the newest
// weight versions were surely known, listed since when this process is registered,
// so that it is asked before contexts are freed; zero for not yet.
func New(cfg Config, known, listed func() time.Time) *Gateway {
	return &Gateway{
		cfg:      cfg,
		budgets:  make(map[string]*retry.Budget),
		sharers:  leastSharers,
		versions: make(map[string][]named),
		lastSeen: known,
		listed:   listed,
		suspects: newSuspects(cfg.Crashes, cfg.TellCrash, cfg.Log),
		room:     newRoom(),
	}
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

// startGrace is how long after a start a version that was named before counts as
// allowed to be missing. Nobody knows when it was named: taken for just named, an
// engine with replaced weights would get requests for as long again.
const startGrace = 3900 * time.Millisecond

// Named takes that operators named a weight version. Before is the last time at
// which the one before was surely the newest, zero for a version that was there when
// this process started.
func (g *Gateway) Named(now time.Time, model string, version int64, before time.Time) {
	if before.IsZero() {
		now = now.Add(min(startGrace-g.cfg.VersionWithin, 0))
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	if n := len(all); n > 0 && all[n-1].version >= version {
		return
	}

	all = append(all, named{version, now, before})
	g.versions[model] = all[max(0, len(all)-maxNamed):]
}

// newest returns the version of a model that operators named last, zero for none.
func (g *Gateway) newest(model string) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	if all := g.versions[model]; len(all) > 0 {
		return all[len(all)-1].version
	}

	return 0
}

// namedFor returns the newest version of a model that was named at least so long
// ago, zero for none.
func (g *Gateway) namedFor(now time.Time, model string, ago time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	all := g.versions[model]
	for i := len(all) - 1; i >= 0; i-- {
		if now.Sub(all[i].at) >= ago {
			return all[i].version
		}
	}

	return 0
}

// overdue returns the version of a model below which nothing may begin any more.
func (g *Gateway) overdue(now time.Time, model string) int64 {
	if g.cfg.VersionWithin <= 0 {
		return 0
	}

	return g.namedFor(now, model, g.cfg.VersionWithin-overdueMargin)
}

// required returns the version of a model below which an engine gets no requests.
func (g *Gateway) required(now time.Time, model string) int64 {
	if g.cfg.VersionWithin <= 0 {
		return 0
	}

	return g.namedFor(now, model, g.cfg.VersionWithin-versionMargin)
}

// mayFetch reports whether a part that was made under a version of a model may be
// fetched from a store.
func (g *Gateway) mayFetch(now time.Time, p vault.Part, model string, version int64) bool {
	current, newest := g.currentUntil(model, version)

	// Whoever reads the register after a newer version was named finds this process
	// there only if it stood there when this process last saw none.
	since := g.listed()
	asked := newest && !since.IsZero() && current.After(since)

	return p.Right(now, current, asked)
}

// currentUntil returns the last time at which a version was surely the newest of
// its model, and whether it still is as far as this process knows.
func (g *Gateway) currentUntil(model string, version int64) (current time.Time, newest bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, n := range g.versions[model] {
		if n.version > version {
			return n.before, false
		}
	}

	return g.lastSeen(), true
}

// HasEngines reports whether a service is one of model engines.
func (g *Gateway) HasEngines(service string) bool {
	c := g.current.Load()
	if c == nil {
		return false
	}

	s, ok := c.Service(service)

	return ok && s.Engines != nil
}

// ConfigVersion returns the version of the configuration in force, zero for none.
func (g *Gateway) ConfigVersion() int64 {
	if c := g.current.Load(); c != nil {
		return c.Version()
	}

	return 0
}

// Stop makes the gateway not ready: answers close their connections from now on.
func (g *Gateway) Stop() { g.stopping.Store(true) }

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
		if n := g.flights.abandon(id); n > 0 {
			event.Log(g.cfg.Log, event.TargetSilent, "target", id, "attempts", n)
		}
	}
}

// Heard takes what another entry tells of a target's crash.
func (g *Gateway) Heard(now time.Time, c quarantine.Crash) { g.suspects.heard(now, c) }

// Active returns how many requests are being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// budget returns the budget of repeats of a service.
func (g *Gateway) budget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()

	b, ok := g.budgets[service]
	if !ok {
		b = retry.NewBudget(retry.BudgetConfig{Ratio: g.cfg.RepeatRatio, Window: g.cfg.RepeatWindow, Floor: g.slack()})
		g.budgets[service] = b
	}

	return b
}

const (
	// leastSharers is how many entries are taken to share the slack of repeats at
	// least: one that has just started knows no other yet.
	leastSharers = 8
	// slackShare is the part of the slack that is given out: an entry that nobody
	// has heard of yet takes its part too.
	slackShare = 0.75
)

// slack returns this process's part of the slack of repeats. The caller holds mu.
func (g *Gateway) slack() int {
	return max(int(slackShare*float64(g.cfg.RepeatSlack))/g.sharers, 1)
}

// SetSharers sets how many entries there are, this one included.
func (g *Gateway) SetSharers(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	n = max(n, leastSharers)
	if n == g.sharers {
		return
	}

	g.sharers = n
	for _, b := range g.budgets {
		b.SetFloor(g.slack())
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)

	now := time.Now()
	t := &task{g: g, w: w, r: r, began: now}

	if g.stopping.Load() || len(r.TransferEncoding) > 0 {
		// A chunked request that names a length too may hide a second request
		// behind its end. Closing the connection after the answer leaves what
		// follows unread.
		w.Header().Set("Connection", "close")
	}

	if err := t.accept(now); err != nil {
		t.refuse(err)

		return
	}

	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()

	t.run(ctx)
}

// notReady is the answer while there is no configuration.
func notReady() error {
	return failure.New(failure.NotReady, "no configuration is known yet").After(time.Second)
}
