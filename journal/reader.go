package journal

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"boragehub/event"
	"boragehub/pause"
)

const (
	// DefaultWait is how long a Reader's read waits for a record.
	DefaultWait = 10 * time.Second
	// StragglerWindow is how long after a writer's newest record a late copy of
	// one of its records is still recognised as a duplicate.
	StragglerWindow = time.Hour
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	// Log is the log service.
	Log Log
	// Stream is the stream to read.
	Stream string
	// From is the first offset to read; zero reads from the beginning.
	From uint64
	// Handle is called once for each record, in order.
	Handle func(Record)
	// Restore replaces the state by that of a snapshot. Handle is then called for
	// the records after the offset that the snapshot covers, even for those that
	// it was called for before. If it returns an error, the snapshot is not used.
	// Nil ignores snapshots.
	Restore func(data []byte) error
	// Gap, if not nil, is called when the records before offset first are lost
	// and no snapshot covers them. The records from first on follow; a later
	// snapshot that covers the lost ones is restored.
	Gap func(first uint64)
	// Wait is how long a read waits for a record; zero means DefaultWait.
	Wait time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Logger logs the Reader's events; the zero value discards them.
	Logger logr.Logger
}

// Reader reads one stream continuously and recovers from outages of any length.
// Run does the work.
type Reader struct {
	cfg         ReaderConfig
	unreachable bool

	mu        sync.Mutex
	next      uint64
	first     uint64
	seen      map[uuid.UUID]newestRecord
	assembler snapshotAssembler
	mode      readMode
	newest    *completeSnapshot
	atEndTime time.Time
	synced    bool
}

// readMode says how a Reader treats the records that it reads.
type readMode uint8

const (
	// handlingAll handles each record; none is missing so far.
	handlingAll readMode = iota
	// findingSnapshot handles no records, but reads all that are kept to find the
	// newest snapshot.
	findingSnapshot
	// missingRecords handles each record although earlier ones are lost, and
	// restores the next snapshot that covers those.
	missingRecords
)

// completeSnapshot is a snapshot of which all parts were read.
type completeSnapshot struct {
	covers uint64
	data   []byte
}

// NewReader returns a Reader for cfg. It reads nothing until Run is called.
func NewReader(cfg ReaderConfig) *Reader {
	cfg.Wait = positiveOr(cfg.Wait, DefaultWait)

	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	return &Reader{
		cfg: cfg, next: max(cfg.From, 1), first: 1,
		seen: map[uuid.UUID]newestRecord{}, assembler: snapshotAssembler{}, atEndTime: cfg.Clock(),
	}
}

// Next returns the offset of the record that the Reader handles next.
func (r *Reader) Next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.next
}

// Behind returns the time from when the Reader was last known to be at the end
// of the stream until now; if it never was, the time since NewReader.
func (r *Reader) Behind(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return max(now.Sub(r.atEndTime), 0)
}

// AtEnd returns when the Reader was last known to be at the end of the stream,
// and the oldest offset that the service kept then; ok is false if it never was.
func (r *Reader) AtEnd() (at time.Time, first uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.atEndTime, r.first, r.synced
}

// Synced reports whether the Reader has reached the end of the stream at least
// once.
func (r *Reader) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.synced
}

// Run reads the stream until ctx ends, with a backoff between failed reads.
func (r *Reader) Run(ctx context.Context) {
	wait := newBackoff()

	for ctx.Err() == nil {
		if err := r.poll(ctx); err == nil {
			wait.Reset()
			r.logReached()

			continue
		} else if ctx.Err() == nil {
			r.logUnreachable(err)
		}

		pause.For(ctx, wait.NextBackOff())
	}
}

func (r *Reader) logReached() {
	if !r.unreachable {
		return
	}

	r.unreachable = false
	event.Log(r.cfg.Logger, event.JournalReached, "stream", r.cfg.Stream)
}

func (r *Reader) logUnreachable(err error) {
	if r.unreachable {
		return
	}

	r.unreachable = true
	behind := r.Behind(r.cfg.Clock())
	event.Fail(r.cfg.Logger, err, event.JournalUnreachable, "stream", r.cfg.Stream, "behind", behind.String())
}

// poll reads once and handles the records.
func (r *Reader) poll(ctx context.Context) error {
	r.mu.Lock()
	from, wait := r.next, r.cfg.Wait

	if r.mode == findingSnapshot {
		wait = 0
	}
	r.mu.Unlock()

	start := r.cfg.Clock()
	b, err := r.cfg.Log.Read(ctx, r.cfg.Stream, from, maxReadRecords, wait)

	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		r.startSearch(trimmed.First)

		return nil
	}

	if err != nil {
		return err
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	for _, rec := range b.Records {
		if !r.handleRecord(rec) {
			return nil
		}
	}

	r.first = max(b.First, r.first)

	if r.next < b.Next {
		return nil
	}

	if r.mode == findingSnapshot {
		r.finishSearch()

		return nil
	}

	// The response shows the stream as it was when the service sent it, but a
	// process that was paused may process it much later. The call's start is
	// thus the latest time for which the Reader is known to be at the end; only
	// an empty response is known to have been sent after the full wait.
	r.atEndTime = start
	r.synced = true

	if len(b.Records) == 0 && r.cfg.Clock().Sub(start) >= wait {
		r.atEndTime = start.Add(wait)
	}

	return nil
}

// startSearch starts to look for a snapshot, because records that the Reader
// needs were trimmed.
func (r *Reader) startSearch(first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	event.Log(r.cfg.Logger, event.JournalTrimmed, "stream", r.cfg.Stream, "wanted", r.next, "first", first)

	r.mode = findingSnapshot
	r.first = first
	r.next = first
	r.newest = nil
	r.assembler = snapshotAssembler{}
}

// handleRecord handles one record. It returns false when reading continues at
// another offset.
func (r *Reader) handleRecord(rec Record) bool {
	if rec.Offset < r.next {
		return true
	}

	r.next = rec.Offset + 1

	e, err := decodeEnvelope(rec.Data)
	if err != nil {
		event.Fail(r.cfg.Logger, err, event.JournalBadRecord, "stream", r.cfg.Stream, "offset", rec.Offset)

		return true
	}

	if e.Part != nil {
		return r.handlePart(e)
	}

	if r.mode == findingSnapshot {
		return true
	}

	if last := r.seen[e.Writer]; e.Sequence <= last.Sequence {
		return true
	}

	r.seen[e.Writer] = newestRecord{Sequence: e.Sequence, At: rec.At.UnixMilli()}
	rec.Data = e.Data
	r.cfg.Handle(rec)

	return true
}

// handlePart collects the parts of snapshots while a snapshot is needed. It
// returns false when it restored one, so that reading continues after the
// offset that it covers.
func (r *Reader) handlePart(e envelope) bool {
	if r.cfg.Restore == nil || r.mode == handlingAll {
		return true
	}

	data, ok := r.assembler.add(e)
	if !ok || e.Part.Covers+1 < r.first {
		return true
	}

	if r.newest == nil || r.newest.covers <= e.Part.Covers {
		r.newest = &completeSnapshot{covers: e.Part.Covers, data: data}
	}

	if r.mode == findingSnapshot {
		return true
	}

	return !r.restore()
}

// finishSearch ends the search for a snapshot at the end of the stream: it
// restores the newest one found, or reports a gap if there is none.
func (r *Reader) finishSearch() {
	if r.newest != nil && r.restore() {
		return
	}

	event.Log(r.cfg.Logger, event.JournalGap, "stream", r.cfg.Stream, "first", r.first)

	r.mode = missingRecords
	r.next = r.first

	if r.cfg.Gap != nil {
		r.cfg.Gap(r.first)
	}
}

// restore restores the newest snapshot found and continues after the offset that
// it covers. It returns false when that failed.
func (r *Reader) restore() bool {
	newest := r.newest
	r.newest = nil

	s, err := decodeSnapshot(newest.data)
	if err == nil {
		err = r.cfg.Restore(s.Data)
	}

	if err != nil {
		event.Fail(r.cfg.Logger, err, event.JournalBadRecord, "stream", r.cfg.Stream, "covers", newest.covers)

		return false
	}

	event.Log(r.cfg.Logger, event.JournalRestored, "stream", r.cfg.Stream, "covers", newest.covers)

	r.seen = s.Seen
	if r.seen == nil {
		r.seen = map[uuid.UUID]newestRecord{}
	}

	r.mode = handlingAll
	r.next = newest.covers + 1
	r.assembler = snapshotAssembler{}

	return true
}
