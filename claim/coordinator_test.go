package claim

import (
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

// pair is a Coordinator and the stream that it alone writes.
type pair struct {
	desk *Coordinator
	next Succession
	n    uint64
}

// turn lets the desk write and read at a time.
func (p *pair) turn(t *testing.T, now time.Time, f Fleet) {
	t.Helper()
	p.desk.Observe(f)
	p.desk.Tick(now)

	if b, ok := p.next.Next(now, p.desk, f, 0); ok {
		p.desk.Ask(b, f)
	}

	for _, b := range p.desk.Outbox() {
		p.n++

		if err := p.desk.Apply(journal.Record{Offset: p.n, At: now, Data: b}); err != nil {
			t.Fatal(err)
		}
	}

	p.desk.Synced(now, 1)
}

// newPair returns a Coordinator that has read its empty stream.
func newPair(now time.Time) *pair {
	p := &pair{desk: NewCoordinator(CoordinatorConfig{VM: "a", Incarnation: 1})}
	p.desk.Synced(now, 1)

	return p
}

// The platform drops a VM whose process stands still. The process wakes, reads an
// old list that still has the VM, and would become the home of a shard beside
// its successor: in an outage both would make the same booking. (Found by
// TestClaimsUnderFailure with the seed 537167.)
func TestPausedProcessDoesNotBecomeHome(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := Fleet{Version: 1, VMs: []string{"a", "b"}}
	p := newPair(now)
	p.desk.Tick(now)

	now = now.Add(DefaultMaxPause + time.Second)
	woke := now

	for ; now.Sub(woke) < ListLag; now = now.Add(time.Second) {
		if p.turn(t, now, f); p.desk.Home() {
			t.Fatalf("%v after it woke: got the home, want none yet", now.Sub(woke))
		}
	}

	for range 5 {
		now = now.Add(time.Second)
		p.turn(t, now, f)
	}

	if !p.desk.Home() {
		t.Error("after its list had time to tell: got no home, want one")
	}
}

// A home that stood still, that the platform no longer lists, or of which the log
// may have forgotten all records, may have a successor. In an outage of the log it can't know what that one ran, so it must
// not tell a caller that the key did not run, and must not run it.
func TestHomeThatMayBeSucceededPromisesNothing(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	listed := Fleet{Version: 1, VMs: []string{"a"}}

	cases := []struct {
		name  string
		alone int // seconds without the log
		pause time.Duration
		fleet Fleet
		want  failure.Kind
	}{
		{"undisturbed", 5, time.Second, listed, failure.Internal},
		{"long undisturbed", 3000, time.Second, listed, failure.Internal},
		{"stood still", 5, DefaultMaxPause + time.Second, listed, failure.NotReady},
		{"no longer listed", 5, time.Second, Fleet{Version: 2, VMs: []string{"b"}}, failure.NotReady},
		{"forgotten by the log", 3600, time.Second, listed, failure.NotReady},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := start
			p := newPair(now)
			p.desk.cfg.Retention = time.Hour

			for range 3 {
				p.turn(t, now, listed)
				now = now.Add(time.Second)
			}

			for range c.alone {
				p.desk.Tick(now)
				now = now.Add(time.Second)
			}

			now = now.Add(c.pause)
			p.desk.Observe(c.fleet)

			_, err := p.desk.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
			if got := failure.KindOf(err); got != c.want || (err == nil) != (c.want == failure.Internal) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestKeysTellTheirAge(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	cases := []struct {
		name string
		key  string
		cut  time.Time
		want Standing
	}{
		{"new", keyAt(now, 1), time.Time{}, Fresh},
		{"undated", "booking-7", time.Time{}, Fresh},
		{"too old", keyAt(now.Add(-DefaultMemory-time.Second), 1), time.Time{}, Expired},
		{"from the future", keyAt(now.Add(DefaultSkew+time.Second), 1), time.Time{}, Ahead},
		{"before the cut", keyAt(now.Add(-time.Minute), 1), now.Add(-time.Second), Uncertain},
		{"after the cut", keyAt(now, 1), now.Add(-time.Second), Fresh},
		{"undated after the cut", "booking-7", now.Add(-time.Second), Uncertain},
		{"undated long after the cut", "booking-7", now.Add(-DefaultMemory - time.Second), Fresh},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(LedgerConfig{})
			l.cut = millis(c.cut)
			issued, _ := Issued(c.key)

			if got := l.Ask(now, Key{ID: NewID("o", c.key), Issued: issued}); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// home returns a Coordinator that is the home of its shard, and the time.
func home(t *testing.T, f Fleet) (*pair, time.Time) {
	t.Helper()

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := newPair(now)

	for range 3 {
		p.turn(t, now, f)
		now = now.Add(time.Second)
	}

	if !p.desk.Home() {
		t.Fatal("got no home, want one")
	}

	return p, now
}

// The log forgets records before a home has read them. The snapshot that it takes
// is older than what it ran, so until it has read the rest it would run a key
// again, and a rider would be booked twice.
func TestHomeServesOnlyWithAllRecords(t *testing.T) {
	p, now := home(t, Fleet{Version: 1, VMs: []string{"a"}})

	if err := p.desk.Restore(p.desk.ledger.Encode()); err != nil {
		t.Fatal(err)
	}

	q := Request{Organisation: "o", Key: keyAt(now, 1)}
	if _, err := p.desk.Claim(now, q); failure.KindOf(err) != failure.NotReady {
		t.Errorf("before the rest is read: got %v, want not ready", err)
	}

	p.desk.Synced(now, 1)

	if _, err := p.desk.Claim(now, q); err != nil {
		t.Errorf("after the rest is read: got %v, want a run", err)
	}
}

// Another process becomes the home while a claim is on its way. The claim counts
// no more, and the new home may run the key: this one must not.
func TestWaitingRunEndsWithTheHome(t *testing.T) {
	p, now := home(t, Fleet{Version: 1, VMs: []string{"a"}})

	r, err := p.desk.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
	if err != nil {
		t.Fatal(err)
	}

	p.n++
	taken := record{Kind: kindHome, Term: p.desk.ledger.Holder().Term, Home: &homeRecord{
		VM: "b", Incarnation: 1, Basis: BasisGone, Listed: 2,
	}}

	if err := p.desk.Apply(journal.Record{Offset: p.n, At: now, Data: taken.encode()}); err != nil {
		t.Fatal(err)
	}

	if done, err := r.Decided(); !done || failure.KindOf(err) != failure.NotReady {
		t.Errorf("got decided %v with %v, want not ready", done, err)
	}
}

// A shard is given back while a booking runs. Released at once, it would leave no
// uncertain window, and the next home would run the booking's key again if its
// claim was not written.
func TestReleaseWaitsForRuns(t *testing.T) {
	f := Fleet{Version: 1, VMs: []string{"a"}}
	p, now := home(t, f)

	// The log is silent, so the run's claim is not written.
	for range 5 {
		now = now.Add(time.Second)
		p.desk.Tick(now)
	}

	r, err := p.desk.Claim(now, Request{Organisation: "o", Key: keyAt(now, 1)})
	if err != nil || !r.logLess {
		t.Fatalf("got %v and log-less %v, want a run", err, err == nil && r.logLess)
	}

	claims := p.desk.Outbox()

	p.desk.Yield()
	p.desk.Release()

	if got := len(p.desk.Outbox()); got != 0 {
		t.Errorf("while it runs: got %d records written, want no release", got)
	}

	p.desk.Settle(r, Outcome{Status: 201})

	for _, b := range append(claims, p.desk.Outbox()...) {
		p.n++

		if err := p.desk.Apply(journal.Record{Offset: p.n, At: now, Data: b}); err != nil {
			t.Fatal(err)
		}
	}

	p.desk.Release()

	if got := len(p.desk.Outbox()); got != 1 {
		t.Errorf("after it is written: got %d records, want the release", got)
	}
}

// A home's process dies and another starts on its VM, which is no candidate for
// the shard any more. Without a word of it in the log nobody could take the shard
// over, since the VM is listed, and its callers would be refused for good.
func TestEndedHomeIsSucceededByACandidate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := Fleet{Version: 1, VMs: []string{"a", "b"}}
	p := newPair(now)

	apply := func(r record) {
		p.n++

		if err := p.desk.Apply(journal.Record{Offset: p.n, At: now, Data: r.encode()}); err != nil {
			t.Fatal(err)
		}
	}

	apply(record{Kind: kindHome, Home: &homeRecord{VM: "b", Incarnation: 3, Basis: BasisFirst, From: 1, LogLess: true, Listed: 1}})
	p.turn(t, now, f)

	if p.desk.Home() {
		t.Fatal("while the home lives: got the home, want none")
	}

	apply(born("b", 4))

	for range 3 {
		now = now.Add(time.Second)
		p.turn(t, now, f)
	}

	if !p.desk.Home() || !p.desk.ledger.Cut().After(now.Add(-time.Minute)) {
		t.Errorf("after its process ended: got home %v and cut %v, want both", p.desk.Home(), p.desk.ledger.Cut())
	}
}
