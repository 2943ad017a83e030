package claim

import (
	"testing"
	"time"
)

// A process asks for a shard on grounds that no longer hold when its record gets
// into the log: another one was first, or the home is alive. If the record
// counted, two processes would be home, and a booking could be made by each.
func TestWhoMayTakeOver(t *testing.T) {
	living := Holder{VM: "a", Incarnation: 5, Term: 10, Listed: 7, Asserted: 10}
	released := living
	released.Released = true
	ended := living
	ended.Ended = true

	cases := []struct {
		name   string
		holder Holder
		term   uint64
		home   homeRecord
		want   bool
	}{
		{"first", Holder{}, 0, homeRecord{VM: "b", Basis: BasisFirst, From: 1}, true},
		{"first beside a home", living, 0, homeRecord{VM: "b", Basis: BasisFirst, From: 1}, false},
		{"first, the log has forgotten the home", living, 0, homeRecord{VM: "b", Basis: BasisFirst, From: 11}, true},
		{"released", released, 10, homeRecord{VM: "b", Basis: BasisReleased}, true},
		{"released by an earlier home", released, 9, homeRecord{VM: "b", Basis: BasisReleased}, false},
		{"not released", living, 10, homeRecord{VM: "b", Basis: BasisReleased}, false},
		{"gone", living, 10, homeRecord{VM: "b", Basis: BasisGone, Listed: 8}, true},
		{"gone, but the second to ask", living, 9, homeRecord{VM: "b", Basis: BasisGone, Listed: 8}, false},
		{"gone by a list that is too old", living, 10, homeRecord{VM: "b", Basis: BasisGone, Listed: 7}, false},
		{"gone, but the same VM", living, 10, homeRecord{VM: "a", Basis: BasisGone, Listed: 8}, false},
		{"reborn", living, 10, homeRecord{VM: "a", Incarnation: 6, Basis: BasisReborn}, true},
		{"reborn, but earlier", living, 10, homeRecord{VM: "a", Incarnation: 4, Basis: BasisReborn}, false},
		{"ended, by any VM", ended, 10, homeRecord{VM: "b", Basis: BasisReborn}, true},
		{"ended, but the second to ask", ended, 9, homeRecord{VM: "b", Basis: BasisReborn}, false},
		{"reborn elsewhere", living, 10, homeRecord{VM: "b", Incarnation: 6, Basis: BasisReborn}, false},
		{"no basis", living, 10, homeRecord{VM: "b"}, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(LedgerConfig{})
			l.holder = c.holder
			l.apply(20, time.Unix(1000, 0).UnixMilli(), record{Kind: kindHome, Term: c.term, Home: &c.home})

			if got := l.Holder().Term == 20; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Records of a key arrive from a home that has been succeeded, a second time, or
// out of another run. Counting one of them would free a key that ran, or give a
// caller an answer that belongs to another run.
func TestWhichRecordsOfAKeyCount(t *testing.T) {
	id := NewID("o", "k")
	home := record{Kind: kindHome, Home: &homeRecord{VM: "a", Incarnation: 1, Basis: BasisFirst, From: 1}}
	claim := record{Kind: kindClaim, Term: 1, ID: id, Run: 7}
	foreign := record{Kind: kindClaim, Term: 9, ID: id, Run: 8}
	second := record{Kind: kindClaim, Term: 1, ID: id, Run: 9}
	outcome := func(run uint64, status int) record {
		return record{Kind: kindOutcome, Term: 1, ID: id, Run: run, Outcome: &Outcome{Status: status}}
	}
	withdraw := func(run uint64) record { return record{Kind: kindWithdraw, Term: 1, ID: id, Run: run} }
	release := record{Kind: kindRelease, Term: 1}
	later := record{Kind: kindBorn, Home: &homeRecord{VM: "a", Incarnation: 2}}
	same := record{Kind: kindBorn, Home: &homeRecord{VM: "a", Incarnation: 1}}
	other := record{Kind: kindBorn, Home: &homeRecord{VM: "b", Incarnation: 2}}

	cases := []struct {
		name    string
		records []record
		want    Standing
		status  int
	}{
		{"claimed", []record{home, claim}, Open, 0},
		{"claimed by none that is home", []record{home, foreign}, Fresh, 0},
		{"claimed after the release", []record{home, release, claim}, Fresh, 0},
		{"claimed after a later process started", []record{home, later, claim}, Fresh, 0},
		{"claimed after its own start is told late", []record{home, same, claim}, Open, 0},
		{"claimed after a process started elsewhere", []record{home, other, claim}, Open, 0},
		{"settled", []record{home, claim, outcome(7, 201)}, Settled, 201},
		{"settled after the release", []record{home, claim, release, outcome(7, 201)}, Settled, 201},
		{"settled twice", []record{home, claim, outcome(7, 201), outcome(7, 500)}, Settled, 201},
		{"settled by another run", []record{home, claim, outcome(8, 201)}, Open, 0},
		{"second claim", []record{home, claim, second, outcome(9, 500)}, Open, 0},
		{"withdrawn", []record{home, claim, withdraw(7)}, Fresh, 0},
		{"withdrawn by another run", []record{home, claim, withdraw(8)}, Open, 0},
		{"withdrawn after it ran", []record{home, claim, outcome(7, 201), withdraw(7)}, Settled, 201},
		{"claimed again", []record{home, claim, withdraw(7), second, outcome(9, 202)}, Settled, 202},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := NewLedger(LedgerConfig{})

			for i, r := range c.records {
				l.apply(uint64(i+1), now.UnixMilli(), r)
			}

			if got := l.Ask(now, Key{ID: id}); got != c.want {
				t.Errorf("standing: got %d, want %d", got, c.want)
			}

			if o := l.entries[id].outcome; c.status != 0 && (o == nil || o.Status != c.status) {
				t.Errorf("outcome: got %+v, want status %d", o, c.status)
			}
		})
	}
}

// Operators shorten the time for which keys are remembered and lengthen it again.
// A key that was forgotten between would look new, and its booking run again.
func TestForgottenKeysStayRefused(t *testing.T) {
	now := time.Unix(1e6, 0)
	first := now
	l := NewLedger(LedgerConfig{Memory: time.Minute})
	l.apply(1, now.UnixMilli(), record{Kind: kindHome, Home: &homeRecord{VM: "a", Incarnation: 1, Basis: BasisFirst, From: 1}})

	claim := func(offset uint64, at time.Time) {
		l.apply(offset, at.UnixMilli(), record{
			Kind: kindClaim, Term: 1, ID: NewID("o", at.String()), Run: offset, IssuedMS: at.UnixMilli(),
		})
	}

	claim(2, now)
	l.Remember(24 * time.Hour)

	now = now.Add(10 * time.Minute)
	claim(3, now)

	if got := l.Len(); got != 1 {
		t.Errorf("remembered: got %d keys, want the second", got)
	}

	cases := []struct {
		name   string
		issued time.Time
		want   Standing
	}{
		{"forgotten", first, Expired},
		{"remembered", now, Open},
		{"new", now.Add(time.Second), Fresh},
	}

	for _, c := range cases {
		if got := l.Ask(now, Key{ID: NewID("o", c.issued.String()), Issued: c.issued}); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}

	copied := NewLedger(LedgerConfig{Memory: 24 * time.Hour})
	if err := copied.Restore(l.Encode()); err != nil {
		t.Fatal(err)
	}

	if got := copied.Ask(now, Key{ID: NewID("o", first.String()), Issued: first}); got != Expired {
		t.Errorf("forgotten, by a snapshot: got %d, want expired", got)
	}
}
