// Package limit decides at one entry whether a request is let in, and tells a
// refused caller when to come again.
//
// # Model
//
// A Gate holds one account for each organisation. A request passes four checks:
// its deadline against the wait that the caller of Admit expects; the class's
// part of the places; when places are short, the organisation's fair share of
// them; and the organisation's rate, which comes last so that only requests that
// are let in use it up. Places are the unit of
// capacity: about one running request each, waiting ones included. A refused
// request is answered at once; nothing waits inside a Gate.
//
// Fair shares are weighted max-min: what an organisation doesn't use goes to
// those that want more. Only places held count, so an organisation that sends
// ten times as much is refused ten times as often and holds no more.
//
// Retry-After is worked out: each refusal takes the next slot of a schedule
// that runs at the rate at which places (or tokens) come free, so callers that
// were refused together come back one after the other.
//
// # Example
//
//	p, err := g.Admit(now, limit.Request{Organisation: "bureau", Class: setting.Urgent, Rate: 50, Burst: 100, Weight: 1})
//	if err != nil {
//		return err // a *failure.Error with RetryAfter
//	}
//	defer func() { g.Release(later, p) }()
package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"boragehub/failure"
	"boragehub/setting"
)

// GateConfig configures a Gate. Zero values get a default.
type GateConfig struct {
	// Seed makes the spread of Retry-After reproducible.
	Seed uint64
	// Places is the capacity at the start; zero means unlimited until SetPlaces.
	Places float64
	// Entries is how many entries share the site's traffic. 1 when zero.
	Entries int
	// Organisations bounds the accounts; more share one. 16384 when zero.
	Organisations int
	// Pressure is the part of a class's places above which shares are enforced.
	// 0.9 when zero: lower ones refuse more at usual load and help the others
	// no more when one organisation sends too much.
	Pressure float64
	// MostAfter bounds Retry-After. 60 s when zero.
	MostAfter time.Duration
	// Remember is how long an idle account is kept. 10 min when zero.
	Remember time.Duration
}

func (c GateConfig) withDefaults() GateConfig {
	c.Entries = max(c.Entries, 1)

	if c.Organisations <= 0 {
		c.Organisations = 16384
	}

	if c.Pressure <= 0 {
		c.Pressure = 0.9
	}

	if c.MostAfter <= 0 {
		c.MostAfter = time.Minute
	}

	if c.Remember <= 0 {
		c.Remember = 10 * time.Minute
	}

	return c
}

// Request is what Admit has to know.
type Request struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Class is the request's priority.
	Class setting.Class
	// Rate is the organisation's requests a second at the site; zero means unlimited.
	Rate float64
	// Burst is how many may come at once; at least 1.
	Burst int
	// Weight is the organisation's weight in fair shares; zero counts as 1.
	Weight float64
	// Cost is how many places the request takes; zero counts as 1.
	Cost float64
	// Deadline is when the first token is no longer of use; zero means never.
	Deadline time.Time
	// Wait is the time until the first token that is expected at the best target.
	Wait time.Duration
}

// Permit is one admitted request. Give it to Release once.
type Permit struct {
	account *account
	cost    float64
}

// Gate lets requests in or refuses them. Use NewGate. Its methods may be called
// from many goroutines.
type Gate struct {
	cfg GateConfig

	mu       sync.Mutex
	rng      *rand.Rand
	places   float64
	entries  int
	used     float64
	accounts map[string]*account
	sweepers []*account // all accounts, for the sweep
	active   []*account // those that hold or wanted places lately
	sweep    int
	overflow *account
	level    float64 // places for each unit of weight
	levelAt  time.Time
	freed    meter
	classes  [classes]schedule
	refusals [refusalKinds]uint64
}

// account is the state of one organisation.
type account struct {
	organisation string
	limiter      *rate.Limiter
	weight       float64
	used         float64
	peak         float64 // of used, fading: what it is taken to want
	peakAt       time.Time
	claim        float64 // what it wanted when the level was last worked out
	active       bool    // is in the gate's list
	seen         time.Time
	rated        schedule
	shared       schedule
}

// NewGate returns a Gate with no accounts.
func NewGate(cfg GateConfig) *Gate {
	cfg = cfg.withDefaults()

	return &Gate{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Organisations))),
		places:   cfg.Places,
		entries:  cfg.Entries,
		accounts: map[string]*account{},
		overflow: &account{organisation: "", weight: 1},
	}
}

// SetPlaces sets the capacity that this entry may use.
func (g *Gate) SetPlaces(_ time.Time, places float64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.places = places
	g.levelAt = time.Time{}
}

// SetEntries sets how many entries share the site's traffic.
func (g *Gate) SetEntries(_ time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.entries = max(n, 1)
}

// Admit lets q in or refuses it with RateLimited, DeadlineHopeless, QueueFull
// or ShareExceeded, each with the time after which to come again.
func (g *Gate) Admit(now time.Time, q Request) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	q.Cost = positive(q.Cost, 1)
	q.Weight = positive(q.Weight, 1)
	a := g.account(now, q)

	if err := g.hopeless(now, q); err != nil {
		return Permit{}, err
	}

	if err := g.crowded(now, a, q); err != nil {
		return Permit{}, err
	}

	if err := g.unfair(now, a, q); err != nil {
		return Permit{}, err
	}

	if err := g.tooFast(now, a, q); err != nil {
		return Permit{}, err
	}

	g.used += q.Cost
	a.used += q.Cost
	g.want(now, a, a.used)

	return Permit{account: a, cost: q.Cost}, nil
}

// Release gives back what p holds.
func (g *Gate) Release(now time.Time, p Permit) {
	if p.account == nil {
		return
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.used = max(g.used-p.cost, 0)
	p.account.used = max(p.account.used-p.cost, 0)
	g.freed.add(now, p.cost)
}

// account returns the organisation's account. Past the bound, organisations
// without one share an account, so that names made up by a caller fill no memory.
func (g *Gate) account(now time.Time, q Request) *account {
	g.sweepSome(now)

	a, ok := g.accounts[q.Organisation]
	if !ok && len(g.accounts) >= g.cfg.Organisations {
		a = g.overflow
	} else if !ok {
		a = &account{organisation: q.Organisation}
		g.accounts[q.Organisation] = a
		g.sweepers = append(g.sweepers, a)
	}

	a.seen = now
	a.weight = q.Weight
	g.configure(now, a, q)

	return a
}

// configure takes over a rate that the settings changed.
func (g *Gate) configure(now time.Time, a *account, q Request) {
	limit, burst := rate.Inf, max(q.Burst, 1)
	if q.Rate > 0 {
		limit = rate.Limit(q.Rate * min(1, slack/float64(g.entries)))
	}

	if a.limiter == nil {
		a.limiter = rate.NewLimiter(limit, burst)
		return
	}

	if a.limiter.Limit() != limit {
		a.limiter.SetLimitAt(now, limit)
	}

	if a.limiter.Burst() != burst {
		a.limiter.SetBurstAt(now, burst)
	}
}

// slack is how much more than its even part of a rate one entry allows,
// because balancers spread callers unevenly.
const slack = 2

// sweepPerCall is how many accounts each call looks at for idle ones.
const sweepPerCall = 2

// sweepSome drops a few idle accounts.
func (g *Gate) sweepSome(now time.Time) {
	for range sweepPerCall {
		if len(g.sweepers) == 0 {
			return
		}

		g.sweep %= len(g.sweepers)

		a := g.sweepers[g.sweep]
		if a.used > 0 || now.Sub(a.seen) < g.cfg.Remember {
			g.sweep++
			continue
		}

		delete(g.accounts, a.organisation)

		last := len(g.sweepers) - 1
		g.sweepers[g.sweep] = g.sweepers[last]
		g.sweepers[last] = nil
		g.sweepers = g.sweepers[:last]
	}
}

// tooFast refuses a request over its organisation's rate.
func (g *Gate) tooFast(now time.Time, a *account, q Request) error {
	if a.limiter.AllowN(now, 1) {
		return nil
	}

	limit := float64(a.limiter.Limit())
	missing := (1 - a.limiter.TokensAt(now)) / limit
	after := a.rated.next(now, seconds(missing), seconds(1/limit))

	return g.refuse(failure.RateLimited, after, "organisation %s is over its rate of requests", q.Organisation)
}

// hopeless refuses a request whose first token would come too late.
func (g *Gate) hopeless(now time.Time, q Request) error {
	if q.Deadline.IsZero() || !now.Add(q.Wait).After(q.Deadline) {
		return nil
	}

	late := now.Add(q.Wait).Sub(q.Deadline)
	after := g.classes[rank(q.Class)].next(now, late, g.period(q.Cost))

	return g.refuse(failure.DeadlineHopeless, after, "the first token is expected in %v, past the deadline", q.Wait.Round(time.Millisecond))
}

// crowded refuses a request when its class's part of the places is taken.
func (g *Gate) crowded(now time.Time, a *account, q Request) error {
	if g.places <= 0 || g.used == 0 || g.used+q.Cost <= g.places*part(q.Class) {
		return nil
	}

	// What was refused counts as wanted: otherwise an organisation that filled
	// all places while it was alone would win each one that comes free.
	g.want(now, a, a.used+q.Cost)

	over := g.used + q.Cost - g.places*part(q.Class)
	after := g.classes[rank(q.Class)].next(now, g.period(over), g.period(q.Cost))

	return g.refuse(failure.QueueFull, after, "no place is free")
}

// unfair refuses a request of an organisation that holds its share while
// places are short.
func (g *Gate) unfair(now time.Time, a *account, q Request) error {
	// Shares are of the class's own part of the places: of all places, a flood
	// of background requests would fill that part before it reached its share.
	room := g.places * part(q.Class)
	if g.places <= 0 || g.used+q.Cost <= room*g.cfg.Pressure || a.used == 0 {
		return nil
	}

	share := a.weight * g.waterLevel(now) * part(q.Class)
	if a.used+q.Cost <= share {
		return nil
	}

	g.want(now, a, a.used+q.Cost)

	part := min(1, max(share, q.Cost)/g.places)
	over := a.used + q.Cost - share
	after := a.shared.next(now, scale(g.period(over), 1/part), scale(g.period(q.Cost), 1/part))

	return g.refuse(failure.ShareExceeded, after, "organisation %s holds its share of the places", q.Organisation)
}

// refuse makes the refusal and counts it.
func (g *Gate) refuse(k failure.Kind, after time.Duration, format string, args ...any) error {
	g.refusals[refusalIndex(k)]++

	after = min(after, g.cfg.MostAfter)
	after += time.Duration(g.rng.Int64N(int64(after/spreadPart) + 1))

	return failure.New(k, format, args...).After(after)
}

// spreadPart is the part of a Retry-After that is drawn at random on top.
const spreadPart = 4

// period is the time in which so many places come free.
func (g *Gate) period(places float64) time.Duration {
	perSecond := g.freed.perSecond()
	if perSecond <= 0 {
		perSecond = max(g.places/slowestRun.Seconds(), 0.1)
	}

	return seconds(places / perSecond)
}

// slowestRun is how long a place is taken to be held before any was given back.
const slowestRun = 10 * time.Second

// Used returns the places held.
func (g *Gate) Used() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.used
}

// Len returns the number of accounts.
func (g *Gate) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return len(g.accounts)
}

// Refused returns how many requests were refused with kind k.
func (g *Gate) Refused(k failure.Kind) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.refusals[refusalIndex(k)]
}

const refusalKinds = 4

func refusalIndex(k failure.Kind) int {
	switch k { //nolint:exhaustive // the Gate refuses with these only
	case failure.RateLimited:
		return 0
	case failure.ShareExceeded:
		return 1
	case failure.DeadlineHopeless:
		return 2
	default:
		return 3
	}
}

func positive(v, d float64) float64 {
	if v <= 0 {
		return d
	}

	return v
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxSeconds) * float64(time.Second))
}

func scale(d time.Duration, f float64) time.Duration {
	return seconds(d.Seconds() * f)
}

const maxSeconds = 3600
