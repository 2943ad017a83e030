package claim

import (
	"slices"
	"testing"
	"time"

	"boragehub/journal/memory"
)

// In a long outage more records wait than the writer's queue takes. If they
// were written in another order, a withdrawal would precede its claim and the
// key would stay claimed.
func TestUnsentRecordsKeepTheirOrder(t *testing.T) {
	s := newShard(DeduplicatorConfig{Log: memory.New(), Service: "s", MaxPending: 1, Clock: time.Now}, 0, nil)

	var want [][]byte

	for n := range 6 {
		r := record{Kind: kindClaim, Term: 1, RunID: uint64(n + 1)}
		want = append(want, r.encode())
		s.coordinator.enqueue(r)

		if n%2 == 1 {
			s.flush()
		}
	}

	// The writer isn't running, so the first two records fill its queue.
	if got := s.unsent; !slices.EqualFunc(got, want[maxRecordsPerRun:], slices.Equal) {
		t.Errorf("got %v waiting, want %v", got, want[maxRecordsPerRun:])
	}
}
