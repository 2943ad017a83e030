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
	// DefaultWait is how long a Reader's poll waits for a record.
	DefaultWait = 10 * time.Second
	// StragglerWindow is how long after a writer's last record a copy of an
	// earlier one is still recognised as a duplicate.
	StragglerWindow = time.Hour
)

// ReaderConfig says what a Reader reads and whom it tells.
type ReaderConfig struct {
	// Log is the service.
	Log Log
	// Stream is the stream to read.
	Stream string
	// From is the first offset to read; zero reads from the beginning.
	From uint64
	// Handle gets each record once and in order.
	Handle func(Record)
	// Restore replaces the state by a snapshot's; the records that follow what
	// it covers come next, also those that Handle had before. Nil passes over
	// snapshots.
	Restore func(data []byte) error
	// Gap is told that all before offset first is lost and that no snapshot
	// covers it; nil is told nothing. A later snapshot mends it.
	Gap func(first uint64)
	// Wait is how long a poll waits for a record; zero is DefaultWait.
	Wait time.Duration
	// Clock tells the time for Behind; nil is time.Now.
	Clock func() time.Time
	// Logger gets the Reader's events; its zero value drops them.
	Logger logr.Logger
}

// Reader follows one stream through outages of any length. Run is its duty.
type Reader struct {
	cfg  ReaderConfig
	down bool

	mu     sync.Mutex
	next   uint64
	first  uint64
	seen   map[uuid.UUID]mark
	parts  assembly
	mode   mode
	best   *found
	atEnd  time.Time
	synced bool
}

// mode is what a Reader is after.
type mode uint8

const (
	// following handles each record.
	following mode = iota
	// searching looks through all that is kept for the newest snapshot.
	searching
	// incomplete handles each record though earlier ones are lost, and takes
	// the next snapshot that covers them.
	incomplete
)

// found is a complete snapshot.
type found struct {
	covers uint64
	data   []byte
}

// NewReader returns a Reader for cfg. Nothing is read until Run.
func NewReader(cfg ReaderConfig) *Reader {
	cfg.Wait = positive(cfg.Wait, DefaultWait)

	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}

	return &Reader{
		cfg: cfg, next: max(cfg.From, 1), first: 1,
		seen: map[uuid.UUID]mark{}, parts: assembly{}, atEnd: cfg.Clock(),
	}
}

// Next returns the offset that the Reader handles next.
func (r *Reader) Next() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.next
}

// Behind returns how long ago the Reader last knew itself to be at the end of
// the stream; before it ever was, how long ago it was made.
func (r *Reader) Behind(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	return max(now.Sub(r.atEnd), 0)
}

// AtEnd returns when the Reader last knew itself to be at the end of the stream,
// and the oldest offset that the service kept then; false before it ever was.
func (r *Reader) AtEnd() (at time.Time, first uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.atEnd, r.first, r.synced
}

// Synced reports whether the Reader ever was at the end of the stream.
func (r *Reader) Synced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.synced
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	wait := newBackoff()

	for ctx.Err() == nil {
		if err := r.poll(ctx); err == nil {
			wait.Reset()
			r.reached()

			continue
		} else if ctx.Err() == nil {
			r.unreachable(err)
		}

		pause.For(ctx, wait.NextBackOff())
	}
}

func (r *Reader) reached() {
	if !r.down {
		return
	}

	r.down = false
	event.Log(r.cfg.Logger, event.JournalReached, "stream", r.cfg.Stream)
}

func (r *Reader) unreachable(err error) {
	if r.down {
		return
	}

	r.down = true
	behind := r.Behind(r.cfg.Clock())
	event.Fail(r.cfg.Logger, err, event.JournalUnreachable, "stream", r.cfg.Stream, "behind", behind.String())
}

// poll makes one call and handles what it brings.
func (r *Reader) poll(ctx context.Context) error {
	r.mu.Lock()
	from, wait := r.next, r.cfg.Wait

	if r.mode == searching {
		wait = 0
	}
	r.mu.Unlock()

	start := r.cfg.Clock()
	b, err := r.cfg.Log.Read(ctx, r.cfg.Stream, from, readMost, wait)

	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		r.trimmed(trimmed.First)

		return nil
	}

	if err != nil {
		return err
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	for _, rec := range b.Records {
		if !r.take(rec) {
			return nil
		}
	}

	r.first = max(b.First, r.first)

	if r.next < b.Next {
		return nil
	}

	if r.mode == searching {
		r.conclude()

		return nil
	}

	// The answer tells of the stream as it was when the service gave it, which a
	// process that was paused meanwhile may read much later. Only an empty poll
	// is known to have been answered after its wait.
	r.atEnd = start
	r.synced = true

	if len(b.Records) == 0 && r.cfg.Clock().Sub(start) >= wait {
		r.atEnd = start.Add(wait)
	}

	return nil
}

// trimmed starts to look for a snapshot, since records that are needed are gone.
func (r *Reader) trimmed(first uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	event.Log(r.cfg.Logger, event.JournalTrimmed, "stream", r.cfg.Stream, "wanted", r.next, "first", first)

	r.mode = searching
	r.first = first
	r.next = first
	r.best = nil
	r.parts = assembly{}
}

// take handles one record; false says that reading goes on elsewhere.
func (r *Reader) take(rec Record) bool {
	if rec.Offset < r.next {
		return true
	}

	r.next = rec.Offset + 1

	e, err := open(rec.Data)
	if err != nil {
		event.Fail(r.cfg.Logger, err, event.JournalBadRecord, "stream", r.cfg.Stream, "offset", rec.Offset)

		return true
	}

	if e.Part != nil {
		return r.takePart(e)
	}

	if r.mode == searching {
		return true
	}

	if m := r.seen[e.Writer]; e.Sequence <= m.Sequence {
		return true
	}

	r.seen[e.Writer] = mark{Sequence: e.Sequence, At: rec.At.UnixMilli()}
	rec.Data = e.Data
	r.cfg.Handle(rec)

	return true
}

// takePart keeps a part of a snapshot while one is needed.
func (r *Reader) takePart(e envelope) bool {
	if r.cfg.Restore == nil || r.mode == following {
		return true
	}

	data, ok := r.parts.add(e)
	if !ok || e.Part.Covers+1 < r.first {
		return true
	}

	if r.best == nil || r.best.covers <= e.Part.Covers {
		r.best = &found{covers: e.Part.Covers, data: data}
	}

	if r.mode == searching {
		return true
	}

	return !r.restore()
}

// conclude ends a search at the end of the stream.
func (r *Reader) conclude() {
	if r.best != nil && r.restore() {
		return
	}

	event.Log(r.cfg.Logger, event.JournalGap, "stream", r.cfg.Stream, "first", r.first)

	r.mode = incomplete
	r.next = r.first

	if r.cfg.Gap != nil {
		r.cfg.Gap(r.first)
	}
}

// restore takes the best snapshot found and goes on after what it covers.
func (r *Reader) restore() bool {
	best := r.best
	r.best = nil

	s, err := openSnapshot(best.data)
	if err == nil {
		err = r.cfg.Restore(s.Data)
	}

	if err != nil {
		event.Fail(r.cfg.Logger, err, event.JournalBadRecord, "stream", r.cfg.Stream, "covers", best.covers)

		return false
	}

	event.Log(r.cfg.Logger, event.JournalRestored, "stream", r.cfg.Stream, "covers", best.covers)

	r.seen = s.Seen
	if r.seen == nil {
		r.seen = map[uuid.UUID]mark{}
	}

	r.mode = following
	r.next = best.covers + 1
	r.parts = assembly{}

	return true
}
