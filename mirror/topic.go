// Package mirror keeps a local replica of topics of the log: the newest record of each key, and
// a time at which the replica was up to date.
//
// # Model
//
// A Topic merges batches of records from the log or from other processes that follow the same
// topic. Offsets determine which record of a key is newer, so batches may arrive in any order
// and a key never reverts to an older record. A record without a value deletes its key. It is
// kept as a tombstone so that an older batch doesn't restore the key.
//
// Follower reads the log by long polls. While the log doesn't respond, it fetches records from
// other processes. In a fleet, only a few processes, the readers, read a topic from the log. If
// every process read it, the load on the log would grow with the square of the fleet size, since
// all targets write their heartbeats there. The other processes poll a reader or, in large
// fleets, a relay, which is a process that polls a reader. They read the log themselves as soon
// as the polled processes don't respond or return stale records.
package mirror

import (
	"sort"
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
	// Offset is its position in the log, which orders all records of the topic.
	Offset int64 `cbor:"3,keyasint"`
	// Era is the era of the log in which it was written, see Batch.
	Era int64 `cbor:"4,keyasint,omitempty"`
}

// Deleted reports whether the record deletes its key.
func (r Record) Deleted() bool { return len(r.Value) == 0 }

// Batch is the result of one read of the log or one poll of another process.
type Batch struct {
	// Records are in no particular order.
	Records []Record
	// End is the offset after the last record that the read covers.
	End int64
	// Snapshot is set if the batch is a snapshot: Records contains every key that exists at End.
	Snapshot bool
	// Era is the era of the log. It rises when the log has returned from an older copy: it lost what was
	// written since the copy, and gives out the offsets of that again.
	Era int64
	// AsOf is a time at which the batch is known to have been up to date; zero if there is none.
	AsOf time.Time
}

// Topic holds the newest record of each key. The zero Topic is empty and ready for use. Its
// methods may be called from multiple goroutines.
type Topic struct {
	equivalent        func(old, value []byte) bool
	mu                sync.Mutex
	records           map[string]trackedRecord
	changed           chan struct{} // closed at the next change; nil while there are no waiters
	tombstones        int
	end               int64
	completeFrom      int64 // offset from which no deletion is missing
	loaded            bool
	syncedAt          time.Time
	latestUpdateAfter time.Time // syncedAt before the latest batch with changes
}

// trackedRecord is the newest record of a key with the offset of the key's latest change, which
// is lower if unchanged values followed.
type trackedRecord struct {
	Record
	changedOffset int64
}

// NewTopic returns an empty Topic. Equivalent reports whether a new value of a key contains no
// change from the old one, as in heartbeats. Such a record replaces the old one without counting
// as a change: Merge doesn't return it, and Since ignores its offset. If equivalent is nil, every
// record is a change.
func NewTopic(equivalent func(old, value []byte) bool) *Topic { return &Topic{equivalent: equivalent} }

// unchanged reports whether the content of record r is equivalent to that of the old record.
func (t *Topic) unchanged(old, r Record) bool {
	return t.equivalent != nil && !old.Deleted() && !r.Deleted() && t.equivalent(old.Value, r.Value)
}

// Merge adds a batch and returns the records that changed the content of a key, in order of
// offset.
func (t *Topic) Merge(b Batch) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.records == nil {
		t.records = make(map[string]trackedRecord)
	}

	changes := t.apply(b.Records)
	if b.Snapshot {
		changes = append(changes, t.deleteMissing(b)...)
	}

	t.end = max(t.end, b.End)
	t.loaded = t.loaded || b.Snapshot

	if b.Snapshot {
		t.completeFrom = max(t.completeFrom, b.End)
	}

	if len(changes) > 0 {
		t.latestUpdateAfter = t.syncedAt

		if t.changed != nil {
			close(t.changed)
			t.changed = nil
		}
	}

	if b.AsOf.After(t.syncedAt) {
		t.syncedAt = b.AsOf
	}

	t.pruneTombstones()
	sort.Slice(changes, func(i, j int) bool { return changes[i].Offset < changes[j].Offset })

	return changes
}

// apply stores the records that are newer than the stored ones and returns those that are
// changes. The caller holds mu.
func (t *Topic) apply(records []Record) []Record {
	var changes []Record

	for _, r := range records {
		old, known := t.records[r.Key]
		if known && old.Offset >= r.Offset {
			continue
		}

		if known && t.unchanged(old.Record, r) {
			t.records[r.Key] = trackedRecord{r, old.changedOffset}

			continue
		}

		if known && old.Deleted() {
			t.tombstones--
		}

		if r.Deleted() {
			t.tombstones++
		}

		t.records[r.Key] = trackedRecord{r, r.Offset}
		changes = append(changes, r)
	}

	return changes
}

// deleteMissing deletes the keys that are missing from a snapshot that is newer than their
// records, and returns their tombstones. The log no longer returns the records that deleted them.
// The caller holds mu.
func (t *Topic) deleteMissing(b Batch) []Record {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}

	var deleted []Record

	for key, r := range t.records {
		if !present[key] && !r.Deleted() && r.Offset < b.End {
			deleted = append(deleted, Record{Key: key, Offset: b.End - 1})
		}
	}

	return t.apply(deleted)
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

	sort.Slice(tombstones, func(i, j int) bool { return tombstones[i].Offset < tombstones[j].Offset })

	for _, r := range tombstones[:len(tombstones)-maxTombstones/2] {
		delete(t.records, r.Key)
		t.tombstones--
		t.completeFrom = max(t.completeFrom, r.Offset+1)
	}
}

// Since returns the records whose content changed at offset from or later, including tombstones. It
// returns a snapshot if the topic doesn't know all deletions since that offset.
func (t *Topic) Since(from int64) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()

	all := from < t.completeFrom
	b := Batch{End: t.end, AsOf: t.syncedAt, Snapshot: all && t.loaded}

	for _, r := range t.records {
		if all || r.changedOffset >= from {
			b.Records = append(b.Records, r.Record)
		}
	}

	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })

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

// End returns the offset from which to continue reading.
func (t *Topic) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.end
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

	return t.syncedAt
}

// LatestUpdateAfter returns a time at which the records of the latest merged change were not yet
// in the log: the value of SyncedAt before they were merged. It is zero if the topic had never
// been up to date before.
func (t *Topic) LatestUpdateAfter() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.latestUpdateAfter
}
