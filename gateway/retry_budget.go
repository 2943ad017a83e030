package gateway

import (
	"time"

	"boragehub/retry"
)

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()

	b, ok := g.retryBudgets[service]
	if !ok {
		cfg := retry.BudgetConfig{Ratio: g.cfg.RetryRatio, Window: g.cfg.RetryWindow}
		if !g.cfg.FirstStart {
			cfg.FloorDelay = g.cfg.RetryWindow + retry.JoinDelay
		}

		b = retry.NewBudget(g.cfg.Start, cfg)
		b.SetFloor(g.slackShare.Of(g.cfg.RetrySlack))

		g.retryBudgets[service] = b
	}

	return b
}

// SetEntryCount sets the number of entries, this one included, and whether this process hears of the others; true
// if there are none.
func (g *Gateway) SetEntryCount(now time.Time, entries int, inTouch bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slackShare.Set(now, entries, inTouch)

	for _, b := range g.retryBudgets {
		b.SetFloor(g.slackShare.Of(g.cfg.RetrySlack))
	}
}
