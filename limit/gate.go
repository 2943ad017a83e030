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
