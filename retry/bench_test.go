package retry

import (
	"testing"
	"time"
)

func BenchmarkBudget(b *testing.B) {
	b.ReportAllocs()

	budget := NewBudget(BudgetConfig{})
	now := epoch

	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.CountFirstAttempt(now)
		budget.Allow(now)
	}
}
