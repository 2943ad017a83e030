package mirror

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// fakeLog is a log with a switch for each fault.
type fakeLog struct {
	mu      sync.Mutex
	records []Record
	down    bool // answers nothing until the call's time is over
	first   int64
	reads   int
}

var errDown = errors.New("down")

func (l *fakeLog) append(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.records = append(l.records, Record{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *fakeLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
}

func (l *fakeLog) Newest(ctx context.Context, _ string) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.reads++

	if l.down {
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()

		return Batch{}, errDown
	}

	b := Batch{Whole: true, End: int64(len(l.records))}
	newest := map[string]Record{}

	for _, r := range l.records {
		newest[r.Key] = r
	}

	for _, r := range newest {
		if !r.Dropped() {
			b.Records = append(b.Records, r)
		}
	}

	return b, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	until := time.Now().Add(wait)

	for {
		l.mu.Lock()
		down, first, records := l.down, l.first, l.records
		l.mu.Unlock()

		switch {
		case down:
			<-ctx.Done()

			return Batch{}, errDown
		case from < first:
			return Batch{}, ErrTrimmed
		case from < int64(len(records)):
			return Batch{Records: records[from:], End: int64(len(records))}, nil
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case !time.Now().Before(until):
			return Batch{End: from}, nil
		}

		time.Sleep(5 * time.Millisecond)
	}
}

// fakePeers answers with what it has.
type fakePeers struct {
	mu    sync.Mutex
	batch Batch
}

func (p *fakePeers) Newer(context.Context, string, int64) (Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.batch, nil
}

func (p *fakePeers) set(b Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.batch = b
}

// follow runs a follower for the body of a test on virtual time.
func follow(t *testing.T, log *fakeLog, peers Peers, body func(topic *Topic, away func() bool)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var (
			topic Topic
			mu    sync.Mutex
			gone  bool
		)

		f := NewFollower(FollowerConfig{
			Name: "t", Topic: &topic, Source: log, Peers: peers, Wait: time.Second,
			OnNews: func(time.Time, []Record) {},
			OnAway: func(_ time.Time, away bool) {
				mu.Lock()
				defer mu.Unlock()

				gone = away
			},
			Log: logr.Discard(),
		})

		var running sync.WaitGroup

		running.Go(func() { f.Run(ctx) })

		defer running.Wait()
		defer cancel()

		body(&topic, func() bool {
			mu.Lock()
			defer mu.Unlock()

			return gone
		})
	})
}

func value(topic *Topic, key string) string {
	r, _ := topic.Get(key)

	return string(r.Value)
}

// A change is published while the log answers. Operators expect it in force within
// two seconds; the long poll brings it within milliseconds.
func TestChangeArrivesByLongPoll(t *testing.T) {
	log := &fakeLog{}
	log.append("config", "1")

	follow(t, log, nil, func(topic *Topic, _ func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.append("config", "2")
		time.Sleep(20 * time.Millisecond)

		if got, want := value(topic, "config"), "2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// The log stops answering for this process alone, as a balancer that lost track of
// its connections does, and a key is taken away meanwhile. Another process knows;
// without asking it, the holder of the key would get in for as long as that lasts.
func TestOutageIsBridgedByPeers(t *testing.T) {
	log := &fakeLog{}
	log.append("config", "1")

	peers := &fakePeers{}

	follow(t, log, peers, func(topic *Topic, away func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.set(true)

		peers.set(Batch{Records: []Record{{Key: "config", Value: []byte("2"), Offset: 1}}, End: 2})

		time.Sleep(5 * time.Second)

		if !away() {
			t.Error("got the log there, want it away")
		}

		if got, want := value(topic, "config"), "2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}

		log.append("config", "2")
		log.append("config", "3")
		log.set(false)
		time.Sleep(3 * time.Second)

		if away() {
			t.Error("got the log away, want it there")
		}

		if got, want := value(topic, "config"), "3"; got != want {
			t.Errorf("after the outage: got %q, want %q", got, want)
		}
	})
}

// A process starts while the log is down. Without other processes it would know no
// configuration and serve nobody until the log is back.
func TestStartInAnOutageTakesWhatPeersHave(t *testing.T) {
	log := &fakeLog{down: true}
	peers := &fakePeers{batch: Batch{Records: []Record{{Key: "config", Value: []byte("7"), Offset: 3}}, End: 4}}

	follow(t, log, peers, func(topic *Topic, _ func() bool) {
		time.Sleep(50 * time.Millisecond)

		if got, want := value(topic, "config"), "7"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// The log has forgotten records that this process did not read, one of which
// dropped a target. The target is gone from the whole list, and must go here too:
// otherwise requests would be sent to an address that now belongs to another one.
func TestForgottenHistoryIsReadWhole(t *testing.T) {
	log := &fakeLog{}
	log.append("engine-1", "ready")
	log.append("engine-2", "ready")

	follow(t, log, nil, func(topic *Topic, _ func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.set(true)
		time.Sleep(3 * time.Second)
		log.append("engine-1", "")
		log.append("engine-2", "draining")

		log.mu.Lock()
		log.first = 4
		log.mu.Unlock()
		log.set(false)
		time.Sleep(3 * time.Second)

		if _, ok := topic.Get("engine-1"); ok {
			t.Error("got engine-1, want it gone")
		}

		if got, want := value(topic, "engine-2"), "draining"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}
