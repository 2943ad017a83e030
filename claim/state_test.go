package claim

import (
	"testing"
	"time"
)

// A process requests a shard on a basis that no longer holds when its record
// reaches the log: another process was first, or the owner is live. If the
// record counted, two processes would own the shard and each could run the same
// key.
func TestTakeoverBasis(t *testing.T) {
	active := Owner{VM: "a", Incarnation: 5, Term: 10, ListVersion: 7, ConfirmedOffset: 10}
	released := active
	released.Released = true
	ended := active
	ended.Ended = true

	cases := []struct {
		name   string
		owner  Owner
		term   uint64
		record ownerRecord
		want   bool
	}{
		{"first", Owner{}, 0, ownerRecord{VM: "b", Basis: BasisFirst, OldestOffset: 1}, true},
		{"first beside an owner", active, 0, ownerRecord{VM: "b", Basis: BasisFirst, OldestOffset: 1}, false},
		{"first, the log has deleted the owner's records", active, 0, ownerRecord{VM: "b", Basis: BasisFirst, OldestOffset: 11}, true},
		{"released", released, 10, ownerRecord{VM: "b", Basis: BasisReleased}, true},
		{"released in an earlier term", released, 9, ownerRecord{VM: "b", Basis: BasisReleased}, false},
		{"not released", active, 10, ownerRecord{VM: "b", Basis: BasisReleased}, false},
		{"unlisted", active, 10, ownerRecord{VM: "b", Basis: BasisUnlisted, ListVersion: 8}, true},
		{"unlisted, but the second request", active, 9, ownerRecord{VM: "b", Basis: BasisUnlisted, ListVersion: 8}, false},
		{"unlisted by a list that is too old", active, 10, ownerRecord{VM: "b", Basis: BasisUnlisted, ListVersion: 7}, false},
		{"unlisted, but the same VM", active, 10, ownerRecord{VM: "a", Basis: BasisUnlisted, ListVersion: 8}, false},
		{"restarted", active, 10, ownerRecord{VM: "a", Incarnation: 6, Basis: BasisRestarted}, true},
		{"restarted, but an earlier incarnation", active, 10, ownerRecord{VM: "a", Incarnation: 4, Basis: BasisRestarted}, false},
		{"ended, request from any VM", ended, 10, ownerRecord{VM: "b", Basis: BasisRestarted}, true},
		{"ended, but the second request", ended, 9, ownerRecord{VM: "b", Basis: BasisRestarted}, false},
		{"restarted on another VM", active, 10, ownerRecord{VM: "b", Incarnation: 6, Basis: BasisRestarted}, false},
		{"no basis", active, 10, ownerRecord{VM: "b"}, false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(StateConfig{})
			s.owner = c.owner
			s.apply(20, time.Unix(1000, 0).UnixMilli(), record{Kind: kindOwner, Term: c.term, Owner: &c.record})

			if got := s.Owner().Term == 20; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Records of a key come from an earlier owner, a second time, or from another
// run. If one of them counted, a key that ran would be free again, or a caller
// would get the response to another run.
func TestKeyStatusByRecords(t *testing.T) {
	id := NewKeyID("o", "k")
	owner := record{Kind: kindOwner, Owner: &ownerRecord{VM: "a", Incarnation: 1, Basis: BasisFirst, OldestOffset: 1}}
	claim := record{Kind: kindClaim, Term: 1, KeyID: id, RunID: 7}
	otherTerm := record{Kind: kindClaim, Term: 9, KeyID: id, RunID: 8}
	secondClaim := record{Kind: kindClaim, Term: 1, KeyID: id, RunID: 9}
	outcome := func(run uint64, status int) record {
		return record{Kind: kindOutcome, Term: 1, KeyID: id, RunID: run, Outcome: &Outcome{Status: status}}
	}
	withdraw := func(run uint64) record { return record{Kind: kindWithdraw, Term: 1, KeyID: id, RunID: run} }
	release := record{Kind: kindRelease, Term: 1}
	laterStart := record{Kind: kindStart, Owner: &ownerRecord{VM: "a", Incarnation: 2}}
	sameStart := record{Kind: kindStart, Owner: &ownerRecord{VM: "a", Incarnation: 1}}
	otherVMStart := record{Kind: kindStart, Owner: &ownerRecord{VM: "b", Incarnation: 2}}

	cases := []struct {
		name    string
		records []record
		want    KeyStatus
		status  int
	}{
		{"claimed", []record{owner, claim}, KeyClaimed, 0},
		{"claimed in another term", []record{owner, otherTerm}, KeyUnused, 0},
		{"claimed after the release", []record{owner, release, claim}, KeyUnused, 0},
		{"claimed after a later process started", []record{owner, laterStart, claim}, KeyUnused, 0},
		{"claimed after its own late start record", []record{owner, sameStart, claim}, KeyClaimed, 0},
		{"claimed after a start on another VM", []record{owner, otherVMStart, claim}, KeyClaimed, 0},
		{"completed", []record{owner, claim, outcome(7, 201)}, KeyCompleted, 201},
		{"completed after the release", []record{owner, claim, release, outcome(7, 201)}, KeyCompleted, 201},
		{"completed twice", []record{owner, claim, outcome(7, 201), outcome(7, 500)}, KeyCompleted, 201},
		{"completed by another run", []record{owner, claim, outcome(8, 201)}, KeyClaimed, 0},
		{"second claim", []record{owner, claim, secondClaim, outcome(9, 500)}, KeyClaimed, 0},
		{"withdrawn", []record{owner, claim, withdraw(7)}, KeyUnused, 0},
		{"withdrawn by another run", []record{owner, claim, withdraw(8)}, KeyClaimed, 0},
		{"withdrawn after it ran", []record{owner, claim, outcome(7, 201), withdraw(7)}, KeyCompleted, 201},
		{"claimed again", []record{owner, claim, withdraw(7), secondClaim, outcome(9, 202)}, KeyCompleted, 202},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := NewState(StateConfig{})

			for i, r := range c.records {
				s.apply(uint64(i+1), now.UnixMilli(), r)
			}

			if got := s.Lookup(now, Key{ID: id}); got != c.want {
				t.Errorf("status: got %d, want %d", got, c.want)
			}

			if o := s.entries[id].outcome; c.status != 0 && (o == nil || o.Status != c.status) {
				t.Errorf("outcome: got %+v, want status %d", o, c.status)
			}
		})
	}
}

// Operators shorten the key lifetime and lengthen it again. A key that was
// forgotten in between would look unused, and its request would run again.
func TestForgottenKeysStayExpired(t *testing.T) {
	now := time.Unix(1e6, 0)
	first := now
	s := NewState(StateConfig{KeyLifetime: time.Minute})
	s.apply(1, now.UnixMilli(), record{Kind: kindOwner, Owner: &ownerRecord{VM: "a", Incarnation: 1, Basis: BasisFirst, OldestOffset: 1}})

	claim := func(offset uint64, at time.Time) {
		s.apply(offset, at.UnixMilli(), record{
			Kind: kindClaim, Term: 1, KeyID: NewKeyID("o", at.String()), RunID: offset, IssuedMS: at.UnixMilli(),
		})
	}

	claim(2, now)
	s.SetKeyLifetime(24 * time.Hour)

	now = now.Add(10 * time.Minute)
	claim(3, now)

	if got := s.Len(); got != 1 {
		t.Errorf("remembered: got %d keys, want the second", got)
	}

	cases := []struct {
		name   string
		issued time.Time
		want   KeyStatus
	}{
		{"forgotten", first, KeyExpired},
		{"remembered", now, KeyClaimed},
		{"new", now.Add(time.Second), KeyUnused},
	}

	for _, c := range cases {
		if got := s.Lookup(now, Key{ID: NewKeyID("o", c.issued.String()), Issued: c.issued}); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}

	copied := NewState(StateConfig{KeyLifetime: 24 * time.Hour})
	if err := copied.Restore(s.Encode()); err != nil {
		t.Fatal(err)
	}

	if got := copied.Lookup(now, Key{ID: NewKeyID("o", first.String()), Issued: first}); got != KeyExpired {
		t.Errorf("forgotten, by a snapshot: got %d, want expired", got)
	}
}
