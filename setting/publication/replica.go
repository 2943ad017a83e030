package publication

import (
	"bytes"
	"time"

	"boragehub/journal"
	"boragehub/setting"
)

// head is the newest accepted version.
type head struct {
	version uint64
	based   uint64
	author  string
	note    string
	at      time.Time
	text    []byte
	hash    setting.Hash
}

// decision is the result for one change, as the order of the log determines it.
type decision struct {
	id     string
	offset uint64
	author string
	note   string
	at     time.Time
	based  uint64
	reason reason
	// inForce is the version in force before the change.
	inForce uint64
}

// reason is why a change was accepted or refused.
type reason uint8

const (
	// accepted means that the change came into force; all other reasons refuse it.
	accepted reason = iota
	// reasonConflict means that the change is not based on the version in force.
	reasonConflict
	// reasonDamaged means that the change can't be decoded, or that the resulting
	// text doesn't match its hash.
	reasonDamaged
	// reasonInterrupted means that the parts of the change are not contiguous.
	reasonInterrupted
)

// String returns the snake-case name of r.
func (r reason) String() string {
	return [...]string{"accepted", "conflict", "damaged", "interrupted"}[r]
}

// replica applies the records of the stream one by one to the version in force.
// Whether a change is accepted depends only on the records, never on whether this
// release can parse the settings, so processes of all releases agree. It isn't safe
// for concurrent use.
type replica struct {
	head head
	// read is an offset at which head is known to be in force.
	read uint64
	// changes and snapshots assemble the records that consist of several parts.
	changes   assembler
	snapshots assembler
	// fullPayload is the encoded full text of head; nil until a peer needs it.
	fullPayload []byte
	// deltas lead to head, oldest first, for peers that lag a little.
	deltas []delta
	// scan is non-nil while records are missing between read and the oldest that
	// the log keeps.
	scan *scan
	// snapshot is the offset of the newest known snapshot, and snapshotAt is when
	// it was written; both are zero before the first.
	snapshot   uint64
	snapshotAt time.Time
	// oldestOffset is the highest known offset of the oldest record in the log.
	oldestOffset uint64
	// onDecision is called for each decision; may be nil.
	onDecision func(decision)
	// onDivergence is called for a snapshot of head's version with another hash; may
	// be nil.
	onDivergence func(offset uint64)
}

// scan is the search for a snapshot among the records that the log still keeps. It
// buffers the records from start onwards, to apply them after the snapshot.
type scan struct {
	start     uint64
	next      uint64
	buffered  []journal.Record
	bytes     int
	changes   assembler
	snapshots assembler
}

// Bounds on the memory of a replica.
const (
	maxDeltas        = 256
	maxDeltaBytes    = 1 << 20
	maxBufferedBytes = 32 << 20
)

func newReplica() *replica {
	return &replica{head: head{hash: setting.HashOf(nil)}}
}

// nextOffset returns the offset to read next.
func (r *replica) nextOffset() uint64 {
	if r.scan != nil {
		return r.scan.next
	}

	return r.read + 1
}

// synced reports whether no record is missing between head and the next read.
func (r *replica) synced() bool { return r.scan == nil }

// safeOffset returns the newest offset after which another process that has only
// head can read on. It is before the first part of a change that is incomplete.
func (r *replica) safeOffset() uint64 {
	if r.changes.current != nil {
		return r.changes.current.start - 1
	}

	return r.read
}

// markTrimmed records that the log keeps no record before first. The missing
// records may hold accepted changes, so r keeps head and searches for a snapshot
// written after them.
func (r *replica) markTrimmed(first uint64) {
	if first <= r.nextOffset() {
		return
	}

	r.scan = &scan{start: first, next: first}
}

// process processes the next record of the stream. It ignores a record that was
// already read.
func (r *replica) process(rec journal.Record) {
	switch {
	case rec.Offset < r.nextOffset():
		return
	case rec.Offset > r.nextOffset():
		r.markTrimmed(rec.Offset)
	}

	if r.scan != nil {
		r.searchSnapshot(rec)

		return
	}

	r.apply(rec)
}

// apply processes a record that directly follows those that were read.
func (r *replica) apply(rec journal.Record) {
	r.read = rec.Offset

	part, ok := decodeRecord(rec.Data)
	if !ok {
		return
	}

	switch part.Kind {
	case changeRecord:
		complete, dropped := r.changes.add(rec.Offset, part)
		if dropped != nil {
			r.reportDecision(rec, *dropped, reasonInterrupted)
		}

		if complete != nil {
			r.decide(rec, *complete)
		}
	case snapshotRecord:
		if complete, _ := r.snapshots.add(rec.Offset, part); complete != nil {
			r.snapshot = rec.Offset
			r.snapshotAt = rec.At
			r.checkSnapshot(rec.Offset, *complete)
		}
	}
}

// decide accepts or refuses a complete change.
func (r *replica) decide(rec journal.Record, change record) {
	fits := change.Based == r.head.version
	if change.Recovers {
		fits = change.atIntendedOffset()
	}

	if !fits {
		r.reportDecision(rec, change, reasonConflict)

		return
	}

	var c content
	if err := decMode.Unmarshal(change.Payload, &c); err != nil {
		r.reportDecision(rec, change, reasonDamaged)

		return
	}

	text, err := c.text(r.head.text, change.Hash)
	if err != nil {
		r.reportDecision(rec, change, reasonDamaged)

		return
	}

	r.reportDecision(rec, change, accepted)
	r.advance(head{
		version: rec.Offset, based: change.Based, author: change.Author, note: change.Note,
		at: rec.At, text: text, hash: setting.Hash(change.Hash),
	}, change.Payload)
}

// advance sets head to h, which payload produces from the previous head.
func (r *replica) advance(h head, payload []byte) {
	r.head = h
	r.fullPayload = nil
	r.deltas = trimDeltas(append(r.deltas, delta{
		Version: h.version, Based: h.based, Author: h.author, Note: h.note,
		AtMS: h.at.UnixMilli(), Hash: h.hash[:], Payload: payload,
	}))
}

func (r *replica) reportDecision(rec journal.Record, change record, why reason) {
	if r.onDecision == nil {
		return
	}

	r.onDecision(decision{
		id: change.ID, offset: rec.Offset, author: change.Author, note: change.Note, at: rec.At,
		based: change.Based, reason: why, inForce: r.head.version,
	})
}

// checkSnapshot compares the hash of a snapshot with that of head if both have the
// same version.
func (r *replica) checkSnapshot(offset uint64, snapshot record) {
	if snapshot.Version == r.head.version && !bytes.Equal(snapshot.Hash, r.head.hash[:]) && r.onDivergence != nil {
		r.onDivergence(offset)
	}
}

// searchSnapshot buffers rec and ends the scan if rec completes a snapshot, or a
// recovering change, from which the buffered records continue without a gap.
func (r *replica) searchSnapshot(rec journal.Record) {
	s := r.scan
	s.next = rec.Offset + 1
	s.buffered = append(s.buffered, rec)
	s.bytes += len(rec.Data)

	// Without a bound, a process that never finds a snapshot would run out of
	// memory. Dropping the oldest records is safe: it only requires a later snapshot.
	for s.bytes > maxBufferedBytes {
		s.bytes -= len(s.buffered[0].Data)
		s.start = s.buffered[0].Offset + 1
		s.buffered = s.buffered[1:]
	}

	complete := s.completeSnapshot(rec)
	if complete == nil {
		return
	}

	// Between a snapshot from before the first buffered record and that record
	// there is a gap, in which a change may have been accepted.
	if complete.Read+1 < s.start {
		return
	}

	var c content
	if err := decMode.Unmarshal(complete.Payload, &c); err != nil || !c.IsFull {
		return
	}

	text, err := c.text(nil, complete.Hash)
	if err != nil {
		return
	}

	if complete.Kind == changeRecord {
		r.reportDecision(rec, *complete, accepted)
	}

	if complete.Version > r.head.version {
		r.deltas = nil
		r.fullPayload = nil
		r.head = head{
			version: complete.Version, based: complete.Based, author: complete.Author, note: complete.Note,
			at: time.UnixMilli(complete.AtMS), text: text, hash: setting.Hash(complete.Hash),
		}
	}

	r.resume(complete.Read)
}

// atIntendedOffset reports whether a recovering change directly follows the end of
// the log that its operator saw.
func (r *record) atIntendedOffset() bool { return r.start == r.Based+1 }

// completeSnapshot returns the snapshot, or the valid recovering change, that rec
// completes; nil if it completes none.
func (s *scan) completeSnapshot(rec journal.Record) *record {
	part, ok := decodeRecord(rec.Data)
	if !ok {
		return nil
	}

	if part.Kind == snapshotRecord {
		complete, _ := s.snapshots.add(rec.Offset, part)

		return complete
	}

	complete, _ := s.changes.add(rec.Offset, part)
	if complete == nil || !complete.Recovers || !complete.atIntendedOffset() {
		return nil
	}

	complete.Version = rec.Offset
	complete.Read = rec.Offset
	complete.AtMS = rec.At.UnixMilli()

	return complete
}

// resume ends the scan: head is in force at offset read, and the buffered records
// after it are processed in order.
func (r *replica) resume(read uint64) {
	buffered := r.scan.buffered
	r.scan = nil
	r.read = read
	r.changes = assembler{}
	r.snapshots = assembler{}

	for _, rec := range buffered {
		if rec.Offset > r.read {
			r.apply(rec)
		}
	}
}
