package gateway

import (
	"boragehub/retry"
)

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
