package journal

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/pause"
)

// maxPartBytes bounds the content of one part of a snapshot.
const maxPartBytes = 256 << 10

// Snapshot is the encoded state of a stream as of an offset.
type Snapshot struct {
	covers uint64
	data   []byte
}

// Covers returns the offset of the last record that the snapshot includes.
func (s Snapshot) Covers() uint64 { return s.covers }

// Size returns the length of the snapshot in bytes.
func (s Snapshot) Size() int { return len(s.data) }

// Capture takes a snapshot of the state that results from the records handled
// so far. It calls state while no record is being handled. It returns false
// when the Reader lacks records itself, so that its state is incomplete.
func (r *Reader) Capture(state func() []byte) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.mode != handlingAll {
		return Snapshot{}, false
	}

	r.pruneWriters()

	b, err := cbor.Marshal(snapshot{Seen: r.seen, Data: state()})
	if err != nil {
		panic(err) // encoding this type can't fail
	}

	return Snapshot{covers: r.next - 1, data: b}, true
}

// pruneWriters removes the writers whose newest record is older than the newest
// of all by more than StragglerWindow.
func (r *Reader) pruneWriters() {
	newest := int64(0)
	for _, m := range r.seen {
		newest = max(newest, m.At)
	}

	for id, m := range r.seen {
		if newest-m.At > int64(StragglerWindow/time.Millisecond) {
			delete(r.seen, id)
		}
	}
}

// WriteSnapshot appends s in as many parts as it needs and waits for the outcome
// of the last one.
func (w *Writer) WriteSnapshot(ctx context.Context, s Snapshot) error {
	count := max((len(s.data)+maxPartBytes-1)/maxPartBytes, 1)

	var last *Pending

	for i := range count {
		data := s.data[i*maxPartBytes : min((i+1)*maxPartBytes, len(s.data))]
		e := envelope{Writer: w.id, Data: data, Part: &snapshotPart{Covers: s.covers, Index: i, Count: count}}

		p, err := w.submitPart(ctx, e)
		if err != nil {
			event.Fail(w.cfg.Logger, err, event.JournalSnapshotFailed, "stream", w.cfg.Stream)

			return err
		}

		last = p
	}

	select {
	case <-last.Done():
	case <-ctx.Done():
		return failure.As(ctx.Err())
	}

	if _, err := last.Offset(); err != nil {
		return err
	}

	event.Log(w.cfg.Logger, event.JournalSnapshotWritten, "stream", w.cfg.Stream,
		"covers", s.covers, "bytes", len(s.data))

	return nil
}

// submitPart submits e and waits while the queue is full, because a snapshot may
// have more parts than the queue takes.
func (w *Writer) submitPart(ctx context.Context, e envelope) (*Pending, error) {
	for {
		p, err := w.submit(e)
		if err == nil || failure.KindOf(err) != failure.QueueFull {
			return p, err
		}

		if !pause.For(ctx, w.cfg.Interval) {
			return nil, failure.As(ctx.Err())
		}
	}
}

func decodeSnapshot(b []byte) (snapshot, error) {
	var s snapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return snapshot{}, failure.Wrap(failure.BadMessage, err, "a snapshot could not be decoded")
	}

	return s, nil
}

// snapshotAssembler joins the parts of snapshots, one snapshot per writer at a
// time.
type snapshotAssembler map[uuid.UUID]*partialSnapshot

// partialSnapshot holds the parts of one snapshot that were read so far.
type partialSnapshot struct {
	covers   uint64
	parts    [][]byte
	received int
}

// add adds a part and returns the joined snapshot once it is complete. A part
// of another snapshot of the same writer discards the parts before it.
func (a snapshotAssembler) add(e envelope) ([]byte, bool) {
	p := a[e.Writer]
	if p == nil || p.covers != e.Part.Covers || len(p.parts) != e.Part.Count {
		p = &partialSnapshot{covers: e.Part.Covers, parts: make([][]byte, e.Part.Count)}
		a[e.Writer] = p
	}

	if p.parts[e.Part.Index] == nil {
		p.parts[e.Part.Index] = append([]byte{}, e.Data...)
		p.received++
	}

	if p.received < len(p.parts) {
		return nil, false
	}

	delete(a, e.Writer)

	var joined []byte
	for _, b := range p.parts {
		joined = append(joined, b...)
	}

	return joined, true
}
