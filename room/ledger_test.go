package room

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

// newIdleLedger returns the ledger of an idle engine that prefills 100 tokens per ms.
func newIdleLedger(slots, memory int) *Ledger {
	l := NewLedger()
	l.SetCapacity(slots, memory)
	l.Observe(t0, t0, State{})

	return l
}

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// review is a claim for a long prompt.
func review(id uint64) Claim {
	return Claim{ID: id, PrefillTokens: 10_000, MemoryTokens: 17_000, MaxBacklog: 5000, TimeLeftMs: 6000, TokensPerMs: 100}
}

// A burst of long prompts arrives at 24 entries within a few ms, and each knows the same idle engine.
// Guards against more of them on the engine than fit in its memory, which crashes it.
func TestBurstFromManyEntriesFitsInMemory(t *testing.T) {
	const memory = 107_770

	l := newIdleLedger(16, memory)
	granted, denied := 0, map[Outcome]int{}

	for i := range 24 {
		c := review(1)
		c.MaxBacklog = 1 << 30

		g, ok := l.Claim(at(i/8), Key{Entry: fmt.Sprintf("10.0.0.%d:1", i), Start: 1, ID: 1}, c)
		if !ok {
			t.Fatalf("entry %d: got no reply", i)
		}

		if g.Outcome == Granted {
			granted++
		} else {
			denied[g.Outcome]++
		}
	}

	if want := 6; granted != want || denied[NoMemory] != 24-want {
		t.Errorf("got %d granted and %v denied, want %d granted and the others denied for memory", granted, denied, want)
	}
}

// Long prompts of the entries reach an engine one after the other, not all at once. Guards against a
// prompt behind two others, which makes it late although another engine is free.
func TestBacklogLimitsWhatIsAhead(t *testing.T) {
	l := newIdleLedger(64, 1_000_000)
	key := func(id uint64) Key { return Key{Entry: "a", Start: 1, ID: id} }

	tests := []struct {
		ms          int
		maxBacklog  int
		want        Outcome
		wantBacklog int
	}{
		{0, 5000, Granted, 10_000},
		{0, 5000, Backlogged, 10_000},
		{40, 5000, Backlogged, 6000},
		{60, 5000, Granted, 14_000},
		// The first one must have been prefilled by now, but has not reported it: a quarter counts.
		{110, 20_000, Granted, 2500 + 9000 + 10_000},
	}

	for i, tt := range tests {
		c := review(uint64(i))
		c.MaxBacklog = tt.maxBacklog

		if g, ok := l.Claim(at(tt.ms), key(c.ID), c); !ok || g.Outcome != tt.want {
			t.Errorf("%d: got %v, %v; want %v", i, g.Outcome, ok, tt.want)
		}

		if got := l.Usage(at(tt.ms)).Backlog; got != tt.wantBacklog {
			t.Errorf("%d: got a backlog of %d, want %d", i, got, tt.wantBacklog)
		}
	}

	l.Started(at(110), key(0))

	if got, want := l.Usage(at(110)), (Usage{Backlog: 19_000, Leases: 2, Leased: 3 * 17_000, Held: 3, Occupied: 3 * 17_000}); got != want {
		t.Errorf("got %+v after the first one started, want %+v", got, want)
	}
}

// Leases must end though the messages that end them never come: the entry died, or Started and Done
// were lost. Guards against an engine that stays unused.
func TestLeasesEndWithoutMessages(t *testing.T) {
	busy, idle := State{Running: 1, UsedTokens: 17_000}, State{}
	key := Key{Entry: "a", Start: 1, ID: 1}

	tests := []struct {
		name    string
		reports []State // one each 100 ms
		ms      int
		want    Usage
		reason  []End
	}{
		{"prefill within a quarter of the speed", []State{busy}, 399, Usage{Backlog: 2500, Leases: 1, Leased: 17_000, Held: 1, Occupied: 17_000}, nil},
		{"prefill overdue", []State{busy}, 400, Usage{Leased: 17_000, Held: 1, Occupied: 17_000}, []End{PrefillOverdue}},
		{"deadline", []State{busy}, 6000, Usage{Occupied: 17_000}, []End{PrefillOverdue, DeadlinePassed}},
		{"idle in one report", []State{idle, busy, idle}, 350, Usage{Backlog: 2500, Leases: 1, Leased: 17_000, Held: 1, Occupied: 17_000}, nil},
		{"idle in two reports", []State{idle, idle}, 350, Usage{}, []End{EngineIdle}},
	}

	for _, tt := range tests {
		l := newIdleLedger(16, 100_000)
		l.Claim(t0, key, review(1))

		for i, s := range tt.reports {
			l.Observe(at(100*(i+1)), at(100*(i+1)), s)
		}

		if got := l.Usage(at(tt.ms)); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}

		var reason []End
		for _, e := range l.TakeEnded(at(tt.ms)) {
			reason = append(reason, e.Reason)
		}

		if !slices.Equal(reason, tt.reason) {
			t.Errorf("%s: got %v, want %v", tt.name, reason, tt.reason)
		}
	}
}

// An entry is paused while it holds a lease and goes on after the lease has expired. Guards against
// its late messages ending the lease of another prompt, or its repeated claim getting a second one.
func TestLateMessagesOfFrozenEntryChangeNothing(t *testing.T) {
	l := newIdleLedger(1, 100_000)
	frozen, other := Key{Entry: "a", Start: 1, ID: 1}, Key{Entry: "b", Start: 1, ID: 1}
	l.Claim(t0, frozen, review(1))
	l.Observe(at(6000), at(6000), State{})

	if g, ok := l.Claim(at(6000), other, review(1)); !ok || g.Outcome != Granted {
		t.Fatalf("got %v, %v after the lease expired; want it granted", g.Outcome, ok)
	}

	if l.Started(at(6001), frozen) || l.Done(at(6001), frozen) {
		t.Error("got a change by late messages, want none")
	}

	if _, ok := l.Claim(at(6001), frozen, review(1)); ok {
		t.Error("got a reply to a claim whose lease has ended, want none")
	}

	if got := l.Usage(at(6001)).Held; got != 1 {
		t.Errorf("got %d leases, want 1", got)
	}
}

// A side process that has just started has no leases, but the engine runs prompts that were sent
// before. Guards against grants of memory that those hold, and against replies before the engine was
// queried or long after.
func TestRestartedSideProcessUsesTheEnginesReport(t *testing.T) {
	l := NewLedger()
	key := func(id uint64) Key { return Key{Entry: "a", Start: 1, ID: id} }

	if _, ok := l.Claim(t0, key(1), review(1)); ok {
		t.Error("got a reply before the engine was queried, want none")
	}

	l.Observe(t0, t0, State{Running: 5, UsedTokens: 70_000, TotalTokens: 100_000})

	tests := []struct {
		name   string
		memory int
		want   Outcome
	}{
		{"more than is free", 30_000, NoMemory},
		{"less than is free", 20_000, Granted},
		{"what the first one has left", 10_000, NoMemory},
	}

	for i, tt := range tests {
		c := review(uint64(2 + i))
		c.MemoryTokens, c.MaxBacklog = tt.memory, 1<<30

		if g, ok := l.Claim(at(1), key(c.ID), c); !ok || g.Outcome != tt.want {
			t.Errorf("%s: got %v, %v; want %v", tt.name, g.Outcome, ok, tt.want)
		}
	}

	if _, ok := l.Claim(at(2000), key(9), review(9)); ok {
		t.Error("got a reply by a report of 2 s ago, want none")
	}
}

// A request ends between two reports of the engine. Guards against its memory being taken until the next
// one, and against memory that counts as freed twice: the engine may have been queried after the
// request ended, before Done arrived.
func TestMemoryFreedSinceTheReportIsGranted(t *testing.T) {
	for _, tt := range []struct {
		name         string
		startedAfter bool // started only after the report
		doneMs       int
		want         Outcome
	}{
		{"ended since the report", false, 150, Granted},
		{"may have ended before it", false, 110, NoMemory},
		{"may not have held its memory then", true, 150, NoMemory},
	} {
		l := newIdleLedger(16, 20_000)
		first, second := Key{Entry: "a", Start: 1, ID: 1}, Key{Entry: "a", Start: 1, ID: 2}
		l.Claim(t0, first, review(1))

		if !tt.startedAfter {
			l.Started(at(50), first)
		}

		l.Observe(at(100), at(100), State{Running: 1, UsedTokens: 17_000})
		l.Started(at(105), first)
		l.Done(at(tt.doneMs), first)

		if g, ok := l.Claim(at(tt.doneMs), second, review(2)); !ok || g.Outcome != tt.want {
			t.Errorf("%s: got %v, %v; want %v", tt.name, g.Outcome, ok, tt.want)
		}
	}
}

// Claims come from processes of other builds too. Guards against figures that overflow, that hold
// capacity for ever, or that set a speed which is none.
func TestInvalidClaimsAreIgnored(t *testing.T) {
	for i, change := range []func(*Claim){
		func(c *Claim) { c.PrefillTokens = -1 },
		func(c *Claim) { c.PrefillTokens = 1 << 40 },
		func(c *Claim) { c.MemoryTokens = 0 },
		func(c *Claim) { c.MemoryTokens = 1 << 40 },
		func(c *Claim) { c.MaxBacklog = -1 },
		func(c *Claim) { c.TimeLeftMs = 0 },
	} {
		l := newIdleLedger(16, 1<<41)
		c := review(1)
		change(&c)

		if _, ok := l.Claim(t0, Key{Entry: "a", Start: 1, ID: 1}, c); ok || l.Usage(t0).Held != 0 {
			t.Errorf("%d: got a reply to %+v, want none", i, c)
		}
	}

	l := newIdleLedger(16, 100_000)
	c := review(1)
	c.TimeLeftMs, c.TokensPerMs = 1<<62, -5
	l.Claim(t0, Key{Entry: "a", Start: 1, ID: 1}, c)

	if got := l.Usage(t0.Add(maxTimeLeft)).Held; got != 0 {
		t.Errorf("got %d leases after the longest time, want none", got)
	}
}

// The engine's host slows down while a leased prompt is prefilled. Guards against a backlog that
// vanishes long before the prompt is prefilled.
func TestBacklogShrinksMoreSlowlyOnASlowedHost(t *testing.T) {
	l := newIdleLedger(16, 100_000)
	l.Claim(t0, Key{Entry: "a", Start: 1, ID: 1}, review(1))
	l.Observe(t0, t0, State{Running: 1, Slowdown: 250})

	if got, want := l.Usage(at(100)).Backlog, 6000; got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}

// The ledger's memory must not grow with what entries send.
func TestLedgerIsBounded(t *testing.T) {
	l := newIdleLedger(0, 1<<30)

	for i := range 4000 {
		c := review(uint64(i))
		c.MemoryTokens, c.MaxBacklog, c.TimeLeftMs = 1, 1<<30, 10

		l.Claim(at(i/100), Key{Entry: "a", Start: 1, ID: c.ID}, c)
	}

	if len(l.leases) > maxLeases || len(l.byKey) != len(l.leases) || len(l.answered) > maxAnswered || len(l.order) > maxAnswered || len(l.ended) > maxEnded {
		t.Errorf("got %d leases, %d keys, %d and %d answered, %d ended", len(l.leases), len(l.byKey), len(l.answered), len(l.order), len(l.ended))
	}
}

func BenchmarkClaim(b *testing.B) {
	l := newIdleLedger(64, 1<<30)
	for i := range 32 {
		c := review(uint64(i))
		c.MaxBacklog, c.MemoryTokens = 1<<30, 1

		l.Claim(t0, Key{Entry: "a", Start: 1, ID: c.ID}, c)
	}

	b.ReportAllocs()

	key := Key{Entry: "b", Start: 1}
	c := review(1)
	c.MaxBacklog = 1 << 30

	for b.Loop() {
		key.ID++
		l.Claim(t0, key, c)
		l.Done(t0, key)
	}
}

// Load: an engine whose slots are taken by short prompts. Guards against long prompts that are turned away
// although a slot is free within some tens of ms, and against a queue of them at the engine.
func TestOnePromptMayWaitForASlot(t *testing.T) {
	tests := []struct {
		name             string
		running, waiting int
		want             Outcome
	}{
		{"a slot is free", 15, 0, Granted},
		{"slots taken, none waits", 16, 0, Granted},
		{"one waits", 16, 1, NoSlot},
	}

	for _, tt := range tests {
		l := newIdleLedger(16, 107_770)
		l.Observe(t0, t0, State{Running: tt.running, Waiting: tt.waiting, UsedTokens: 8000})

		if g, ok := l.Claim(at(1), Key{Entry: "10.0.0.1:1", Start: 1, ID: 1}, review(1)); !ok || g.Outcome != tt.want {
			t.Errorf("%s: got %v (reply %v), want %v", tt.name, g.Outcome, ok, tt.want)
		}
	}
}
