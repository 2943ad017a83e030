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
	byService map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byService: make(map[string]*retry.Budget)}
}

// forService returns a service's budget, with the ratio that the settings give now. They may
// differ between the workloads of a service.
func (b *retryBudgets) forService(now time.Time, service string, ratio float64) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()

	known, ok := b.byService[service]
	if !ok {
		known = retry.NewBudget(now, retry.BudgetConfig{Ratio: ratio, Unshared: true})
		b.byService[service] = known
	}

	known.SetRatio(ratio)

	return known
}
