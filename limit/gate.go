// Package limit implements admission control at one entry: it admits or refuses requests
// and tells refused callers when to retry.
//
// # Model
//
// A Gate keeps one account per organisation. Capacity is counted in places; a request,
// running or queued, takes about one. A request has to pass four checks, in this order:
// its deadline against the expected wait; the fraction of the places that its class may
// use; when places are scarce, the organisation's fair share of them; and the
// organisation's rate limit, which comes last so that only admitted requests consume
// it. A refused request is answered at once; a Gate has no queue.
//
// Fair shares are weighted max-min: what an organisation doesn't use goes to those that
// demand more. Shares limit the places held, not the requests sent, so an organisation
// that sends ten times as many requests has more of them refused and holds no more
// places.
//
// Retry-After is computed: each refusal takes the next slot of a schedule that advances
// at the rate at which places (or tokens of the rate limit) are released, so callers
// refused at the same time retry one after the other.
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

	"boragehub/failure"
	"boragehub/retry"
	"boragehub/setting"
)

// GateConfig configures a Gate. Zero values are replaced by defaults.
type GateConfig struct {
	// Seed seeds the random jitter of Retry-After, which makes it reproducible.
	Seed uint64
	// Places is the initial capacity; zero means unlimited until SetPlaces is called.
	Places float64
	// Entries is how many entries share the site's traffic. 1 when zero.
	Entries int
	// MaxAccounts bounds the number of accounts; further organisations share one.
	// 16384 when zero.
	MaxAccounts int
	// ShareThreshold is the used fraction of a class's places above which fair shares
	// are enforced. 0.9 when zero: lower values refuse more requests at usual load and
	// don't protect the other organisations better from one that sends too much.
	ShareThreshold float64
	// MaxRetryAfter bounds Retry-After before jitter. 60 s when zero.
	MaxRetryAfter time.Duration
	// AccountTTL is how long an idle account is kept. 10 min when zero.
	AccountTTL time.Duration
}

func (c GateConfig) withDefaults() GateConfig {
	c.Entries = max(c.Entries, 1)

	if c.MaxAccounts <= 0 {
		c.MaxAccounts = 16384
	}

	if c.ShareThreshold <= 0 {
		c.ShareThreshold = 0.9
	}

	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = time.Minute
	}

	if c.AccountTTL <= 0 {
		c.AccountTTL = 10 * time.Minute
	}

	return c
}

// Request describes a request to Admit.
type Request struct {
	// Organisation is the caller's organisation.
	Organisation string
	// Class is the request's priority.
	Class setting.Class
	// Rate is the organisation's rate limit at the site, in requests a second; zero means
	// unlimited.
	Rate float64
	// Burst is the number of requests that may arrive at once; zero counts as 1.
	Burst int
	// Weight is the organisation's weight in fair shares; zero counts as 1.
	Weight float64
	// Cost is the number of places that the request takes; zero counts as 1.
	Cost float64
	// Deadline is the time by which the first token is needed; zero means no deadline.
	Deadline time.Time
	// Wait is the expected time to the first token at the best target.
	Wait time.Duration
}

// Permit holds the places of one admitted request. Pass it to Release once.
type Permit struct {
	account *account
	cost    float64
}

// Gate admits or refuses requests. Use NewGate. Its methods are safe for concurrent use.
type Gate struct {
	cfg GateConfig

	mu             sync.Mutex
	rng            *rand.Rand
	places         float64
	entries        int
	used           float64
	accounts       map[string]*account
	sweepList      []*account // all accounts, in the order of eviction checks
	active         []*account // accounts that hold places or demanded some recently
	sweepIndex     int
	overflow       *account
	cachedLevel    float64 // places per unit of weight, as of cachedLevelAt
	cachedLevelAt  time.Time
	releases       rateMeter
	classSchedules [numClasses]retry.Schedule
	refusals       [refusalKinds]uint64
}

// NewGate returns a Gate with no accounts.
func NewGate(cfg GateConfig) *Gate {
	cfg = cfg.withDefaults()

	return &Gate{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.MaxAccounts))),
		places:   cfg.Places,
		entries:  cfg.Entries,
		accounts: map[string]*account{},
		overflow: &account{organisation: "", weight: 1},
	}
}

// SetPlaces sets the capacity of this entry, in places; zero means unlimited.
func (g *Gate) SetPlaces(_ time.Time, places float64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.places = places
	g.cachedLevelAt = time.Time{}
}

// SetEntries sets how many entries share the site's traffic.
func (g *Gate) SetEntries(_ time.Time, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.entries = max(n, 1)
}

// Admit admits q or refuses it with a RateLimited, DeadlineHopeless, QueueFull or
// ShareExceeded failure that carries the time after which to retry.
func (g *Gate) Admit(now time.Time, q Request) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	q.Cost = positiveOr(q.Cost, 1)
	q.Weight = positiveOr(q.Weight, 1)
	a := g.account(now, q)

	if err := g.checkDeadline(now, q); err != nil {
		return Permit{}, err
	}

	if err := g.checkCapacity(now, a, q); err != nil {
		return Permit{}, err
	}

	if err := g.checkShare(now, a, q); err != nil {
		return Permit{}, err
	}

	if err := g.checkRate(now, a, q); err != nil {
		return Permit{}, err
	}

	g.used += q.Cost
	a.used += q.Cost
	g.recordDemand(now, a, a.used)

	return Permit{account: a, cost: q.Cost}, nil
}

// Release releases the places of p. The zero Permit holds none.
func (g *Gate) Release(now time.Time, p Permit) {
	if p.account == nil {
		return
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.used = max(g.used-p.cost, 0)
	p.account.used = max(p.account.used-p.cost, 0)
	g.releases.add(now, p.cost)
}

// Used returns the number of places in use.
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

// Refused returns the number of requests that were refused with kind k.
func (g *Gate) Refused(k failure.Kind) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.refusals[refusalIndex(k)]
}

func positiveOr(v, d float64) float64 {
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
