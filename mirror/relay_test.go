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

	return Batch{Whole: true, End: s.end}, nil
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

var errReaderGone = errors.New("the reader is gone")

// fakeRelay has one reader, which knows what it is told to.
type fakeRelay struct {
	mu     sync.Mutex
	self   bool
	fails  bool
	silent bool
	age    time.Duration
	asked  int
	value  string
}

func (r *fakeRelay) set(change func(r *fakeRelay)) {
	r.mu.Lock()
	defer r.mu.Unlock()

	change(r)
}

func (r *fakeRelay) Assignment(string) Assignment {
	r.mu.Lock()
	defer r.mu.Unlock()

	return Assignment{Reads: r.self, Addresses: []string{"reader"}}
}

func (r *fakeRelay) Follow(ctx context.Context, _, _ string, from int64, wait time.Duration) (Batch, error) {
	r.mu.Lock()
	fails, silent, age, value := r.fails, r.silent, r.age, r.value
	r.asked++
	r.mu.Unlock()

	switch {
	case silent:
		<-ctx.Done()

		return Batch{}, ctx.Err()
	case fails:
		return Batch{}, errReaderGone
	}

	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	}

	return Batch{Records: []Record{{Key: "config", Value: []byte(value), Offset: 100}}, End: max(from, 101), AsOf: time.Now().Add(-age)}, nil
}

// A reader dies, stands still or is cut off from the log. Whoever waits there for what
// is new has to notice and read itself before two seconds are over, or a
// configuration that operators published is not in force in time.
func TestWhoeverWaitsAtAReaderKnowsInTime(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *fakeRelay)
		// reads says that the process reads the log itself.
		reads bool
	}{
		{"it answers", func(*fakeRelay) {}, false},
		{"this process is a reader", func(r *fakeRelay) { r.self = true }, true},
		{"it is gone", func(r *fakeRelay) { r.fails = true }, true},
		{"it stands still", func(r *fakeRelay) { r.silent = true }, true},
		{"it is cut off from the log", func(r *fakeRelay) { r.age = 2 * time.Second }, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, relay, topic := &countingSource{}, &fakeRelay{value: "1"}, &Topic{}
				f := NewFollower(FollowerConfig{
					Name: "op", Topic: topic, Source: source, Relay: relay, Wait: 500 * time.Millisecond,
					OnNews: func(time.Time, []Record) {}, Log: logr.Discard(),
				})

				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				go f.Run(ctx)

				time.Sleep(3 * time.Second)
				relay.set(tt.change)

				before := source.count()

				time.Sleep(1700 * time.Millisecond)

				if got := source.count() > before; got != tt.reads {
					t.Errorf("got it reading the log %v, want %v", got, tt.reads)
				}

				if age := time.Since(topic.Fresh()); age > 1700*time.Millisecond {
					t.Errorf("got what it knows %v old", age)
				}

				cancel()
				synctest.Wait()
			})
		})
	}
}

// Targets write heartbeats once a second or so, which say nothing new. Passed on to
// every entry they would be most of its traffic.
func TestHeartbeatsAreNoNews(t *testing.T) {
	topic := NewTopic(func(old, value []byte) bool { return old[0] == value[0] })
	topic.Merge(Batch{Records: []Record{{Key: "a", Value: []byte("x1"), Offset: 0}}, End: 1, Whole: true})

	tests := []struct {
		name   string
		record Record
		news   int
		// since is how many records there are from the record's offset on.
		since int
	}{
		{"a heartbeat", Record{Key: "a", Value: []byte("x2"), Offset: 1}, 0, 0},
		{"a change", Record{Key: "a", Value: []byte("y3"), Offset: 2}, 1, 1},
		{"the drop", Record{Key: "a", Offset: 3}, 1, 1},
		{"back as before", Record{Key: "a", Value: []byte("y4"), Offset: 4}, 1, 1},
	}

	for _, tt := range tests {
		news := topic.Merge(Batch{Records: []Record{tt.record}, End: tt.record.Offset + 1})
		if len(news) != tt.news {
			t.Errorf("%s: got %d news, want %d", tt.name, len(news), tt.news)
		}

		if got := len(topic.Since(tt.record.Offset).Records); got != tt.since {
			t.Errorf("%s: got %d records to pass on, want %d", tt.name, got, tt.since)
		}
	}

	if r, ok := topic.Get("a"); !ok || r.Offset != 4 {
		t.Errorf("got %v %v, want the newest record", r, ok)
	}
}

// laterPeers know a record from some time on.
type laterPeers struct{ from time.Time }

func (p *laterPeers) Newer(context.Context, string, int64) (Batch, error) {
	if time.Now().Before(p.from) {
		return Batch{}, errReaderGone
	}

	return Batch{Records: []Record{{Key: "version", Value: []byte("2"), Offset: 100}}, End: 101}, nil
}

// silentSource is a log whose connection falls silent behind the first read.
type silentSource struct{ countingSource }

func (*silentSource) Read(ctx context.Context, _ string, _ int64, _ time.Duration) (Batch, error) {
	<-ctx.Done()

	return Batch{}, ctx.Err()
}

// A side process waits at the log on a connection that fell silent, and misses that
// new weights were named. It has them from the entries long before its read is over.
func TestOthersBringWhatASilentConnectionDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &Topic{}
		f := NewFollower(FollowerConfig{
			Name: "op", Topic: topic, Source: &silentSource{}, Peers: &laterPeers{from: time.Now().Add(time.Second)},
			Wait: time.Hour, AskEvery: 3 * time.Second, OnNews: func(time.Time, []Record) {}, Log: logr.Discard(),
		})

		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		go f.Run(ctx)

		time.Sleep(2 * time.Second)

		if _, ok := topic.Get("version"); ok {
			t.Fatal("got it before anybody was asked")
		}

		time.Sleep(1500 * time.Millisecond)

		if _, ok := topic.Get("version"); !ok {
			t.Error("got nothing, want what the others know")
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

func (r *startupRelay) Follow(ctx context.Context, address, _ string, _ int64, wait time.Duration) (Batch, error) {
	if address == "failing" || !r.loaded {
		return Batch{}, errReaderGone
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
					Wait: 15 * time.Second, OnNews: func(time.Time, []Record) {}, Log: logr.Discard(),
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
