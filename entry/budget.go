package entry

import (
	"sync"
	"time"

	"boragehub/retry"
)

// retryBudgets holds a retry budget for each service, so that a service with failing
// targets does not use up the retries of another.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[string]serviceBudget
}

// serviceBudget is the budget of one service with its configured ratio.
type serviceBudget struct {
	ratio  float64
	budget *retry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byService: map[string]serviceBudget{}}
}

// forService returns a service's budget. When ratio has changed, it returns a new,
// unused one.
func (b *retryBudgets) forService(service string, ratio float64) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()

	known, ok := b.byService[service]
	if !ok || known.ratio != ratio {
		known = serviceBudget{ratio: ratio, budget: retry.NewBudget(time.Now(), retry.BudgetConfig{Ratio: ratio})}
		b.byService[service] = known
	}

	return known.budget
}
