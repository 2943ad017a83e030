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

// ErrTrimmed is returned by a Source that no longer keeps the records asked for.
var ErrTrimmed = errors.New("records are no longer kept")

// Source is the log.
type Source interface {
	// Newest returns the newest record of every key.
	Newest(ctx context.Context, topic string) (Batch, error)
	// Read returns the records from an offset on, waiting for the first one.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
}

// Peers are other processes that follow the same topic.
type Peers interface {
	// Newer returns what another process holds from an offset on.
	Newer(ctx context.Context, topic string, from int64) (Batch, error)
}

// Relay passes on what a few processes read for all.
type Relay interface {
	// Assignment returns how this process gets a topic.
	Assignment(topic string) Assignment
	// Follow polls another process for records from an offset on, waiting for the first one.
	Follow(ctx context.Context, address, topic string, from int64, wait time.Duration) (Batch, error)
}

// Assignment is how a process gets a topic: from the log or from another process.
type Assignment struct {
	// Reads is set if the process reads the log itself.
	Reads bool
	// Addresses are the processes to poll otherwise, in order of preference. The slice is
	// shared and must not be modified.
	Addresses []string
	// Wait is how long one poll waits for new records; zero selects the default.
	Wait time.Duration
}

// pollWait returns how long one poll waits for new records, with the default applied.
func (a Assignment) pollWait() time.Duration {
	if a.Wait <= 0 {
		return relayWait
	}

	return a.Wait
}

// staleAfter returns the age from which a batch from another process is rejected as stale.
func (a Assignment) staleAfter() time.Duration { return max(relayStale, 2*a.pollWait()) }

// FollowerConfig says what to follow and how.
type FollowerConfig struct {
	// Name is the topic's name.
	Name string
	// Topic takes what is read.
	Topic *Topic
	// Source is the log.
	Source Source
	// Peers are asked while the log doesn't answer; nil asks nobody.
	Peers Peers
	// Relay tells who reads for all; nil has this process read itself.
	Relay Relay
	// LoadWait is how long a starting process waits for another one to return the whole
	// topic before it reads the log; zero reads the log at once. It has no effect without
	// a Relay.
	LoadWait time.Duration
	// Wait is how long one read waits for a record. It bounds how long a
	// connection that fell silent goes unnoticed.
	Wait time.Duration
	// Every is the pause between two reads; zero reads on at once.
	Every time.Duration
	// AskEvery is the interval at which the Peers are asked while the log answers, unless
	// the topic is known to have been current within that interval. Zero asks them only
	// when the log doesn't answer.
	AskEvery time.Duration
	// OnNews gets the records that are new, in order, one call at a time.
	OnNews func(now time.Time, news []Record)
	// OnAway is called when the log stops answering and when it answers again; nil
	// calls nothing.
	OnAway func(now time.Time, away bool)
	// Log gets a line when the log is lost and regained.
	Log logr.Logger
}

// Pauses while the log doesn't answer.
const (
	// retryPause is the pause between two tries. Each costs a call, and an
	// outage lasts seconds; a third of a second is well under the two seconds in
	// which a configuration has to be in force.
	retryPause = 300 * time.Millisecond
	// readSlack is how much longer than Wait an answer may take before its
	// connection is given up: the log answers in milliseconds.
	readSlack = 700 * time.Millisecond
	// newestTimeout bounds a call that reads every key.
	newestTimeout = 1500 * time.Millisecond
	// peerTimeout bounds a question to another process.
	peerTimeout = 400 * time.Millisecond
	// transferMost is how long a batch may take that keeps coming; the times above
	// are those without a single byte. A configuration with thousands of routes has
	// 320 KB, which is a quarter of a second on the smallest link, 10 Mbit/s, when
	// nothing else is on it.
	transferMost = 3 * time.Second
)

// Waiting at a reader, or at a relay that waits at a reader. A reader reads at least every
// half second; with these, what a process knows is 1.4 s old at most when its reader dies,
// falls silent or is cut off from the log, and two seconds are allowed. A process whose
// Assignment has a longer Wait tolerates twice that.
const (
	// relayWait is how long one question waits for news.
	relayWait = 600 * time.Millisecond
	// relaySlack is how much longer its answer may take.
	relaySlack = 250 * time.Millisecond
	// relayStale is the age from which what a reader has is not taken for current.
	relayStale = 1200 * time.Millisecond
	// relayPause is the least pause between two questions, whatever is answered: without
	// it an answer that comes at once is followed by the next question at once.
	relayPause = 50 * time.Millisecond
	// relayRetryWindow is the time since the first poll within which a failed poll is
	// followed by a poll of the next process. After that, the log is read.
	relayRetryWindow = 100 * time.Millisecond
	// loadRetryPause is the pause between two rounds of polls for the whole topic.
	loadRetryPause = 100 * time.Millisecond
	// maxLoadPolls is the maximum number of processes polled in one round. It limits the load
	// on the polled processes, since hundreds poll the same few if all start at once.
	maxLoadPolls = 3
	// loadPollWait is how long one poll for the whole topic waits. It is short because
	// existing records are returned immediately.
	loadPollWait = 50 * time.Millisecond
	// relayRest is for how long a reader that failed is not asked again: one that has
	// just woken thinks that what it knows is current.
	relayRest = 3 * time.Second
)

// Follower keeps a Topic up to date. Use NewFollower.
type Follower struct {
	cfg    FollowerConfig
	behind time.Time // when the log stopped answering; zero while it answers

	mu sync.Mutex // orders the calls of OnNews

	resting map[string]time.Time // readers that failed, and until when they rest
}

// NewFollower returns a Follower that Run starts.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{cfg: cfg, resting: make(map[string]time.Time)}
}

// Run follows until ctx ends. The peers are asked beside the first read, since a
// process that starts in an outage would otherwise wait for it to time out.
func (f *Follower) Run(ctx context.Context) {
	go f.askPeers(ctx)

	if f.cfg.AskEvery > 0 {
		go f.askRegularly(ctx)
	}

	f.load(ctx)

	for ctx.Err() == nil {
		if f.relayed(ctx) {
			continue
		}

		b, err := f.read(ctx)
		now := time.Now()

		if err == nil {
			f.regained(now)
			f.merge(now, b)
			pause.For(ctx, f.cfg.Every)

			continue
		}

		if ctx.Err() != nil {
			return
		}

		f.lost(now, err)
		f.askPeers(ctx)
		pause.For(ctx, retryPause)
	}
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
		if a.Reads {
			return
		}

		// Each round continues with the processes that follow those polled in the previous one.
		for range min(maxLoadPolls, len(a.Addresses)) {
			address := a.Addresses[polls%len(a.Addresses)]
			polls++

			c, done := pause.Patient(ctx, peerTimeout, transferMost)
			b, err := f.cfg.Relay.Follow(c, address, f.cfg.Name, 0, loadPollWait)

			done()

			if now := time.Now(); err == nil && now.Sub(b.AsOf) < a.staleAfter() {
				b.Whole = true
				f.merge(now, b)

				return
			}
		}

		pause.For(ctx, loadRetryPause)
	}
}

// relayed waits for news at another process. It returns false when this process has to read
// itself.
func (f *Follower) relayed(ctx context.Context) bool {
	if f.cfg.Relay == nil || !f.cfg.Topic.Loaded() {
		return false
	}

	a := f.cfg.Relay.Assignment(f.cfg.Name)
	if a.Reads {
		return false
	}

	wait := a.pollWait()
	began := time.Now()

	for _, r := range a.Addresses {
		now := time.Now()
		if now.Before(f.resting[r]) {
			continue
		}

		c, cancel := pause.Patient(ctx, wait+relaySlack, wait+transferMost)
		b, err := f.cfg.Relay.Follow(c, r, f.cfg.Name, f.cfg.Topic.End(), wait)

		cancel()

		now = time.Now()
		if err == nil && now.Sub(b.AsOf) < a.staleAfter() {
			f.regained(now)
			f.merge(now, b)
			pause.For(ctx, relayPause)

			return true
		}

		f.resting[r] = now.Add(relayRest)

		// The time allowed for an update permits at most one slow failure.
		if now.Sub(began) > relayRetryWindow {
			return false
		}
	}

	return false
}

// read asks the log once. A read that fails with ErrTrimmed is followed by a
// whole one.
func (f *Follower) read(ctx context.Context) (Batch, error) {
	if f.cfg.Topic.Loaded() {
		at := time.Now()
		c, cancel := pause.Patient(ctx, f.cfg.Wait+readSlack, f.cfg.Wait+transferMost)
		b, err := f.cfg.Source.Read(c, f.cfg.Name, f.cfg.Topic.End(), f.cfg.Wait)

		cancel()

		b.AsOf = at

		if !errors.Is(err, ErrTrimmed) {
			return b, err
		}
	}

	at := time.Now()

	c, cancel := pause.Patient(ctx, newestTimeout, newestTimeout+transferMost)
	defer cancel()

	b, err := f.cfg.Source.Newest(c, f.cfg.Name)
	b.AsOf = at

	return b, err
}

func (f *Follower) askPeers(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}

	c, cancel := pause.Patient(ctx, peerTimeout, transferMost)
	defer cancel()

	b, err := f.cfg.Peers.Newer(c, f.cfg.Name, f.cfg.Topic.End())
	if err != nil {
		f.cfg.Log.V(1).Info("no peer answered", "topic", f.cfg.Name, "error", err.Error())

		return
	}

	f.merge(time.Now(), b)
}

// askRegularly asks the others now and then while a read of the log waits: its
// connection may have fallen silent, which shows only when Wait is over.
func (f *Follower) askRegularly(ctx context.Context) {
	for pause.For(ctx, f.cfg.AskEvery) {
		if time.Since(f.cfg.Topic.Fresh()) >= f.cfg.AskEvery {
			f.askPeers(ctx)
		}
	}
}

func (f *Follower) merge(now time.Time, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()

	news := f.cfg.Topic.Merge(b)
	if len(news) > 0 {
		f.cfg.OnNews(now, news)
	}
}

func (f *Follower) lost(now time.Time, err error) {
	if !f.behind.IsZero() {
		return
	}

	f.behind = now

	if f.cfg.OnAway != nil {
		f.cfg.OnAway(now, true)
	}

	event.Fail(f.cfg.Log, err, event.TopicLost, "topic", f.cfg.Name, "offset", f.cfg.Topic.End())
}

func (f *Follower) regained(now time.Time) {
	if f.behind.IsZero() {
		return
	}

	event.Log(f.cfg.Log, event.TopicRegained, "topic", f.cfg.Name, "after_ms", now.Sub(f.behind).Milliseconds())
	f.behind = time.Time{}

	if f.cfg.OnAway != nil {
		f.cfg.OnAway(now, false)
	}
}
