package publication

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/xxh3"

	"boragehub/event"
	"boragehub/journal"
	"boragehub/pause"
	"boragehub/ring"
	"boragehub/setting"
)

// Peers is how a Follower reaches the other processes.
type Peers interface {
	// Fetch asks the process on vm for the settings after a version.
	Fetch(ctx context.Context, vm string, after uint64) (Handover, error)
	// Push hands settings to the process on vm.
	Push(ctx context.Context, vm string, h Handover) error
}

// Defaults of FollowerConfig.
const (
	DefaultPull    = 4 * time.Second
	DefaultWait    = 10 * time.Second
	DefaultTimeout = 2 * time.Second
)

// FollowerConfig says what a Follower reads from and whom it talks to.
type FollowerConfig struct {
	// Log is the log service.
	Log Log
	// Self is this process.
	Self Member
	// Members returns the processes that are known now; nil means that this one is alone.
	Members func() []Member
	// Peers reaches them; nil means that there are none.
	Peers Peers
	// Clock returns the present time; nil means time.Now.
	Clock func() time.Time
	// Pull is the time between two questions to a peer; zero is DefaultPull.
	Pull time.Duration
	// Wait is how long a read of the log waits for records; zero is DefaultWait.
	Wait time.Duration
	// Timeout bounds one exchange with a peer; zero is DefaultTimeout.
	Timeout time.Duration
	// Logger takes the events.
	Logger logr.Logger
	// Changed is called with each version that comes into force, in order; it
	// must return soon. May be nil.
	Changed func(*Published)
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	if c.Members == nil {
		c.Members = func() []Member { return nil }
	}

	if c.Clock == nil {
		c.Clock = time.Now
	}

	if c.Pull <= 0 {
		c.Pull = DefaultPull
	}

	if c.Wait <= 0 {
		c.Wait = DefaultWait
	}

	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}

	return c
}

// Bounds of a Follower.
const (
	// mostRecords is how many records one read takes.
	mostRecords = 500
	// maxAskers bounds how many processes are pushed to.
	maxAskers = 64
	// askerMemory is after how many pull intervals without a question a
	// process is no longer pushed to.
	askerMemory = 3
	// sourcePause is how long a source that gave no answer is asked last.
	sourcePause = 30 * time.Second
	// logBackoff is how long a Follower leaves a log alone that failed.
	logBackoff = time.Second
)

// Follower holds the version in force at one process. Use NewFollower.
type Follower struct {
	cfg     FollowerConfig
	current atomic.Pointer[Published]
	news    *ring.Ring[uint64]
	// partBytes bounds one record of a snapshot.
	partBytes int

	// forcing is held while a version is read and brought into force, so that
	// they follow each other in order.
	forcing sync.Mutex
	// understood is the newest version that this release could read or failed to.
	understood uint64

	mu      sync.Mutex
	replica *replica
	// told is the newest version that the duty which passes on was told of.
	told   uint64
	askers map[string]asker
	// failed tells when a source last gave no answer.
	failed map[string]time.Time
	logOut bool
}

// asker is a process that took settings from this one.
type asker struct {
	version uint64
	seen    time.Time
}

// NewFollower returns a Follower without a version.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:       cfg.withDefaults(),
		partBytes: partBytes,
		news:      ring.New[uint64](1),
		replica:   newReplica(),
		askers:    map[string]asker{},
		failed:    map[string]time.Time{},
	}
	f.replica.decided = f.logRefusal
	f.replica.diverged = func(offset uint64) {
		event.Log(f.cfg.Logger, event.SettingsDiverged, "offset", offset, "version", f.replica.head.version)
	}

	return f
}

// Current returns the version in force, nil before there is one. It takes no lock.
func (f *Follower) Current() *Published { return f.current.Load() }

// Ready says whether there is a version in force. A process without one
// declines all work, since it would run with limits that nobody wished.
func (f *Follower) Ready() bool { return f.Current() != nil }

// Run keeps the version in force up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup

	wg.Go(func() { f.keepUp(ctx) })
	wg.Go(func() { f.passOn(ctx) })
	wg.Wait()
}

// keepUp is the duty that takes new versions from the log or from peers.
func (f *Follower) keepUp(ctx context.Context) {
	// Processes that start together would ask together ever after. The first
	// interval is cut short by a part of it that depends on the name.
	interval := time.Duration(xxh3.HashString(f.cfg.Self.VM) % uint64(f.cfg.Pull))

	for ctx.Err() == nil {
		arrangement := Arrange(f.cfg.Self, f.cfg.Members())

		if arrangement.ReadsLog {
			if f.readLog(ctx, f.cfg.Wait) == nil {
				continue
			}

			f.pull(ctx, arrangement)
			pause.For(ctx, logBackoff)

			continue
		}

		// The log is the last resort, so that a process whose sources are all
		// gone, or not yet known to it, isn't left behind.
		if !f.pull(ctx, arrangement) {
			_ = f.readLog(ctx, 0) // the event has been logged
		}

		pause.For(ctx, interval)

		interval = f.cfg.Pull
	}
}

// passOn is the duty that pushes new versions to those who asked lately.
func (f *Follower) passOn(ctx context.Context) {
	for {
		if _, ok := f.news.Take(ctx); !ok {
			return
		}

		f.push(ctx)
	}
}

// readLog takes in one batch of the log.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	from := f.replica.from()
	f.mu.Unlock()

	batch, err := f.cfg.Log.Read(ctx, Stream, from, mostRecords, wait)

	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = journal.Batch{First: trimmed.First}, nil
	}

	f.noteLog(ctx, err)

	if err != nil {
		return err
	}

	f.take(batch)
	f.enforce()

	return nil
}

// take decides on the records of a batch.
func (f *Follower) take(batch journal.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if batch.First > f.replica.from() {
		event.Log(f.cfg.Logger, event.SettingsTrimmed, "wanted", f.replica.from(), "kept_from", batch.First)
		f.replica.trimmed(batch.First)
	}

	f.replica.kept = max(f.replica.kept, batch.First)

	for _, rec := range batch.Records {
		f.replica.feed(rec)
	}

	f.tell()
}

// tell lets the duty that passes versions on look for news. The caller holds mu.
func (f *Follower) tell() {
	if f.replica.head.version > f.told {
		f.told = f.replica.head.version
		f.news.Offer(f.told)
	}
}

// noteLog logs when the log goes away and comes back, once each.
func (f *Follower) noteLog(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	switch out := err != nil; {
	case out && !f.logOut:
		event.Fail(f.cfg.Logger, err, event.SettingsLogLost, "version", f.replica.head.version)
	case !out && f.logOut:
		event.Log(f.cfg.Logger, event.SettingsLogBack, "version", f.replica.head.version)
	}

	f.logOut = err != nil
}

// enforce brings head into force. Reading a large tree takes a while, during
// which others are served and the version is passed on.
func (f *Follower) enforce() {
	f.forcing.Lock()
	defer f.forcing.Unlock()

	f.mu.Lock()
	h := f.replica.head
	f.mu.Unlock()

	if h.version <= f.understood {
		return
	}

	f.understood = h.version

	var last *setting.Tree
	if p := f.Current(); p != nil {
		last = p.tree
	}

	tree, err := last.Next("settings", h.text)
	if err != nil {
		event.Fail(f.cfg.Logger, err, event.SettingsNotUnderstood, "version", h.version, "author", h.author)

		return
	}

	p := &Published{head: h, tree: tree}
	f.current.Store(p)

	event.Log(f.cfg.Logger, event.SettingsInForce, "version", h.version, "based", h.based,
		"author", h.author, "note", h.note, "hash", h.hash.String()[:shownHash])

	if f.cfg.Changed != nil {
		f.cfg.Changed(p)
	}
}

// shownHash is how many digits of a hash a log line shows.
const shownHash = 12

// logRefusal logs a change that was not accepted.
func (f *Follower) logRefusal(v verdict) {
	if v.reason != accepted {
		event.Log(f.cfg.Logger, event.SettingsRefused, "offset", v.offset, "author", v.author,
			"based", v.based, "in_force", v.inForce, "reason", v.reason.String())
	}
}
