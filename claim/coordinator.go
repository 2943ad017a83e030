package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

const (
	// DefaultReadBackTimeout is how long a claim waits to be read back before the
	// log counts as unresponsive.
	DefaultReadBackTimeout = time.Second
	// DefaultMaxPause is the longest pause of a process after which it still
	// trusts its earlier state.
	DefaultMaxPause = 5 * time.Second
	// DefaultMaxPending limits the runs that are not yet complete in the log.
	DefaultMaxPending = 1 << 16
	// DefaultMaxBodyBytes limits the body of a recorded outcome.
	DefaultMaxBodyBytes = 16 << 10
	// DefaultLogRetention is how long the log is assumed to keep records.
	DefaultLogRetention = 24 * time.Hour
	// MaxListLag is the longest delay until the platform's list shows that a VM
	// was removed.
	MaxListLag = 30 * time.Second
	// logTimeout is the time without a read to the end of the log after which the
	// log counts as unresponsive. It is above pollWait, for which a read waits for
	// a record.
	logTimeout = 3 * time.Second
	// retryAfter is the Retry-After for a key that is running and for a shard
	// whose owner is changing.
	retryAfter = time.Second
	// outageRetryAfter is the Retry-After during an outage of the log.
	outageRetryAfter = 10 * time.Second
)

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	// VM and Incarnation identify the process; Incarnation rises with each start
	// of a process on the VM.
	VM          string
	Incarnation uint64
	// State must be the same in all processes that read the shard.
	State StateConfig
	// RefuseInOutage refuses requests while the log is unresponsive, instead of
	// running them before their claims are written.
	RefuseInOutage bool
	// ReadBackTimeout is how long a claim waits to be read back; zero means
	// DefaultReadBackTimeout.
	ReadBackTimeout time.Duration
	// MaxPause is the longest pause of the process after which it still trusts
	// its earlier state; zero means DefaultMaxPause.
	MaxPause time.Duration
	// LogRetention is how long the log keeps records at least; zero means
	// DefaultLogRetention.
	LogRetention time.Duration
	// MaxPending limits the runs that are not yet complete in the log; zero means
	// DefaultMaxPending.
	MaxPending int
	// MaxBodyBytes limits the body of a recorded outcome; zero means
	// DefaultMaxBodyBytes.
	MaxBodyBytes int
}

func (c CoordinatorConfig) withDefaults() CoordinatorConfig {
	c.ReadBackTimeout = orDefault(c.ReadBackTimeout, DefaultReadBackTimeout)
	c.MaxPause = orDefault(c.MaxPause, DefaultMaxPause)
	c.LogRetention = orDefault(c.LogRetention, DefaultLogRetention)
	c.MaxPending = orDefault(c.MaxPending, DefaultMaxPending)
	c.MaxBodyBytes = orDefault(c.MaxBodyBytes, DefaultMaxBodyBytes)

	return c
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}

	return fallback
}

// phase is the progress of a run in the process that claimed it.
type phase uint8

const (
	// phaseWaiting means that the claim is on its way to the log and the run may
	// not start yet.
	phaseWaiting phase = iota
	// phaseRunning means that the run may start or has started.
	phaseRunning
	// phaseCompleted means that the outcome is known; its record may be on its
	// way to the log.
	phaseCompleted
	// phaseWithdrawn means that the run won't happen; the withdrawal is on its way
	// to the log.
	phaseWithdrawn
	// phaseUnknown means that the run may have happened and its outcome will never
	// be known.
	phaseUnknown
)

// Run is one claim of a key by this process.
type Run struct {
	keyID         KeyID
	runID         uint64
	term          uint64
	fingerprint   uint64
	phase         phase
	claimedAt     time.Time
	unlogged      bool
	readBack      bool     // the claim was read from the log
	withdrawnRuns []uint64 // earlier, withdrawn runs of this key in this process
	outcome       *Outcome
	err           error         // why it may not run
	decided       chan struct{} // closed when phaseWaiting ends
}

// Coordinator decides about the keys of one shard in one process. It is fed
// with the shard's records and collects the records to write in its outbox. It
// does no I/O, reads no clock and is not safe for concurrent use. Use
// NewCoordinator.
type Coordinator struct {
	cfg       CoordinatorConfig
	state     *State
	pending   map[KeyID]*Run
	outbox    []record
	unread    []*Run // runs whose claim was not read back yet, oldest first
	waitQueue []*Run // runs that wait for their claim to be read back, oldest first

	stopping      bool      // the process gives the shard up for good
	yielding      bool      // the process gives the shard up for another one to take over
	releaseTerm   uint64    // the term for which a release was written
	behind        bool      // the log holds records that were not read
	oldestOffset  uint64    // the oldest offset that the log keeps
	lastTick      time.Time // when detectPause last ran
	syncedAt      time.Time // when the end of the log was last reached
	unsyncedPause time.Time // when a pause was detected; zero once the log was read to its end after it
	lastPause     time.Time // when a pause was last detected
	unlisted      bool      // the platform's list doesn't have the VM
}

// NewCoordinator returns a Coordinator that has read no record.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	return &Coordinator{cfg: cfg.withDefaults(), state: NewState(cfg.State), pending: map[KeyID]*Run{}, behind: true, oldestOffset: 1}
}

// State returns the state that follows from the records read.
func (c *Coordinator) State() *State { return c.state }

// IsOwner reports whether this process owns the shard according to the records
// read.
func (c *Coordinator) IsOwner() bool { return c.isOwner(c.state.Owner()) }

func (c *Coordinator) isOwner(o Owner) bool {
	return o.Active() && o.VM == c.cfg.VM && o.Incarnation == c.cfg.Incarnation
}

// Claim decides about a request. Without an error, the returned Run is either
// waiting for its claim to be read back, or may start, or has a known outcome.
func (c *Coordinator) Claim(now time.Time, q Request) (*Run, error) {
	c.detectPause(now)

	if !c.IsOwner() || c.draining() || c.behind {
		return nil, failure.New(failure.NotReady, "this process does not own the shard of the key").WithRetryAfter(retryAfter)
	}

	id, fingerprint := NewKeyID(q.Organisation, q.Key), fingerprintHash(q.Fingerprint)

	if r := c.pending[id]; r != nil && r.phase != phaseWithdrawn {
		return c.answerDuplicate(r, fingerprint)
	}

	issued, _ := IssueTime(q.Key)
	if r, err := c.answerFromState(now, Key{ID: id, Issued: issued}, fingerprint); r != nil || err != nil {
		return r, err
	}

	unresponsive := c.logUnresponsive(now)

	switch {
	case unresponsive && !c.mayRunUnlogged(now):
		return nil, c.outageError(now)
	case len(c.pending) >= c.cfg.MaxPending:
		return nil, failure.New(failure.QueueFull, "too many claims wait for the log").WithRetryAfter(outageRetryAfter)
	}

	return c.startRun(now, id, fingerprint, issued, unresponsive), nil
}

// answerDuplicate answers a request whose key this process has claimed before.
func (c *Coordinator) answerDuplicate(r *Run, fingerprint uint64) (*Run, error) {
	switch {
	case r.fingerprint != fingerprint:
		return nil, failure.New(failure.KeyReused, "the key was used for another request")
	case r.phase == phaseCompleted:
		return r, nil
	case r.phase == phaseUnknown:
		return nil, outcomeUnknown()
	default:
		return nil, failure.New(failure.KeyBusy, "the request with this key is running").WithRetryAfter(retryAfter)
	}
}

// answerFromState answers a request from the records read. If it returns
// neither a run nor an error, the key is free.
func (c *Coordinator) answerFromState(now time.Time, k Key, fingerprint uint64) (*Run, error) {
	status := c.state.Lookup(now, k)
	e := c.state.entries[k.ID]

	if status == KeyClaimed && c.withdrawalPending(k.ID, e) {
		return nil, nil
	}

	if (status == KeyClaimed || status == KeyCompleted) && e.fingerprint != fingerprint {
		return nil, failure.New(failure.KeyReused, "the key was used for another request")
	}

	switch status {
	case KeyCompleted:
		return &Run{keyID: k.ID, phase: phaseCompleted, outcome: e.outcome}, nil
	case KeyClaimed, KeyUncertain:
		return nil, outcomeUnknown()
	case KeyExpired:
		return nil, failure.New(failure.KeyExpired, "the key was issued too long ago")
	case KeyFromFuture:
		return nil, failure.New(failure.BadRequest, "the key's issue time is in the future")
	default:
		return nil, nil
	}
}

func outcomeUnknown() error {
	return failure.New(failure.OutcomeUnknown, "the request may have run and will not be run again")
}

// withdrawalPending reports whether the withdrawal of the run that holds a key
// is on its way. The key counts as free before the log holds the withdrawal,
// since a new claim is written after it.
func (c *Coordinator) withdrawalPending(id KeyID, e entry) bool {
	r := c.pending[id]

	return r != nil && (r.phase == phaseWithdrawn && r.runID == e.runID || slices.Contains(r.withdrawnRuns, e.runID))
}

// startRun claims a key for a new run. In an outage of the log the run may
// start at once.
func (c *Coordinator) startRun(now time.Time, id KeyID, fingerprint uint64, issued time.Time, unresponsive bool) *Run {
	r := &Run{
		keyID: id, runID: rand.Uint64(), term: c.state.Owner().Term, fingerprint: fingerprint,
		claimedAt: now, decided: make(chan struct{}),
	}

	if w := c.pending[id]; w != nil {
		r.withdrawnRuns = append(w.withdrawnRuns, w.runID)
	}

	c.pending[id] = r
	c.unread = append(c.unread, r)
	c.enqueue(record{
		Kind: kindClaim, Term: r.term, KeyID: id, RunID: r.runID,
		Fingerprint: fingerprint, IssuedMS: unixMillis(issued),
	})

	if unresponsive {
		r.unlogged = true
		r.allow()

		return r
	}

	c.waitQueue = append(c.waitQueue, r)

	return r
}

// allow lets a run start.
func (r *Run) allow() {
	r.phase = phaseRunning
	close(r.decided)
}

// reject ends a run that has not started.
func (r *Run) reject(err error) {
	r.err = err
	r.phase = phaseWithdrawn
	close(r.decided)
}

func (c *Coordinator) enqueue(r record) { c.outbox = append(c.outbox, r) }

// Apply applies the next record of the shard's stream.
func (c *Coordinator) Apply(rec journal.Record) error {
	r, err := decode(rec.Data)
	if err != nil {
		return err
	}

	before := c.state.Owner()
	c.state.apply(rec.Offset, rec.At.UnixMilli(), r)

	if c.isOwner(before) && !c.IsOwner() {
		c.loseOwnership()
	}

	if run := c.pending[r.KeyID]; run != nil && run.runID == r.RunID {
		c.handleOwnRecord(run, r.Kind)
	}

	return nil
}

// handleOwnRecord updates a run of this process whose record was read back.
func (c *Coordinator) handleOwnRecord(r *Run, k kind) {
	switch k {
	case kindClaim:
		r.readBack = true
		c.decideRun(r)
	case kindOutcome, kindWithdraw:
		delete(c.pending, r.keyID)
	default:
	}
}

// decideRun lets a run start whose claim counts, and ends one whose claim
// doesn't.
func (c *Coordinator) decideRun(r *Run) {
	e, ok := c.state.entries[r.keyID]

	switch {
	case r.phase == phaseUnknown:
		delete(c.pending, r.keyID)
	case r.phase != phaseWaiting:
	case ok && e.runID == r.runID:
		r.allow()
	default:
		delete(c.pending, r.keyID)
		r.reject(outcomeUnknown())
	}
}

// loseOwnership ends the runs that have not started, since another process
// decides from now on. A run that has started continues; its claim is in the
// log, or its key is uncertain for the next owner.
func (c *Coordinator) loseOwnership() {
	for id, r := range c.pending {
		if r.phase == phaseWaiting {
			c.cancelRun(r, failure.New(failure.NotReady, "another process became the owner of the shard of the key").WithRetryAfter(retryAfter))
		}

		if r.phase != phaseRunning {
			delete(c.pending, id)
		}
	}

	c.unread, c.waitQueue = nil, nil
	c.releaseTerm = 0
	c.yielding = false
	c.outbox = withoutClaims(c.outbox)
}

// Restore replaces the state by a snapshot.
func (c *Coordinator) Restore(b []byte) error {
	before := c.state.Owner()

	if err := c.state.Restore(b); err != nil {
		return err
	}

	c.reconcile(before)

	return nil
}

// ResetAfterGap resets the state since the records before offset first are
// lost.
func (c *Coordinator) ResetAfterGap(first uint64) {
	before := c.state.Owner()
	c.state.ResetAfterGap(first)
	c.reconcile(before)
}

// reconcile updates the runs of this process after records were skipped.
func (c *Coordinator) reconcile(before Owner) {
	c.behind = true

	if c.isOwner(before) && c.state.Owner().Term != before.Term {
		c.loseOwnership()

		return
	}

	for id, r := range c.pending {
		e, ok := c.state.entries[id]
		if !ok || e.runID != r.runID {
			continue
		}

		c.handleOwnRecord(r, kindClaim)

		if e.outcome != nil {
			delete(c.pending, id)
		}
	}
}

// Tick handles claims that were not read back in time. They run if this process
// may run requests without the log; otherwise they are refused.
func (c *Coordinator) Tick(now time.Time) {
	c.detectPause(now)

	for len(c.waitQueue) > 0 {
		r := c.waitQueue[0]
		if r.phase == phaseWaiting && now.Sub(r.claimedAt) < c.cfg.ReadBackTimeout {
			return
		}

		c.waitQueue = c.waitQueue[1:]

		if r.phase == phaseWaiting {
			c.handleOverdue(now, r)
		}
	}
}

// handleOverdue decides about a run whose claim was not read back in time.
func (c *Coordinator) handleOverdue(now time.Time, r *Run) {
	if e, ok := c.state.entries[r.keyID]; ok && e.runID != r.runID && !c.withdrawalPending(r.keyID, e) {
		c.cancelRun(r, outcomeUnknown())

		return
	}

	if c.mayRunUnlogged(now) && !c.behind {
		r.unlogged = true
		r.allow()

		return
	}

	c.cancelRun(r, c.outageError(now))
}

// cancelRun ends a run that has not started. Its claim may be in the log or
// reach it later, so a withdrawal is written after it.
func (c *Coordinator) cancelRun(r *Run, err error) {
	r.reject(err)
	c.enqueue(record{Kind: kindWithdraw, Term: r.term, KeyID: r.keyID, RunID: r.runID})
}

// Abandon ends a run whose caller no longer waits; false if the run may have
// started.
func (c *Coordinator) Abandon(r *Run, err error) bool {
	if r.phase != phaseWaiting {
		return r.phase == phaseWithdrawn
	}

	c.cancelRun(r, err)

	return true
}
