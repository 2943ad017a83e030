package mirror

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// fakeLog is a log that can be down or trimmed.
type fakeLog struct {
	mu      sync.Mutex
	records []Record
	down    bool  // calls block until their context ends
	first   int64 // offset of the first record that is kept
	era     int64
	reads   int
}

// readTime is how long a read takes.
const readTime = 4 * time.Millisecond

var errDown = errors.New("down")

func (l *fakeLog) append(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.records = append(l.records, Record{Key: key, Value: []byte(value), Offset: int64(len(l.records)), Era: l.era})
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
}

// count returns the number of reads.
func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.reads
}

// restore returns the log to an earlier end, in a new era.
func (l *fakeLog) restore(end int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.records = l.records[:end:end]
	l.era++

	for i := range l.records {
		l.records[i].Era = l.era
	}
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

	return Batch{Records: existing(l.records), Snapshot: true, End: int64(len(l.records)), Era: l.era}, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	time.Sleep(readTime)

	l.mu.Lock()
	l.reads++
	l.mu.Unlock()

	until := time.Now().Add(wait)

	for {
		l.mu.Lock()
		down, first, era := l.down, l.first, l.era
		records := slices.Clone(l.records)
		l.mu.Unlock()

		switch {
		case down:
			<-ctx.Done()

			return Batch{}, errDown
		case from < first || from > int64(len(records)):
			return Batch{Era: era}, ErrTrimmed
		case from < int64(len(records)):
			return Batch{Records: records[from:], End: int64(len(records)), Era: era}, nil
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case !time.Now().Before(until):
			return Batch{End: from, Era: era}, nil
		}

		time.Sleep(5 * time.Millisecond)
	}
}

// fakePeers returns a fixed batch.
type fakePeers struct {
	mu    sync.Mutex
	batch Batch
}

func (p *fakePeers) Fetch(context.Context, string, Position) (Batch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.batch, nil
}

func (p *fakePeers) setBatch(b Batch) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.batch = b
}

// runFollower runs a Follower in virtual time while body runs. Outage reports the latest state
// passed to OnOutage.
func runFollower(t *testing.T, log *fakeLog, peers Peers, body func(topic *Topic, outage func() bool)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())

		var (
			topic       Topic
			mu          sync.Mutex
			unavailable bool
		)

		f := NewFollower(FollowerConfig{
			Name: "t", Topic: &topic, Source: log, Peers: peers, Wait: time.Second,
			OnChanges: func(time.Time, []Record) {},
			OnOutage: func(_ time.Time, outage bool) {
				mu.Lock()
				defer mu.Unlock()

				unavailable = outage
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

			return unavailable
		})
	})
}

func value(topic *Topic, key string) string {
	r, _ := topic.Get(key)

	return string(r.Value)
}

// Guards against late configuration changes while the log responds. A change must be applied
// within 2 s; a long poll returns it within milliseconds.
func TestChangeArrivesByLongPoll(t *testing.T) {
	log := &fakeLog{}
	log.append("config", "1")

	runFollower(t, log, nil, func(topic *Topic, _ func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.append("config", "2")
		time.Sleep(20 * time.Millisecond)

		if got, want := value(topic, "config"), "2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// Guards against a broken connection that is taken for an outage of the log, whose removals are delayed: open
// connections go silent, and new ones work at once.
func TestSilentConnectionIsNoOutageOfTheLog(t *testing.T) {
	for _, pauseBefore := range []time.Duration{2000, 2200, 2400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())

			log := &fakeLog{}
			log.append("target", "1")

			var (
				topic    Topic
				mu       sync.Mutex
				since    time.Time
				longest  time.Duration
				outages  int
				learned  time.Time
				silentAt time.Time
			)

			f := NewFollower(FollowerConfig{
				Name: "t", Topic: &topic, Source: log, Reconnect: func() { log.setDown(false) }, ReadPause: 500 * time.Millisecond,
				OnChanges: func(now time.Time, _ []Record) {
					mu.Lock()
					defer mu.Unlock()

					learned = now
				},
				OnOutage: func(at time.Time, unavailable bool) {
					mu.Lock()
					defer mu.Unlock()

					if unavailable {
						since = at
						outages++
					} else {
						longest = max(longest, at.Sub(since))
					}
				},
				Log: logr.Discard(),
			})

			var running sync.WaitGroup

			running.Go(func() { f.Run(ctx) })
			time.Sleep(pauseBefore * time.Millisecond)

			silentAt = time.Now()

			log.setDown(true)
			time.Sleep(100 * time.Millisecond)
			log.append("target", "")
			time.Sleep(5 * time.Second)
			cancel()
			running.Wait()

			// The register's entries of living targets expire after 2.4 s of silence.
			if longest >= 1800*time.Millisecond || outages > 1 {
				t.Errorf("got %d outages of up to %v, want one that is too short for an entry to expire", outages, longest)
			}

			if got, want := learned.Sub(silentAt), 1300*time.Millisecond; got <= 0 || got > want {
				t.Errorf("got the change %v after the silence, want it within %v", got, want)
			}
		})
	}
}

// Guards against an outage of the log that is one for this process only: others have current records, and what
// they pass on is what the log has.
func TestNoOutageWhileOthersHaveCurrentRecords(t *testing.T) {
	log := &fakeLog{}
	log.append("config", "1")

	peers := &fakePeers{}

	runFollower(t, log, peers, func(_ *Topic, outage func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.setDown(true)

		for range 100 {
			peers.setBatch(Batch{End: 1, AsOf: time.Now()})
			time.Sleep(50 * time.Millisecond)

			if outage() {
				t.Fatal("got an outage of the log, want none")
			}
		}

		time.Sleep(5 * time.Second) // the peers' records get old

		if !outage() {
			t.Error("got no outage of the log, want one")
		}
	})
}

// Guards against missed changes when the log is unreachable for this process only, for instance
// because a load balancer lost its connections. If an API key is revoked meanwhile, the process
// must learn of it from another one, or it accepts the key until the log is reachable again.
func TestPeersProvideChangesDuringOutage(t *testing.T) {
	log := &fakeLog{}
	log.append("config", "1")

	peers := &fakePeers{}

	runFollower(t, log, peers, func(topic *Topic, outage func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.setDown(true)

		peers.setBatch(Batch{Records: []Record{{Key: "config", Value: []byte("2"), Offset: 1}}, End: 2})

		time.Sleep(5 * time.Second)

		if !outage() {
			t.Error("got no outage of the log, want one")
		}

		if got, want := value(topic, "config"), "2"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}

		log.append("config", "2")
		log.append("config", "3")
		log.setDown(false)
		time.Sleep(3 * time.Second)

		if outage() {
			t.Error("got an outage of the log, want none")
		}

		if got, want := value(topic, "config"), "3"; got != want {
			t.Errorf("after the outage: got %q, want %q", got, want)
		}
	})
}

// Guards against a process that starts during an outage of the log and has no configuration, so
// that it refuses all requests until the log is available again.
func TestStartDuringOutageFetchesFromPeers(t *testing.T) {
	log := &fakeLog{down: true}
	peers := &fakePeers{batch: Batch{Records: []Record{{Key: "config", Value: []byte("7"), Offset: 3}}, End: 4}}

	runFollower(t, log, peers, func(topic *Topic, _ func() bool) {
		time.Sleep(50 * time.Millisecond)

		if got, want := value(topic, "config"), "7"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// Guards against missed deletions when the log trims records before this process has read them.
// A key that is missing from the snapshot must be deleted. Otherwise requests would be sent to the
// address of a removed target, which may belong to another target by then.
func TestSnapshotIsReadAfterTrim(t *testing.T) {
	log := &fakeLog{}
	log.append("engine-1", "ready")
	log.append("engine-2", "ready")

	runFollower(t, log, nil, func(topic *Topic, _ func() bool) {
		time.Sleep(100 * time.Millisecond)
		log.setDown(true)
		time.Sleep(3 * time.Second)
		log.append("engine-1", "")
		log.append("engine-2", "draining")

		log.mu.Lock()
		log.first = 4
		log.mu.Unlock()
		log.setDown(false)
		time.Sleep(3 * time.Second)

		if _, ok := topic.Get("engine-1"); ok {
			t.Error("got engine-1, want it deleted")
		}

		if got, want := value(topic, "engine-2"), "draining"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// Guards against records that are taken for old ones because the log has returned from a copy and gives
// their offsets out again, and against reads that follow each other without a pause meanwhile.
func TestFollowerFollowsALogThatReturnsFromACopy(t *testing.T) {
	const maxReads = 30 // in two seconds; a read waits half a second or returns records

	for _, written := range []int{0, 1, 3, 5, 8} { // records after the return; four were lost
		t.Run(fmt.Sprintf("%d records later", written), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &fakeLog{era: 1}
				for i := range 6 {
					log.append("config", fmt.Sprint(i))
				}

				var topic Topic

				ctx, cancel := context.WithCancel(t.Context())
				f := NewFollower(FollowerConfig{Name: "t", Topic: &topic, Source: log, Wait: 500 * time.Millisecond, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard()})

				var running sync.WaitGroup

				running.Go(func() { f.Run(ctx) })

				defer running.Wait()
				defer cancel()

				time.Sleep(time.Second)
				log.restore(2)

				before := log.count()

				for i := range written {
					log.append("config", fmt.Sprint(10+i))
				}

				time.Sleep(2 * time.Second)

				if got := log.count() - before; got > maxReads {
					t.Errorf("got %d reads, want at most %d", got, maxReads)
				}

				if got, _ := topic.Get("config"); written > 0 && string(got.Value) != fmt.Sprint(9+written) {
					t.Errorf("got %s, want %d", got.Value, 9+written)
				}
			})
		})
	}
}

// partialLog is a log that returns one record a read.
type partialLog struct{ fakeLog }

func (l *partialLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error) {
	b, err := l.fakeLog.Read(ctx, topic, from, wait)
	if err == nil && len(b.Records) > 1 {
		b.Records, b.End, b.Partial = b.Records[:1], from+1, true
	}

	return b, err
}

// Guards against a replica that counts as up to date while the log holds records that a read left out: stores
// are asked to free, and weights are required, by what is known at that time.
func TestPartialReadIsNotUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &partialLog{}
		topic := NewTopic(TopicConfig{})
		f := NewFollower(FollowerConfig{Name: "t", Topic: topic, Source: log, Wait: time.Second, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard()})

		topic.Merge(Batch{Snapshot: true, AsOf: time.Now()})

		for i := range 3 {
			log.append(fmt.Sprint("k", i), "v")
		}

		for i, partial := range []bool{true, true, false} {
			before := time.Now()
			time.Sleep(time.Second)

			b, err := f.readLog(t.Context())
			if err != nil || len(b.Records) != 1 {
				t.Fatalf("read %d: got %d records, %v, want 1", i, len(b.Records), err)
			}

			topic.Merge(b)

			if got := topic.SyncedAt().After(before); got == partial {
				t.Errorf("read %d: got up to date %v, want %v", i, got, !partial)
			}
		}
	})
}

// Guards against records that pass for more recent than they are: the read was sent before the process's VM was
// suspended, and its response arrives afterwards.
func TestReadIsUpToDateAsOfItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, clock := &fakeLog{}, int64(0)
		topic := NewTopic(TopicConfig{})
		f := NewFollower(FollowerConfig{
			Name: "t", Topic: topic, Source: log, Wait: time.Second, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard(),
			SharedClock: func(time.Time) int64 {
				clock += 1000 // as much passes during each read

				return clock
			},
		})

		for _, want := range []int64{1000, 2000} { // a snapshot, then a read from its end on
			b, err := f.readLog(t.Context())
			if err != nil {
				t.Fatal(err)
			}

			if got := b.AsOfShared; got != want {
				t.Errorf("got up to date as of %d, want %d", got, want)
			}

			topic.Merge(b)
		}
	})
}

// Guards against a process that counts as knowing a change before it has acted on it.
func TestChangesAreHandledAfterOnChanges(t *testing.T) {
	topic := NewTopic(TopicConfig{})
	during := int64(-1)
	f := NewFollower(FollowerConfig{
		Name: "t", Topic: topic, Log: logr.Discard(),
		OnChanges: func(time.Time, []Record) { during = topic.Since(Position{}).Handled },
	})

	f.merge(t.Context(), time.Now(), Batch{Snapshot: true, Records: []Record{{Key: "k", Value: []byte("v"), Offset: 4}}, End: 5})

	if during != 0 {
		t.Errorf("while it is acted on: got %d handled, want 0", during)
	}

	if got := topic.Since(Position{}).Handled; got != 5 {
		t.Errorf("afterwards: got %d handled, want 5", got)
	}
}

// shortLog is a log whose reads get the response to an earlier one, or that has returned from a copy.
type shortLog struct {
	fakeLog
	shortEra int64
}

func (l *shortLog) Read(context.Context, string, int64, time.Duration) (Batch, error) {
	return Batch{End: 5, Era: l.shortEra, Short: true}, nil
}

// Guards against a response to an earlier read that counts as one without changes. In a later era the log may end
// before: it has returned from a copy.
func TestReadThatEndsBeforeItsOffsetIsAnError(t *testing.T) {
	for _, tt := range []struct {
		name string
		era  int64
		want error
	}{
		{"same era", 1, errShort},
		{"later era", 2, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			topic := NewTopic(TopicConfig{})
			topic.Merge(Batch{Snapshot: true, Era: 1, End: 5})

			f := NewFollower(FollowerConfig{Name: "t", Topic: topic, Source: &shortLog{fakeLog{era: tt.era}, tt.era}, OnChanges: func(time.Time, []Record) {}, Log: logr.Discard()})

			if _, err := f.readLog(t.Context()); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}
