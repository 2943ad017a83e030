package retry

import (
	"testing"
	"time"
)

func BenchmarkBudget(b *testing.B) {
	b.ReportAllocs()

	now := epoch
	budget := NewBudget(now, BudgetConfig{})

	for b.Loop() {
		now = now.Add(time.Millisecond)
		budget.CountRequest(now)
		budget.Allow(now)
	}
}
