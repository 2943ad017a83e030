package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/pause"
)

// ErrTrimmed is returned by a Source whose log no longer keeps the requested records.
var ErrTrimmed = errors.New("records were trimmed from the log")

// Source is the log.
type Source interface {
	// Newest returns a snapshot: the newest record of every key.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records from an offset on. It waits for the first one, up to the given
	// time. It returns ErrTrimmed if the log no longer keeps the record at the offset.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}

// Peers are other processes that follow the same topic.
type Peers interface {
	// Fetch returns another process's records from a position on, without waiting. It returns a snapshot
	// if the era there is a later one.
	Fetch(ctx context.Context, topic string, from Position) (Batch, error)
}

// Relay assigns the processes that read a topic from the log, and polls them.
type Relay interface {
	// Assignment returns how this process gets a topic.
	Assignment(topic string) Assignment
	// Poll requests the records from a position on from another process, which waits for the
	// first one, up to the given time. It returns a snapshot at once if the era there is a later one.
	Poll(ctx context.Context, address, topic string, from Position, wait time.Duration) (Batch, error)
}

// Assignment is how a process gets a topic: from the log or from another process.
type Assignment struct {
	// Direct is set if the process reads the log itself.
	Direct bool
	// Addresses are the processes to poll otherwise, in order of preference. The slice is
	// shared and must not be modified.
	Addresses []string
	// Wait is how long one poll waits for new records; zero selects the default.
	Wait time.Duration
}

// pollWait returns how long one poll waits for new records, with the default applied.
func (a Assignment) pollWait() time.Duration {
	if a.Wait <= 0 {
		return defaultPollWait
	}

	return a.Wait
}

// staleAfter returns the age from which a batch from another process is rejected as stale.
func (a Assignment) staleAfter() time.Duration { return max(relayStaleAfter, 2*a.pollWait()) }

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Name is the topic's name.
	Name string
	// Topic is the replica to keep up to date.
	Topic *Topic
	// Source is the log.
	Source Source
	// Records are fetched from Peers at the start and while the log doesn't respond, see also
	// PeerInterval. If nil, only the log and the assigned processes are read.
	Peers Peers
	// Relay assigns the processes that read the log. If nil, this process reads it itself.
	Relay Relay
	// LoadWait is how long a starting process waits for another one to return the whole
	// topic before it reads the log; zero reads the log at once. It has no effect without
	// a Relay.
	LoadWait time.Duration
	// Wait is how long one read of the log waits for a record. It bounds the time until an
	// unresponsive connection is detected.
	Wait time.Duration
	// ReadPause is the pause between two reads of the log; zero continues at once.
	ReadPause time.Duration
	// PeerInterval is the interval at which records are fetched from Peers while the log
	// responds, unless the topic is known to have been current within that interval. Zero
	// fetches them only when the log doesn't respond.
	PeerInterval time.Duration
	// OnChanges is called with the changed records in order of offset, one call at a time.
	OnChanges func(now time.Time, changes []Record)
	// Reconnect closes the idle connections to the log, so that the next read gets a new one; nil if
	// there are none. A connection that has gone silent looks like a log that is down.
	Reconnect func()
	// OnOutage is called with true when neither the log nor another process returns current records,
	// with the time since which that is so, and with false when one does again, with the present
	// time and before they are passed to OnChanges. If nil, it isn't called.
	OnOutage func(at time.Time, unavailable bool)
	// OnReset is called when the log has returned from a copy, see Topic; it may be nil.
	OnReset func(now time.Time)
	// SharedClock returns the clock that the processes share, in ms, never ahead of it, and zero while it
	// isn't known; nil if there is none. See Moment.
	SharedClock func(now time.Time) int64
	// Log receives an event at the start and at the end of an outage.
	Log logr.Logger
}

// Timing of reads of the log and of requests to Peers. The timeouts apply to the time without a
// received byte.
const (
	// retryPause is the pause between a failed read of the log and the next one. Each attempt
	// costs a call, and an outage lasts seconds. The pause is well below the 2 s within which a
	// configuration must be applied.
	retryPause = 300 * time.Millisecond
	// readSlack is how much longer than Wait a response of the log may take before the
	// connection is abandoned. The log responds within milliseconds.
	readSlack = 700 * time.Millisecond
	// newestTimeout is the timeout of a call that reads every key.
	newestTimeout = 1500 * time.Millisecond
	// peerTimeout is the timeout of a request to another process.
	peerTimeout = 400 * time.Millisecond
	// maxTransfer bounds the transfer time of a response that keeps arriving. A configuration with
	// thousands of routes has 320 KB, which takes 0.25 s on the slowest link, 10 Mbit/s, without
	// other traffic.
	maxTransfer = 3 * time.Second
)

// Timing of polls of a reader, or of a relay that polls a reader. A reader reads the log at least
// every 0.5 s. With these values, the records of a process are at most 1.4 s old when its reader
// fails, becomes unresponsive or is cut off from the log; 2 s are allowed. A process whose
// Assignment has a longer Wait tolerates twice that wait.
const (
	// defaultPollWait is how long one poll waits for changes.
	defaultPollWait = 600 * time.Millisecond
	// pollSlack is how much longer than the wait the response may take.
	pollSlack = 250 * time.Millisecond
	// relayStaleAfter is the age from which records from a reader or relay are rejected as stale.
	relayStaleAfter = 1200 * time.Millisecond
	// pollPause is the pause between two polls. Without it, an immediate response would be
	// followed by the next poll at once.
	pollPause = 50 * time.Millisecond
	// pollRetryWindow is the time since the first poll within which a failed poll is followed by
	// a poll of the next process. After that, the log is read.
	pollRetryWindow = 100 * time.Millisecond
	// loadRetryPause is the pause between two rounds of polls for the whole topic.
	loadRetryPause = 100 * time.Millisecond
	// maxLoadPolls is the maximum number of processes polled in one round. It limits the load
	// on the polled processes, since hundreds poll the same few if all start at once.
	maxLoadPolls = 3
	// loadPollWait is how long one poll for the whole topic waits. It is short because
	// existing records are returned immediately.
	loadPollWait = 50 * time.Millisecond
	// relayBackoff is how long a process is not polled again after a failed poll. A process that
	// has just resumed from a pause reports its old records as current.
	relayBackoff = 3 * time.Second
)

// Follower keeps a Topic up to date. Use NewFollower.
type Follower struct {
	cfg       FollowerConfig
	lostSince time.Time // since when reads of the log fail; zero while they don't
	outage    bool      // as last passed to OnOutage

	mu sync.Mutex // serialises merges and calls of OnChanges, which keeps the changes in order

	backoffUntil map[string]time.Time // until when not to poll a process, by address
}

// NewFollower returns a Follower with the given configuration. Run starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, backoffUntil: make(map[string]time.Time)}
}

// Run keeps the topic up to date until ctx ends. It fetches from the peers concurrently with the
// first read. Otherwise a process that starts during an outage of the log would have no records
// until the read times out.
func (f *Follower) Run(ctx context.Context) {
	go f.fetchFromPeers(ctx)

	if f.cfg.PeerInterval > 0 {
		go f.fetchPeriodically(ctx)
	}

	f.load(ctx)

	for ctx.Err() == nil {
		f.settle(time.Now())

		if f.pollRelays(ctx) {
			continue
		}

		b, err := f.readLog(ctx)

		if err != nil && f.lostSince.IsZero() && ctx.Err() == nil {
			b, err = f.readAgain(ctx, err)
		}

		now := time.Now()

		if err == nil {
			f.markRecovered(now)
			f.merge(ctx, now, b)
			pause.For(ctx, f.cfg.ReadPause)

			continue
		}

		if ctx.Err() != nil {
			return
		}

		f.markLost(now, err)
		f.noteOutage(f.fetchFromPeers(ctx))
		pause.For(ctx, retryPause)
	}
}

// readAgain reads the log once more after a read has failed, on a new connection. If that succeeds,
// the connection was broken and not the log. It fetches from the peers meanwhile, since the log may be
// unresponsive.
func (f *Follower) readAgain(ctx context.Context, cause error) (Batch, error) {
	if f.cfg.Reconnect != nil {
		f.cfg.Reconnect()
	}

	go f.fetchFromPeers(ctx)

	currentAt := f.cfg.Topic.SyncedAt()
	b, err := f.readWithin(ctx, 0)

	if err != nil {
		return b, err
	}

	now := time.Now()
	event.Fail(f.cfg.Log, cause, event.LogConnectionLost, "topic", f.cfg.Name, "records_age_ms", now.Sub(currentAt).Milliseconds())

	// What happened to the log in the meantime is known only if it was a short time.
	if f.cfg.OnOutage != nil {
		f.cfg.OnOutage(currentAt, true)
		f.cfg.OnOutage(now, false)
	}

	return b, nil
}

// load polls other processes for the whole topic until it is loaded, LoadWait has passed or
// this process is to read the log itself.
func (f *Follower) load(ctx context.Context) {
	if f.cfg.Relay == nil || f.cfg.LoadWait <= 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, f.cfg.LoadWait)
	defer cancel()

	for polls := 0; ctx.Err() == nil && !f.cfg.Topic.Loaded(); {
		a := f.cfg.Relay.Assignment(f.cfg.Name)
		if a.Direct {
			return
		}

		// Each round continues with the processes that follow those polled in the previous one.
		for range min(maxLoadPolls, len(a.Addresses)) {
			address := a.Addresses[polls%len(a.Addresses)]
			polls++

			c, done := pause.WithIdleTimeout(ctx, peerTimeout, maxTransfer)
			b, err := f.cfg.Relay.Poll(c, address, f.cfg.Name, Position{}, loadPollWait)

			done()

			if now := time.Now(); err == nil && now.Sub(b.AsOf) < a.staleAfter() {
				b.Snapshot = true
				f.merge(ctx, now, b)

				return
			}
		}

		pause.For(ctx, loadRetryPause)
	}
}

// pollRelays polls the assigned processes for changes. It returns false if this process has to
// read the log itself.
func (f *Follower) pollRelays(ctx context.Context) bool {
	if f.cfg.Relay == nil || !f.cfg.Topic.Loaded() {
		return false
	}

	a := f.cfg.Relay.Assignment(f.cfg.Name)
	if a.Direct {
		return false
	}

	wait := a.pollWait()
	began := time.Now()

	for _, address := range a.Addresses {
		now := time.Now()
		if now.Before(f.backoffUntil[address]) {
			continue
		}

		c, cancel := pause.WithIdleTimeout(ctx, wait+pollSlack, wait+maxTransfer)
		b, err := f.cfg.Relay.Poll(c, address, f.cfg.Name, f.cfg.Topic.End(), wait)

		cancel()

		now = time.Now()
		if err == nil && b.Era >= f.cfg.Topic.End().Era && now.Sub(b.AsOf) < a.staleAfter() {
			f.markRecovered(now)
			f.merge(ctx, now, b)
			pause.For(ctx, pollPause)

			return true
		}

		f.backoffUntil[address] = now.Add(relayBackoff)

		// The time allowed for an update permits at most one slow failure.
		if now.Sub(began) > pollRetryWindow {
			return false
		}
	}

	return false
}

// errEarlierEra is returned for a response that the log made before it returned from a copy.
var errEarlierEra = errors.New("the response is of an earlier era of the log")

// errShort is returned for a response that belongs to another read: within an era the log's end never goes back.
var errShort = errors.New("the log ends before the records that were read")

// readLog makes one read of the log, which waits for a record for Wait.
func (f *Follower) readLog(ctx context.Context) (Batch, error) { return f.readWithin(ctx, f.cfg.Wait) }

// readWithin makes one read of the log, which waits for a record for a time. It reads a snapshot if the
// topic isn't loaded, the log no longer keeps the records from the topic's end on, or it has returned from a
// copy.
func (f *Follower) readWithin(ctx context.Context, wait time.Duration) (Batch, error) {
	end := f.cfg.Topic.End()

	if f.cfg.Topic.Loaded() {
		sentAt := f.moment(time.Now())
		c, cancel := pause.WithIdleTimeout(ctx, wait+readSlack, wait+maxTransfer)
		b, err := f.cfg.Source.Read(c, f.cfg.Name, end.Offset, wait)

		cancel()

		if !b.Partial {
			b.AsOf, b.AsOfShared = sentAt.Local, sentAt.Shared
		}

		switch {
		case err != nil && !errors.Is(err, ErrTrimmed):
			return b, err
		case b.Era < end.Era:
			return b, errEarlierEra
		case err == nil && b.Era == end.Era && b.Short:
			return Batch{}, errShort
		case err == nil && b.Era == end.Era:
			return b, nil
		}
	}

	sentAt := f.moment(time.Now())

	c, cancel := pause.WithIdleTimeout(ctx, newestTimeout, newestTimeout+maxTransfer)
	defer cancel()

	b, err := f.cfg.Source.Newest(c, f.cfg.Name)
	if err == nil && b.Era < end.Era {
		err = errEarlierEra
	}

	b.AsOf, b.AsOfShared = sentAt.Local, sentAt.Shared

	return b, err
}

// moment returns a time of this process as a moment on both clocks.
func (f *Follower) moment(now time.Time) Moment {
	if f.cfg.SharedClock == nil {
		return Moment{Local: now}
	}

	return Moment{now, f.cfg.SharedClock(now)}
}

// fetchFromPeers merges the records that the peers have beyond those of this process. It returns whether
// one of them had current records: the log is available to others.
func (f *Follower) fetchFromPeers(ctx context.Context) (current bool) {
	if f.cfg.Peers == nil {
		return false
	}

	c, cancel := pause.WithIdleTimeout(ctx, peerTimeout, maxTransfer)
	defer cancel()

	b, err := f.cfg.Peers.Fetch(c, f.cfg.Name, f.cfg.Topic.End())
	if err != nil {
		f.cfg.Log.V(1).Info("fetch from peers failed", "topic", f.cfg.Name, "error", err.Error())

		return false
	}

	now := time.Now()
	f.merge(ctx, now, b)

	return b.Era >= f.cfg.Topic.End().Era && now.Sub(b.AsOf) < relayStaleAfter
}

// fetchPeriodically fetches from the peers while reads of the log wait, since an unresponsive
// connection is detected only after Wait. It skips intervals in which the topic was up to date.
func (f *Follower) fetchPeriodically(ctx context.Context) {
	for pause.For(ctx, f.cfg.PeerInterval) {
		if time.Since(f.cfg.Topic.SyncedAt()) >= f.cfg.PeerInterval {
			f.fetchFromPeers(ctx)
		}
	}
}

func (f *Follower) merge(ctx context.Context, now time.Time, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()

	before, loaded := f.cfg.Topic.End(), f.cfg.Topic.Loaded()
	changes := f.cfg.Topic.Merge(b)

	if f.cfg.Topic.End().Era > before.Era && loaded {
		event.Log(f.cfg.Log, event.LogReset, "topic", f.cfg.Name, "era", b.Era, "before", before.Era, "end", b.End, "end_before", before.Offset, "changes", len(changes))

		if f.cfg.OnReset != nil {
			f.cfg.OnReset(now)
		}

		// Others may have read what the log has lost.
		go f.fetchAll(ctx)
	}

	if len(changes) > 0 {
		f.cfg.OnChanges(now, changes)
	}

	f.cfg.Topic.SetHandled(f.cfg.Topic.End())
}

// fetchAll merges all records of the peers.
func (f *Follower) fetchAll(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}

	c, cancel := pause.WithIdleTimeout(ctx, peerTimeout, maxTransfer)
	defer cancel()

	if b, err := f.cfg.Peers.Fetch(c, f.cfg.Name, Position{}); err == nil {
		f.merge(ctx, time.Now(), b)
	}
}

// settle passes on the changes of Topic.Settle.
func (f *Follower) settle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if changes := f.cfg.Topic.Settle(now); len(changes) > 0 {
		event.Log(f.cfg.Log, event.LogSettled, "topic", f.cfg.Name, "changes", len(changes))
		f.cfg.OnChanges(now, changes)
	}
}

// markLost records that reads of the log fail.
func (f *Follower) markLost(now time.Time, err error) {
	if !f.lostSince.IsZero() {
		return
	}

	f.lostSince = now
	event.Fail(f.cfg.Log, err, event.TopicLost, "topic", f.cfg.Name, "era", f.cfg.Topic.End().Era, "offset", f.cfg.Topic.End().Offset,
		"records_age_ms", now.Sub(f.cfg.Topic.SyncedAt()).Milliseconds())
}

// noteOutage passes on the start and the end of an outage while reads of the log fail here. Elsewhere
// reports whether another process has current records.
func (f *Follower) noteOutage(elsewhere bool) {
	if f.cfg.OnOutage == nil || f.outage == !elsewhere {
		return
	}

	f.outage = !elsewhere

	if f.outage {
		f.cfg.OnOutage(f.cfg.Topic.SyncedAt(), true)
	} else {
		f.cfg.OnOutage(time.Now(), false)
	}
}

// markRecovered records that the log or an assigned process returned current records. It is called before
// they are merged.
func (f *Follower) markRecovered(now time.Time) {
	if f.lostSince.IsZero() {
		return
	}

	event.Log(f.cfg.Log, event.TopicRegained, "topic", f.cfg.Name, "after_ms", now.Sub(f.lostSince).Milliseconds())
	f.lostSince = time.Time{}
	f.noteOutage(true)
}
