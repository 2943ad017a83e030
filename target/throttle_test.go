package target

import (
	"testing"
	"time"
)

// newThrottleTable returns a table with the targets a and b, which have no side process.
func newThrottleTable(now time.Time) *Table {
	t := NewTable(TableConfig{Self: "entry-1", DataCentre: "east"})
	t.ObserveList(now, []Listed{
		{VM: "a", DataCentre: "east", Kind: KindPlain, Service: "s", Address: "10.0.0.1:80", State: Live},
		{VM: "b", DataCentre: "east", Kind: KindPlain, Service: "s", Address: "10.0.0.2:80", State: Live},
	})

	return t
}

func candidateNames(t *Table, now time.Time) map[string]bool {
	names := map[string]bool{}
	for _, c := range t.Candidates(now, "s") {
		names[c.VM] = true
	}

	return names
}

// Guards against a throttled target that gets requests before its time, also when no other target is
// left, and against callers that are told to return when it takes none yet.
func TestThrottledTargetIsNoCandidateBeforeItsTime(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := newThrottleTable(now)
	tab.ObserveThrottled(now, "a", 3*time.Second)
	tab.ObserveThrottled(now.Add(time.Second), "a", 5*time.Second) // of a request that was under way

	tests := []struct {
		after time.Duration
		want  bool
		in    time.Duration
	}{
		{0, false, 3 * time.Second}, {2999 * time.Millisecond, false, time.Millisecond}, {3 * time.Second, true, 0},
	}

	for _, tt := range tests {
		at := now.Add(tt.after)

		if got := candidateNames(tab, at); got["a"] != tt.want || !got["b"] {
			t.Errorf("after %v: got %v as candidates, want a: %v, b: true", tt.after, got, tt.want)
		}

		if got, _ := tab.RetryIn(at, "s"); got != tt.in {
			t.Errorf("after %v: got %v until it returns, want %v", tt.after, got, tt.in)
		}

		if _, ok := tab.Admit(at, "a"); ok != tt.want {
			t.Errorf("after %v: got a request admitted %v, want %v", tt.after, ok, tt.want)
		}
	}
}

// Guards against an entry that sends a target without a side process more than its share of the rate
// limit.
func TestShareOfARateLimitIsKept(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := newThrottleTable(now)

	if !tab.ObserveRateLimit(now, "a", 2, 4) || tab.ObserveRateLimit(now, "a", 2, 4) {
		t.Error("got the same limit reported as a change, want the first one only")
	}

	sent := 0

	for at := now; at.Before(now.Add(40 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if !candidateNames(tab, at)["a"] {
			continue
		}

		if _, ok := tab.Admit(at, "a"); !ok {
			t.Fatal("got a candidate refused")
		}

		sent++
	}

	if want := 20; sent > want || sent < want/2 {
		t.Errorf("got %d requests in 40 s at a fourth of 2 a second, want about %d", sent, want)
	}

	tab.ObserveRestart(now, "a")

	if _, ok := tab.Admit(now, "a"); !ok {
		t.Error("after a restart: got the limit kept, want none")
	}
}

// Guards against a refusing target that gets a request before the latest time that it stated.
func TestLatestRetryAfterHolds(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := newThrottleTable(now)

	for _, d := range []time.Duration{2 * time.Second, 3 * time.Second, time.Second} {
		tab.ObserveRetryAfter(now, "a", d)
	}

	if wait, ok := tab.Admit(now, "a"); ok || wait != 3*time.Second {
		t.Errorf("got a request admitted %v and a wait of %v, want false and 3s", ok, wait)
	}
}
