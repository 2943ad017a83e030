// Package memory implements the log service in memory, for tests and experiments.
//
// It behaves as the platform's log service does and can be given the faults that
// a client of that service must tolerate. It keeps no state outside the process:
//
//	log := memory.New()
//	log.SetFaults(memory.Faults{Down: true})
package memory

import (
	"context"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

// Faults are the faults of a Log. The zero value is a service without faults.
type Faults struct {
	// Down makes every call fail with failure.LogUnavailable.
	Down bool
	// Unresponsive leaves every call without a response and without effect.
	Unresponsive bool
	// Delay is the time until a call takes effect. A caller times out after
	// CallTimeout, but its append takes effect all the same.
	Delay time.Duration
	// LoseResponse reports whether the response to append n is lost after the append
	// took effect; n counts the appends to all streams from 1. Nil loses none.
	LoseResponse func(n uint64) bool
	// DelayEffect returns the time until append n takes effect; if it is not zero,
	// the response is lost at once. Nil delays none.
	DelayEffect func(n uint64) time.Duration
}

// CallTimeout is how long a caller waits for a response, as the deadline of a
// journal.Client does.
const CallTimeout = 2 * time.Second

// Log is a log service in memory. It implements journal.Log and is safe for
// concurrent use. Use New.
type Log struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends uint64
	changed chan struct{}
}

type stream struct {
	first   uint64
	records []journal.Record
}

// New returns an empty Log.
func New() *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults and applies them to waiting reads too.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.faults = f
	l.notifyReaders()
}

// Appends returns the number of appends that took effect or will do so.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.appends
}

// Trim removes the records of a stream before offset first.
func (l *Log) Trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	if first <= s.first {
		return
	}

	n := min(int(first-s.first), len(s.records))
	s.records = s.records[n:]
	s.first += uint64(n)
}

// Records returns the records of a stream that were not trimmed.
func (l *Log) Records(name string) []journal.Record {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]journal.Record(nil), l.stream(name).records...)
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1}
		l.streams[name] = s
	}

	return s
}

func (l *Log) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append implements journal.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	effectDelay, err := l.beginCall(ctx)
	if err != nil {
		return 0, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++

	if l.faults.DelayEffect != nil {
		effectDelay = max(effectDelay, l.faults.DelayEffect(l.appends))
	}

	if effectDelay > 0 {
		copies := append([][]byte(nil), records...)

		time.AfterFunc(effectDelay, func() { l.appendLate(name, copies) })

		return 0, lostResponse()
	}

	offset := l.appendRecords(name, records)
	if l.faults.LoseResponse != nil && l.faults.LoseResponse(l.appends) {
		return 0, lostResponse()
	}

	return offset, nil
}

func (l *Log) appendLate(name string, records [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appendRecords(name, records)
}

func lostResponse() error {
	return failure.New(failure.OutcomeUnknown, "the response is lost")
}

func (l *Log) appendRecords(name string, records [][]byte) uint64 {
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))

	for i, b := range records {
		r := journal.Record{Offset: offset + uint64(i), At: time.Now(), Data: append([]byte(nil), b...)}
		s.records = append(s.records, r)
	}

	l.notifyReaders()

	return offset
}

// beginCall applies the faults to the start of a call. If the caller times out
// before the call takes effect, it returns the time that remains until then.
func (l *Log) beginCall(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()

	switch {
	case f.Unresponsive:
		_ = sleep(ctx, CallTimeout)

		return 0, lostResponse()
	case f.Down:
		return 0, failure.New(failure.LogUnavailable, "the log service is unavailable")
	case f.Delay > CallTimeout:
		return f.Delay - CallTimeout, sleep(ctx, CallTimeout)
	default:
		return 0, sleep(ctx, f.Delay)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "no response before the call ended")
	}
}

// Read implements journal.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, maxRecords int, wait time.Duration) (journal.Batch, error) {
	if effectDelay, err := l.beginCall(ctx); err != nil || effectDelay > 0 {
		return journal.Batch{}, failure.Wrap(failure.LogUnavailable, err, "no response to a read")
	}

	t := time.NewTimer(wait)
	defer t.Stop()

	for {
		b, changed, err := l.read(name, from, maxRecords)
		if err != nil || len(b.Records) > 0 || wait <= 0 {
			return b, err
		}

		select {
		case <-changed:
		case <-t.C:
			wait = 0
		case <-ctx.Done():
			return journal.Batch{}, failure.As(ctx.Err())
		}
	}
}

func (l *Log) read(name string, from uint64, maxRecords int) (journal.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.faults.Down {
		return journal.Batch{}, nil, failure.New(failure.LogUnavailable, "the log service is unavailable")
	}

	s := l.stream(name)
	if from < s.first {
		return journal.Batch{}, nil, &journal.TrimmedError{First: s.first}
	}

	b := journal.Batch{First: s.first, Next: s.first + uint64(len(s.records))}
	if from < b.Next {
		start := int(from - s.first)
		end := min(start+maxRecords, len(s.records))
		b.Records = append(b.Records, s.records[start:end]...)
	}

	return b, l.changed, nil
}
