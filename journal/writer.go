package journal

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/pause"
	"boragehub/ring"
)

const (
	// DefaultInterval is the least time between two appends of a Writer.
	DefaultInterval = 50 * time.Millisecond
	// DefaultQueue is how many records may wait in a Writer.
	DefaultQueue = 1024
	// DefaultMaxBytes bounds the content of one append. In base64 it stays
	// below the 1 MiB that the service takes.
	DefaultMaxBytes = 512 << 10
	// envelopeBytes is room for the envelope around a record's content.
	envelopeBytes = 64
	// readMost is how many records a call reads at once.
	readMost = 512
	// firstBackoff and lastBackoff bound the wait between tries in an outage.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// WriterConfig says what a Writer writes to and how often.
type WriterConfig struct {
	// Log is the service.
	Log Log
	// Stream is the stream to append to.
	Stream string
	// Interval is the least time between two appends; what comes meanwhile goes
	// in one append together. Zero is DefaultInterval.
	Interval time.Duration
	// Limit bounds the appends of several Writers together; nil bounds nothing.
	Limit *rate.Limiter
	// Queue is how many records may wait; zero is DefaultQueue.
	Queue int
	// MaxBytes bounds the content of one append; zero is DefaultMaxBytes.
	MaxBytes int
	// Logger gets the Writer's events; its zero value drops them.
	Logger logr.Logger
}

// Writer appends records to one stream, many in one append, and finds out what
// became of an append whose answer was lost. Run is its duty.
type Writer struct {
	cfg      WriterConfig
	id       uuid.UUID
	queue    *ring.Ring[*Pending]
	last     time.Time
	known    uint64
	sequence uint64
	appends  atomic.Uint64

	mu      sync.Mutex
	stopped bool
}

// NewWriter returns a Writer for cfg. Nothing is written until Run.
func NewWriter(cfg WriterConfig) *Writer {
	cfg.Interval = positive(cfg.Interval, DefaultInterval)
	cfg.Queue = positive(cfg.Queue, DefaultQueue)
	cfg.MaxBytes = positive(cfg.MaxBytes, DefaultMaxBytes)

	return &Writer{cfg: cfg, id: uuid.New(), queue: ring.New[*Pending](cfg.Queue)}
}

// ID identifies this Writer in the envelopes of its records.
func (w *Writer) ID() uuid.UUID { return w.id }

// Appends returns how many appends were sent to the service.
func (w *Writer) Appends() uint64 { return w.appends.Load() }

// Append appends data and waits for its outcome: the offset, or an error that
// is failure.OutcomeUnknown when the record may be or become part of the
// stream, and any other kind when it never will. When ctx ends first, the
// Writer goes on with a record whose outcome is unknown.
func (w *Writer) Append(ctx context.Context, data []byte) (uint64, error) {
	p, err := w.Submit(data)
	if err != nil {
		return 0, err
	}

	select {
	case <-p.Done():
		return p.Offset()
	case <-ctx.Done():
	}

	if p.Cancel() {
		return 0, failure.New(failure.LogUnavailable, "the record was not sent to the log in time")
	}

	select {
	case <-p.Done():
		return p.Offset()
	default:
		return 0, failure.New(failure.OutcomeUnknown, "it is not known yet whether the log took the record")
	}
}

// Submit queues data and returns at once. Records get into the stream in the
// order of their submission. A full queue is failure.QueueFull.
func (w *Writer) Submit(data []byte) (*Pending, error) {
	return w.submit(envelope{Writer: w.id, Data: data})
}

func (w *Writer) submit(e envelope) (*Pending, error) {
	if len(e.Data)+envelopeBytes > w.cfg.MaxBytes {
		return nil, failure.New(failure.TooLarge, "a record of %d bytes is too large for the log", len(e.Data))
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped {
		return nil, failure.New(failure.LogUnavailable, "the writer has stopped")
	}

	p := &Pending{envelope: e, done: make(chan struct{})}
	if !w.queue.Offer(p) {
		return nil, failure.New(failure.QueueFull, "too many records wait for the log")
	}

	return p, nil
}

// Run appends what is submitted until ctx ends. Records that then wait have
// certainly not been appended; of those sent without an answer it stays unknown.
func (w *Writer) Run(ctx context.Context) {
	defer w.stop()

	var rest *Pending

	for ctx.Err() == nil {
		batch := w.collect(ctx, rest)
		batch, rest = w.cut(batch)
		w.deliver(ctx, batch)
	}

	if rest != nil {
		rest.resolve(0, failure.New(failure.LogUnavailable, "the writer has stopped"))
	}
}

// stop refuses what waits and what comes later.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopped = true

	for w.queue.Len() > 0 {
		p := <-w.queue.C()
		p.resolve(0, failure.New(failure.LogUnavailable, "the writer has stopped"))
	}
}

// collect waits for a record and for the next append to be due, and returns
// what has come until then.
func (w *Writer) collect(ctx context.Context, rest *Pending) []*Pending {
	first := rest
	if first == nil {
		p, ok := w.queue.Take(ctx)
		if !ok {
			return nil
		}

		first = p
	}

	batch := []*Pending{first}

	pause.For(ctx, time.Until(w.last.Add(w.cfg.Interval)))

	if w.cfg.Limit != nil {
		_ = w.cfg.Limit.Wait(ctx)
	}

	size := first.size()
	for w.queue.Len() > 0 && size <= w.cfg.MaxBytes {
		p := <-w.queue.C()
		size += p.size()
		batch = append(batch, p)
	}

	return batch
}

// cut takes off the last record of batch when it makes the append too large.
func (w *Writer) cut(batch []*Pending) ([]*Pending, *Pending) {
	size := 0
	for _, p := range batch {
		size += p.size()
	}

	n := len(batch) - 1
	if n < 1 || size <= w.cfg.MaxBytes {
		return batch, nil
	}

	return batch[:n], batch[n]
}

// deliver appends batch and tries until its outcome is known or ctx ends.
func (w *Writer) deliver(ctx context.Context, batch []*Pending) {
	wait := newBackoff()

	for {
		batch = w.claim(batch)
		if len(batch) == 0 {
			return
		}

		offset, err := w.try(ctx, batch)
		if err == nil {
			w.settle(batch, offset)

			return
		}

		if failure.KindOf(err) == failure.TooLarge {
			w.halve(ctx, batch, err)

			return
		}

		for _, p := range batch {
			p.release()
		}

		if !pause.For(ctx, wait.NextBackOff()) {
			abandon(batch, err)

			return
		}
	}
}

// claim marks the records of batch as being sent and drops those cancelled.
func (w *Writer) claim(batch []*Pending) []*Pending {
	kept := batch[:0]

	for _, p := range batch {
		if p.take() {
			kept = append(kept, p)
		}
	}

	return kept
}

// try appends batch once. While the outcome of that is unknown it finds it out,
// so that an error means that the batch was not appended or that ctx ended.
func (w *Writer) try(ctx context.Context, batch []*Pending) (uint64, error) {
	if err := w.learn(ctx); err != nil {
		return 0, err
	}

	wait := newBackoff()

	for {
		offset, err := w.send(ctx, batch)
		if !batch[0].tainted && (err == nil || failure.KindOf(err) != failure.OutcomeUnknown) {
			return offset, err
		}

		if err != nil {
			event.Fail(w.cfg.Logger, err, event.JournalAppendUnknown, "stream", w.cfg.Stream, "records", len(batch))
		}

		// Also a success is looked up after a try of which nothing is known: that
		// one may have come first, and the first is the one that counts.
		taint(batch)

		offset, found, err := w.resolve(ctx, batch[0].envelope.Sequence)
		if err != nil {
			return 0, err
		}

		event.Log(w.cfg.Logger, event.JournalAppendResolved, "stream", w.cfg.Stream, "appended", found)

		if found {
			return offset, nil
		}

		if !pause.For(ctx, wait.NextBackOff()) {
			return 0, failure.New(failure.OutcomeUnknown, "the writer stopped before it knew")
		}
	}
}

// learn finds the end of the stream before the first append, so that a lost
// answer can be looked for from there on.
func (w *Writer) learn(ctx context.Context) error {
	if w.known > 0 {
		return nil
	}

	b, err := w.cfg.Log.Read(ctx, w.cfg.Stream, 1, 1, 0)

	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		b, err = w.cfg.Log.Read(ctx, w.cfg.Stream, trimmed.First, 1, 0)
	}

	if err != nil {
		return failure.Wrap(failure.LogUnavailable, err, "the end of the stream is not known")
	}

	w.known = max(b.Next, 1)

	return nil
}

// send makes the call. A record keeps the number that it gets here.
func (w *Writer) send(ctx context.Context, batch []*Pending) (uint64, error) {
	records := make([][]byte, len(batch))

	for i, p := range batch {
		if p.envelope.Sequence == 0 {
			w.sequence++
			p.envelope.Sequence = w.sequence
		}

		records[i] = seal(p.envelope)
	}

	w.last = time.Now()
	w.appends.Add(1)

	return w.cfg.Log.Append(ctx, w.cfg.Stream, records)
}

// resolve reads on from the last offset known until it finds the record with
// this sequence number or the end of the stream.
//
// A record that isn't there may still arrive later, when the service carries
// out late what it took. Sending it again is safe all the same: it bears the
// same number, and readers drop the second one.
func (w *Writer) resolve(ctx context.Context, sequence uint64) (uint64, bool, error) {
	wait := newBackoff()

	for from := w.known; ; {
		b, err := w.cfg.Log.Read(ctx, w.cfg.Stream, from, readMost, 0)

		var trimmed *TrimmedError

		switch {
		case errors.As(err, &trimmed):
			from = max(trimmed.First, from+1)

			continue
		case err != nil:
			if !pause.For(ctx, wait.NextBackOff()) {
				return 0, false, failure.Wrap(failure.OutcomeUnknown, err, "the writer stopped before it knew")
			}

			continue
		}

		for _, r := range b.Records {
			e, err := open(r.Data)
			if err == nil && e.Writer == w.id && e.Sequence == sequence {
				return r.Offset, true, nil
			}

			from = r.Offset + 1
		}

		if from >= b.Next || len(b.Records) == 0 {
			return 0, false, nil
		}
	}
}

// settle tells the records of batch their offsets.
func (w *Writer) settle(batch []*Pending, offset uint64) {
	w.known = max(w.known, offset+uint64(len(batch)))

	for i, p := range batch {
		p.resolve(offset+uint64(i), nil)
	}
}

// halve sends in two parts what is too large for the service in one.
func (w *Writer) halve(ctx context.Context, batch []*Pending, err error) {
	if len(batch) == 1 {
		batch[0].resolve(0, err)

		return
	}

	for _, p := range batch {
		p.release()
	}

	n := len(batch) / 2
	w.deliver(ctx, batch[:n])
	w.deliver(ctx, batch[n:])
}

// abandon resolves what the Writer can't bring to an end because it stops.
func abandon(batch []*Pending, err error) {
	for _, p := range batch {
		if p.tainted {
			p.resolve(0, failure.Wrap(failure.OutcomeUnknown, err, "the writer stopped before it knew"))
		} else {
			p.resolve(0, failure.Wrap(failure.LogUnavailable, err, "the writer has stopped"))
		}
	}
}

func taint(batch []*Pending) {
	for _, p := range batch {
		p.tainted = true
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = lastBackoff

	return b
}
