package room

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// held is a lease as the oracle knows it.
type held struct {
	memory    int
	grantedAt time.Time
	endsAt    time.Time
	idle      int
}

// comparison is a ledger beside an oracle: a plain map that knows when leases end, and no rule by
// which claims are granted but that of an idle engine.
type comparison struct {
	now           time.Time
	ledger        *Ledger
	memory, slots int
	state         State
	leases        map[Key]*held
	claims        map[Key]Claim
	replies       map[Key]Outcome
	lastID        uint64
}

// key draws the key of some claim, which may not have been made.
func (x *comparison) key(t *rapid.T) Key {
	return Key{Entry: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Start: rapid.Int64Range(1, 2).Draw(t, "start"), ID: rapid.Uint64Range(1, max(x.lastID, 1)).Draw(t, "id")}
}

// report applies the engine's state to both.
func (x *comparison) report() {
	x.ledger.Observe(x.now, x.now, x.state)

	for k, h := range x.leases {
		if x.state.Running+x.state.Waiting > 0 || !h.grantedAt.Before(x.now) {
			h.idle = 0

			continue
		}

		if h.idle++; h.idle >= 2 {
			delete(x.leases, k)
		}
	}
}

// Claim makes a new claim just after a report.
func (x *comparison) Claim(t *rapid.T) {
	k := x.key(t)
	x.lastID++
	k.ID = x.lastID
	c := Claim{
		ID: k.ID, PrefillTokens: rapid.IntRange(0, 50_000).Draw(t, "prefill"), MemoryTokens: rapid.IntRange(1, 60_000).Draw(t, "tokens"),
		MaxBacklog: rapid.IntRange(0, 100_000).Draw(t, "backlog"), TimeLeftMs: rapid.Int64Range(1, 5000).Draw(t, "left"),
	}

	x.report()

	idle := len(x.leases) == 0 && x.state.Running+x.state.Waiting == 0

	g, ok := x.ledger.Claim(x.now, k, c)
	if !ok {
		t.Fatalf("got no reply to a new claim")
	}

	if idle && c.MemoryTokens <= x.memory && g.Outcome != Granted {
		t.Fatalf("idle engine: got %v for %+v", g.Outcome, c)
	}

	x.claims[k], x.replies[k] = c, g.Outcome
	if g.Outcome == Granted {
		x.leases[k] = &held{memory: c.MemoryTokens, grantedAt: x.now, endsAt: x.now.Add(c.TimeLeft())}
	}
}

// Repeat makes an earlier claim again.
func (x *comparison) Repeat(t *rapid.T) {
	k := x.key(t)

	c, ok := x.claims[k]
	if !ok {
		return
	}

	before := x.ledger.Usage(x.now)
	g, ok := x.ledger.Claim(x.now, k, c)
	_, alive := x.leases[k]

	if want := alive || x.replies[k] != Granted; ok != want || (ok && g.Outcome != x.replies[k]) {
		t.Fatalf("repeated claim: got %v, %v; want %v, %v", g.Outcome, ok, x.replies[k], want)
	}

	if after := x.ledger.Usage(x.now); after != before {
		t.Fatalf("repeated claim: got %+v, want %+v", after, before)
	}
}

// Started reports the start of a prompt.
func (x *comparison) Started(t *rapid.T) { x.ledger.Started(x.now, x.key(t)) }

// Done ends a lease, twice.
func (x *comparison) Done(t *rapid.T) {
	k := x.key(t)
	_, alive := x.leases[k]

	if got := x.ledger.Done(x.now, k); got != alive {
		t.Fatalf("done: got %v, want %v", got, alive)
	}

	if x.ledger.Done(x.now, k) {
		t.Fatalf("repeated done changed something")
	}

	delete(x.leases, k)
}

// Report applies a report of the engine.
func (x *comparison) Report(t *rapid.T) {
	x.state = State{Running: rapid.IntRange(0, 2).Draw(t, "running"), Waiting: rapid.IntRange(0, 1).Draw(t, "waiting"), UsedTokens: rapid.IntRange(0, 100_000).Draw(t, "used")}
	x.report()
}

// Pass lets time pass.
func (x *comparison) Pass(t *rapid.T) {
	x.now = x.now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)

	for k, h := range x.leases {
		if !x.now.Before(h.endsAt) {
			delete(x.leases, k)
		}
	}
}

// Check compares the ledger with the oracle and with its bounds.
func (x *comparison) Check(t *rapid.T) {
	u := x.ledger.Usage(x.now)
	if u.Leased > x.memory || u.Held > x.slots || u.Backlog < 0 || u.Leases > u.Held {
		t.Fatalf("got %+v with memory %d and %d slots", u, x.memory, x.slots)
	}

	memory := 0
	for _, h := range x.leases {
		memory += h.memory
	}

	if u.Held != len(x.leases) || u.Leased != memory {
		t.Fatalf("got %+v, want %d leases with %d tokens", u, len(x.leases), memory)
	}
}

// Entries claim, repeat, report and die in any order while the engine reports in between. Guards
// against leases beyond memory or slots, leases that never end, an idle engine that turns a prompt
// away, and repeated messages that change something.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &comparison{
			now: time.Unix(1000, 0), ledger: NewLedger(), memory: rapid.IntRange(1000, 100_000).Draw(t, "memory"), slots: rapid.IntRange(1, 8).Draw(t, "slots"),
			leases: map[Key]*held{}, claims: map[Key]Claim{}, replies: map[Key]Outcome{},
		}
		x.ledger.SetCapacity(x.slots, x.memory)

		t.Repeat(rapid.StateMachineActions(x))

		if u := x.ledger.Usage(x.now.Add(5 * time.Second)); u.Held+u.Leases+u.Leased+u.Backlog > 0 {
			t.Fatalf("after all deadlines: got %+v, want no lease", u)
		}
	})
}
