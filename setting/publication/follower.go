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
	"boragehub/failure"
	"boragehub/journal"
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

	mu      sync.Mutex
	replica *replica
	// understood is the newest version that this release could read or failed to.
	understood uint64
	askers     map[string]asker
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
			pause(ctx, logBackoff)

			continue
		}

		// The log is the last resort, so that a process whose sources are all
		// gone, or not yet known to it, isn't left behind.
		if !f.pull(ctx, arrangement) {
			_ = f.readLog(ctx, 0) // the event has been logged
		}

		pause(ctx, interval)

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

	f.enforce()

	return nil
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

// pull asks the sources in turn until one answers, and reports whether one did.
// Without a version of its own it asks all of them and takes the highest: in an
// outage of the log that is the only way to one, and some may lag.
func (f *Follower) pull(ctx context.Context, a Arrangement) bool {
	if f.cfg.Peers == nil {
		return false
	}

	answered := false

	for _, vm := range f.inOrder(f.cfg.Clock(), a.Sources) {
		if answered && f.Ready() {
			break
		}

		if f.fetch(ctx, vm) {
			answered = true
		}
	}

	return answered
}

// inOrder returns the sources with those last that gave no answer lately. After
// a while they are tried first again: otherwise all would end up asking the few
// that read the log.
func (f *Follower) inOrder(now time.Time, sources []string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var good, bad []string

	for _, vm := range sources {
		if at, ok := f.failed[vm]; ok && now.Sub(at) < sourcePause {
			bad = append(bad, vm)
		} else {
			good = append(good, vm)
		}
	}

	return append(good, bad...)
}

// noteSource remembers whether a source answered.
func (f *Follower) noteSource(vm string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if answered {
		delete(f.failed, vm)
	} else {
		f.failed[vm] = f.cfg.Clock()
	}
}

// fetch asks one process and reports whether it answered with a version.
func (f *Follower) fetch(ctx context.Context, vm string) bool {
	f.mu.Lock()
	after := f.replica.head.version
	f.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	h, err := f.cfg.Peers.Fetch(ctx, vm, after)
	f.noteSource(vm, err == nil)

	return err == nil && h.Version() > 0 && f.Offer(h) == nil
}

// Offer takes settings that a peer hands on. What isn't newer than the version
// in force is ignored. Damaged ones are a failure.BadMessage.
func (f *Follower) Offer(h Handover) error {
	f.mu.Lock()
	defer f.mu.Unlock()

	if _, err := f.replica.adopt(h); err != nil {
		event.Fail(f.cfg.Logger, err, event.SettingsOfferRefused, "version", h.Version())

		return err
	}

	f.enforce()

	return nil
}

// HandOver returns what leads the process on vm from version after to the
// version in force here, and remembers to push the next ones to it.
func (f *Follower) HandOver(now time.Time, vm string, after uint64) Handover {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.forget(now)

	if _, known := f.askers[vm]; known || len(f.askers) < maxAskers {
		f.askers[vm] = asker{version: max(after, f.replica.head.version), seen: now}
	}

	return f.replica.handover(after)
}

// forget drops the processes that haven't asked for long.
func (f *Follower) forget(now time.Time) {
	for vm, a := range f.askers {
		if now.Sub(a.seen) > askerMemory*f.cfg.Pull {
			delete(f.askers, vm)
		}
	}
}

// push hands the version in force to those who asked lately and lack it.
func (f *Follower) push(ctx context.Context) {
	if f.cfg.Peers == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, f.cfg.Timeout)
	defer cancel()

	var wg sync.WaitGroup

	for vm, h := range f.due(f.cfg.Clock()) {
		wg.Go(func() {
			if f.cfg.Peers.Push(ctx, vm, h) != nil {
				return // it asks again by itself
			}

			f.mu.Lock()
			defer f.mu.Unlock()

			if a, ok := f.askers[vm]; ok {
				a.version = max(a.version, h.Version())
				f.askers[vm] = a
			}
		})
	}

	wg.Wait()
}

// due returns what to push to whom.
func (f *Follower) due(now time.Time) map[string]Handover {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.forget(now)

	due := map[string]Handover{}

	for vm, a := range f.askers {
		if a.version < f.replica.head.version {
			due[vm] = f.replica.handover(a.version)
		}
	}

	return due
}

// enforce brings head into force. The caller holds mu.
func (f *Follower) enforce() {
	h := f.replica.head
	if h.version <= f.understood {
		return
	}

	f.understood = h.version

	// Peers get the version even if this release can't read it.
	f.news.Offer(h.version)

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

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Snapshots are written after so many records or so long, whichever comes first.
const (
	snapshotRecords = 1024
	snapshotAge     = time.Hour
)

// SnapshotDue says whether what is in force should be written to the log again,
// before retention passes it.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	r := f.replica
	if !r.synced() || r.head.version == 0 {
		return false
	}

	// In the older half of what the log keeps, it would soon be forgotten.
	old := r.kept > 1 && r.snapshot < r.kept+(r.read-min(r.read, r.kept))/2

	return old || r.snapshot == 0 || r.read >= r.snapshot+snapshotRecords || now.Sub(r.snapshotAt) >= snapshotAge
}

// Snapshot writes what is in force to the log again. One process at a time does
// this, by lease; a second one does no harm.
func (f *Follower) Snapshot(ctx context.Context, id string) error {
	f.mu.Lock()
	h, read, synced := f.replica.head, f.replica.sure(), f.replica.synced()
	f.mu.Unlock()

	if !synced || h.version == 0 {
		return failure.New(failure.NotReady, "there is no version to write")
	}

	whole := content{Full: deflate(h.text), Whole: true}
	one := record{
		Kind: snapshotRecord, ID: id, Based: h.based, Author: h.author, Note: h.note, Hash: h.hash[:],
		Version: h.version, Read: read, AtMS: h.at.UnixMilli(),
	}

	var last uint64

	for _, part := range split(one, encode(whole), f.partBytes) {
		offset, err := f.cfg.Log.Append(ctx, Stream, [][]byte{part})
		if err != nil {
			return failure.Wrap(failure.LogUnavailable, err, "the settings could not be written to the log again")
		}

		last = offset
	}

	f.noteSnapshot(last)

	event.Log(f.cfg.Logger, event.SettingsSnapshot, "version", h.version, "read", read, "bytes", len(whole.Full))

	return nil
}

// noteSnapshot remembers a snapshot of its own. A process that doesn't read the
// log itself would otherwise write one each time it is asked.
func (f *Follower) noteSnapshot(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if offset > f.replica.snapshot {
		f.replica.snapshot = offset
		f.replica.snapshotAt = f.cfg.Clock()
	}
}
