package claim

import (
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

// testShard is a Coordinator with a stream that only it writes.
type testShard struct {
	coordinator *Coordinator
	takeover    Takeover
	offset      uint64
}

// step lets the coordinator do at time now what is due, write and read.
func (s *testShard) step(t *testing.T, now time.Time, f VMList) {
	t.Helper()
	s.coordinator.SetVMList(f)
	s.coordinator.Tick(now)

	if b, ok := s.takeover.Due(now, s.coordinator, f, 0); ok {
		s.coordinator.RequestOwnership(b, f)
	}

	for _, b := range s.coordinator.Outbox() {
		s.offset++

		if err := s.coordinator.Apply(journal.Record{Offset: s.offset, At: now, Data: b}); err != nil {
			t.Fatal(err)
		}
	}

	s.coordinator.Synced(now, 1)
}

// newTestShard returns a Coordinator that has read its empty stream.
func newTestShard(now time.Time) *testShard {
	s := &testShard{coordinator: NewCoordinator(CoordinatorConfig{VM: "a", Incarnation: 1})}
	s.coordinator.Synced(now, 1)

	return s
}

// The platform removes the VM of a paused process. The process resumes, reads
// an old list that still has the VM, and requests a shard that another process
// owns already: in an outage both would run the same request. (Found by
// TestClaimsUnderFailure with seed 537167.)
func TestPausedProcessDoesNotBecomeOwner(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := VMList{Version: 1, VMs: []string{"a", "b"}}
	s := newTestShard(now)
	s.coordinator.Tick(now)

	now = now.Add(DefaultMaxPause + time.Second)
	resumed := now

	for ; now.Sub(resumed) < MaxListLag; now = now.Add(time.Second) {
		if s.step(t, now, f); s.coordinator.IsOwner() {
			t.Fatalf("%v after it resumed: got the ownership, want none yet", now.Sub(resumed))
		}
	}

	for range 5 {
		now = now.Add(time.Second)
		s.step(t, now, f)
	}

	if !s.coordinator.IsOwner() {
		t.Error("after the lag of the list: got no ownership, want it")
	}
}

// An owner that was paused, whose VM is no longer listed, or whose records the
// log may have deleted, may have been replaced. In an outage of the log it
// can't know what the next owner ran, so it must neither run a request nor
// answer that the key did not run.
func TestUncertainOwnerRefusesInOutage(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	listed := VMList{Version: 1, VMs: []string{"a"}}

	cases := []struct {
		name        string
		secondsDown int // seconds without the log
		pause       time.Duration
		fleet       VMList
		want        failure.Kind
	}{
		{"listed, not paused", 5, time.Second, listed, failure.Internal},
		{"listed, not paused, long outage", 3000, time.Second, listed, failure.Internal},
		{"paused", 5, DefaultMaxPause + time.Second, listed, failure.NotReady},
		{"no longer listed", 5, time.Second, VMList{Version: 2, VMs: []string{"b"}}, failure.NotReady},
		{"records deleted by the log", 3600, time.Second, listed, failure.NotReady},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := start
			s := newTestShard(now)
			s.coordinator.cfg.LogRetention = time.Hour

			for range 3 {
				s.step(t, now, listed)
				now = now.Add(time.Second)
			}

			for range c.secondsDown {
				s.coordinator.Tick(now)
				now = now.Add(time.Second)
			}

			now = now.Add(c.pause)
			s.coordinator.SetVMList(c.fleet)

			_, err := s.coordinator.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
			if got := failure.KindOf(err); got != c.want || (err == nil) != (c.want == failure.Internal) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestKeyStatusByIssueTime(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	cases := []struct {
		name           string
		key            string
		uncertainUntil time.Time
		want           KeyStatus
	}{
		{"new", keyAt(now, 1), time.Time{}, KeyUnused},
		{"no issue time", "booking-7", time.Time{}, KeyUnused},
		{"too old", keyAt(now.Add(-DefaultKeyLifetime-time.Second), 1), time.Time{}, KeyExpired},
		{"from the future", keyAt(now.Add(DefaultClockSkew+time.Second), 1), time.Time{}, KeyFromFuture},
		{"in the uncertain window", keyAt(now.Add(-time.Minute), 1), now.Add(-time.Second), KeyUncertain},
		{"after the uncertain window", keyAt(now, 1), now.Add(-time.Second), KeyUnused},
		{"no issue time, after the uncertain window", "booking-7", now.Add(-time.Second), KeyUncertain},
		{"no issue time, long after the uncertain window", "booking-7", now.Add(-DefaultKeyLifetime - time.Second), KeyUnused},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(StateConfig{})
			s.uncertainUntil = unixMillis(c.uncertainUntil)
			issued, _ := IssueTime(c.key)

			if got := s.Lookup(now, Key{ID: NewKeyID("o", c.key), Issued: issued}); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// newOwner returns a Coordinator that owns its shard, and the time.
func newOwner(t *testing.T, f VMList) (*testShard, time.Time) {
	t.Helper()

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newTestShard(now)

	for range 3 {
		s.step(t, now, f)
		now = now.Add(time.Second)
	}

	if !s.coordinator.IsOwner() {
		t.Fatal("got no ownership, want it")
	}

	return s, now
}

// The log deletes records before the owner has read them. The snapshot that the
// owner restores is older than what it ran, so before it has read the remaining
// records it would run a key again.
func TestOwnerServesOnlyWithAllRecords(t *testing.T) {
	s, now := newOwner(t, VMList{Version: 1, VMs: []string{"a"}})

	if err := s.coordinator.Restore(s.coordinator.state.Encode()); err != nil {
		t.Fatal(err)
	}

	q := Request{Organisation: "o", Key: keyAt(now, 1)}
	if _, err := s.coordinator.Claim(now, q); failure.KindOf(err) != failure.NotReady {
		t.Errorf("before all records are read: got %v, want not ready", err)
	}

	s.coordinator.Synced(now, 1)

	if _, err := s.coordinator.Claim(now, q); err != nil {
		t.Errorf("after all records are read: got %v, want a run", err)
	}
}

// Another process becomes the owner while a claim is on its way. The claim no
// longer counts and the new owner may run the key, so this process must not run
// it.
func TestWaitingRunEndsWithOwnership(t *testing.T) {
	s, now := newOwner(t, VMList{Version: 1, VMs: []string{"a"}})

	r, err := s.coordinator.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
	if err != nil {
		t.Fatal(err)
	}

	s.offset++
	taken := record{Kind: kindOwner, Term: s.coordinator.state.Owner().Term, Owner: &ownerRecord{
		VM: "b", Incarnation: 1, Basis: BasisUnlisted, ListVersion: 2,
	}}

	if err := s.coordinator.Apply(journal.Record{Offset: s.offset, At: now, Data: taken.encode()}); err != nil {
		t.Fatal(err)
	}

	if done, err := r.Decided(); !done || failure.KindOf(err) != failure.NotReady {
		t.Errorf("got decided %v with %v, want not ready", done, err)
	}
}

// A shard is to be released while a request runs. Released at once, it would
// leave no uncertain window, and the next owner would run the key again if its
// claim was not written.
func TestReleaseWaitsForRuns(t *testing.T) {
	f := VMList{Version: 1, VMs: []string{"a"}}
	s, now := newOwner(t, f)

	// The log is unresponsive, so the claim is not written.
	for range 5 {
		now = now.Add(time.Second)
		s.coordinator.Tick(now)
	}

	r, err := s.coordinator.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
	if err != nil || !r.unlogged {
		t.Fatalf("got %v and unlogged %v, want an unlogged run", err, err == nil && r.unlogged)
	}

	claims := s.coordinator.Outbox()

	s.coordinator.Yield()
	s.coordinator.Release()

	if got := len(s.coordinator.Outbox()); got != 0 {
		t.Errorf("while it runs: got %d records written, want no release", got)
	}

	s.coordinator.Complete(r, Outcome{Status: 201})

	for _, b := range append(claims, s.coordinator.Outbox()...) {
		s.offset++

		if err := s.coordinator.Apply(journal.Record{Offset: s.offset, At: now, Data: b}); err != nil {
			t.Fatal(err)
		}
	}

	s.coordinator.Release()

	if got := len(s.coordinator.Outbox()); got != 1 {
		t.Errorf("after it is written: got %d records, want the release", got)
	}
}

// An owner's process ends and another one starts on its VM, which is no longer
// a candidate for the shard. Without a start record no process could take the
// shard over, since the VM is still listed, and its callers would be refused
// for good.
func TestCandidateTakesOverFromEndedOwner(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := VMList{Version: 1, VMs: []string{"a", "b"}}
	s := newTestShard(now)

	apply := func(r record) {
		s.offset++

		if err := s.coordinator.Apply(journal.Record{Offset: s.offset, At: now, Data: r.encode()}); err != nil {
			t.Fatal(err)
		}
	}

	apply(record{Kind: kindOwner, Owner: &ownerRecord{VM: "b", Incarnation: 3, Basis: BasisFirst, OldestOffset: 1, RunsUnlogged: true, ListVersion: 1}})
	s.step(t, now, f)

	if s.coordinator.IsOwner() {
		t.Fatal("while the owner is live: got the ownership, want none")
	}

	apply(startRecord("b", 4))

	for range 3 {
		now = now.Add(time.Second)
		s.step(t, now, f)
	}

	if !s.coordinator.IsOwner() || !s.coordinator.state.UncertainUntil().After(now.Add(-time.Minute)) {
		t.Errorf("after its process ended: got ownership %v and uncertain window until %v, want both", s.coordinator.IsOwner(), s.coordinator.state.UncertainUntil())
	}
}
