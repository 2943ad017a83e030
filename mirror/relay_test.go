package mirror

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// countingSource is a log that counts its calls.
type countingSource struct {
	mu    sync.Mutex
	calls int
	end   int64
}

func (s *countingSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

func (s *countingSource) Newest(context.Context, string) (Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls++

	return Batch{Snapshot: true, End: s.end}, nil
}

func (s *countingSource) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()

	select {
	case <-time.After(wait):
		return Batch{End: from}, nil
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}
}

var errReaderDown = errors.New("reader is down")

// fakeRelay is a Relay with one reader, which can fail in several ways.
type fakeRelay struct {
	mu           sync.Mutex
	direct       bool          // this process reads the log
	fails        bool          // polls fail at once
	unresponsive bool          // polls block until their context ends
	age          time.Duration // of the returned records
	polls        int
	value        string
}

func (r *fakeRelay) set(change func(r *fakeRelay)) {
	r.mu.Lock()
	defer r.mu.Unlock()

	change(r)
}

func (r *fakeRelay) Assignment(string) Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()

	return Assignment{Direct: r.direct, Addresses: []string{"reader"}}
}

func (r *fakeRelay) Poll(ctx context.Context, _, _ string, from Position, wait time.Duration) (Batch, error) {
	r.mu.Lock()
	fails, unresponsive, age, value := r.fails, r.unresponsive, r.age, r.value
	r.polls++
	r.mu.Unlock()

	switch {
	case unresponsive:
		<-ctx.Done()

		return Batch{}, ctx.Err()
	case fails:
		return Batch{}, errReaderDown
	}

	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}

	return Batch{Records: []Record{{Key: "config", Value: []byte(value), Offset: 100}}, End: max(from.Offset, 101), AsOf: time.Now().Add(-age)}, nil
}

// Guards against stale records when the polled reader fails, is paused or is cut off from the log.
// The process has to read the log itself within 2 s. Otherwise a published configuration is
// applied too late.
func TestFollowerReadsLogWhenReaderFails(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *fakeRelay)
		// reads is set if the process is expected to read the log itself.
		reads bool
	}{
		{"the reader responds", func(*fakeRelay) {}, false},
		{"this process is a reader", func(r *fakeRelay) { r.direct = true }, true},
		{"the reader is down", func(r *fakeRelay) { r.fails = true }, true},
		{"the reader is paused", func(r *fakeRelay) { r.unresponsive = true }, true},
		{"the reader is cut off from the log", func(r *fakeRelay) { r.age = 2 * time.Second }, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, relay, topic := &countingSource{}, &fakeRelay{value: "1"}, &Topic{}
				f := NewFollower(FollowerConfig{
					Name: "op", Topic: topic, Source: source, Relay: relay, Wait: 500 * time.Millisecond,
					OnChanges: func(time.Time, []Record) {}, Log: logr.Discard(),
				})

				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				go f.Run(ctx)

				time.Sleep(3 * time.Second)
				relay.set(tt.change)

				before := source.count()

				time.Sleep(1700 * time.Millisecond)

				if got := source.count() > before; got != tt.reads {
					t.Errorf("got log reads %v, want %v", got, tt.reads)
				}

				if age := time.Since(topic.SyncedAt()); age > 1700*time.Millisecond {
					t.Errorf("got records that are %v old, want at most 1.7s", age)
				}

				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against heartbeats that are served as changes. Targets write one about once per second,
// and they would be most of the traffic of an entry.
func TestHeartbeatsAreNotChanges(t *testing.T) {
	topic := NewTopic(TopicConfig{Equivalent: func(old, value []byte) bool { return old[0] == value[0] }})
	topic.Merge(Batch{Records: []Record{{Key: "a", Value: []byte("x1"), Offset: 0}}, End: 1, Snapshot: true})

	tests := []struct {
		name    string
		record  Record
		changes int
		// since is the number of records from the record's offset on.
		since int
	}{
		{"a heartbeat", Record{Key: "a", Value: []byte("x2"), Offset: 1}, 0, 0},
		{"a change", Record{Key: "a", Value: []byte("y3"), Offset: 2}, 1, 1},
		{"a deletion", Record{Key: "a", Offset: 3}, 1, 1},
		{"the same content after the deletion", Record{Key: "a", Value: []byte("y4"), Offset: 4}, 1, 1},
	}

	for _, tt := range tests {
		changes := topic.Merge(Batch{Records: []Record{tt.record}, End: tt.record.Offset + 1})
		if len(changes) != tt.changes {
			t.Errorf("%s: got %d changes, want %d", tt.name, len(changes), tt.changes)
		}

		if got := len(topic.Since(tt.record.Position()).Records); got != tt.since {
			t.Errorf("%s: got %d records from its offset on, want %d", tt.name, got, tt.since)
		}
	}

	if r, ok := topic.Get("a"); !ok || r.Offset != 4 {
		t.Errorf("got %v %v, want the newest record", r, ok)
	}
}

// delayedPeers fail until a time and return a record from then on.
type delayedPeers struct{ from time.Time }

func (p *delayedPeers) Fetch(context.Context, string, Position) (Batch, error) {
	if time.Now().Before(p.from) {
		return Batch{}, errReaderDown
	}

	return Batch{Records: []Record{{Key: "version", Value: []byte("2"), Offset: 100}}, End: 101}, nil
}

// unresponsiveSource is a log whose connection becomes unresponsive after the snapshot is read.
type unresponsiveSource struct{ countingSource }

func (*unresponsiveSource) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (Batch, error) {
	<-ctx.Done()

	return Batch{}, ctx.Err()
}

// Guards against changes that a side process misses while its connection to the log is
// unresponsive, such as a new weight version. It must get them from the entries well before its
// read of the log times out.
func TestPeersReplaceUnresponsiveLogConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &Topic{}
		f := NewFollower(FollowerConfig{
			Name: "op", Topic: topic, Source: &unresponsiveSource{}, Peers: &delayedPeers{from: time.Now().Add(time.Second)},
			Wait: time.Hour, PeerInterval: 3 * time.Second, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard(),
		})

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		go f.Run(ctx)

		time.Sleep(2 * time.Second)

		if _, ok := topic.Get("version"); ok {
			t.Fatal("got the record before the first fetch from the peers")
		}

		time.Sleep(1500 * time.Millisecond)

		if _, ok := topic.Get("version"); !ok {
			t.Error("got no record, want that of the peers")
		}

		cancel()
		synctest.Wait()
	})
}

// startupRelay assigns the given number of processes that always fail immediately, followed by
// one that returns the whole topic if loaded is set.
type startupRelay struct {
	failing int
	loaded  bool
}

func (r *startupRelay) Assignment(string) Assignment {
	return Assignment{Addresses: append(slices.Repeat([]string{"failing"}, r.failing), "loaded")}
}

func (r *startupRelay) Poll(ctx context.Context, address, _ string, _ Position, wait time.Duration) (Batch, error) {
	if address == "failing" || !r.loaded {
		return Batch{}, errReaderDown
	}

	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}

	return Batch{Records: []Record{{Key: "config", Value: []byte("1"), Offset: 0}}, End: 1, AsOf: time.Now()}, ctx.Err()
}

// Guards against processes that all read the whole log at startup, or as soon as the first
// process that they poll fails.
func TestStartupAndFastFailuresAvoidLogReads(t *testing.T) {
	const loadWait = 4 * time.Second

	tests := []struct {
		name    string
		failing int  // number of processes that always fail
		loaded  bool // another process has the whole topic
		after   time.Duration
		want    int // reads of the log, capped at 1
	}{
		{"another process has the topic", 1, true, 20 * time.Second, 0},
		{"only the last process has the topic", 2 * maxLoadPolls, true, time.Second, 0},
		{"no process has the topic yet", 1, false, loadWait - 10*time.Millisecond, 0},
		{"no process has the topic in time", 1, false, loadWait + time.Second, 1},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, topic := &countingSource{}, &Topic{}
				f := NewFollower(FollowerConfig{
					Name: "op", Topic: topic, Source: source, Relay: &startupRelay{tt.failing, tt.loaded}, LoadWait: loadWait,
					Wait: 15 * time.Second, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard(),
				})

				ctx, cancel := context.WithCancel(t.Context())

				go f.Run(ctx)

				time.Sleep(tt.after)

				if got := min(source.count(), 1); got != tt.want {
					t.Errorf("got %d reads of the log, want %d", source.count(), tt.want)
				}

				if _, got := topic.Get("config"); got != tt.loaded {
					t.Errorf("got the record present %v, want %v", got, tt.loaded)
				}

				cancel()
				synctest.Wait()
			})
		})
	}
}
