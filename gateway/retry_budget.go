package gateway

import (
	"time"

	"boragehub/retry"
)

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(now time.Time, service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()

	b, ok := g.retryBudgets[service]
	if !ok {
		b = retry.NewBudget(now, retry.BudgetConfig{Ratio: g.cfg.RetryRatio, Window: g.cfg.RetryWindow, Floor: g.retryFloor()})
		g.retryBudgets[service] = b
	}

	return b
}

const (
	// minEntries is the least number of entries assumed to share the retry slack: an entry that
	// has just started knows no other yet.
	minEntries = 8
	// slackFraction is the fraction of the slack that is shared out: an entry that is not known
	// to the others yet takes its share too.
	slackFraction = 0.75
)

// retryFloor returns this process's share of the retry slack, at least 1. The caller holds mu.
func (g *Gateway) retryFloor() int {
	return max(int(slackFraction*float64(g.cfg.RetrySlack))/g.entries, 1)
}

// SetEntryCount sets the number of entries, this one included.
func (g *Gateway) SetEntryCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()

	n = max(n, minEntries)
	if n == g.entries {
		return
	}

	g.entries = n
	for _, b := range g.retryBudgets {
		b.SetFloor(g.retryFloor())
	}
}
