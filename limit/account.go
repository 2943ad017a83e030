package limit

import (
	"time"

	"golang.org/x/time/rate"

	"boragehub/retry"
)

// account is the state kept for one organisation.
type account struct {
	organisation  string
	limiter       *rate.Limiter
	weight        float64
	used          float64
	peakDemand    float64 // peak of used and refused places, decaying with demandHalfLife
	peakDemandAt  time.Time
	demand        float64 // recentDemand with headroom, as of the last fair level
	active        bool    // whether it is in Gate.active
	lastSeen      time.Time
	rateSchedule  retry.Schedule
	shareSchedule retry.Schedule
}

// account returns the organisation's account, with the rate and weight of q. Beyond
// MaxAccounts, organisations without an account share one, so that organisation names
// made up by a caller don't exhaust memory.
func (g *Gate) account(now time.Time, q Request) *account {
	g.evictIdle(now)

	a, ok := g.accounts[q.Organisation]
	if !ok && len(g.accounts) >= g.cfg.MaxAccounts {
		a = g.overflow
	} else if !ok {
		a = &account{organisation: q.Organisation}
		g.accounts[q.Organisation] = a
		g.sweepList = append(g.sweepList, a)
	}

	a.lastSeen = now
	a.weight = q.Weight
	g.updateRate(now, a, q)

	return a
}

// updateRate applies the rate and burst of q to the account's limiter. One entry allows its
// even part of the rate times rateSlack, but no more than the whole rate.
func (g *Gate) updateRate(now time.Time, a *account, q Request) {
	limit, burst := rate.Inf, max(q.Burst, 1)
	if q.Rate > 0 {
		limit = rate.Limit(q.Rate * min(1, rateSlack/float64(g.entries)))
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

// rateSlack is the factor by which one entry may exceed its even part of a rate, since
// load balancers distribute callers unevenly.
const rateSlack = 2

// sweepPerCall is the number of accounts that each call checks for eviction.
const sweepPerCall = 2

// evictIdle removes accounts that have been idle for AccountTTL. It checks a few
// accounts per call.
func (g *Gate) evictIdle(now time.Time) {
	for range sweepPerCall {
		if len(g.sweepList) == 0 {
			return
		}

		g.sweepIndex %= len(g.sweepList)

		a := g.sweepList[g.sweepIndex]
		if a.used > 0 || now.Sub(a.lastSeen) < g.cfg.AccountTTL {
			g.sweepIndex++
			continue
		}

		delete(g.accounts, a.organisation)

		last := len(g.sweepList) - 1
		g.sweepList[g.sweepIndex] = g.sweepList[last]
		g.sweepList[last] = nil
		g.sweepList = g.sweepList[:last]
	}
}
