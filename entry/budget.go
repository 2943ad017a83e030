package entry

import (
	"sync"

	"boragehub/retry"
)

// budgets has a retry budget for each service, so that a service whose targets
// fail does not use up the retries of another.
type budgets struct {
	mu        sync.Mutex
	byService map[string]ratioBudget
}

// ratioBudget is a budget with the ratio that it was made for.
type ratioBudget struct {
	ratio  float64
	budget *retry.Budget
}

func newBudgets() *budgets {
	return &budgets{byService: map[string]ratioBudget{}}
}

// of returns a service's budget; a new ratio in the settings begins a new one.
func (b *budgets) of(service string, ratio float64) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()

	known, ok := b.byService[service]
	if !ok || known.ratio != ratio {
		known = ratioBudget{ratio: ratio, budget: retry.NewBudget(retry.BudgetConfig{Ratio: ratio})}
		b.byService[service] = known
	}

	return known.budget
}
