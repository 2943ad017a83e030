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

// partBytes bounds one part of a snapshot.
const partBytes = 256 << 10

// Snapshot is the state of a stream as of an offset, ready to be written.
type Snapshot struct {
	covers uint64
	data   []byte
}

// Covers returns the last offset that the snapshot takes account of.
func (s Snapshot) Covers() uint64 { return s.covers }

// Size returns the length of the snapshot in bytes.
func (s Snapshot) Size() int { return len(s.data) }

// Capture takes a snapshot of the state that the records handled so far have
// made. It calls state while no record is handled. False says that the Reader
// itself lacks records, so that it has no state worth keeping.
func (r *Reader) Capture(state func() []byte) (Snapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.mode != following {
		return Snapshot{}, false
	}

	r.prune()

	b, err := cbor.Marshal(snapshot{Seen: r.seen, Data: state()})
	if err != nil {
		panic(err) // encoding this type can't fail
	}

	return Snapshot{covers: r.next - 1, data: b}, true
}

// prune forgets writers that have been silent for the StragglerWindow.
func (r *Reader) prune() {
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

// WriteSnapshot appends s in as many parts as it needs and waits for the last.
func (w *Writer) WriteSnapshot(ctx context.Context, s Snapshot) error {
	count := max((len(s.data)+partBytes-1)/partBytes, 1)

	var last *Pending

	for i := range count {
		data := s.data[i*partBytes : min((i+1)*partBytes, len(s.data))]
		e := envelope{Writer: w.id, Data: data, Part: &part{Covers: s.covers, Index: i, Count: count}}

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

// submitPart waits for room, since a snapshot may be larger than the queue.
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

func openSnapshot(b []byte) (snapshot, error) {
	var s snapshot
	if err := cbor.Unmarshal(b, &s); err != nil {
		return snapshot{}, failure.Wrap(failure.BadMessage, err, "a snapshot can't be understood")
	}

	return s, nil
}

// assembly puts the parts of snapshots together, one snapshot for each writer.
type assembly map[uuid.UUID]*pieces

// pieces are the parts of one snapshot that have come.
type pieces struct {
	covers uint64
	parts  [][]byte
	have   int
}

// add takes a part and returns the whole snapshot once it is complete.
func (a assembly) add(e envelope) ([]byte, bool) {
	p := a[e.Writer]
	if p == nil || p.covers != e.Part.Covers || len(p.parts) != e.Part.Count {
		p = &pieces{covers: e.Part.Covers, parts: make([][]byte, e.Part.Count)}
		a[e.Writer] = p
	}

	if p.parts[e.Part.Index] == nil {
		p.parts[e.Part.Index] = append([]byte{}, e.Data...)
		p.have++
	}

	if p.have < len(p.parts) {
		return nil, false
	}

	delete(a, e.Writer)

	var whole []byte
	for _, b := range p.parts {
		whole = append(whole, b...)
	}

	return whole, true
}
