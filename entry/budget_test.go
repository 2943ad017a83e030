package entry

import (
	"testing"
	"time"
)

// Guards against a budget that is unused again whenever a request of another workload, with another ratio,
// arrives at the same service.
func TestWorkloadsOfAServiceShareItsBudget(t *testing.T) {
	now := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	budgets := newRetryBudgets()
	got := 0

	for i := range 20 {
		ratio := []float64{0.1, 0.2}[i%2]
		if budgets.forService(now, "llm", ratio).Allow(now) {
			got++
		}
	}

	if want := 3; got != want {
		t.Errorf("got %d retries without any request, want %d", got, want)
	}
}
