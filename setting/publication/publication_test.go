package publication

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/failure"
	"boragehub/setting"
)

func text(attempts int) []byte {
	return []byte(strings.Replace(setting.Example(), "max_attempts = 3", "max_attempts = "+string(rune('0'+attempts)), 1))
}

func publish(log Log, id string, based uint64, b []byte) (uint64, error) {
	return Publish(context.Background(), PublishConfig{Log: log, Wait: time.Nanosecond},
		Change{ID: id, Based: based, Author: "ann", Name: id, Text: b})
}

func follower(log Log, vm string) *Follower {
	return NewFollower(FollowerConfig{Log: log, Self: Member{vm, "a"}, Logger: logr.Discard()})
}

func TestPublishedComesIntoForce(t *testing.T) {
	log := newFakeLog()
	f := follower(log, "e1")

	if f.Ready() {
		t.Error("got ready without a version")
	}

	version, err := publish(log, "one", 0, text(2))
	if err != nil {
		t.Fatal(err)
	}

	if err := f.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	p := f.Current()
	if got, want := p.Version(), version; got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}

	if got, want := p.Tree().Effective(setting.Path{}).MaxAttempts, 2; got != want {
		t.Errorf("max_attempts: got %d, want %d", got, want)
	}
}

// Two operators edit the same version. Both are told "ok" by a naive publisher
// and the first one's change is gone without a word.
func TestSecondOperatorIsToldWhatToRebaseOn(t *testing.T) {
	log := newFakeLog()

	first, err := publish(log, "one", 0, text(3))
	if err != nil {
		t.Fatal(err)
	}

	second, err := publish(log, "two", first, text(2))
	if err != nil {
		t.Fatal(err)
	}

	_, err = publish(log, "three", first, text(4))
	if got, want := failure.KindOf(err), failure.Conflict; got != want {
		t.Fatalf("got %v (%v), want %v", got, err, want)
	}

	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %T, want a ConflictError", err)
	}

	if got, want := conflict.InForce, second; got != want {
		t.Errorf("in force: got %d, want %d", got, want)
	}

	if got, want := len(conflict.Changes), 1; got != want {
		t.Fatalf("changes: got %v, want %d", conflict.Changes, want)
	}

	if got, want := conflict.Changes[0], (setting.Change{Key: "max_attempts", Before: "3", After: "2"}); got != want {
		t.Errorf("change: got %v, want %v", got, want)
	}
}

func TestRebaseKeepsBothChanges(t *testing.T) {
	base := text(3)
	mine := text(2)
	theirs := []byte(strings.Replace(string(base), "concurrent_loads = 2", "concurrent_loads = 4", 1))

	b, err := Rebase(base, mine, theirs)
	if err != nil {
		t.Fatal(err)
	}

	got := string(b)
	want := strings.Replace(string(mine), "concurrent_loads = 2", "concurrent_loads = 4", 1)

	if got != want {
		t.Errorf("got %s, want %s", got, want)
	}

	if _, err := Rebase(base, mine, text(4)); failure.KindOf(err) != failure.Conflict {
		t.Errorf("same line: got %v, want a conflict", err)
	}
}

// The log takes a change in, and the connection breaks before it says so. A
// publisher that tries again without reading on is then told of a conflict with
// itself, and its operator undoes a change that is in force.
func TestLostAnswerIsSettledByReadingOn(t *testing.T) {
	log := newFakeLog()
	log.loseAnswers = 1

	version, err := publish(log, "one", 0, text(2))
	if err != nil || version != 1 {
		t.Errorf("got %d %v, want version 1", version, err)
	}

	if got, want := log.appends, 1; got != want {
		t.Errorf("appends: got %d, want %d", got, want)
	}
}

// The log forgets the settings before anyone wrote them again, and an operator
// publishes a tree to recover. The record is held up on its way, the operator is
// told of a conflict, another one recovers, and then the first record arrives. A
// user notices that settings which were in force for a while are gone.
// (Found by TestAcceptedSettingsNeverRevert, seed 11455200776972050946.)
func TestLateRecoveryTakesNothingBack(t *testing.T) {
	log := newFakeLog()

	if _, err := publish(log, "one", 0, text(1)); err != nil {
		t.Fatal(err)
	}

	log.trim(0)

	recoverWith := func(id string, b []byte) (uint64, error) {
		return Publish(t.Context(), PublishConfig{Log: log, Wait: time.Nanosecond, Attempts: 1},
			Change{ID: id, Author: "ann", Name: id, Text: b, Recover: true})
	}

	log.holdBack = 1
	if _, err := recoverWith("late", text(2)); failure.KindOf(err) != failure.OutcomeUnknown {
		t.Fatalf("held back: got %v, want %v", err, failure.OutcomeUnknown)
	}

	version, err := recoverWith("other", text(4))
	if err != nil {
		t.Fatal(err)
	}

	log.arrive()

	f := follower(log, "e1")
	for range 2 { // the first read learns what is kept
		if err := f.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
	}

	if got, want := f.Current().Version(), version; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}

	if _, err := recoverWith("again", text(2)); failure.KindOf(err) != failure.Conflict {
		t.Errorf("recover what is known: got %v, want %v", err, failure.Conflict)
	}
}

// What one process hands to another must not change while it is on its way and
// the sender goes on. Otherwise its hash no longer fits, and the other process
// refuses good settings. (Found by TestAcceptedSettingsNeverRevert, seed 623287.)
func TestHandoverStaysAsItWas(t *testing.T) {
	log := newFakeLog()
	from, to := follower(log, "e1"), follower(log, "e2")

	first, err := publish(log, "one", 0, text(1))
	if err != nil {
		t.Fatal(err)
	}

	if err := from.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	from.replica.steps = nil // the whole text is handed over

	h := from.HandOver(time.Time{}, "e2", 0)

	if _, err := publish(log, "two", first, text(2)); err != nil {
		t.Fatal(err)
	}

	if err := from.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if err := to.Offer(h); err != nil {
		t.Errorf("got %v, want it taken", err)
	}

	if got, want := to.Current().Version(), first; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// A snapshot is written while another operator's change is half in the log, and
// retention then passes that first half. A process that starts now and trusts
// the snapshot misses the half, refuses the change that all others accepted, and
// goes on with old settings for ever.
func TestSnapshotBetweenPartsHidesNothing(t *testing.T) {
	log := newFakeLog()
	early, late := follower(log, "e1"), follower(log, "e2")

	first, err := publish(log, "one", 0, text(1))
	if err != nil {
		t.Fatal(err)
	}

	read := func(f *Follower) {
		t.Helper()

		for range 2 {
			if err := f.readLog(t.Context(), 0); err != nil {
				t.Fatal(err)
			}
		}
	}

	payload := encode(newContent(text(1), text(2)))
	hash := setting.HashOf(text(2))
	parts := split(record{Kind: changeRecord, ID: "two", Based: first, Hash: hash[:]}, payload, len(payload)-1)

	log.add(parts[0])
	read(early)

	if err := early.Snapshot(t.Context(), "s"); err != nil {
		t.Fatal(err)
	}

	log.add(parts[1])
	log.trim(2)
	read(early)
	read(late)

	if p := late.Current(); p != nil {
		t.Errorf("got version %d from a snapshot that hides half a change, want none", p.Version())
	}

	if err := late.Offer(early.HandOver(time.Time{}, "e2", 0)); err != nil {
		t.Fatal(err)
	}

	if got, want := late.Current().Version(), early.Current().Version(); got != want || got == first {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Two operators publish changes of several records at once, and the records mix.
// Which of them counts must not depend on where a reader started.
func TestMixedPartsAreNoChange(t *testing.T) {
	log := newFakeLog()

	first, err := publish(log, "one", 0, text(1))
	if err != nil {
		t.Fatal(err)
	}

	parts := func(id string, b []byte) [][]byte {
		payload := encode(newContent(text(1), b))
		hash := setting.HashOf(b)

		return split(record{Kind: changeRecord, ID: id, Based: first, Hash: hash[:]}, payload, len(payload)-1)
	}

	a, b := parts("a", text(2)), parts("b", text(4))
	for _, part := range [][]byte{a[0], b[0], a[1], b[1]} {
		log.add(part)
	}

	whole, middle := follower(log, "e1"), follower(log, "e2")
	middle.replica.read = 2
	middle.replica.head = head{version: first, text: text(1), hash: setting.HashOf(text(1))}

	for _, f := range []*Follower{whole, middle} {
		if err := f.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}

		if got, want := f.Current().Version(), first; got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	}
}

// The process that holds the lease for snapshots need not be one that reads the
// log. If it doesn't remember its own it writes the whole tree again at each
// look, and the log forgets the changes all the sooner.
func TestSnapshotIsDueNowAndThen(t *testing.T) {
	log := newFakeLog()
	reader := follower(log, "e1")

	var now time.Time

	holder := NewFollower(FollowerConfig{
		Log: log, Self: Member{"e2", "a"}, Logger: logr.Discard(), Clock: func() time.Time { return now },
	})
	now = log.now

	if holder.SnapshotDue(now) {
		t.Error("due without a version")
	}

	version, err := publish(log, "one", 0, text(1))
	if err != nil {
		t.Fatal(err)
	}

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if err := holder.Offer(reader.HandOver(now, "e2", 0)); err != nil {
		t.Fatal(err)
	}

	for i, want := range []bool{true, false} {
		if got := holder.SnapshotDue(now); got != want {
			t.Errorf("look %d: got due %v, want %v", i, got, want)
		}

		if err := holder.Snapshot(t.Context(), "s"); err != nil {
			t.Fatal(err)
		}
	}

	if !holder.SnapshotDue(now.Add(snapshotAge)) {
		t.Error("not due after its age")
	}

	// The log now keeps the snapshots alone, the older half of nothing.
	log.trim(2)

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	for range 6 {
		log.add([]byte("no record of ours"))
	}

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if !reader.SnapshotDue(log.now) {
		t.Error("not due although the log will soon forget it")
	}

	if got, want := reader.Current().Version(), version; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// A change of several records is published while another operator's record, which
// is refused, falls between them. Nothing has changed in between, so the operator
// must not be told of a conflict, nor left without an answer.
func TestInterruptedChangeIsSentAgain(t *testing.T) {
	log := newFakeLog()

	first, err := publish(log, "one", 0, text(1))
	if err != nil {
		t.Fatal(err)
	}

	refused := encode(record{Kind: changeRecord, ID: "other", Based: first + 7, Parts: 1})
	log.before = []func(){func() { log.add(refused) }, func() {}} // the last one runs first

	version, err := Publish(t.Context(), PublishConfig{Log: log, Wait: time.Nanosecond, partBytes: 10},
		Change{ID: "two", Based: first, Author: "ann", Name: "two", Text: text(2)})
	if err != nil {
		t.Fatal(err)
	}

	b, err := TextAt(t.Context(), log, version)
	if got, want := string(b), string(text(2)); got != want || err != nil {
		t.Errorf("version %d: got %q %v, want %q", version, got, err, want)
	}
}

// shareOf returns the share in force at the root; zero without a version.
func shareOf(f *Follower) float64 {
	if p := f.Current(); p != nil {
		return p.Tree().Effective(setting.Path{}).Share
	}

	return 0
}

// During an upgrade an operator with the newer release publishes a key that the
// older one doesn't know. If that release took no part in the order, its
// processes would refuse this and all later changes, and stay behind for ever.
func TestVersionOfANewerReleaseIsPassedOn(t *testing.T) {
	log := newFakeLog()
	reader, behind := follower(log, "e1"), follower(log, "e2")

	first, err := publish(log, "one", 0, []byte("share = 2.0\n"))
	if err != nil {
		t.Fatal(err)
	}

	newer := []byte("share = 3.0\nkey_of_the_next_release = true\n")
	hash := setting.HashOf(newer)
	payload := encode(newContent([]byte("share = 2.0\n"), newer))

	step := func(want uint64, share [2]float64) {
		t.Helper()

		if err := reader.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}

		h := reader.HandOver(time.Time{}, "e2", 0)
		if got := h.Version(); got != want {
			t.Errorf("handed on: got version %d, want %d", got, want)
		}

		if err := behind.Offer(h); err != nil {
			t.Fatal(err)
		}

		if got := [2]float64{shareOf(reader), shareOf(behind)}; got != share {
			t.Errorf("version %d: got share %v, want %v", want, got, share)
		}
	}

	step(1, [2]float64{2, 2})

	log.add(split(record{Kind: changeRecord, ID: "two", Based: first, Hash: hash[:]}, payload, partBytes)[0])

	behind = follower(log, "e2") // replaced meanwhile

	step(2, [2]float64{2, 0})

	if _, b, err := Text(t.Context(), log); string(b) != string(newer) || err != nil {
		t.Errorf("shown: got %q %v, want %q", b, err, newer)
	}

	mended := []byte("share = 4.0\n")
	if got, err := publish(log, "three", 2, mended); got != 3 || err != nil {
		t.Fatalf("publish on it: got %d %v, want 3", got, err)
	}

	step(3, [2]float64{4, 4})
}
