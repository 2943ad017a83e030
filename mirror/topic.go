// Package mirror keeps the newest record of each key of a topic of the log, and
// knows how old that knowledge is.
//
// # Model
//
// A Topic merges batches of records from the log or from other processes that
// follow the same topic. Offsets decide which record of a key is newer, so the
// order in which batches come doesn't matter and nothing ever reverts. A record
// without a value drops its key; it is kept as a marker so that an older batch
// doesn't bring the key back.
//
// Follower reads the log by long polls and, while the log doesn't answer, asks
// the other processes.
package mirror

import (
	"sort"
	"sync"
	"time"
)

// maxDropped bounds the markers of dropped keys. A batch from another process is
// never older than a few seconds, in which far fewer keys are dropped.
const maxDropped = 512

// Record is the newest record of a key.
type Record struct {
	// Key is the record's key.
	Key string `cbor:"1,keyasint"`
	// Value is what it says; empty when the key was dropped.
	Value []byte `cbor:"2,keyasint"`
	// Offset is its place in the log, which orders all records of the topic.
	Offset int64 `cbor:"3,keyasint"`
}

// Dropped reports whether the record drops its key.
func (r Record) Dropped() bool { return len(r.Value) == 0 }

// Batch is what one read brought.
type Batch struct {
	// Records are in no order.
	Records []Record
	// End is the offset after the last record that the read covers.
	End int64
	// Whole says that Records hold every key that exists at End.
	Whole bool
	// AsOf is a time at which the batch was surely up to date.
	AsOf time.Time
}

// Topic holds the newest records. The zero Topic is empty and ready; its methods
// may be called from many goroutines.
type Topic struct {
	mu      sync.Mutex
	records map[string]Record
	dropped int
	end     int64
	loaded  bool
	fresh   time.Time
	before  time.Time // fresh as it was before the newest batch that brought news
}

// Merge takes a batch and returns the records that are new, in order of offset.
func (t *Topic) Merge(b Batch) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	if t.records == nil {
		t.records = make(map[string]Record)
	}

	news := t.add(b.Records)
	if b.Whole {
		news = append(news, t.addMissing(b)...)
	}

	t.end = max(t.end, b.End)
	t.loaded = t.loaded || b.Whole

	if len(news) > 0 {
		t.before = t.fresh
	}

	if b.AsOf.After(t.fresh) {
		t.fresh = b.AsOf
	}

	t.prune()
	sort.Slice(news, func(i, j int) bool { return news[i].Offset < news[j].Offset })

	return news
}

// add stores what is newer than what is held. The caller holds mu.
func (t *Topic) add(records []Record) []Record {
	var news []Record

	for _, r := range records {
		old, known := t.records[r.Key]
		if known && old.Offset >= r.Offset {
			continue
		}

		if known && old.Dropped() {
			t.dropped--
		}

		if r.Dropped() {
			t.dropped++
		}

		t.records[r.Key] = r
		news = append(news, r)
	}

	return news
}

// addMissing drops the keys that a whole batch doesn't have although it is newer
// than their records: the log no longer tells of the record that dropped them.
// The caller holds mu.
func (t *Topic) addMissing(b Batch) []Record {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}

	var gone []Record

	for key, r := range t.records {
		if !present[key] && !r.Dropped() && r.Offset < b.End {
			gone = append(gone, Record{Key: key, Offset: b.End - 1})
		}
	}

	return t.add(gone)
}

// prune forgets the oldest markers. The caller holds mu.
func (t *Topic) prune() {
	if t.dropped <= maxDropped {
		return
	}

	var marks []Record

	for _, r := range t.records {
		if r.Dropped() {
			marks = append(marks, r)
		}
	}

	sort.Slice(marks, func(i, j int) bool { return marks[i].Offset < marks[j].Offset })

	for _, r := range marks[:len(marks)-maxDropped/2] {
		delete(t.records, r.Key)
		t.dropped--
	}
}

// Since returns the records at offset from or later, markers included.
func (t *Topic) Since(from int64) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()

	b := Batch{End: t.end, AsOf: t.fresh}

	for _, r := range t.records {
		if r.Offset >= from {
			b.Records = append(b.Records, r)
		}
	}

	sort.Slice(b.Records, func(i, j int) bool { return b.Records[i].Offset < b.Records[j].Offset })

	return b
}

// Get returns the record of a key that exists.
func (t *Topic) Get(key string) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	r, ok := t.records[key]

	return r, ok && !r.Dropped()
}

// End returns the offset from which to read on.
func (t *Topic) End() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.end
}

// Loaded reports whether a whole batch was ever merged, so that reading on
// from End misses nothing.
func (t *Topic) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.loaded
}

// Fresh returns a time at which the topic was surely up to date; zero for never.
func (t *Topic) Fresh() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.fresh
}

// Before returns a time at which the newest record was surely not there yet; zero
// when it was there from the start.
func (t *Topic) Before() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.before
}
