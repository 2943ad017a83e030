package limit

import (
	"time"

	"golang.org/x/time/rate"
)

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
