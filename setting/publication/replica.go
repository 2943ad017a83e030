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

// verdict is what the log's order decided on one change.
type verdict struct {
	id     string
	offset uint64
	author string
	note   string
	at     time.Time
	based  uint64
	reason reason
	// inForce is the version in force at the offset before the change.
	inForce uint64
}

// reason says why a change is accepted or not.
type reason uint8

const (
	// accepted is the only reason for which a change comes into force.
	accepted reason = iota
	// reasonConflict is a change based on another version than the one in force.
	reasonConflict
	// reasonDamaged is a change that can't be read or results in another text than it says.
	reasonDamaged
	// reasonInterrupted is a change whose parts don't follow each other.
	reasonInterrupted
)

// String returns the snake-case name of r.
func (r reason) String() string {
	return [...]string{"accepted", "conflict", "damaged", "interrupted"}[r]
}

// replica folds the stream, record by record, into the version in force. It
// decides by offsets alone, never by what this release can read, so that all
// processes of all releases agree on the order. It isn't safe for concurrent use.
type replica struct {
	head head
	// read is an offset at which head is known to be in force.
	read uint64
	// changes and snapshots put records in parts together.
	changes   assembler
	snapshots assembler
	// whole is head's text deflated, once a peer has asked for it.
	whole []byte
	// steps lead to head, oldest first, for peers that lag a little.
	steps []step
	// scan is set while records are missing between read and what the log keeps.
	scan *scan
	// snapshot is the offset of the newest snapshot seen, and when it was written.
	snapshot   uint64
	snapshotAt time.Time
	// kept is the oldest offset that the log was seen to keep.
	kept uint64
	// decided is called for each verdict; may be nil.
	decided func(verdict)
	// diverged is called for a snapshot that differs from head; may be nil.
	diverged func(offset uint64)
}

// scan is the search for a snapshot in what the log still keeps.
type scan struct {
	start     uint64
	next      uint64
	waiting   []journal.Record
	bytes     int
	changes   assembler
	snapshots assembler
}

// Bounds on what a replica keeps.
const (
	maxSteps        = 256
	maxStepBytes    = 1 << 20
	maxWaitingBytes = 32 << 20
)

func newReplica() *replica {
	return &replica{head: head{hash: setting.HashOf(nil)}}
}

// from returns the offset to read next.
func (r *replica) from() uint64 {
	if r.scan != nil {
		return r.scan.next
	}

	return r.read + 1
}

// synced says that nothing is missing between head and what is read next.
func (r *replica) synced() bool { return r.scan == nil }

// sure returns the newest offset from which another process can read on with
// head alone, which is before the first part of a change that is still open.
func (r *replica) sure() uint64 {
	if r.changes.open != nil {
		return r.changes.open.start - 1
	}

	return r.read
}

// trimmed tells r that the log keeps nothing before first. What is missing may
// hold accepted changes, so head stays and r searches for a snapshot made after them.
func (r *replica) trimmed(first uint64) {
	if first <= r.from() {
		return
	}

	r.scan = &scan{start: first, next: first}
}

// feed takes the next record.
func (r *replica) feed(rec journal.Record) {
	switch {
	case rec.Offset < r.from():
		return
	case rec.Offset > r.from():
		r.trimmed(rec.Offset)
	}

	if r.scan != nil {
		r.search(rec)

		return
	}

	r.fold(rec)
}

// fold decides on a record that follows on what was read.
func (r *replica) fold(rec journal.Record) {
	r.read = rec.Offset

	one, ok := decodeRecord(rec.Data)
	if !ok {
		return
	}

	switch one.Kind {
	case changeRecord:
		whole, lost := r.changes.take(rec.Offset, one)
		if lost != nil {
			r.tell(rec, *lost, reasonInterrupted)
		}

		if whole != nil {
			r.decide(rec, *whole)
		}
	case snapshotRecord:
		if whole, _ := r.snapshots.take(rec.Offset, one); whole != nil {
			r.snapshot = rec.Offset
			r.snapshotAt = rec.At
			r.compare(rec.Offset, *whole)
		}
	}
}

// decide accepts or refuses a whole change.
func (r *replica) decide(rec journal.Record, one record) {
	fits := one.Based == r.head.version
	if one.Recovers {
		fits = one.inPlace()
	}

	if !fits {
		r.tell(rec, one, reasonConflict)

		return
	}

	var c content
	if err := decoding.Unmarshal(one.Payload, &c); err != nil {
		r.tell(rec, one, reasonDamaged)

		return
	}

	text, err := c.text(r.head.text, one.Hash)
	if err != nil {
		r.tell(rec, one, reasonDamaged)

		return
	}

	r.tell(rec, one, accepted)
	r.advance(head{
		version: rec.Offset, based: one.Based, author: one.Author, note: one.Note,
		at: rec.At, text: text, hash: setting.Hash(one.Hash),
	}, one.Payload)
}

// advance makes h the head, which payload leads to from the old one.
func (r *replica) advance(h head, payload []byte) {
	r.head = h
	r.whole = nil
	r.steps = bounded(append(r.steps, step{
		Version: h.version, Based: h.based, Author: h.author, Note: h.note,
		AtMS: h.at.UnixMilli(), Hash: h.hash[:], Payload: payload,
	}))
}

func (r *replica) tell(rec journal.Record, one record, why reason) {
	if r.decided == nil {
		return
	}

	r.decided(verdict{
		id: one.ID, offset: rec.Offset, author: one.Author, note: one.Note, at: rec.At,
		based: one.Based, reason: why, inForce: r.head.version,
	})
}

// compare checks a snapshot against head where both are of one version.
func (r *replica) compare(offset uint64, one record) {
	if one.Version == r.head.version && !bytes.Equal(one.Hash, r.head.hash[:]) && r.diverged != nil {
		r.diverged(offset)
	}
}

// search looks for a snapshot from which the kept records lead on.
func (r *replica) search(rec journal.Record) {
	s := r.scan
	s.next = rec.Offset + 1
	s.waiting = append(s.waiting, rec)
	s.bytes += len(rec.Data)

	// Without a bound a process that never finds a snapshot would fill its
	// memory. Starting later is safe: it only needs a later snapshot.
	for s.bytes > maxWaitingBytes {
		s.bytes -= len(s.waiting[0].Data)
		s.start = s.waiting[0].Offset + 1
		s.waiting = s.waiting[1:]
	}

	one := s.whole(rec)
	if one == nil {
		return
	}

	// A snapshot made before the first record that was seen leaves a gap in
	// which a change may have been accepted.
	if one.Read+1 < s.start {
		return
	}

	var c content
	if err := decoding.Unmarshal(one.Payload, &c); err != nil || !c.Whole {
		return
	}

	text, err := c.text(nil, one.Hash)
	if err != nil {
		return
	}

	if one.Kind == changeRecord {
		r.tell(rec, *one, accepted)
	}

	if one.Version > r.head.version {
		r.steps = nil
		r.whole = nil
		r.head = head{
			version: one.Version, based: one.Based, author: one.Author, note: one.Note,
			at: time.UnixMilli(one.AtMS), text: text, hash: setting.Hash(one.Hash),
		}
	}

	r.resume(one.Read)
}

// inPlace says whether a change that recovers stands where it was meant to.
func (r *record) inPlace() bool { return r.start == r.Based+1 }

// whole returns a snapshot, or a change that recovers, when rec completes it.
func (s *scan) whole(rec journal.Record) *record {
	part, ok := decodeRecord(rec.Data)
	if !ok {
		return nil
	}

	if part.Kind == snapshotRecord {
		one, _ := s.snapshots.take(rec.Offset, part)

		return one
	}

	one, _ := s.changes.take(rec.Offset, part)
	if one == nil || !one.Recovers || !one.inPlace() {
		return nil
	}

	one.Version = rec.Offset
	one.Read = rec.Offset
	one.AtMS = rec.At.UnixMilli()

	return one
}

// resume ends the search: head is in force at offset read, and the records
// seen after it are decided in order.
func (r *replica) resume(read uint64) {
	waiting := r.scan.waiting
	r.scan = nil
	r.read = read
	r.changes = assembler{}
	r.snapshots = assembler{}

	for _, rec := range waiting {
		if rec.Offset > r.read {
			r.fold(rec)
		}
	}
}
