package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

const (
	// DefaultPatience is how long a claim waits to be read back before the log
	// counts as silent.
	DefaultPatience = time.Second
	// DefaultMaxPause is how long a process may stand still and still trust what
	// it knew before.
	DefaultMaxPause = 5 * time.Second
	// DefaultMaxLocal bounds the runs that the log does not hold yet.
	DefaultMaxLocal = 1 << 16
	// DefaultMaxBody bounds the body of an outcome that is recorded.
	DefaultMaxBody = 16 << 10
	// DefaultRetention is for how long the log is taken to keep records.
	DefaultRetention = 24 * time.Hour
	// ListLag bounds how late the platform's list tells of a VM that was dropped.
	ListLag = 30 * time.Second
	// silence is how long without an answer to a read makes the log silent. It is
	// above the poll's wait of a shard's reader.
	silence = 3 * time.Second
	// refusedAfter is when to come back to a shard that changes its home.
	refusedAfter = time.Second
	// outageAfter is when to come back in an outage of the log.
	outageAfter = 10 * time.Second
)

// CoordinatorConfig says who decides about a shard and by which limits.
type CoordinatorConfig struct {
	// VM and Incarnation are the process's; Incarnation rises with each start on
	// the VM.
	VM          string
	Incarnation uint64
	// Ledger is what all who read the shard agree on.
	Ledger LedgerConfig
	// RefuseInOutage refuses while the log is silent, instead of running before
	// claims are written.
	RefuseInOutage bool
	// Patience is how long a claim waits to be read back; zero is DefaultPatience.
	Patience time.Duration
	// MaxPause is how long the process may stand still; zero is DefaultMaxPause.
	MaxPause time.Duration
	// Retention is for how long the log keeps records at the least; zero is
	// DefaultRetention.
	Retention time.Duration
	// MaxLocal bounds the runs that the log does not hold yet; zero is DefaultMaxLocal.
	MaxLocal int
	// MaxBody bounds the body of a recorded outcome; zero is DefaultMaxBody.
	MaxBody int
}

func (c CoordinatorConfig) withDefaults() CoordinatorConfig {
	c.Patience = positive(c.Patience, DefaultPatience)
	c.MaxPause = positive(c.MaxPause, DefaultMaxPause)
	c.Retention = positive(c.Retention, DefaultRetention)
	c.MaxLocal = positive(c.MaxLocal, DefaultMaxLocal)
	c.MaxBody = positive(c.MaxBody, DefaultMaxBody)

	return c
}

func positive[T int | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}

	return otherwise
}

// phase is how far a run has come in the process that claimed it.
type phase uint8

const (
	// waiting has its claim on the way to the log.
	waiting phase = iota
	// running may be carried out, or is.
	running
	// settled has its outcome on the way to the log.
	settled
	// withdrawn has its withdrawal on the way to the log.
	withdrawn
	// lost may have been carried out; nobody will learn what it brought.
	lost
)

// Run is one claim of a key by this process.
type Run struct {
	id          ID
	nonce       uint64
	term        uint64
	fingerprint uint64
	phase       phase
	asked       time.Time
	logLess     bool
	read        bool     // the claim was read back
	freed       []uint64 // the withdrawn runs of this key that this one follows
	outcome     *Outcome
	err         error         // why it may not run
	done        chan struct{} // closed when waiting ends
}

// Coordinator decides about the keys of one shard in one process. It reads the shard's
// records, and what it wants to write lies in its outbox. It does no I/O and
// keeps no clock. Use NewCoordinator.
type Coordinator struct {
	cfg    CoordinatorConfig
	ledger *Ledger
	local  map[ID]*Run
	outbox []record
	unread []*Run // runs whose claim is on the way to the log, oldest first
	queue  []*Run // runs that wait for that, oldest first

	stopping bool      // the shard is given back for good
	yielding bool      // the shard is given back for another to take
	asked    uint64    // the term for which a release is on its way
	behind   bool      // records are missing that the log holds
	first    uint64    // the oldest offset that the log keeps
	ticked   time.Time // when the process last ran
	synced   time.Time // when the records read were last known to be all
	frozen   time.Time // since when this process may have missed a change
	paused   time.Time // when it was last noticed that the process had stood still
	unlisted bool      // the platform's list doesn't have the VM
}

// NewCoordinator returns a Coordinator that has read nothing.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	return &Coordinator{cfg: cfg.withDefaults(), ledger: NewLedger(cfg.Ledger), local: map[ID]*Run{}, behind: true, first: 1}
}

// Ledger returns what the records say.
func (c *Coordinator) Ledger() *Ledger { return c.ledger }

// Home tells whether this process is the home of the shard by what it has read.
func (c *Coordinator) Home() bool { return c.mine(c.ledger.Holder()) }

func (c *Coordinator) mine(h Holder) bool {
	return h.Serves() && h.VM == c.cfg.VM && h.Incarnation == c.cfg.Incarnation
}

// Claim decides about a request. Without an error, the run that it returns is
// one to wait for, one that may be carried out, or one whose outcome is known.
func (c *Coordinator) Claim(now time.Time, q Request) (*Run, error) {
	c.watch(now)

	if !c.Home() || c.draining() || c.behind {
		return nil, failure.New(failure.NotReady, "this process is not the home of the key").After(refusedAfter)
	}

	id, fingerprint := NewID(q.Organisation, q.Key), digest(q.Fingerprint)

	if r := c.local[id]; r != nil && r.phase != withdrawn {
		return c.again(r, fingerprint)
	}

	issued, _ := Issued(q.Key)
	if r, err := c.ask(now, Key{ID: id, Issued: issued}, fingerprint); r != nil || err != nil {
		return r, err
	}

	silent := c.silent(now)

	switch {
	case silent && !c.trusted(now):
		return nil, c.refusal(now)
	case len(c.local) >= c.cfg.MaxLocal:
		return nil, failure.New(failure.QueueFull, "too many claims wait for the log").After(outageAfter)
	}

	return c.open(now, id, fingerprint, issued, silent), nil
}

// again answers for a key that this process has claimed before.
func (c *Coordinator) again(r *Run, fingerprint uint64) (*Run, error) {
	switch {
	case r.fingerprint != fingerprint:
		return nil, failure.New(failure.KeyReused, "the key was used for another request")
	case r.phase == settled:
		return r, nil
	case r.phase == lost:
		return nil, unknown()
	default:
		return nil, failure.New(failure.KeyBusy, "the request with this key is running").After(refusedAfter)
	}
}

// ask answers for a key by the records; neither a run nor an error says that
// the key is free.
func (c *Coordinator) ask(now time.Time, k Key, fingerprint uint64) (*Run, error) {
	standing := c.ledger.Ask(now, k)
	e := c.ledger.entries[k.ID]

	if standing == Open && c.withdrawing(k.ID, e) {
		return nil, nil
	}

	if (standing == Open || standing == Settled) && e.fingerprint != fingerprint {
		return nil, failure.New(failure.KeyReused, "the key was used for another request")
	}

	switch standing {
	case Settled:
		return &Run{id: k.ID, phase: settled, outcome: e.outcome}, nil
	case Open, Uncertain:
		return nil, unknown()
	case Expired:
		return nil, failure.New(failure.KeyExpired, "the key is older than keys are remembered")
	case Ahead:
		return nil, failure.New(failure.BadRequest, "the key's issue time lies ahead")
	default:
		return nil, nil
	}
}

func unknown() error {
	return failure.New(failure.OutcomeUnknown, "the request may have run and is not run again")
}

// withdrawing tells whether the withdrawal of what holds a key is on its way. The
// key is free then before the log says so: a claim that follows gets into the
// log behind the withdrawal.
func (c *Coordinator) withdrawing(id ID, e entry) bool {
	r := c.local[id]

	return r != nil && (r.phase == withdrawn && r.nonce == e.run || slices.Contains(r.freed, e.run))
}

// open starts a run. In an outage it may be carried out at once.
func (c *Coordinator) open(now time.Time, id ID, fingerprint uint64, issued time.Time, silent bool) *Run {
	r := &Run{
		id: id, nonce: rand.Uint64(), term: c.ledger.Holder().Term, fingerprint: fingerprint,
		asked: now, done: make(chan struct{}),
	}

	if w := c.local[id]; w != nil {
		r.freed = append(w.freed, w.nonce)
	}

	c.local[id] = r
	c.unread = append(c.unread, r)
	c.write(record{
		Kind: kindClaim, Term: r.term, ID: id, Run: r.nonce,
		Fingerprint: fingerprint, IssuedMS: millis(issued),
	})

	if silent {
		r.logLess = true
		r.proceed()

		return r
	}

	c.queue = append(c.queue, r)

	return r
}

// proceed lets a run be carried out.
func (r *Run) proceed() {
	r.phase = running
	close(r.done)
}

// refuse ends a run that was not carried out.
func (r *Run) refuse(err error) {
	r.err = err
	r.phase = withdrawn
	close(r.done)
}

func (c *Coordinator) write(r record) { c.outbox = append(c.outbox, r) }

// Apply takes account of the next record of the shard's stream.
func (c *Coordinator) Apply(rec journal.Record) error {
	r, err := decode(rec.Data)
	if err != nil {
		return err
	}

	before := c.ledger.Holder()
	c.ledger.apply(rec.Offset, rec.At.UnixMilli(), r)

	if c.mine(before) && !c.Home() {
		c.lose()
	}

	if l := c.local[r.ID]; l != nil && l.nonce == r.Run {
		c.readBack(l, r.Kind)
	}

	return nil
}

// readBack takes account of an own record.
func (c *Coordinator) readBack(l *Run, k kind) {
	switch k {
	case kindClaim:
		l.read = true
		c.confirm(l)
	case kindOutcome, kindWithdraw:
		delete(c.local, l.id)
	default:
	}
}

// confirm lets a run go on whose claim counts, and ends one whose doesn't.
func (c *Coordinator) confirm(l *Run) {
	e, ok := c.ledger.entries[l.id]

	switch {
	case l.phase == lost:
		delete(c.local, l.id)
	case l.phase != waiting:
	case ok && e.run == l.nonce:
		l.proceed()
	default:
		delete(c.local, l.id)
		l.refuse(unknown())
	}
}

// lose ends what another home decides from now on. A run that is carried out
// goes on; its claim is in the log, or its key is uncertain for the next home.
func (c *Coordinator) lose() {
	for id, r := range c.local {
		if r.phase == waiting {
			c.takeBack(r, failure.New(failure.NotReady, "another process became the home of the key").After(refusedAfter))
		}

		if r.phase != running {
			delete(c.local, id)
		}
	}

	c.unread, c.queue = nil, nil
	c.asked = 0
	c.yielding = false
	c.outbox = withoutClaims(c.outbox)
}

// Restore replaces what the records say by a snapshot.
func (c *Coordinator) Restore(b []byte) error {
	before := c.ledger.Holder()

	if err := c.ledger.Restore(b); err != nil {
		return err
	}

	c.rebase(before)

	return nil
}

// Gap says that the records before offset first are lost.
func (c *Coordinator) Gap(first uint64) {
	before := c.ledger.Holder()
	c.ledger.Gap(first)
	c.rebase(before)
}

// rebase brings the own runs in line after records were skipped.
func (c *Coordinator) rebase(before Holder) {
	c.behind = true

	if c.mine(before) && c.ledger.Holder().Term != before.Term {
		c.lose()

		return
	}

	for id, r := range c.local {
		e, ok := c.ledger.entries[id]
		if !ok || e.run != r.nonce {
			continue
		}

		c.readBack(r, kindClaim)

		if e.outcome != nil {
			delete(c.local, id)
		}
	}
}

// Tick looks for claims that have waited long enough. Those of a home that may
// go on without the log run; the others are refused.
func (c *Coordinator) Tick(now time.Time) {
	c.watch(now)

	for len(c.queue) > 0 {
		r := c.queue[0]
		if r.phase == waiting && now.Sub(r.asked) < c.cfg.Patience {
			return
		}

		c.queue = c.queue[1:]

		if r.phase == waiting {
			c.overdue(now, r)
		}
	}
}

// overdue decides about a run whose claim does not come back from the log.
func (c *Coordinator) overdue(now time.Time, r *Run) {
	if e, ok := c.ledger.entries[r.id]; ok && e.run != r.nonce && !c.withdrawing(r.id, e) {
		c.takeBack(r, unknown())

		return
	}

	if c.trusted(now) && !c.behind {
		r.logLess = true
		r.proceed()

		return
	}

	c.takeBack(r, c.refusal(now))
}

// takeBack ends a run that was not carried out. Its claim may be in the log or
// get there later, so the withdrawal follows it.
func (c *Coordinator) takeBack(r *Run, err error) {
	r.refuse(err)
	c.write(record{Kind: kindWithdraw, Term: r.term, ID: r.id, Run: r.nonce})
}

// Abandon ends a run whose caller no longer waits; false when it may be carried
// out by now.
func (c *Coordinator) Abandon(r *Run, err error) bool {
	if r.phase != waiting {
		return r.phase == withdrawn
	}

	c.takeBack(r, err)

	return true
}
