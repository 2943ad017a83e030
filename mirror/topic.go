// Package mirror keeps a local replica of topics of the log: the newest record of each key, and
// a time at which the replica was up to date.
//
// # Model
//
// A Topic merges batches of records from the log or from other processes that follow the same
// topic. Positions determine which record of a key is newer, so batches may arrive in any order
// and a key never reverts to an older record. A record without a value deletes its key. It is
// kept as a tombstone so that an older batch doesn't restore the key.
//
// The log may return from a copy that is some seconds old. What was written since is lost until it is
// written again, and offsets are given out again; the era tells them apart. A Topic resets to a snapshot
// of the new era without forgetting what the log has lost: see reset.go.
//
// Follower reads the log by long polls. While the log doesn't respond, it fetches records from
// other processes. In a fleet, only a few processes, the readers, read a topic from the log. If
// every process read it, the load on the log would grow with the square of the fleet size, since
// all targets write their heartbeats there. The other processes poll a reader or, in large
// fleets, a relay, which is a process that polls a reader. They read the log themselves as soon
// as the polled processes don't respond or return stale records.
package mirror

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxTombstones bounds the tombstones of deleted keys. A batch from another process is at most a
// few seconds old, and far fewer keys are deleted in that time.
const maxTombstones = 512

// Record is the newest record of a key.
type Record struct {
	// Key is the record's key.
	Key string `cbor:"1,keyasint"`
	// Value is the content; empty if the record deletes the key.
	Value []byte `cbor:"2,keyasint"`
	// Offset is its offset in the log, which orders the records that were written in an era.
	Offset int64 `cbor:"3,keyasint"`
	// Era is the era of the log in which it was written.
	Era int64 `cbor:"4,keyasint,omitempty"`
}

// Deleted reports whether the record deletes its key.
func (r Record) Deleted() bool { return len(r.Value) == 0 }

// Position is a position in the log.
type Position struct {
	// Era rises by one when the log returns from a copy, and gives out offsets again.
	Era int64
	// Offset is an offset in that era.
	Offset int64
}

// Position returns the position of the record.
func (r Record) Position() Position { return Position{r.Era, r.Offset} }

// Compare returns -1, 0 or 1 as p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Batch is the result of one read of the log or one poll of another process.
type Batch struct {
	// Records are in no particular order.
	Records []Record
	// End is the offset after the last record that the read covers.
	End int64
	// Partial is set if the log holds records from End on that the read did not return.
	Partial bool
	// Snapshot is set if the batch is a snapshot: Records contains every key that exists at End.
	Snapshot bool
	// Era is the era of the log that End belongs to.
	Era int64
	// Settled is set if the batch is that of a process which knows that nothing is missing because the log
	// has returned from a copy, see Topic.CertainAt.
	Settled bool
	// AsOf is a time at which the batch is known to have been up to date; zero if there is none.
	AsOf time.Time
	// AsOfShared is such a time on the clock that the processes share, see Moment; zero if there is none.
	AsOfShared int64
	// Short is set if the log ends before the offset that was asked for.
	Short bool
	// Handled is the offset after the last record whose changes the process has acted on, see
	// Topic.SetHandled.
	Handled int64
}

// Moment is a moment on two clocks. The local one stands still while the process's VM is suspended, so an age on
// it says how old something is at least, not at most. What must not outlast a limit is measured on the shared one.
type Moment struct {
	// Local is the moment on this process's clock; zero if there is none.
	Local time.Time
	// Shared is the moment, or an earlier one, on the clock that the processes share, in ms; zero if unknown.
	Shared int64
}

// advance moves m on, on each clock by itself: two times at which something was up to date are both true.
func (m *Moment) advance(o Moment) {
	if o.Local.After(m.Local) {
		m.Local = o.Local
	}

	m.Shared = max(m.Shared, o.Shared)
}

// Topic holds the newest record of each key. The zero Topic is empty and ready for use. Its
// methods may be called from multiple goroutines.
type Topic struct {
	cfg               TopicConfig
	mu                sync.Mutex
	records           map[string]trackedRecord
	changed           chan struct{} // closed at the next change; nil while there are no waiters
	tombstones        int
	era               int64
	end               int64
	handled           Position
	completeFrom      int64 // offset in the era from which no deletion is missing
	loaded            bool
	synced            Moment
	latestUpdateAfter Moment // Certain before the latest batch with changes
	reset             resetState
}

// trackedRecord is the newest record of a key with the offset of the key's latest change, which
// is lower if unchanged values followed.
type trackedRecord struct {
	Record
	changedOffset int64
	// latest is the latest record with content, which differs if the key is deleted.
	latest Record
}

// TopicConfig configures a Topic. The zero TopicConfig is valid.
type TopicConfig struct {
	// Equivalent reports whether a new value of a key contains no change from the old one, as in
	// heartbeats. Such a record replaces the old one without counting as a change: Merge doesn't return
	// it, and Since ignores its offset. If nil, every record is a change.
	Equivalent func(old, value []byte) bool
	// Revision returns the revision of a record's content, if it has one. Between eras it determines which
	// record of a key is newer. If nil, no record has one.
	Revision func(r Record) (Revision, bool)
	// KeepLost is set if a key that is missing after the log has returned from a copy still exists. If it
	// is not set, the key is deleted unless it is written again soon.
	KeepLost bool
}

// Revision is a number that rises with the content of a key, whatever the log keeps.
type Revision struct {
	// Start is when the writer of the record started, in any unit; zero if there is one writer only.
	Start int64
	// Number rises with each record of a start.
	Number int64
}

// Compare returns -1, 0 or 1 as r is before, equal to or after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Start, o.Start), cmp.Compare(r.Number, o.Number))
}

// NewTopic returns an empty Topic with the given configuration.
func NewTopic(cfg TopicConfig) *Topic { return &Topic{cfg: cfg} }

// unchanged reports whether the content of record r is equivalent to that of the old record.
func (t *Topic) unchanged(old, r Record) bool {
	if old.Era != r.Era && bytes.Equal(old.Value, r.Value) {
		return true // written again after a reset, or read from a snapshot
	}

	return t.cfg.Equivalent != nil && !old.Deleted() && !r.Deleted() && t.cfg.Equivalent(old.Value, r.Value)
}

// Merge adds a batch and returns the records that changed the content of a key, in order of
// position.
func (t *Topic) Merge(b Batch) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.records == nil {
		t.records = make(map[string]trackedRecord)
	}

	if !t.loaded && b.Era > t.era {
		t.era, t.end, t.completeFrom = b.Era, 0, 0 // nothing is known of another era
	}

	var changes []Record

	switch {
	case b.Era == t.era:
		if b.Snapshot && !t.loaded {
			t.awaitLost(b)
		}

		changes = t.apply(b.Records)
		if b.Snapshot {
			changes = append(changes, t.deleteMissing(b)...)
		}

		t.end = max(t.end, b.End)
		t.loaded = t.loaded || b.Snapshot

		if b.Snapshot {
			t.completeFrom = max(t.completeFrom, b.End)
		}
	case b.Era > t.era && b.Snapshot:
		changes = t.beginEra(b)
	default:
		for _, r := range b.Records {
			changes = append(changes, t.applyEarlier(r)...)
		}
	}

	t.notify(changes)

	if b.Era == t.era {
		t.synced.advance(Moment{b.AsOf, b.AsOfShared})
	}

	t.pruneTombstones()

	return changes
}

// notify wakes those that wait for changes, and sorts the changes by position. The caller holds mu.
func (t *Topic) notify(changes []Record) {
	if len(changes) == 0 {
		return
	}

	t.latestUpdateAfter = t.certain()

	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}

	slices.SortFunc(changes, func(a, b Record) int { return a.Position().Compare(b.Position()) })
}

// apply stores the records that are newer than the stored ones, and returns those that are changes. The
// caller holds mu.
func (t *Topic) apply(records []Record) []Record {
	var changes []Record

	for _, r := range records {
		if r.Era < t.era {
			changes = append(changes, t.applyEarlier(r)...)
		} else if t.supersedes(r) && t.store(r) {
			changes = append(changes, r)
		}
	}

	return changes
}

// store stores a record in place of the key's present one, and reports whether it is a change. The caller
// holds mu.
func (t *Topic) store(r Record) (changed bool) {
	old, known := t.records[r.Key]
	x := trackedRecord{Record: r, changedOffset: r.Offset, latest: r}

	if r.Deleted() {
		x.latest = old.latest
	}

	if known && t.unchanged(old.Record, r) {
		if old.Era == r.Era {
			x.changedOffset = old.changedOffset
		}

		t.records[r.Key] = x

		return false
	}

	if known && old.Deleted() {
		t.tombstones--
	}

	if r.Deleted() {
		t.tombstones++
	}

	t.records[r.Key] = x

	return true
}

// deleteMissing deletes the keys that are missing from a snapshot that is newer than their
// records, and returns their tombstones. The log no longer returns the records that deleted them.
// The caller holds mu.
func (t *Topic) deleteMissing(b Batch) []Record {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = !r.Deleted()
	}

	var deleted []Record

	for key, r := range t.records {
		switch {
		case present[key] || r.Deleted():
		case t.mayDelete(r.Record, b):
			deleted = append(deleted, Record{Key: key, Offset: b.End - 1, Era: b.Era})
		case r.Era < b.Era && t.reset.unsettled:
			t.expectAgain(r.Record)
		}
	}

	return t.apply(deleted)
}

// mayDelete reports whether a record that is missing from a snapshot no longer exists. The caller holds mu.
func (t *Topic) mayDelete(r Record, b Batch) bool {
	if r.Era == b.Era {
		return r.Offset < b.End
	}

	return r.Era < b.Era && !t.cfg.KeepLost && !t.reset.unsettled
}

// pruneTombstones removes the oldest tombstones once there are more than maxTombstones. The
// caller holds mu.
func (t *Topic) pruneTombstones() {
	if t.tombstones <= maxTombstones {
		return
	}

	var tombstones []Record

	for _, r := range t.records {
		if r.Deleted() {
			tombstones = append(tombstones, r.Record)
		}
	}

	slices.SortFunc(tombstones, func(a, b Record) int { return a.Position().Compare(b.Position()) })

	for _, r := range tombstones[:len(tombstones)-maxTombstones/2] {
		delete(t.records, r.Key)
		t.tombstones--

		if r.Era == t.era {
			t.completeFrom = max(t.completeFrom, r.Offset+1)
		}
	}
}

// Since returns the records whose content changed at a position or later in its era, including
// tombstones. It returns a snapshot if the present era is another one, or if it doesn't know all
// deletions since that position.
func (t *Topic) Since(from Position) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := from.Era != t.era || from.Offset < t.completeFrom || (from.Offset == 0 && t.end > 0)
	b := Batch{End: t.end, Era: t.era, AsOf: t.synced.Local, AsOfShared: t.synced.Shared, Snapshot: all && t.loaded, Settled: !t.reset.unsettled}

	if t.handled.Era == t.era {
		b.Handled = t.handled.Offset
	}

	for key, r := range t.records {
		if _, missing := t.reset.pending[key]; missing {
			continue // the log doesn't have it, as far as is known
		}

		if all || (r.Era == t.era && r.changedOffset >= from.Offset) {
			b.Records = append(b.Records, r.Record)
		}
	}

	slices.SortFunc(b.Records, func(a, b Record) int { return a.Position().Compare(b.Position()) })

	return b
}

// Get returns the newest record of a key, and whether the key exists.
func (t *Topic) Get(key string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.records[key]

	return r.Record, ok && !r.Deleted()
}

// Changed returns a channel that is closed when the next change is merged.
func (t *Topic) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.changed == nil {
		t.changed = make(chan struct{})
	}

	return t.changed
}

// End returns the position from which to continue reading.
func (t *Topic) End() Position {
	t.mu.Lock()
	defer t.mu.Unlock()

	return Position{t.era, t.end}
}

// SetHandled records that this process has acted on all changes before a position. What it merged and has not
// acted on yet, it doesn't know.
func (t *Topic) SetHandled(p Position) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.handled = p
}

// Loaded reports whether a snapshot has been merged, so that continuing to read from End misses
// no records.
func (t *Topic) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.loaded
}

// SyncedAt returns the latest time at which the topic is known to have been up to date; zero if
// there is none.
func (t *Topic) SyncedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.synced.Local
}

// LatestUpdateAfter returns a moment at which the records of the latest merged change were not yet
// in the log: the value of Certain before they were merged. It is zero if the topic had never
// been up to date before.
func (t *Topic) LatestUpdateAfter() Moment {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.latestUpdateAfter
}
