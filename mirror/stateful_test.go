package mirror

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// wholeLog is the oracle: every record that was ever written, in order.
type wholeLog struct {
	records []Record
}

// newest returns the newest record of each key before an offset.
func (l *wholeLog) newest(end int64) map[string]Record {
	m := make(map[string]Record)
	for _, r := range l.records[:end] {
		m[r.Key] = r
	}

	return m
}

// TestBatchesInAnyOrderNeverRevert draws what an outage brings: a process reads
// the log late and in pieces, takes older batches from other processes in between,
// and finds that the log has forgotten its history. A user whose key was taken away
// must not get in again, and a route that was dropped must not come back.
func TestBatchesInAnyOrderNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			log   wholeLog
			topic Topic
			seen  = map[string]int64{}
		)

		key := rapid.SampledFrom([]string{"config", "version/a", "version/b", "engine-1", "engine-2"})

		// check compares each key with the oracle and with what was seen before.
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
			"read on": func(t *rapid.T) {
				from := topic.End()
				end := rapid.Int64Range(from, max(from, int64(len(log.records)))).Draw(t, "end")
				topic.Merge(Batch{Records: log.records[from:end], End: end})
			},
			"read whole": func(t *rapid.T) {
				end := int64(len(log.records))
				b := Batch{Whole: true, End: end}

				for _, r := range log.newest(end) {
					if !r.Dropped() {
						b.Records = append(b.Records, r)
					}
				}

				topic.Merge(b)

				for k, want := range log.newest(end) {
					got, ok := topic.Get(k)
					if ok == want.Dropped() {
						t.Fatalf("%s: got it %v, want it %v", k, ok, !want.Dropped())
					}

					if ok && string(got.Value) != string(want.Value) {
						t.Fatalf("%s: got %q, want %q", k, got.Value, want.Value)
					}
				}
			},
			"take an old batch from a peer": func(t *rapid.T) {
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

func TestFreshIsTheLatestTimeThatWasSure(t *testing.T) {
	at := time.Unix(100, 0)

	var topic Topic

	topic.Merge(Batch{AsOf: at.Add(time.Second)})
	topic.Merge(Batch{AsOf: at})

	if got, want := topic.Fresh(), at.Add(time.Second); !got.Equal(want) {
		t.Errorf("got %v, want %v", got, want)
	}

	topic.Merge(Batch{Records: []Record{{Key: "version/a", Value: []byte("2"), Offset: 4}}, End: 5, AsOf: at.Add(3 * time.Second)})

	if got, want := topic.Before(), at.Add(time.Second); !got.Equal(want) {
		t.Errorf("before the news: got %v, want %v", got, want)
	}
}

func TestMarkersOfDroppedKeysAreBounded(t *testing.T) {
	var topic Topic

	for i := range int64(4 * maxDropped) {
		topic.Merge(Batch{Records: []Record{{Key: fmt.Sprint(i), Offset: i}}})
	}

	if got := len(topic.records); got > maxDropped {
		t.Errorf("got %d markers, want %d at most", got, maxDropped)
	}
}
