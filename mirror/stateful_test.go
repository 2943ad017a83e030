package mirror

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fullLog is the oracle: every record ever written, in order.
type fullLog struct {
	records []Record
}

// newest returns the newest record of each key before an offset.
func (l *fullLog) newest(end int64) map[string]Record {
	m := make(map[string]Record)
	for _, r := range l.records[:end] {
		m[r.Key] = r
	}

	return m
}

// TestBatchesInAnyOrderNeverRevert generates the batches that can occur during an outage: partial
// reads of the log, snapshots after the log was trimmed, and older batches from other processes in
// between. Guards against keys that revert to an older record, which would restore revoked API keys
// and deleted routes.
func TestBatchesInAnyOrderNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			log   fullLog
			topic Topic
			seen  = map[string]int64{}
		)

		key := rapid.SampledFrom([]string{"config", "version/a", "version/b", "engine-1", "engine-2"})

		// check verifies that the offset of no key has decreased.
		check := func() {
			for k := range log.newest(int64(len(log.records))) {
				topic.mu.Lock()
				got, ok := topic.records[k]
				topic.mu.Unlock()

				if !ok {
					continue
				}

				if got.Offset < seen[k] {
					t.Fatalf("%s: got offset %d after %d", k, got.Offset, seen[k])
				}

				seen[k] = got.Offset
			}
		}

		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				r := Record{Key: key.Draw(t, "key"), Offset: int64(len(log.records))}
				if rapid.Bool().Draw(t, "keeps") {
					r.Value = fmt.Appendf(nil, "%d", r.Offset)
				}

				log.records = append(log.records, r)
			},
			"read records": func(t *rapid.T) {
				from := topic.End().Offset
				end := rapid.Int64Range(from, max(from, int64(len(log.records)))).Draw(t, "end")
				topic.Merge(Batch{Records: log.records[from:end], End: end})
			},
			"read snapshot": func(t *rapid.T) {
				end := int64(len(log.records))
				b := Batch{Snapshot: true, End: end}

				for _, r := range log.newest(end) {
					if !r.Deleted() {
						b.Records = append(b.Records, r)
					}
				}

				topic.Merge(b)

				for k, want := range log.newest(end) {
					got, ok := topic.Get(k)
					if ok == want.Deleted() {
						t.Fatalf("%s: got the key present %v, want %v", k, ok, !want.Deleted())
					}

					if ok && string(got.Value) != string(want.Value) {
						t.Fatalf("%s: got %q, want %q", k, got.Value, want.Value)
					}
				}
			},
			"replay an old batch from a peer": func(t *rapid.T) {
				end := rapid.Int64Range(0, int64(len(log.records))).Draw(t, "end")
				b := Batch{}

				for _, r := range log.newest(end) {
					b.Records = append(b.Records, r)
				}

				topic.Merge(b)
			},
			"": func(*rapid.T) { check() },
		})
	})
}

func TestSyncTimesOfTopic(t *testing.T) {
	at := time.Unix(100, 0)

	var topic Topic

	topic.Merge(Batch{AsOf: at.Add(time.Second), AsOfShared: 400})
	topic.Merge(Batch{AsOf: at, AsOfShared: 700}) // by way of a process whose VM is not suspended
	topic.Merge(Batch{AsOf: at, AsOfShared: 600})

	if got, want := topic.SyncedAt(), at.Add(time.Second); !got.Equal(want) {
		t.Errorf("got %v, want %v", got, want)
	}

	topic.Merge(Batch{Records: []Record{{Key: "version/a", Value: []byte("2"), Offset: 4}}, End: 5, AsOf: at.Add(3 * time.Second), AsOfShared: 900})

	if got, want := topic.LatestUpdateAfter(), (Moment{at.Add(time.Second), 700}); got != want {
		t.Errorf("before the change: got %v, want %v", got, want)
	}
}

func TestTombstonesAreBounded(t *testing.T) {
	var topic Topic

	for i := range int64(4 * maxTombstones) {
		topic.Merge(Batch{Records: []Record{{Key: fmt.Sprint(i), Offset: i}}})
	}

	if got := len(topic.records); got > maxTombstones {
		t.Errorf("got %d tombstones, want at most %d", got, maxTombstones)
	}
}

// Guards against a key that is kept although it was dropped, because the process that is polled read a
// snapshot without it, or has forgotten that it was dropped.
func TestDroppedKeysArePassedOnByLateReaders(t *testing.T) {
	kept := Record{Key: "kept", Value: []byte("k"), Offset: 0}

	tests := []struct {
		name   string
		reader func(r *Topic)
		end    int64
	}{
		{"the reader started after it was dropped", func(r *Topic) { r.Merge(Batch{Records: []Record{kept}, Snapshot: true, End: 3}) }, 3},
		{"the reader forgot that it was dropped", func(r *Topic) {
			r.Merge(Batch{Records: []Record{kept, {Key: "dropped", Value: []byte("d"), Offset: 1}}, Snapshot: true, End: 2})
			r.Merge(Batch{Records: []Record{{Key: "dropped", Offset: 2}}, End: 3})

			for i := range int64(2 * maxTombstones) {
				r.Merge(Batch{Records: []Record{{Key: fmt.Sprint(i), Offset: 3 + i}}, End: 4 + i})
			}
		}, 3 + 2*maxTombstones},
	}

	for _, tt := range tests {
		var reader, follower Topic

		tt.reader(&reader)
		follower.Merge(Batch{Records: []Record{kept, {Key: "dropped", Value: []byte("d"), Offset: 1}}, Snapshot: true, End: 2})
		follower.Merge(reader.Since(follower.End()))

		if _, ok := follower.Get("dropped"); ok || follower.End().Offset != tt.end {
			t.Errorf("%s: got the key kept at end %d, want it dropped at %d", tt.name, follower.End().Offset, tt.end)
		}

		if _, ok := follower.Get("kept"); !ok {
			t.Errorf("%s: got the other key dropped", tt.name)
		}

		if got := reader.Since(reader.End()); got.Snapshot || len(got.Records) > 0 {
			t.Errorf("%s: got %d records at the end, want none", tt.name, len(got.Records))
		}
	}
}
