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
func (d *Coordinator) Ledger() *Ledger { return d.ledger }

// Home tells whether this process is the home of the shard by what it has read.
func (d *Coordinator) Home() bool { return d.mine(d.ledger.Holder()) }

func (d *Coordinator) mine(h Holder) bool {
	return h.Serves() && h.VM == d.cfg.VM && h.Incarnation == d.cfg.Incarnation
}

// Claim decides about a request. Without an error, the run that it returns is
// one to wait for, one that may be carried out, or one whose outcome is known.
func (d *Coordinator) Claim(now time.Time, q Request) (*Run, error) {
	d.watch(now)

	if !d.Home() || d.draining() || d.behind {
		return nil, failure.New(failure.NotReady, "this process is not the home of the key").After(refusedAfter)
	}

	id, fingerprint := NewID(q.Organisation, q.Key), digest(q.Fingerprint)

	if r := d.local[id]; r != nil && r.phase != withdrawn {
		return d.again(r, fingerprint)
	}

	issued, _ := Issued(q.Key)
	if r, err := d.ask(now, Key{ID: id, Issued: issued}, fingerprint); r != nil || err != nil {
		return r, err
	}

	silent := d.silent(now)

	switch {
	case silent && !d.trusted(now):
		return nil, d.refusal(now)
	case len(d.local) >= d.cfg.MaxLocal:
		return nil, failure.New(failure.QueueFull, "too many claims wait for the log").After(outageAfter)
	}

	return d.open(now, id, fingerprint, issued, silent), nil
}

// again answers for a key that this process has claimed before.
func (d *Coordinator) again(r *Run, fingerprint uint64) (*Run, error) {
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
func (d *Coordinator) ask(now time.Time, k Key, fingerprint uint64) (*Run, error) {
	standing := d.ledger.Ask(now, k)
	e := d.ledger.entries[k.ID]

	if standing == Open && d.withdrawing(k.ID, e) {
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
func (d *Coordinator) withdrawing(id ID, e entry) bool {
	r := d.local[id]

	return r != nil && (r.phase == withdrawn && r.nonce == e.run || slices.Contains(r.freed, e.run))
}

// open starts a run. In an outage it may be carried out at once.
func (d *Coordinator) open(now time.Time, id ID, fingerprint uint64, issued time.Time, silent bool) *Run {
	r := &Run{
		id: id, nonce: rand.Uint64(), term: d.ledger.Holder().Term, fingerprint: fingerprint,
		asked: now, done: make(chan struct{}),
	}

	if w := d.local[id]; w != nil {
		r.freed = append(w.freed, w.nonce)
	}

	d.local[id] = r
	d.unread = append(d.unread, r)
	d.write(record{
		Kind: kindClaim, Term: r.term, ID: id, Run: r.nonce,
		Fingerprint: fingerprint, IssuedMS: millis(issued),
	})

	if silent {
		r.logLess = true
		r.proceed()

		return r
	}

	d.queue = append(d.queue, r)

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

func (d *Coordinator) write(r record) { d.outbox = append(d.outbox, r) }

// Apply takes account of the next record of the shard's stream.
func (d *Coordinator) Apply(rec journal.Record) error {
	r, err := decode(rec.Data)
	if err != nil {
		return err
	}

	before := d.ledger.Holder()
	d.ledger.apply(rec.Offset, rec.At.UnixMilli(), r)

	if d.mine(before) && !d.Home() {
		d.lose()
	}

	if l := d.local[r.ID]; l != nil && l.nonce == r.Run {
		d.readBack(l, r.Kind)
	}

	return nil
}

// readBack takes account of an own record.
func (d *Coordinator) readBack(l *Run, k kind) {
	switch k {
	case kindClaim:
		l.read = true
		d.confirm(l)
	case kindOutcome, kindWithdraw:
		delete(d.local, l.id)
	default:
	}
}

// confirm lets a run go on whose claim counts, and ends one whose doesn't.
func (d *Coordinator) confirm(l *Run) {
	e, ok := d.ledger.entries[l.id]

	switch {
	case l.phase == lost:
		delete(d.local, l.id)
	case l.phase != waiting:
	case ok && e.run == l.nonce:
		l.proceed()
	default:
		delete(d.local, l.id)
		l.refuse(unknown())
	}
}

// lose ends what another home decides from now on. A run that is carried out
// goes on; its claim is in the log, or its key is uncertain for the next home.
func (d *Coordinator) lose() {
	for id, r := range d.local {
		if r.phase == waiting {
			d.takeBack(r, failure.New(failure.NotReady, "another process became the home of the key").After(refusedAfter))
		}

		if r.phase != running {
			delete(d.local, id)
		}
	}

	d.unread, d.queue = nil, nil
	d.asked = 0
	d.yielding = false
	d.outbox = withoutClaims(d.outbox)
}

// withoutClaims drops claims, which no longer count.
func withoutClaims(records []record) []record {
	kept := records[:0]

	for _, r := range records {
		if r.Kind != kindClaim {
			kept = append(kept, r)
		}
	}

	return kept
}

// Restore replaces what the records say by a snapshot.
func (d *Coordinator) Restore(b []byte) error {
	before := d.ledger.Holder()

	if err := d.ledger.Restore(b); err != nil {
		return err
	}

	d.rebase(before)

	return nil
}

// Gap says that the records before offset first are lost.
func (d *Coordinator) Gap(first uint64) {
	before := d.ledger.Holder()
	d.ledger.Gap(first)
	d.rebase(before)
}

// rebase brings the own runs in line after records were skipped.
func (d *Coordinator) rebase(before Holder) {
	d.behind = true

	if d.mine(before) && d.ledger.Holder().Term != before.Term {
		d.lose()

		return
	}

	for id, r := range d.local {
		e, ok := d.ledger.entries[id]
		if !ok || e.run != r.nonce {
			continue
		}

		d.readBack(r, kindClaim)

		if e.outcome != nil {
			delete(d.local, id)
		}
	}
}

// Synced says that the process had read all that the log held at a time, and
// which was the oldest offset kept.
func (d *Coordinator) Synced(at time.Time, first uint64) {
	d.first = max(d.first, first)

	if at.After(d.synced) {
		d.synced = at
		d.behind = false
	}

	if at.After(d.frozen) {
		d.frozen = time.Time{}
	}
}

// watch notices that the process stood still.
//
// A process that was stopped and wakes in an outage of the log can't know
// whether the log was there meanwhile and told of another home. The wall clock
// is compared as well, since a suspended VM's monotonic clock stands still too.
func (d *Coordinator) watch(now time.Time) {
	if !d.ticked.IsZero() && (now.Sub(d.ticked) > d.cfg.MaxPause || now.Round(0).Sub(d.ticked.Round(0)) > d.cfg.MaxPause) {
		d.frozen, d.paused = now, now
	}

	d.ticked = now
}

// silent tells whether the log gives no answers.
func (d *Coordinator) silent(now time.Time) bool {
	if now.Sub(d.synced) > silence {
		return true
	}

	for len(d.unread) > 0 && (d.unread[0].read || d.local[d.unread[0].id] != d.unread[0]) {
		d.unread = d.unread[1:]
	}

	return len(d.unread) > 0 && now.Sub(d.unread[0].asked) >= d.cfg.Patience
}

// certain tells whether no other process can have become the home since this one
// last read the whole log.
//
// A process that finds no home in all that the log keeps becomes the home. So a
// home stays certain only while the log must still keep what tells of it.
func (d *Coordinator) certain(now time.Time) bool {
	asserted := time.UnixMilli(d.ledger.Holder().AssertedMS)
	limit := d.cfg.Retention - 2*time.Duration(d.ledger.skew)*time.Millisecond

	return d.frozen.IsZero() && !d.unlisted && !d.doubted(now) && now.Sub(asserted) < limit
}

// doubted tells whether the platform may have dropped the VM while the process
// stood still, and its list not have told so yet.
func (d *Coordinator) doubted(now time.Time) bool {
	return !d.paused.IsZero() && now.Sub(d.paused) < ListLag
}

// Observe takes account of the platform's list.
func (d *Coordinator) Observe(f Fleet) { d.unlisted = !f.Has(d.cfg.VM) }

// trusted tells whether the process may run before it has written.
func (d *Coordinator) trusted(now time.Time) bool { return !d.cfg.RefuseInOutage && d.certain(now) }

// refusal returns the answer while the log is silent. LogUnavailable says that
// the key did not run at all, which a process can't know that may have been
// succeeded meanwhile.
func (d *Coordinator) refusal(now time.Time) error {
	if d.certain(now) {
		return failure.New(failure.LogUnavailable, "the log does not answer").After(outageAfter)
	}

	return failure.New(failure.NotReady, "this process may no longer be the home of the key").After(outageAfter)
}

// Tick looks for claims that have waited long enough. Those of a home that may
// go on without the log run; the others are refused.
func (d *Coordinator) Tick(now time.Time) {
	d.watch(now)

	for len(d.queue) > 0 {
		r := d.queue[0]
		if r.phase == waiting && now.Sub(r.asked) < d.cfg.Patience {
			return
		}

		d.queue = d.queue[1:]

		if r.phase == waiting {
			d.overdue(now, r)
		}
	}
}

// overdue decides about a run whose claim does not come back from the log.
func (d *Coordinator) overdue(now time.Time, r *Run) {
	if e, ok := d.ledger.entries[r.id]; ok && e.run != r.nonce && !d.withdrawing(r.id, e) {
		d.takeBack(r, unknown())

		return
	}

	if d.trusted(now) && !d.behind {
		r.logLess = true
		r.proceed()

		return
	}

	d.takeBack(r, d.refusal(now))
}

// takeBack ends a run that was not carried out. Its claim may be in the log or
// get there later, so the withdrawal follows it.
func (d *Coordinator) takeBack(r *Run, err error) {
	r.refuse(err)
	d.write(record{Kind: kindWithdraw, Term: r.term, ID: r.id, Run: r.nonce})
}

// Abandon ends a run whose caller no longer waits; false when it may be carried
// out by now.
func (d *Coordinator) Abandon(r *Run, err error) bool {
	if r.phase != waiting {
		return r.phase == withdrawn
	}

	d.takeBack(r, err)

	return true
}

// Settle notes the outcome of a run that was carried out.
func (d *Coordinator) Settle(r *Run, o Outcome) {
	if r.phase != running && r.phase != lost {
		return
	}

	if len(o.Body) > d.cfg.MaxBody {
		o.Body, o.Cut = nil, true
	}

	r.phase = settled
	r.outcome = &o
	d.write(record{Kind: kindOutcome, Term: r.term, ID: r.id, Run: r.nonce, Outcome: &o})
	d.disown(r)
}

// Lose notes that nobody will learn what a run brought, as its target died or
// fell silent. The process remembers it until the log does.
func (d *Coordinator) Lose(r *Run) {
	if r.phase != running {
		return
	}

	r.phase = lost

	if r.read {
		delete(d.local, r.id)
	}

	d.disown(r)
}

// Withdraw notes that a run was not carried out and won't be.
func (d *Coordinator) Withdraw(r *Run) {
	if r.phase != running {
		return
	}

	r.phase = withdrawn
	d.write(record{Kind: kindWithdraw, Term: r.term, ID: r.id, Run: r.nonce})
	d.disown(r)
}

// disown forgets a run from an earlier term; only the record matters then.
func (d *Coordinator) disown(r *Run) {
	if h := d.ledger.Holder(); (r.term != h.Term || !h.Serves()) && d.local[r.id] == r {
		delete(d.local, r.id)
	}
}

// Outbox returns the records to write, in order, and empties it.
func (d *Coordinator) Outbox() [][]byte {
	b := make([][]byte, len(d.outbox))
	for i, r := range d.outbox {
		b[i] = r.encode()
	}

	d.outbox = d.outbox[:0]

	return b
}

// Stop gives the shard back for good; see Release.
func (d *Coordinator) Stop() { d.stopping = true }

// Yield gives the shard back for another to take; see Release.
func (d *Coordinator) Yield() { d.yielding = true }

func (d *Coordinator) draining() bool { return d.stopping || d.yielding }

// Release releases a shard that is to be given back, once every run of this
// process is over and the log holds all of them.
func (d *Coordinator) Release() {
	term := d.ledger.Holder().Term
	if !d.draining() || !d.Home() || d.asked == term || len(d.local) > 0 || len(d.outbox) > 0 {
		return
	}

	d.asked = term
	d.write(record{Kind: kindRelease, Term: term})
}
