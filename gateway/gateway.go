// Package gateway serves callers whose requests are routed by host and path to
// the targets of a service.
//
// # Model
//
// A request passes these steps: its route and organisation are looked up in the
// configuration in force; its body is read completely, so that it can be sent again;
// a target is chosen; the target's response is forwarded. When an attempt fails,
// one function (mayRetry) decides whether the request may go to another target: it
// may if it has certainly not run, or if it may run twice, and if the retry budget,
// the route's number of attempts and the time left allow it.
//
// Responses that aren't streams are read completely before their first byte goes to the
// caller, so that a broken one can be replaced. Streams are forwarded event by
// event; a broken one continues at another target, after the last complete event,
// where its route allows it. A response that can't be completed ends with a broken
// connection, so that it doesn't look complete.
//
// A request that is given up gets its final response at once. The response says that
// the request has not run only if no byte of it may have reached a target, or if each
// target that it reached said so.
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
	"boragehub/intake"
	"boragehub/mirror"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/roster"
	"boragehub/site"
	"boragehub/slowstart"
	"boragehub/upstream"
	"boragehub/vault"
)

// Config configures a Gateway.
type Config struct {
	// DataCentre is the data centre that the gateway runs in.
	DataCentre string
	// Dialect parses requests and responses, and writes the headers sent to targets.
	Dialect Dialect
	// Roster holds the targets.
	Roster *roster.Roster
	// Pool holds the connections to targets.
	Pool *upstream.Pool
	// Vaults holds the contents of the stores of cached prompt parts.
	Vaults *vault.Directory
	// Crashes tracks requests that crash targets.
	Crashes *quarantine.Tracker
	// CrashParts tracks parts of prompts that crash targets. Nil means a new one.
	CrashParts *quarantine.PartTracker
	// ReportCrash reports to the other entries what was on a target when it crashed, and returns the
	// responses there that clear some of its parts. ReportCleared reports responses that cleared requests or
	// parts of them after crashes. Nil reports nothing.
	ReportCrash   func(quarantine.Crash) []quarantine.Acquittal
	ReportCleared func([]quarantine.Acquittal)
	// RequestQuarantined and PartQuarantined are called when a request or a part is quarantined, and must not
	// block; nil skips the call.
	RequestQuarantined func(f quarantine.Fingerprint)
	PartQuarantined    func(part string)
	// ProbeRank returns this entry's rank among those that try a quarantined part again, 0 for the first;
	// nil means that it never does.
	ProbeRank func(part string) int
	// Start is when the process started; zero means now.
	Start time.Time
	// FirstStart is true if the whole system starts for the first time, so that no earlier process
	// has used this one's share of RetrySlack.
	FirstStart bool
	// RetryRatio and RetryWindow limit retries to a fraction of the requests around a
	// window; RetrySlack is the number that all entries together may make beyond it.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  int
	// VersionDeadline is the time after which no request may begin on replaced weights;
	// zero sets no limit.
	VersionDeadline time.Duration
	// SlowStartOverage and SlowStartSlack limit the requests that a cold target may get
	// within any one second: its rate times SlowStartOverage, plus SlowStartSlack.
	SlowStartOverage float64
	SlowStartSlack   int
	// HoldUntil is the end of the startup window. Requests that arrive earlier are held until
	// the configuration and the targets are known, but not beyond it. If zero, requests are
	// never held.
	HoldUntil time.Time
	// UnreadBytes bounds the memory that responses take which callers read slowly or not at all. If
	// zero, there is no bound, and a stream whose caller doesn't read isn't read either.
	UnreadBytes int
	// ResponseBytes bounds the memory that long responses take until they have ended; 64 MiB when zero.
	ResponseBytes int64
	// Claims claims capacity at the engines of contended services for long prompts; nil means that
	// they are sent without claims.
	Claims Claims
	// Meter counts requests; nil counts nothing.
	Meter Meter
	// Log gets a line for each decision.
	Log logr.Logger
}

// Meter counts the results of requests.
type Meter interface {
	// Served counts a request, by kind of route, that got a complete response.
	Served(kind string, first, total time.Duration, attempts int)
	// Refused counts a request that got an error response from the gateway itself.
	Refused(kind, reason string)
	// Failed counts an attempt without a complete response.
	Failed(outcome string)
	// Claimed counts a claim of capacity at an engine, by outcome.
	Claimed(outcome string)
	// Waiting adds a change to the number of prompts of a rank that wait in an admission queue.
	Waiting(rank, change int)
	// Admitted counts a prompt that left an admission queue after some time to be sent.
	Admitted(waited time.Duration)
	// NotAdmitted counts a prompt that an admission queue refused.
	NotAdmitted(reason string)
}

// Gateway serves callers as an http.Handler. Use New.
type Gateway struct {
	cfg         Config
	active      atomic.Int64
	promptCount atomic.Int64 // prompts received since the start

	current  atomic.Pointer[site.Configuration]
	stopping atomic.Bool
	drain    *drainControl

	mu              sync.Mutex
	retryBudgets    map[string]*retry.Budget
	slackShare      retry.Share
	versions        map[string][]publishedVersion
	versionsKnownAt func() mirror.Moment // when the newest versions were last known for certain
	registeredSince func() time.Time     // since when this process is asked before cached parts are freed
	crashes         *crashDetector
	waitQueue       *waitQueue
	startup         *startupHold
	inFlight        attemptTracker
	profiles        serviceProfiles
	longPrompts     longPrompts

	throttledCallers throttledCallers
	slowReaders      *slowReaders
	responseMemory   *responseMemory
	admission        admissionQueues
}

// New returns a Gateway without a configuration. The function versionsKnownAt returns when the
// newest weight versions were last known for certain; registeredSince returns since when this
// process has been registered, so that it is asked before cached parts are freed. Both return
// a zero time if that isn't so yet.
func New(cfg Config, versionsKnownAt func() mirror.Moment, registeredSince func() time.Time) *Gateway {
	if cfg.Start.IsZero() {
		cfg.Start = time.Now()
	}

	if cfg.CrashParts == nil {
		cfg.CrashParts = quarantine.NewPartTracker(quarantine.PartTrackerConfig{})
	}

	g := &Gateway{
		cfg:             cfg,
		retryBudgets:    make(map[string]*retry.Budget),
		versions:        make(map[string][]publishedVersion),
		versionsKnownAt: versionsKnownAt,
		registeredSince: registeredSince,
		crashes:         newCrashDetector(crashDetectorConfig{Requests: cfg.Crashes, Parts: cfg.CrashParts, Report: cfg.ReportCrash, ReportCleared: cfg.ReportCleared, RequestQuarantined: cfg.RequestQuarantined, PartQuarantined: cfg.PartQuarantined, Log: cfg.Log}),
		waitQueue:       newWaitQueue(),
		slowReaders:     newSlowReaders(cfg.UnreadBytes),
		responseMemory:  newResponseMemory(cfg.ResponseBytes),
		drain:           newDrainControl(),
	}
	g.startup = newStartupHold(cfg.HoldUntil, func() bool { return g.Ready() || g.stopping.Load() })

	return g
}

// Configure puts a configuration in force, unless its version is not newer than the present one's. It
// reports whether it did.
func (g *Gateway) Configure(c *site.Configuration) bool {
	for {
		old := g.current.Load()
		if old != nil && old.Version() >= c.Version() {
			return false
		}

		if g.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Configured reports whether a configuration is in force.
func (g *Gateway) Configured() bool { return g.current.Load() != nil }

// HasEngines reports whether a service consists of model engines.
func (g *Gateway) HasEngines(service string) bool {
	c := g.current.Load()
	if c == nil {
		return false
	}

	s, ok := c.Service(service)

	return ok && s.Engines != nil
}

// PromptCount returns how many prompts were received since the start.
func (g *Gateway) PromptCount() int64 { return g.promptCount.Load() }

// SlowStart returns the limit for a service's targets while they are cold. It is zero for an
// unknown service.
func (g *Gateway) SlowStart(service string) slowstart.Limit {
	c := g.current.Load()
	if c == nil {
		return slowstart.Limit{}
	}

	s, ok := c.Service(service)
	if !ok {
		return slowstart.Limit{}
	}

	return slowstart.NewLimit(s.SlowStart.Duration, s.SlowStart.RequestsPerSecond, g.cfg.SlowStartOverage, g.cfg.SlowStartSlack)
}

// HasService reports whether a service is in the configuration. Without a configuration, it
// returns true for any.
func (g *Gateway) HasService(service string) bool {
	c := g.current.Load()
	if c == nil {
		return true
	}

	_, ok := c.Service(service)

	return ok
}

// TargetRestarted cancels the attempts at a target that was restarted under its id, since requests
// sent to the previous process get no response.
func (g *Gateway) TargetRestarted(id string) {
	if n := g.inFlight.cancel(id, errRestarted); n > 0 {
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

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	return g.Configured() && !g.stopping.Load() && g.cfg.Roster.Len() > 0
}

// Tick cancels attempts at unresponsive targets, and attempts that wait for weights on which they
// may no longer begin. Call it four times a second.
func (g *Gateway) Tick(now time.Time) {
	due := func(model string) int64 { return g.minQueuedVersion(now, model) }
	if n := g.inFlight.cancelOverdue(due); n > 0 {
		event.Log(g.cfg.Log, event.AttemptsOverdue, "attempts", n)
	}

	for _, id := range g.cfg.Roster.Unresponsive() {
		if n := g.inFlight.cancel(id, errUnresponsive); n > 0 {
			event.Log(g.cfg.Log, event.TargetSilent, "target", id, "attempts", n)
		}
	}
}

// TokensPerMs returns how fast the fastest service's engines prefill prompts, zero while unknown.
func (g *Gateway) TokensPerMs() float64 { return g.profiles.tokensPerMs() }

// Active returns the number of requests being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)

	now := time.Now()
	t := &task{g: g, w: w, r: r, account: intake.FromContext(r.Context()), began: now}

	if len(r.TransferEncoding) > 0 {
		// A chunked request that also states a length may hide a second request behind its
		// end. Closing the connection after the response leaves what follows unread.
		w.Header().Set("Connection", "close")
	}

	g.startup.wait(r.Context(), now)

	if err := t.accept(now); err != nil {
		t.refuse(err)

		return
	}

	defer func() { g.drain.remove(time.Now(), t) }()

	if t.arrival.Prompt != nil {
		g.promptCount.Add(1)
	}

	ctx, cancel := context.WithDeadline(r.Context(), t.deadline)
	defer cancel()

	t.run(ctx)
}

// notReady returns the error while there is no configuration.
func notReady() error {
	return failure.New(failure.NotReady, "no configuration has been received yet").WithRetryAfter(time.Second)
}
