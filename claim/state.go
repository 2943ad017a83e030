package claim

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehub/failure"
	"boragehub/journal"
)

const (
	// DefaultKeyLifetime is how long a key is remembered.
	DefaultKeyLifetime = time.Hour
	// DefaultClockSkew limits how far the clocks of callers, processes and the
	// log service differ.
	DefaultClockSkew = 5 * time.Second
	// expirySlotMS is the width in milliseconds of the time slots in which keys
	// expire.
	expirySlotMS = int64(10 * time.Second / time.Millisecond)
)

// KeyStatus is what a State knows of a key.
type KeyStatus uint8

// The values of KeyStatus.
const (
	// KeyUnused means that the key has not run.
	KeyUnused KeyStatus = iota
	// KeyClaimed means that the key is claimed and has no outcome yet.
	KeyClaimed
	// KeyCompleted means that the key ran and its outcome is recorded.
	KeyCompleted
	// KeyUncertain means that the key may have run under an owner that didn't
	// write its claim, or that its claim is lost.
	KeyUncertain
	// KeyExpired means that the key was issued longer ago than keys are
	// remembered.
	KeyExpired
	// KeyFromFuture means that the key's issue time is in the future by more than
	// the clock skew.
	KeyFromFuture
)

// Owner is the owner of a shard.
type Owner struct {
	// VM is the owner's VM; empty if there is none.
	VM string `cbor:"1,keyasint"`
	// Incarnation rises with each start of a process on that VM.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Term is the offset of the record by which the process became the owner;
	// zero if there is none.
	Term uint64 `cbor:"3,keyasint"`
	// RunsUnlogged reports that the owner may run requests before their claims
	// are written.
	RunsUnlogged bool `cbor:"4,keyasint"`
	// ListVersion is a version of the platform's list that had the VM.
	ListVersion uint64 `cbor:"5,keyasint"`
	// Released reports that the owner released the shard.
	Released bool `cbor:"6,keyasint"`
	// Ended reports that a later process has started on the owner's VM.
	Ended bool `cbor:"9,keyasint"`
	// ConfirmedOffset is an offset: a reader that has all records from it on
	// knows this Owner. It is the offset of the owner record or, after a renewal,
	// the one that follows the last record that the renewal's snapshot covers.
	ConfirmedOffset uint64 `cbor:"7,keyasint"`
	// ConfirmedMS is a time by the log's clock, in Unix milliseconds; the record
	// at ConfirmedOffset was not written before it.
	ConfirmedMS int64 `cbor:"8,keyasint"`
}

// Active reports whether there is an owner that may accept claims.
func (o Owner) Active() bool { return o.Term != 0 && !o.Released && !o.Ended }

// StateConfig must be the same in all processes that read a shard.
type StateConfig struct {
	// KeyLifetime is how long a key is remembered after its issue, or after its
	// claim if its issue time is unknown; zero means DefaultKeyLifetime.
	KeyLifetime time.Duration
	// ClockSkew limits how far clocks differ; zero means DefaultClockSkew.
	ClockSkew time.Duration
}

// State is the state of a shard that follows from the records of its stream. It
// is the same in all processes that have read the same records. Use NewState.
type State struct {
	keyLifetime int64
	clockSkew   int64

	owner           Owner
	entries         map[KeyID]entry
	slots           map[int64][]KeyID // keys by expiry time, in units of expirySlotMS
	firstSlot       int64             // earlier slots are deleted
	logTime         int64             // the newest time of a record; all times are in Unix milliseconds
	forgottenBefore int64             // keys issued before this time are refused as expired
	uncertainUntil  int64             // keys issued up to this time may have run without a record
	firstOffset     uint64            // the oldest offset read
	afterGap        bool              // records were lost just before the next one
}

// entry is the state of a key.
type entry struct {
	runID       uint64
	fingerprint uint64
	issued      int64 // zero if unknown
	expires     int64
	outcome     *Outcome
}

// NewState returns the state before any record.
func NewState(cfg StateConfig) *State {
	if cfg.KeyLifetime <= 0 {
		cfg.KeyLifetime = DefaultKeyLifetime
	}

	if cfg.ClockSkew <= 0 {
		cfg.ClockSkew = DefaultClockSkew
	}

	return &State{
		keyLifetime: cfg.KeyLifetime.Milliseconds(), clockSkew: cfg.ClockSkew.Milliseconds(),
		entries: map[KeyID]entry{}, slots: map[int64][]KeyID{}, firstOffset: 1,
	}
}

// Owner returns the owner of the shard.
func (s *State) Owner() Owner { return s.owner }

// Len returns the number of keys that are remembered.
func (s *State) Len() int { return len(s.entries) }

// LogTime returns the newest time of a record, by the clock of the log.
func (s *State) LogTime() time.Time { return time.UnixMilli(s.logTime) }

// UncertainUntil returns the issue time up to which keys without a record are
// uncertain.
func (s *State) UncertainUntil() time.Time { return time.UnixMilli(s.uncertainUntil) }

// ResetAfterGap resets the state since all records before offset first are
// lost. The keys that they claimed are unknown, so keys issued before the next
// record become uncertain.
func (s *State) ResetAfterGap(first uint64) {
	*s = *NewState(StateConfig{
		KeyLifetime: time.Duration(s.keyLifetime) * time.Millisecond,
		ClockSkew:   time.Duration(s.clockSkew) * time.Millisecond,
	})
	s.firstOffset = first
	s.afterGap = true
}

// Apply applies the next record of the stream.
func (s *State) Apply(rec journal.Record) error {
	r, err := decode(rec.Data)
	if err != nil {
		return err
	}

	s.apply(rec.Offset, rec.At.UnixMilli(), r)

	return nil
}

func (s *State) apply(offset uint64, at int64, r record) {
	s.logTime = max(s.logTime, at)

	if s.afterGap {
		s.afterGap = false
		s.markUncertain(at)
	}

	switch r.Kind {
	case kindOwner:
		s.applyOwner(offset, at, r)
	case kindRenew:
		s.applyRenewal(r)
	case kindRelease:
		s.owner.Released = s.owner.Released || s.writtenByOwner(r)
	case kindClaim:
		s.applyClaim(at, r)
	case kindOutcome:
		s.applyOutcome(r)
	case kindWithdraw:
		s.applyWithdrawal(r)
	case kindStart:
		s.applyStart(r)
	}

	s.pruneExpired()
}

// writtenByOwner reports whether a record was written by the owner at its
// offset.
func (s *State) writtenByOwner(r record) bool {
	return r.Term == s.owner.Term && s.owner.Active()
}

// applyOwner makes the writer of r the owner if its basis holds.
func (s *State) applyOwner(offset uint64, at int64, r record) {
	if !s.mayTakeOver(r) {
		return
	}

	// A previous owner that may run before it writes may have crashed with runs
	// unwritten. The next owner can tell such a key from a new one only by its
	// issue time.
	before := s.owner
	if before.Term != 0 && before.RunsUnlogged && !before.Released || before.Term == 0 && s.firstOffset > 1 {
		s.markUncertain(at)
	}

	s.owner = Owner{
		VM: r.Owner.VM, Incarnation: r.Owner.Incarnation, Term: offset,
		RunsUnlogged: r.Owner.RunsUnlogged, ListVersion: r.Owner.ListVersion, ConfirmedOffset: offset, ConfirmedMS: at,
	}
}

// mayTakeOver reports whether the basis of an owner record holds.
func (s *State) mayTakeOver(r record) bool {
	o := r.Owner

	// An owner that the kept part of the log doesn't show has not renewed its
	// ownership for longer than it may continue without the log; see
	// Coordinator.certainlyOwner.
	if o.Basis == BasisFirst {
		return s.owner.ConfirmedOffset < o.OldestOffset
	}

	if r.Term != s.owner.Term || s.owner.Term == 0 {
		return false
	}

	switch o.Basis {
	case BasisReleased:
		return s.owner.Released
	case BasisUnlisted:
		return o.VM != s.owner.VM && o.ListVersion > s.owner.ListVersion
	case BasisRestarted:
		return s.owner.Ended || o.VM == s.owner.VM && o.Incarnation > s.owner.Incarnation
	default:
		return false
	}
}

// applyStart records that the owner's process has ended, since a later one has
// started on its VM, which is possible only after that. Candidates can then
// take over, and a starting process need not read shards that it is no
// candidate for.
func (s *State) applyStart(r record) {
	if r.Owner.VM == s.owner.VM && r.Owner.Incarnation > s.owner.Incarnation {
		s.owner.Ended = true
	}
}

// applyRenewal records that the owner still runs. A reader that lacks the
// owner record learns that there is an owner, and from a later snapshot which
// process it is.
func (s *State) applyRenewal(r record) {
	if s.owner.Term != 0 && !s.writtenByOwner(r) {
		return
	}

	if s.owner.Term != 0 {
		s.owner.ListVersion = r.Owner.ListVersion
	}

	if next := r.Owner.Covers + 1; next > s.owner.ConfirmedOffset {
		s.owner.ConfirmedOffset = next
		s.owner.ConfirmedMS = r.Owner.CoversMS
	}
}

// applyClaim records the first claim of a key by the owner.
func (s *State) applyClaim(at int64, r record) {
	if _, ok := s.entries[r.KeyID]; ok || !s.writtenByOwner(r) {
		return
	}

	since := at
	if r.IssuedMS != 0 {
		since = r.IssuedMS
	}

	s.insert(r.KeyID, entry{
		runID: r.RunID, fingerprint: r.Fingerprint, issued: r.IssuedMS, expires: since + s.keyLifetime + 2*s.clockSkew,
	})
}

func (s *State) insert(id KeyID, e entry) {
	s.entries[id] = e

	slot := max(e.expires/expirySlotMS, s.firstSlot)
	s.slots[slot] = append(s.slots[slot], id)
}

// applyOutcome records the outcome of a run. It counts also after a change of
// owner, since only the process whose claim holds the key knows the outcome.
func (s *State) applyOutcome(r record) {
	e, ok := s.entries[r.KeyID]
	if !ok || e.runID != r.RunID || e.outcome != nil {
		return
	}

	e.outcome = r.Outcome
	s.entries[r.KeyID] = e
}

// applyWithdrawal frees a key whose run did not happen.
func (s *State) applyWithdrawal(r record) {
	e, ok := s.entries[r.KeyID]
	if ok && e.runID == r.RunID && e.outcome == nil {
		delete(s.entries, r.KeyID)
	}
}

// markUncertain makes all keys uncertain that may have been accepted up to time
// at. Such a key was issued at most one skew after the time of the owner's
// clock, and that clock was at most one skew ahead of the log's.
func (s *State) markUncertain(at int64) {
	s.uncertainUntil = max(s.uncertainUntil, at+2*s.clockSkew)
}

// pruneExpired deletes keys that every owner refuses as expired by now,
// whatever its clock within the skew.
func (s *State) pruneExpired() {
	slot := s.logTime / expirySlotMS
	if slot <= s.firstSlot {
		return
	}

	if s.firstSlot == 0 {
		s.firstSlot = slot
	}

	for ; s.firstSlot < slot; s.firstSlot++ {
		for _, id := range s.slots[s.firstSlot] {
			if e, ok := s.entries[id]; ok && e.expires/expirySlotMS <= s.firstSlot {
				s.forget(id, e)
			}
		}

		delete(s.slots, s.firstSlot)
	}

	s.forgottenBefore = max(s.forgottenBefore, s.logTime-s.keyLifetime-2*s.clockSkew)
}

// forget deletes a key. A deleted key must not look unused after a later change
// of the key lifetime, so all keys issued up to its issue time are refused from
// then on.
func (s *State) forget(id KeyID, e entry) {
	delete(s.entries, id)

	if e.issued != 0 {
		s.forgottenBefore = max(s.forgottenBefore, e.issued+1)
	}
}

// SetKeyLifetime sets how long keys are remembered from now on; zero or less
// changes nothing. Keys claimed before keep their expiry time.
func (s *State) SetKeyLifetime(lifetime time.Duration) {
	if lifetime > 0 {
		s.keyLifetime = lifetime.Milliseconds()
	}
}

// Key identifies a key for Lookup.
type Key struct {
	// ID is the hash of the organisation and the key.
	ID KeyID
	// Issued is when the key was issued; the zero time if that is unknown.
	Issued time.Time
}

// Lookup returns the status of a key.
func (s *State) Lookup(now time.Time, k Key) KeyStatus {
	if e, ok := s.entries[k.ID]; ok {
		if e.outcome == nil {
			return KeyClaimed
		}

		return KeyCompleted
	}

	at := now.UnixMilli()

	if k.Issued.IsZero() {
		if s.uncertainUntil != 0 && at <= s.uncertainUntil+s.keyLifetime {
			return KeyUncertain
		}

		return KeyUnused
	}

	issued := k.Issued.UnixMilli()

	switch {
	case issued > at+s.clockSkew:
		return KeyFromFuture
	case issued < s.forgottenBefore || issued+s.keyLifetime < at:
		return KeyExpired
	case issued <= s.uncertainUntil:
		return KeyUncertain
	default:
		return KeyUnused
	}
}

// maxSnapshotEntries limits the keys in a snapshot.
const maxSnapshotEntries = 1 << 26

// snapshotDecMode decodes snapshots, which may exceed the codec's default limit
// for arrays.
var snapshotDecMode = newSnapshotDecMode()

func newSnapshotDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxSnapshotEntries}.DecMode()
	if err != nil {
		panic(err)
	}

	return m
}

// stateSnapshot is the encoded form of a State.
type stateSnapshot struct {
	Owner           Owner           `cbor:"1,keyasint"`
	LogTime         int64           `cbor:"2,keyasint"`
	ForgottenBefore int64           `cbor:"3,keyasint"`
	UncertainUntil  int64           `cbor:"4,keyasint"`
	Entries         []entrySnapshot `cbor:"5,keyasint"`
}

type entrySnapshot struct {
	_           struct{} `cbor:",toarray"`
	KeyID       KeyID
	RunID       uint64
	Fingerprint uint64
	Issued      int64
	Expires     int64
	Outcome     *Outcome
}

// Encode returns the state for a snapshot.
func (s *State) Encode() []byte {
	snap := stateSnapshot{Owner: s.owner, LogTime: s.logTime, ForgottenBefore: s.forgottenBefore, UncertainUntil: s.uncertainUntil}
	snap.Entries = make([]entrySnapshot, 0, len(s.entries))

	for id, e := range s.entries {
		snap.Entries = append(snap.Entries, entrySnapshot{
			KeyID: id, RunID: e.runID, Fingerprint: e.fingerprint, Issued: e.issued, Expires: e.expires, Outcome: e.outcome,
		})
	}

	b, err := cbor.Marshal(snap)
	if err != nil {
		panic(err) // encoding this type can't fail
	}

	return b
}

// Restore replaces the state by that of a snapshot; a BadMessage error means
// that the snapshot can't be decoded.
func (s *State) Restore(b []byte) error {
	var snap stateSnapshot
	if err := snapshotDecMode.Unmarshal(b, &snap); err != nil {
		return failure.Wrap(failure.BadMessage, err, "a claim snapshot can't be decoded")
	}

	s.owner, s.logTime, s.forgottenBefore, s.uncertainUntil = snap.Owner, snap.LogTime, snap.ForgottenBefore, snap.UncertainUntil
	s.entries = make(map[KeyID]entry, len(snap.Entries))
	s.slots = map[int64][]KeyID{}
	s.firstSlot = snap.LogTime / expirySlotMS
	s.firstOffset, s.afterGap = 1, false

	for _, e := range snap.Entries {
		s.insert(e.KeyID, entry{
			runID: e.RunID, fingerprint: e.Fingerprint, issued: e.Issued, expires: e.Expires, outcome: e.Outcome,
		})
	}

	return nil
}
