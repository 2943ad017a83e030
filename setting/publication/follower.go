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

// Peers sends the requests of a Follower to other processes.
type Peers interface {
	// Fetch requests the settings after a version from the process on vm.
	Fetch(ctx context.Context, vm string, after uint64) (Update, error)
	// Push sends an update of the settings to the process on vm.
	Push(ctx context.Context, vm string, u Update) error
}

// Defaults of FollowerConfig.
const (
	DefaultPullInterval = 4 * time.Second
	DefaultLogWait      = 10 * time.Second
	DefaultTimeout      = 2 * time.Second
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Log is the log service.
	Log Log
	// Self is this process.
	Self Member
	// Members returns the processes known at present; nil means only this one.
	Members func() []Member
	// Peers sends requests to them; nil means that no peer is polled or pushed to.
	Peers Peers
	// Clock returns the present time; nil means time.Now.
	Clock func() time.Time
	// PullInterval is the time between two polls of peers; 0 means
	// DefaultPullInterval.
	PullInterval time.Duration
	// LogWait is how long a read of the log waits for records; 0 means
	// DefaultLogWait.
	LogWait time.Duration
	// Timeout is the maximum time of one request to a peer; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// Logger receives the events.
	Logger logr.Logger
	// OnChange is called with each version that comes into force, in order. It must
	// not block for long. May be nil.
	OnChange func(*Published)
}

func (c FollowerConfig) withDefaults() FollowerConfig {
	if c.Members == nil {
		c.Members = func() []Member { return nil }
	}

	if c.Clock == nil {
		c.Clock = time.Now
	}

	if c.PullInterval <= 0 {
		c.PullInterval = DefaultPullInterval
	}

	if c.LogWait <= 0 {
		c.LogWait = DefaultLogWait
	}

	if c.Timeout <= 0 {
		c.Timeout = DefaultTimeout
	}

	return c
}

// Bounds of a Follower.
const (
	// maxReadRecords is the maximum number of records in one read of the log.
	maxReadRecords = 500
	// maxSubscribers is the maximum number of processes that are pushed to.
	maxSubscribers = 64
	// subscriberIntervals is the number of pull intervals without a request after
	// which a process is no longer pushed to.
	subscriberIntervals = 3
	// sourceBackoff is how long a source that did not respond is tried last.
	sourceBackoff = 30 * time.Second
	// logBackoff is the pause after a failed read of the log.
	logBackoff = time.Second
)

// Follower holds the version in force at one process and keeps it up to date.
// NewFollower creates one.
type Follower struct {
	cfg        FollowerConfig
	current    atomic.Pointer[Published]
	newVersion *ring.Queue[uint64]
	// partBytes is the maximum payload of one record of a snapshot.
	partBytes int

	// activateMu is held while a version is parsed and brought into force, so that
	// versions come into force in order.
	activateMu sync.Mutex
	// lastParsed is the newest version that was parsed, successfully or not.
	lastParsed uint64

	mu      sync.Mutex
	replica *replica
	// announced is the newest version that pushLoop was notified of.
	announced   uint64
	subscribers map[string]subscriber
	// failedAt is when a source last failed to respond, by VM.
	failedAt map[string]time.Time
	logDown  bool
}

// subscriber is a process that polled this one.
type subscriber struct {
	version uint64
	seen    time.Time
}

// NewFollower returns a Follower without a version.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:         cfg.withDefaults(),
		partBytes:   partBytes,
		newVersion:  ring.New[uint64](1),
		replica:     newReplica(),
		subscribers: map[string]subscriber{},
		failedAt:    map[string]time.Time{},
	}
	f.replica.onDecision = f.logRefusal
	f.replica.onDivergence = func(offset uint64) {
		event.Log(f.cfg.Logger, event.SettingsDiverged, "offset", offset, "version", f.replica.head.version)
	}

	return f
}

// Current returns the version in force, or nil before there is one. It takes no
// lock.
func (f *Follower) Current() *Published { return f.current.Load() }

// Ready reports whether there is a version in force. A process without one refuses
// all work, since it would run with limits that no operator has set.
func (f *Follower) Ready() bool { return f.Current() != nil }

// Run keeps the version in force up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup

	wg.Go(func() { f.pullLoop(ctx) })
	wg.Go(func() { f.pushLoop(ctx) })
	wg.Wait()
}

// pullLoop takes new versions from the log or from peers until ctx ends.
func (f *Follower) pullLoop(ctx context.Context) {
	// Processes that start together would always poll at the same time. The first
	// interval is therefore shortened by an amount that depends on the VM's name.
	interval := time.Duration(xxh3.HashString(f.cfg.Self.VM) % uint64(f.cfg.PullInterval))

	for ctx.Err() == nil {
		plan := PlanSources(f.cfg.Self, f.cfg.Members())

		if plan.ReadsLog {
			if f.readLog(ctx, f.cfg.LogWait) == nil {
				continue
			}

			f.pull(ctx, plan)
			pause.For(ctx, logBackoff)

			continue
		}

		// If no source responds, this process reads the log itself, so that it
		// keeps up even if its sources have all failed or are not yet known.
		if !f.pull(ctx, plan) {
			_ = f.readLog(ctx, 0) // noteLogState has logged an error
		}

		pause.For(ctx, interval)

		interval = f.cfg.PullInterval
	}
}

// pushLoop pushes new versions to the subscribers until ctx ends.
func (f *Follower) pushLoop(ctx context.Context) {
	for {
		if _, ok := f.newVersion.Take(ctx); !ok {
			return
		}

		f.push(ctx)
	}
}

// readLog reads and applies one batch of the log.
func (f *Follower) readLog(ctx context.Context, wait time.Duration) error {
	f.mu.Lock()
	from := f.replica.nextOffset()
	f.mu.Unlock()

	batch, err := f.cfg.Log.Read(ctx, Stream, from, maxReadRecords, wait)

	var trimmed *journal.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = journal.Batch{First: trimmed.First}, nil
	}

	f.noteLogState(ctx, err)

	if err != nil {
		return err
	}

	f.applyBatch(batch)
	f.activate()

	return nil
}

// applyBatch processes the records of a batch.
func (f *Follower) applyBatch(batch journal.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if batch.First > f.replica.nextOffset() {
		event.Log(f.cfg.Logger, event.SettingsTrimmed, "wanted", f.replica.nextOffset(), "kept_from", batch.First)
		f.replica.markTrimmed(batch.First)
	}

	f.replica.oldestOffset = max(f.replica.oldestOffset, batch.First)

	for _, rec := range batch.Records {
		f.replica.process(rec)
	}

	f.announce()
}

// announce notifies pushLoop if head has advanced. The caller holds mu.
func (f *Follower) announce() {
	if f.replica.head.version > f.announced {
		f.announced = f.replica.head.version
		f.newVersion.Offer(f.announced)
	}
}

// noteLogState logs the start and the end of an outage of the log, once each.
func (f *Follower) noteLogState(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	switch down := err != nil; {
	case down && !f.logDown:
		event.Fail(f.cfg.Logger, err, event.SettingsLogLost, "version", f.replica.head.version)
	case !down && f.logDown:
		event.Log(f.cfg.Logger, event.SettingsLogBack, "version", f.replica.head.version)
	}

	f.logDown = err != nil
}

// activate brings head into force. Parsing a large tree takes a while, so mu is not
// held meanwhile: peers are served and the version is distributed.
func (f *Follower) activate() {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()

	f.mu.Lock()
	h := f.replica.head
	f.mu.Unlock()

	if h.version <= f.lastParsed {
		return
	}

	f.lastParsed = h.version

	var previous *setting.Tree
	if p := f.Current(); p != nil {
		previous = p.tree
	}

	tree, err := previous.ParseUpdate("settings", h.text)
	if err != nil {
		event.Fail(f.cfg.Logger, err, event.SettingsNotUnderstood, "version", h.version, "author", h.author)

		return
	}

	p := &Published{head: h, tree: tree}
	f.current.Store(p)

	event.Log(f.cfg.Logger, event.SettingsInForce, "version", h.version, "based", h.based,
		"author", h.author, "note", h.note, "hash", h.hash.String()[:shownHashDigits])

	if f.cfg.OnChange != nil {
		f.cfg.OnChange(p)
	}
}

// shownHashDigits is how many digits of a hash a log line shows.
const shownHashDigits = 12

// logRefusal logs a change that was not accepted.
func (f *Follower) logRefusal(d decision) {
	if d.reason != accepted {
		event.Log(f.cfg.Logger, event.SettingsRefused, "offset", d.offset, "author", d.author,
			"based", d.based, "in_force", d.inForce, "reason", d.reason.String())
	}
}
