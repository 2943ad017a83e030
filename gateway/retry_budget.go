package gateway

import (
	"time"

	"boragehub/retry"
)

const (
	// minEntries is the least number of entries assumed to share the retry slack.
	minEntries = 8
	// slackFraction is the fraction of the slack that is shared out. The rest is for entries that
	// have joined where this one can't hear of them.
	slackFraction = 0.5
	// entryCountMemory is how long entries count that are not heard of any more: they may only be
	// cut off, and still use their shares.
	entryCountMemory = 10 * time.Minute
	// joinDelay is how long after its start an entry uses no share, beyond a window. Until then the
	// process before it may have used it, and entries may not have heard of this one.
	joinDelay = 8 * time.Second
)

// slackShare is this process's share of the slack that all entries may retry beyond the ratio in any
// window.
//
// No two processes agree on it. Instead, a process takes a share only while it hears of others, so that each
// that uses one counts all that do, and only once the window has passed in which the process before it may
// have used the same share.
type slackShare struct {
	entries int       // the largest number of entries known lately
	until   time.Time // until when it counts
	inTouch bool      // whether this process hears of others, or is the only one
}

// set records how many entries are known.
func (s *slackShare) set(now time.Time, entries int, inTouch bool) {
	s.inTouch = inTouch

	if entries >= s.entries || now.After(s.until) {
		s.entries, s.until = entries, now.Add(entryCountMemory)
	}
}

// of returns the share of a slack.
func (s *slackShare) of(slack int) float64 {
	if !s.inTouch {
		return 0
	}

	return slackFraction * float64(slack) / float64(max(s.entries, minEntries))
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *retry.Budget {
	g.mu.Lock()
	defer g.mu.Unlock()

	b, ok := g.retryBudgets[service]
	if !ok {
		cfg := retry.BudgetConfig{Ratio: g.cfg.RetryRatio, Window: g.cfg.RetryWindow}
		if !g.cfg.FirstStart {
			cfg.FloorDelay = g.cfg.RetryWindow + joinDelay
		}

		b = retry.NewBudget(g.cfg.Start, cfg)
		b.SetFloor(g.slackShare.of(g.cfg.RetrySlack))

		g.retryBudgets[service] = b
	}

	return b
}

// SetEntryCount sets the number of entries, this one included, and whether this process hears of the others; true
// if there are none.
func (g *Gateway) SetEntryCount(now time.Time, entries int, inTouch bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slackShare.set(now, entries, inTouch)

	for _, b := range g.retryBudgets {
		b.SetFloor(g.slackShare.of(g.cfg.RetrySlack))
	}
}
