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

func treeText(attempts int) []byte {
	return []byte(strings.Replace(setting.Example(), "max_attempts = 3", "max_attempts = "+string(rune('0'+attempts)), 1))
}

func publishText(log Log, id string, based uint64, b []byte) (uint64, error) {
	return Publish(context.Background(), PublishConfig{Log: log, Wait: time.Nanosecond},
		Change{ID: id, BaseVersion: based, Author: "ann", Name: id, Text: b})
}

func newTestFollower(log Log, vm string) *Follower {
	return NewFollower(FollowerConfig{Log: log, Self: Member{vm, "a"}, Logger: logr.Discard()})
}

func TestPublishedComesIntoForce(t *testing.T) {
	log := newFakeLog()
	f := newTestFollower(log, "e1")

	if f.Ready() {
		t.Error("got ready without a version")
	}

	version, err := publishText(log, "one", 0, treeText(2))
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

// Two operators edit the same version. If both got the result that their change is in
// force, the first one's change would be lost unnoticed.
func TestConflictHasVersionToRebaseOn(t *testing.T) {
	log := newFakeLog()

	first, err := publishText(log, "one", 0, treeText(3))
	if err != nil {
		t.Fatal(err)
	}

	second, err := publishText(log, "two", first, treeText(2))
	if err != nil {
		t.Fatal(err)
	}

	_, err = publishText(log, "three", first, treeText(4))
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
	base := treeText(3)
	mine := treeText(2)
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

	if _, err := Rebase(base, mine, treeText(4)); failure.KindOf(err) != failure.Conflict {
		t.Errorf("same line: got %v, want a conflict", err)
	}
}

// The log accepts a change, but the response is lost. A publisher that retries
// without reading on would get a conflict with its own change, and its operator
// would undo a change that is in force.
func TestLostAppendResponseIsResolvedByReading(t *testing.T) {
	log := newFakeLog()
	log.loseResponses = 1

	version, err := publishText(log, "one", 0, treeText(2))
	if err != nil || version != 1 {
		t.Errorf("got %d %v, want version 1", version, err)
	}

	if got, want := log.appends, 1; got != want {
		t.Errorf("appends: got %d, want %d", got, want)
	}
}

// The log trims the settings before any process wrote a snapshot, and an operator
// publishes a tree to recover. The append is delayed and fails with an unknown
// outcome, another operator recovers, and then the first record arrives. It must not
// revert the settings in force.
// (Found by TestAcceptedSettingsNeverRevert, seed 11455200776972050946.)
func TestDelayedRecoveryDoesNotRevert(t *testing.T) {
	log := newFakeLog()

	if _, err := publishText(log, "one", 0, treeText(1)); err != nil {
		t.Fatal(err)
	}

	log.trim(0)

	recoverWith := func(id string, b []byte) (uint64, error) {
		return Publish(t.Context(), PublishConfig{Log: log, Wait: time.Nanosecond, Attempts: 1},
			Change{ID: id, Author: "ann", Name: id, Text: b, Recover: true})
	}

	log.delayAppends = 1
	if _, err := recoverWith("late", treeText(2)); failure.KindOf(err) != failure.OutcomeUnknown {
		t.Fatalf("delayed append: got %v, want %v", err, failure.OutcomeUnknown)
	}

	version, err := recoverWith("other", treeText(4))
	if err != nil {
		t.Fatal(err)
	}

	log.deliverDelayed()

	f := newTestFollower(log, "e1")
	for range 2 { // the first read learns the oldest kept offset
		if err := f.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
	}

	if got, want := f.Current().Version(), version; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}

	if _, err := recoverWith("again", treeText(2)); failure.KindOf(err) != failure.Conflict {
		t.Errorf("recover although the version in force is known: got %v, want %v", err, failure.Conflict)
	}
}

// An update must not change after it was returned while the sender applies further
// versions. Otherwise its hash no longer matches, and the receiver refuses valid
// settings. (Found by TestAcceptedSettingsNeverRevert, seed 623287.)
func TestUpdateIsNotModifiedAfterReturn(t *testing.T) {
	log := newFakeLog()
	from, to := newTestFollower(log, "e1"), newTestFollower(log, "e2")

	first, err := publishText(log, "one", 0, treeText(1))
	if err != nil {
		t.Fatal(err)
	}

	if err := from.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	from.replica.deltas = nil // so that the update holds the full text

	u := from.UpdateFor(time.Time{}, "e2", 0)

	if _, err := publishText(log, "two", first, treeText(2)); err != nil {
		t.Fatal(err)
	}

	if err := from.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if err := to.ApplyUpdate(u); err != nil {
		t.Errorf("got %v, want no error", err)
	}

	if got, want := to.Current().Version(), first; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// A snapshot is written after the first part of another operator's change, and the
// log then trims that part. A process that starts now and relies on the snapshot
// would miss the part, refuse the change that all others accepted, and keep the
// old settings for ever.
func TestSnapshotBetweenPartsLosesNoChange(t *testing.T) {
	log := newFakeLog()
	reader, starter := newTestFollower(log, "e1"), newTestFollower(log, "e2")

	first, err := publishText(log, "one", 0, treeText(1))
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

	payload := encode(newContent(treeText(1), treeText(2)))
	hash := setting.HashOf(treeText(2))
	parts := split(record{Kind: changeRecord, ID: "two", Based: first, Hash: hash[:]}, payload, len(payload)-1)

	log.add(parts[0])
	read(reader)

	if err := reader.Snapshot(t.Context(), "s"); err != nil {
		t.Fatal(err)
	}

	log.add(parts[1])
	log.trim(2)
	read(reader)
	read(starter)

	if p := starter.Current(); p != nil {
		t.Errorf("got version %d from a snapshot between the parts of a change, want none", p.Version())
	}

	if err := starter.ApplyUpdate(reader.UpdateFor(time.Time{}, "e2", 0)); err != nil {
		t.Fatal(err)
	}

	if got, want := starter.Current().Version(), reader.Current().Version(); got != want || got == first {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// Two operators publish changes of several records at once, and the records
// interleave. Which change is accepted must not depend on where a reader started.
func TestInterleavedPartsAreRefused(t *testing.T) {
	log := newFakeLog()

	first, err := publishText(log, "one", 0, treeText(1))
	if err != nil {
		t.Fatal(err)
	}

	parts := func(id string, b []byte) [][]byte {
		payload := encode(newContent(treeText(1), b))
		hash := setting.HashOf(b)

		return split(record{Kind: changeRecord, ID: id, Based: first, Hash: hash[:]}, payload, len(payload)-1)
	}

	a, b := parts("a", treeText(2)), parts("b", treeText(4))
	for _, part := range [][]byte{a[0], b[0], a[1], b[1]} {
		log.add(part)
	}

	fromStart, fromMiddle := newTestFollower(log, "e1"), newTestFollower(log, "e2")
	fromMiddle.replica.read = 2
	fromMiddle.replica.head = head{version: first, text: treeText(1), hash: setting.HashOf(treeText(1))}

	for _, f := range []*Follower{fromStart, fromMiddle} {
		if err := f.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}

		if got, want := f.Current().Version(), first; got != want {
			t.Errorf("got version %d, want %d", got, want)
		}
	}
}

// The process that holds the lease for snapshots may be one that doesn't read the
// log. If it didn't record its own snapshots, it would write the full tree again at
// each check, and the log would trim the changes all the sooner.
func TestSnapshotDue(t *testing.T) {
	log := newFakeLog()
	reader := newTestFollower(log, "e1")

	var now time.Time

	holder := NewFollower(FollowerConfig{
		Log: log, Self: Member{"e2", "a"}, Logger: logr.Discard(), Clock: func() time.Time { return now },
	})
	now = log.now

	if holder.SnapshotDue(now) {
		t.Error("due without a version")
	}

	version, err := publishText(log, "one", 0, treeText(1))
	if err != nil {
		t.Fatal(err)
	}

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if err := holder.ApplyUpdate(reader.UpdateFor(now, "e2", 0)); err != nil {
		t.Fatal(err)
	}

	for i, want := range []bool{true, false} {
		if got := holder.SnapshotDue(now); got != want {
			t.Errorf("check %d: got due %v, want %v", i, got, want)
		}

		if err := holder.Snapshot(t.Context(), "s"); err != nil {
			t.Fatal(err)
		}
	}

	if !holder.SnapshotDue(now.Add(snapshotInterval)) {
		t.Error("not due after snapshotInterval")
	}

	// The log now keeps only the two snapshots.
	log.trim(2)

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	for range 6 {
		log.add([]byte("not a record"))
	}

	if err := reader.readLog(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if !reader.SnapshotDue(log.now) {
		t.Error("not due although the log will soon trim the snapshot")
	}

	if got, want := reader.Current().Version(), version; got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
}

// While a change of several records is published, another operator's record, which
// is refused, is appended between them. The version in force hasn't changed, so the
// operator must get neither a conflict nor an unknown outcome.
func TestInterruptedChangeIsRetried(t *testing.T) {
	log := newFakeLog()

	first, err := publishText(log, "one", 0, treeText(1))
	if err != nil {
		t.Fatal(err)
	}

	refused := encode(record{Kind: changeRecord, ID: "other", Based: first + 7, Parts: 1})
	log.beforeAppend = []func(){func() { log.add(refused) }, func() {}} // the last function runs first

	version, err := Publish(t.Context(), PublishConfig{Log: log, Wait: time.Nanosecond, partBytes: 10},
		Change{ID: "two", BaseVersion: first, Author: "ann", Name: "two", Text: treeText(2)})
	if err != nil {
		t.Fatal(err)
	}

	b, err := TextAt(t.Context(), log, version)
	if got, want := string(b), string(treeText(2)); got != want || err != nil {
		t.Errorf("version %d: got %q %v, want %q", version, got, err, want)
	}
}

// shareOf returns the share in force at the root; 0 without a version.
func shareOf(f *Follower) float64 {
	if p := f.Current(); p != nil {
		return p.Tree().Effective(setting.Path{}).Share
	}

	return 0
}

// During an upgrade an operator with the newer release publishes a key that the
// older release doesn't know. If the older release ignored that version, its
// processes would refuse this and all later changes, and lag for ever.
func TestVersionOfNewerReleaseIsDistributed(t *testing.T) {
	log := newFakeLog()
	reader, lagging := newTestFollower(log, "e1"), newTestFollower(log, "e2")

	first, err := publishText(log, "one", 0, []byte("share = 2.0\n"))
	if err != nil {
		t.Fatal(err)
	}

	newerText := []byte("share = 3.0\nkey_of_the_next_release = true\n")
	hash := setting.HashOf(newerText)
	payload := encode(newContent([]byte("share = 2.0\n"), newerText))

	checkShares := func(want uint64, share [2]float64) {
		t.Helper()

		if err := reader.readLog(t.Context(), 0); err != nil {
			t.Fatal(err)
		}

		u := reader.UpdateFor(time.Time{}, "e2", 0)
		if got := u.Version(); got != want {
			t.Errorf("update: got version %d, want %d", got, want)
		}

		if err := lagging.ApplyUpdate(u); err != nil {
			t.Fatal(err)
		}

		if got := [2]float64{shareOf(reader), shareOf(lagging)}; got != share {
			t.Errorf("version %d: got share %v, want %v", want, got, share)
		}
	}

	checkShares(1, [2]float64{2, 2})

	log.add(split(record{Kind: changeRecord, ID: "two", Based: first, Hash: hash[:]}, payload, partBytes)[0])

	lagging = newTestFollower(log, "e2") // a replacement, which has no version

	checkShares(2, [2]float64{2, 0})

	if _, b, err := CurrentText(t.Context(), log); string(b) != string(newerText) || err != nil {
		t.Errorf("text: got %q %v, want %q", b, err, newerText)
	}

	readable := []byte("share = 4.0\n")
	if got, err := publishText(log, "three", 2, readable); got != 3 || err != nil {
		t.Fatalf("publish with it as the base: got %d %v, want 3", got, err)
	}

	checkShares(3, [2]float64{4, 4})
}
