package claim

import (
	"slices"
	"testing"
	"time"

	"boragehub/journal/memory"
)

// In a long outage more records wait than the writer has room for. Written in
// another order, a withdrawal would come before its claim and the key stay taken.
func TestRecordsWaitInOrder(t *testing.T) {
	s := newShard(HomeConfig{Log: memory.New(), Service: "s", MaxLocal: 1, Clock: time.Now}, 0, nil)

	var want [][]byte

	for n := range 6 {
		r := record{Kind: kindClaim, Term: 1, Run: uint64(n + 1)}
		want = append(want, r.encode())
		s.desk.write(r)

		if n%2 == 1 {
			s.flush()
		}
	}

	// The writer isn't running, so the first two fill its queue.
	if got := s.unsent; !slices.EqualFunc(got, want[recordsPerRun:], slices.Equal) {
		t.Errorf("got %v waiting, want %v", got, want[recordsPerRun:])
	}
}
