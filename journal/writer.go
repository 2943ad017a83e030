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
	// DefaultInterval is the minimum time between two appends of a Writer.
	DefaultInterval = 50 * time.Millisecond
	// DefaultQueue is the capacity of a Writer's queue, in records.
	DefaultQueue = 1024
	// DefaultMaxBytes bounds the content of one append. Encoded in base64 it stays
	// below the 1 MiB that the service accepts.
	DefaultMaxBytes = 512 << 10
	// maxEnvelopeBytes is the size allowed for the envelope around a record's
	// content.
	maxEnvelopeBytes = 64
	// maxReadRecords is the maximum number of records per read.
	maxReadRecords = 512
	// initialBackoff and maxBackoff bound the backoff between attempts in an
	// outage.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	// Log is the log service.
	Log Log
	// Stream is the stream to append to.
	Stream string
	// Interval is the minimum time between two appends; records submitted in
	// between are batched into one append. Zero means DefaultInterval.
	Interval time.Duration
	// Limit is a rate limit on appends that several Writers may share; nil means
	// no limit.
	Limit *rate.Limiter
	// Queue is the capacity of the queue, in records; zero means DefaultQueue.
	Queue int
	// MaxBytes bounds the content of one append; zero means DefaultMaxBytes.
	MaxBytes int
	// Logger logs the Writer's events; the zero value discards them.
	Logger logr.Logger
}

// Writer appends records to one stream in batches. When the response to an
// append is lost, it reads the stream to find the outcome. Run does the work.
type Writer struct {
	cfg        WriterConfig
	id         uuid.UUID
	queue      *ring.Queue[*Pending]
	lastAppend time.Time
	searchFrom uint64
	sequence   uint64
	appends    atomic.Uint64

	mu      sync.Mutex
	stopped bool
}

// NewWriter returns a Writer for cfg. It appends nothing until Run is called.
func NewWriter(cfg WriterConfig) *Writer {
	cfg.Interval = positiveOr(cfg.Interval, DefaultInterval)
	cfg.Queue = positiveOr(cfg.Queue, DefaultQueue)
	cfg.MaxBytes = positiveOr(cfg.MaxBytes, DefaultMaxBytes)

	return &Writer{cfg: cfg, id: uuid.New(), queue: ring.New[*Pending](cfg.Queue)}
}

// ID returns the ID of this Writer in the envelopes of its records.
func (w *Writer) ID() uuid.UUID { return w.id }

// Appends returns the number of appends sent to the service, with retries.
func (w *Writer) Appends() uint64 { return w.appends.Load() }

// Append appends data and waits for the outcome: its offset or an error. After
// an error of kind failure.OutcomeUnknown the record may be in the stream or
// may still be appended; after any other error it was not and won't be. If ctx
// ends while the record is being sent, the Writer keeps trying to append it.
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
		return 0, failure.New(failure.LogUnavailable, "the call ended before the record was sent to the log")
	}

	select {
	case <-p.Done():
		return p.Offset()
	default:
		return 0, failure.New(failure.OutcomeUnknown, "the call ended before the outcome of the append was known")
	}
}

// Submit queues data without waiting for the outcome. Records are appended in
// the order of their submission. The error is failure.QueueFull when the queue
// is full, failure.TooLarge when data does not fit into one append, and
// failure.LogUnavailable when the Writer has stopped.
func (w *Writer) Submit(data []byte) (*Pending, error) {
	return w.submit(envelope{Writer: w.id, Data: data})
}

func (w *Writer) submit(e envelope) (*Pending, error) {
	if len(e.Data)+maxEnvelopeBytes > w.cfg.MaxBytes {
		return nil, failure.New(failure.TooLarge, "a record of %d bytes is too large for the log", len(e.Data))
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.stopped {
		return nil, failure.New(failure.LogUnavailable, "the writer has stopped")
	}

	p := &Pending{envelope: e, done: make(chan struct{})}
	if !w.queue.Offer(p) {
		return nil, failure.New(failure.QueueFull, "the queue of records for the log is full")
	}

	return p, nil
}

// Run appends the submitted records until ctx ends. Records that are then still
// queued certainly were not appended; for those sent without a response the
// outcome stays unknown.
func (w *Writer) Run(ctx context.Context) {
	defer w.stop()

	var overflow *Pending

	for ctx.Err() == nil {
		batch := w.collect(ctx, overflow)
		batch, overflow = w.splitOverflow(batch)
		w.deliver(ctx, batch)
	}

	if overflow != nil {
		overflow.resolve(0, failure.New(failure.LogUnavailable, "the writer has stopped"))
	}
}

// stop rejects the records in the queue and those submitted later.
func (w *Writer) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stopped = true

	for w.queue.Len() > 0 {
		p := <-w.queue.C()
		p.resolve(0, failure.New(failure.LogUnavailable, "the writer has stopped"))
	}
}

// collect waits for a record and until the next append is due, and returns the
// records submitted until then, up to one more than fit into one append.
func (w *Writer) collect(ctx context.Context, overflow *Pending) []*Pending {
	first := overflow
	if first == nil {
		p, ok := w.queue.Take(ctx)
		if !ok {
			return nil
		}

		first = p
	}

	batch := []*Pending{first}

	pause.For(ctx, time.Until(w.lastAppend.Add(w.cfg.Interval)))

	if w.cfg.Limit != nil {
		_ = w.cfg.Limit.Wait(ctx)
	}

	size := first.appendSize()
	for w.queue.Len() > 0 && size <= w.cfg.MaxBytes {
		p := <-w.queue.C()
		size += p.appendSize()
		batch = append(batch, p)
	}

	return batch
}

// splitOverflow removes the last record from batch, and returns it separately,
// if it makes the append too large.
func (w *Writer) splitOverflow(batch []*Pending) ([]*Pending, *Pending) {
	size := 0
	for _, p := range batch {
		size += p.appendSize()
	}

	n := len(batch) - 1
	if n < 1 || size <= w.cfg.MaxBytes {
		return batch, nil
	}

	return batch[:n], batch[n]
}

// deliver appends batch with retries until its outcome is known or ctx ends.
func (w *Writer) deliver(ctx context.Context, batch []*Pending) {
	wait := newBackoff()

	for {
		batch = w.dropCancelled(batch)
		if len(batch) == 0 {
			return
		}

		offset, err := w.appendOnce(ctx, batch)
		if err == nil {
			w.resolveBatch(batch, offset)

			return
		}

		if failure.KindOf(err) == failure.TooLarge {
			w.deliverHalves(ctx, batch, err)

			return
		}

		for _, p := range batch {
			p.endSending()
		}

		if !pause.For(ctx, wait.NextBackOff()) {
			abandon(batch, err)

			return
		}
	}
}

// dropCancelled removes the cancelled records from batch and marks the others as
// being sent.
func (w *Writer) dropCancelled(batch []*Pending) []*Pending {
	kept := batch[:0]

	for _, p := range batch {
		if p.startSending() {
			kept = append(kept, p)
		}
	}

	return kept
}

// appendOnce appends batch so that it counts once. While the outcome is unknown
// it looks the batch up in the stream and sends it again if it isn't there, so
// that an error means that the batch was not appended or that ctx ended.
func (w *Writer) appendOnce(ctx context.Context, batch []*Pending) (uint64, error) {
	if err := w.findEnd(ctx); err != nil {
		return 0, err
	}

	wait := newBackoff()

	for {
		offset, err := w.send(ctx, batch)
		if !batch[0].maybeAppended && (err == nil || failure.KindOf(err) != failure.OutcomeUnknown) {
			return offset, err
		}

		if err != nil {
			event.Fail(w.cfg.Logger, err, event.JournalAppendUnknown, "stream", w.cfg.Stream, "records", len(batch))
		}

		// After an attempt with an unknown outcome a success is looked up too: the
		// earlier attempt may have been appended first, and the first one counts.
		markMaybeAppended(batch)

		offset, found, err := w.lookUp(ctx, batch[0].envelope.Sequence)
		if err != nil {
			return 0, err
		}

		event.Log(w.cfg.Logger, event.JournalAppendResolved, "stream", w.cfg.Stream, "appended", found)

		if found {
			return offset, nil
		}

		if !pause.For(ctx, wait.NextBackOff()) {
			return 0, failure.New(failure.OutcomeUnknown, "the writer stopped before the outcome of an append was known")
		}
	}
}

// findEnd finds the end of the stream before the first append, so that an append
// whose response is lost can be looked up from there on.
func (w *Writer) findEnd(ctx context.Context) error {
	if w.searchFrom > 0 {
		return nil
	}

	b, err := w.cfg.Log.Read(ctx, w.cfg.Stream, 1, 1, 0)

	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		b, err = w.cfg.Log.Read(ctx, w.cfg.Stream, trimmed.First, 1, 0)
	}

	if err != nil {
		return failure.Wrap(failure.LogUnavailable, err, "the end of the stream could not be read")
	}

	w.searchFrom = max(b.Next, 1)

	return nil
}

// send sends batch to the service. Each record gets its sequence number when it
// is first sent and keeps it in retries.
func (w *Writer) send(ctx context.Context, batch []*Pending) (uint64, error) {
	records := make([][]byte, len(batch))

	for i, p := range batch {
		if p.envelope.Sequence == 0 {
			w.sequence++
			p.envelope.Sequence = w.sequence
		}

		records[i] = encodeEnvelope(p.envelope)
	}

	w.lastAppend = time.Now()
	w.appends.Add(1)

	return w.cfg.Log.Append(ctx, w.cfg.Stream, records)
}

// lookUp reads from searchFrom until it finds the record with this sequence
// number or reaches the end of the stream. It reports whether it found the
// record.
//
// A record that isn't there may still be appended later, when the service
// carries out an append late. Sending it again is safe all the same: it has the
// same sequence number, and readers drop the second copy.
func (w *Writer) lookUp(ctx context.Context, sequence uint64) (uint64, bool, error) {
	wait := newBackoff()

	for from := w.searchFrom; ; {
		b, err := w.cfg.Log.Read(ctx, w.cfg.Stream, from, maxReadRecords, 0)

		var trimmed *TrimmedError

		switch {
		case errors.As(err, &trimmed):
			from = max(trimmed.First, from+1)

			continue
		case err != nil:
			if !pause.For(ctx, wait.NextBackOff()) {
				return 0, false, failure.Wrap(failure.OutcomeUnknown, err, "the writer stopped before the outcome of an append was known")
			}

			continue
		}

		for _, r := range b.Records {
			e, err := decodeEnvelope(r.Data)
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

// resolveBatch sets the offsets of the records of batch.
func (w *Writer) resolveBatch(batch []*Pending, offset uint64) {
	w.searchFrom = max(w.searchFrom, offset+uint64(len(batch)))

	for i, p := range batch {
		p.resolve(offset+uint64(i), nil)
	}
}

// deliverHalves delivers in two halves a batch that the service rejected as too
// large. A single record that is too large gets err.
func (w *Writer) deliverHalves(ctx context.Context, batch []*Pending, err error) {
	if len(batch) == 1 {
		batch[0].resolve(0, err)

		return
	}

	for _, p := range batch {
		p.endSending()
	}

	n := len(batch) / 2
	w.deliver(ctx, batch[:n])
	w.deliver(ctx, batch[n:])
}

// abandon resolves the records that were not delivered when the Writer stops.
func abandon(batch []*Pending, err error) {
	for _, p := range batch {
		if p.maybeAppended {
			p.resolve(0, failure.Wrap(failure.OutcomeUnknown, err, "the writer stopped before the outcome of an append was known"))
		} else {
			p.resolve(0, failure.Wrap(failure.LogUnavailable, err, "the writer has stopped"))
		}
	}
}

func markMaybeAppended(batch []*Pending) {
	for _, p := range batch {
		p.maybeAppended = true
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff

	return b
}
