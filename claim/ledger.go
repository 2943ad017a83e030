package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/journal"
)

const (
	// DefaultMemory is how long a key is remembered.
	DefaultMemory = time.Hour
	// DefaultSkew bounds how far the clocks of callers, processes and the log
	// service are apart.
	DefaultSkew = 5 * time.Second
	// pruneEvery is the width in milliseconds of the slots in which keys expire.
	pruneEvery = int64(10 * time.Second / time.Millisecond)
)

// Standing is what a Ledger knows of a key.
type Standing uint8

// The closed list of standings.
const (
	// Fresh says that the key never ran.
	Fresh Standing = iota
	// Open says that the key is claimed and nothing more is known.
	Open
	// Settled says that the key ran and what it brought.
	Settled
	// Uncertain says that the key may have run under a home that didn't write it.
	Uncertain
	// Expired says that the key is older than keys are remembered.
	Expired
	// Ahead says that the key's issue time lies in the future.
	Ahead
)

// Holder is who is home of a shard.
type Holder struct {
	// VM is the home's VM; empty for none.
	VM string `cbor:"1,keyasint"`
	// Incarnation rises with each start of a process on that VM.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term is the offset of the record by which it became the home.
	Term uint64 `cbor:"3,keyasint"`
	// LogLess says that it may run requests before their claims are written.
	LogLess bool `cbor:"4,keyasint"`
	// Listed is a version of the platform's list that had the VM.
	Listed uint64 `cbor:"5,keyasint"`
	// Released says that it gave the shard back.
	Released bool `cbor:"6,keyasint"`
	// Ended says that a later process has started on its VM.
	Ended bool `cbor:"9,keyasint"`
	// Asserted is an offset: a reader that has everything from there on knows all
	// this. It is that of the home record, or follows what a snapshot covers.
	Asserted uint64 `cbor:"7,keyasint"`
	// AssertedMS is a time by the log's clock, in Unix milliseconds, before which
	// the record at Asserted was not written.
	AssertedMS int64 `cbor:"8,keyasint"`
}

// Serves tells whether there is a home that may take claims.
func (h Holder) Serves() bool { return h.Term != 0 && !h.Released && !h.Ended }

// LedgerConfig is what all who read a shard have to agree on.
type LedgerConfig struct {
	// Memory is how long a key is remembered after its issue, or after its claim
	// if it doesn't tell its issue time; zero is DefaultMemory.
	Memory time.Duration
	// Skew bounds how far clocks are apart; zero is DefaultSkew.
	Skew time.Duration
}

// Ledger is the state of a shard as its stream tells it, record by record. It is
// the same for all who have read the same records. Use NewLedger.
type Ledger struct {
	memory int64
	skew   int64

	holder  Holder
	entries map[ID]entry
	slots   map[int64][]ID // keys by when they expire, in units of pruneEvery
	pruned  int64          // the slots before this one are gone
	now     int64          // the newest time that the log has told
	floor   int64          // keys issued before this one are forgotten
	cut     int64          // keys issued up to this may have run unwritten
	from    uint64         // the oldest offset read
	gap     bool           // records were lost just before the next one
}

// entry is what is remembered of a key.
type entry struct {
	run         uint64
	fingerprint uint64
	issued      int64 // zero when the key doesn't tell
	expires     int64
	outcome     *Outcome
}

// NewLedger returns the state before any record.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Memory <= 0 {
		cfg.Memory = DefaultMemory
	}

	if cfg.Skew <= 0 {
		cfg.Skew = DefaultSkew
	}

	return &Ledger{
		memory: cfg.Memory.Milliseconds(), skew: cfg.Skew.Milliseconds(),
		entries: map[ID]entry{}, slots: map[int64][]ID{}, from: 1,
	}
}

// Holder returns who is home of the shard.
func (l *Ledger) Holder() Holder { return l.holder }

// Len returns how many keys are remembered.
func (l *Ledger) Len() int { return len(l.entries) }

// Now returns the newest time that the log has told.
func (l *Ledger) Now() time.Time { return time.UnixMilli(l.now) }

// Cut returns the issue time up to which keys without a record are uncertain.
func (l *Ledger) Cut() time.Time { return time.UnixMilli(l.cut) }

// Gap says that all records before offset first are lost. What they claimed is
// unknown, so keys from before the next record become uncertain.
func (l *Ledger) Gap(first uint64) {
	*l = *NewLedger(LedgerConfig{
		Memory: time.Duration(l.memory) * time.Millisecond,
		Skew:   time.Duration(l.skew) * time.Millisecond,
	})
	l.from = first
	l.gap = true
}

// Apply takes account of the next record of the stream.
func (l *Ledger) Apply(rec journal.Record) error {
	r, err := decode(rec.Data)
	if err != nil {
		return err
	}

	l.apply(rec.Offset, rec.At.UnixMilli(), r)

	return nil
}

func (l *Ledger) apply(offset uint64, at int64, r record) {
	l.now = max(l.now, at)

	if l.gap {
		l.gap = false
		l.uncertain(at)
	}

	switch r.Kind {
	case kindHome:
		l.take(offset, at, r)
	case kindKeep:
		l.keep(r)
	case kindRelease:
		l.holder.Released = l.holder.Released || l.counts(r)
	case kindClaim:
		l.claim(at, r)
	case kindOutcome:
		l.settle(r)
	case kindWithdraw:
		l.withdraw(r)
	case kindBorn:
		l.born(r)
	}

	l.prune()
}

// counts tells whether a record was written by the home of its time.
func (l *Ledger) counts(r record) bool {
	return r.Term == l.holder.Term && l.holder.Serves()
}

// take makes the writer of r the home, if it may be.
func (l *Ledger) take(offset uint64, at int64, r record) {
	if !l.allowed(r) {
		return
	}

	// A home that might run before it wrote may have died with runs unwritten.
	// Its successor can't tell such a key from a new one but by its issue time.
	before := l.holder
	if before.Term != 0 && before.LogLess && !before.Released || before.Term == 0 && l.from > 1 {
		l.uncertain(at)
	}

	l.holder = Holder{
		VM: r.Home.VM, Incarnation: r.Home.Incarnation, Term: offset,
		LogLess: r.Home.LogLess, Listed: r.Home.Listed, Asserted: offset, AssertedMS: at,
	}
}

// allowed tells whether the basis of a home record holds.
func (l *Ledger) allowed(r record) bool {
	h := r.Home

	// A home that can't be found in what the log keeps has not repeated itself
	// for longer than it may go on by itself; see Coordinator.certain.
	if h.Basis == BasisFirst {
		return l.holder.Asserted < h.From
	}

	if r.Term != l.holder.Term || l.holder.Term == 0 {
		return false
	}

	switch h.Basis {
	case BasisReleased:
		return l.holder.Released
	case BasisGone:
		return h.VM != l.holder.VM && h.Listed > l.holder.Listed
	case BasisReborn:
		return l.holder.Ended || h.VM == l.holder.VM && h.Incarnation > l.holder.Incarnation
	default:
		return false
	}
}

// born notes that the home's process has ended, as a later one on its VM says,
// which could only start since then. So the candidates take over, and a process
// that starts need not read shards that aren't its own.
func (l *Ledger) born(r record) {
	if r.Home.VM == l.holder.VM && r.Home.Incarnation > l.holder.Incarnation {
		l.holder.Ended = true
	}
}

// keep repeats that the home is still there. A reader that lacks the home record
// learns at least that there is one, and waits for a snapshot to tell which.
func (l *Ledger) keep(r record) {
	if l.holder.Term != 0 && !l.counts(r) {
		return
	}

	if l.holder.Term != 0 {
		l.holder.Listed = r.Home.Listed
	}

	if next := r.Home.Covers + 1; next > l.holder.Asserted {
		l.holder.Asserted = next
		l.holder.AssertedMS = r.Home.CoversMS
	}
}

// claim notes the first claim of a key by the home.
func (l *Ledger) claim(at int64, r record) {
	if _, ok := l.entries[r.ID]; ok || !l.counts(r) {
		return
	}

	since := at
	if r.IssuedMS != 0 {
		since = r.IssuedMS
	}

	l.insert(r.ID, entry{
		run: r.Run, fingerprint: r.Fingerprint, issued: r.IssuedMS, expires: since + l.memory + 2*l.skew,
	})
}

func (l *Ledger) insert(id ID, e entry) {
	l.entries[id] = e

	slot := max(e.expires/pruneEvery, l.pruned)
	l.slots[slot] = append(l.slots[slot], id)
}

// settle notes what a run brought. It counts also after a change of home, since
// only the run that holds the claim can tell.
func (l *Ledger) settle(r record) {
	e, ok := l.entries[r.ID]
	if !ok || e.run != r.Run || e.outcome != nil {
		return
	}

	e.outcome = r.Outcome
	l.entries[r.ID] = e
}

// withdraw frees a key whose run has not happened.
func (l *Ledger) withdraw(r record) {
	e, ok := l.entries[r.ID]
	if ok && e.run == r.Run && e.outcome == nil {
		delete(l.entries, r.ID)
	}
}

// uncertain moves the cut behind every key that may have been accepted by at.
// Such a key was issued at most a skew after the home's clock, and that clock
// was at most a skew ahead of the log's.
func (l *Ledger) uncertain(at int64) {
	l.cut = max(l.cut, at+2*l.skew)
}

// prune forgets keys that every home refuses as expired by now, whatever its
// clock within the skew.
func (l *Ledger) prune() {
	slot := l.now / pruneEvery
	if slot <= l.pruned {
		return
	}

	if l.pruned == 0 {
		l.pruned = slot
	}

	for ; l.pruned < slot; l.pruned++ {
		for _, id := range l.slots[l.pruned] {
			if e, ok := l.entries[id]; ok && e.expires/pruneEvery <= l.pruned {
				l.forget(id, e)
			}
		}

		delete(l.slots, l.pruned)
	}

	l.floor = max(l.floor, l.now-l.memory-2*l.skew)
}

// forget drops a key. Whatever the memory is set to later, a key that was once
// forgotten must not look new, so all that are as old are refused from then on.
func (l *Ledger) forget(id ID, e entry) {
	delete(l.entries, id)

	if e.issued != 0 {
		l.floor = max(l.floor, e.issued+1)
	}
}

// Remember sets how long keys are remembered from now on. Those claimed before
// keep the time that they had.
func (l *Ledger) Remember(memory time.Duration) {
	if memory > 0 {
		l.memory = memory.Milliseconds()
	}
}

// Key is what a Ledger is asked about.
type Key struct {
	// ID is the key's.
	ID ID
	// Issued is when the key was issued; the zero time when it doesn't tell.
	Issued time.Time
}

// Ask returns the standing of a key.
func (l *Ledger) Ask(now time.Time, k Key) Standing {
	if e, ok := l.entries[k.ID]; ok {
		if e.outcome == nil {
			return Open
		}

		return Settled
	}

	at := now.UnixMilli()

	if k.Issued.IsZero() {
		if l.cut != 0 && at <= l.cut+l.memory {
			return Uncertain
		}

		return Fresh
	}

	issued := k.Issued.UnixMilli()

	switch {
	case issued > at+l.skew:
		return Ahead
	case issued < l.floor || issued+l.memory < at:
		return Expired
	case issued <= l.cut:
		return Uncertain
	default:
		return Fresh
	}
}

// maxEntries bounds the keys in a snapshot.
const maxEntries = 1 << 26

// snapshotMode decodes snapshots, which may be longer than the codec's default allows.
var snapshotMode = newSnapshotMode()

func newSnapshotMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxEntries}.DecMode()
	if err != nil {
		panic(err)
	}

	return m
}

// saved is a Ledger in a snapshot.
type saved struct {
	Holder  Holder       `cbor:"1,keyasint"`
	Now     int64        `cbor:"2,keyasint"`
	Floor   int64        `cbor:"3,keyasint"`
	Cut     int64        `cbor:"4,keyasint"`
	Entries []savedEntry `cbor:"5,keyasint"`
}

type savedEntry struct {
	_           struct{} `cbor:",toarray"`
	ID          ID
	Run         uint64
	Fingerprint uint64
	Issued      int64
	Expires     int64
	Outcome     *Outcome
}

// Encode returns the state for a snapshot.
func (l *Ledger) Encode() []byte {
	s := saved{Holder: l.holder, Now: l.now, Floor: l.floor, Cut: l.cut}
	s.Entries = make([]savedEntry, 0, len(l.entries))

	for id, e := range l.entries {
		s.Entries = append(s.Entries, savedEntry{
			ID: id, Run: e.run, Fingerprint: e.fingerprint, Issued: e.issued, Expires: e.expires, Outcome: e.outcome,
		})
	}

	b, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // encoding this type can't fail
	}

	return b
}

// Restore replaces the state by that of a snapshot.
func (l *Ledger) Restore(b []byte) error {
	var s saved
	if err := snapshotMode.Unmarshal(b, &s); err != nil {
		return failure.Wrap(failure.BadMessage, err, "a snapshot can't be understood as claims")
	}

	l.holder, l.now, l.floor, l.cut = s.Holder, s.Now, s.Floor, s.Cut
	l.entries = make(map[ID]entry, len(s.Entries))
	l.slots = map[int64][]ID{}
	l.pruned = s.Now / pruneEvery
	l.from, l.gap = 1, false

	for _, e := range s.Entries {
		l.insert(e.ID, entry{
			run: e.Run, fingerprint: e.Fingerprint, issued: e.Issued, expires: e.Expires, outcome: e.Outcome,
		})
	}

	return nil
}
