// Package memory is a log service inside the process, for tests and experiments.
//
// It behaves as the platform's log service does, with the faults of it that a
// client has to live with. It keeps no state outside of the process:
//
//	log := memory.New()
//	log.Set(memory.Faults{Down: true})
package memory

import (
	"context"
	"sync"
	"time"

	"boragehub/failure"
	"boragehub/journal"
)

// Faults are the switches of a Log. The zero value is a service in order.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Silent takes every call and never answers; nothing takes effect.
	Silent bool
	// Delay is how long each call takes before it has its effect. A caller gives
	// up after Patience; its append takes effect all the same.
	Delay time.Duration
	// Lose cuts the answer of this append, counted from 1 over all streams,
	// after it took effect. Nil loses none.
	Lose func(n uint64) bool
	// Late lets this append take effect only after a time, its answer being cut
	// at once. Nil delays none.
	Late func(n uint64) time.Duration
}

// Patience is how long a caller waits for an answer, as a client's deadline makes it.
const Patience = 2 * time.Second

// Log is a log service in memory. Use New.
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

// Set replaces the faults.
func (l *Log) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.faults = f
	l.wake()
}

// Appends returns how many appends took effect.
func (l *Log) Appends() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.appends
}

// Trim forgets the records of a stream before an offset.
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

// Records returns the records of a stream that are kept.
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

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Append implements journal.Log.
func (l *Log) Append(ctx context.Context, name string, records [][]byte) (uint64, error) {
	late, err := l.enter(ctx)
	if err != nil {
		return 0, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++

	if l.faults.Late != nil {
		late = max(late, l.faults.Late(l.appends))
	}

	if late > 0 {
		copies := append([][]byte(nil), records...)

		time.AfterFunc(late, func() { l.late(name, copies) })

		return 0, lostAnswer()
	}

	offset := l.put(name, records)
	if l.faults.Lose != nil && l.faults.Lose(l.appends) {
		return 0, lostAnswer()
	}

	return offset, nil
}

func (l *Log) late(name string, records [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.put(name, records)
}

func lostAnswer() error {
	return failure.New(failure.OutcomeUnknown, "the answer is lost")
}

func (l *Log) put(name string, records [][]byte) uint64 {
	s := l.stream(name)
	offset := s.first + uint64(len(s.records))

	for i, b := range records {
		r := journal.Record{Offset: offset + uint64(i), At: time.Now(), Data: append([]byte(nil), b...)}
		s.records = append(s.records, r)
	}

	l.wake()

	return offset
}

// enter lets a call in, as far as the faults allow. It returns how long the
// call's effect still takes when the caller has given up.
func (l *Log) enter(ctx context.Context) (time.Duration, error) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()

	switch {
	case f.Silent:
		_ = pause(ctx, Patience)

		return 0, lostAnswer()
	case f.Down:
		return 0, failure.New(failure.LogUnavailable, "the log is down")
	case f.Delay > Patience:
		return f.Delay - Patience, pause(ctx, Patience)
	default:
		return 0, pause(ctx, f.Delay)
	}
}

func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "no answer in time")
	}
}

// Read implements journal.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, most int, longest time.Duration) (journal.Batch, error) {
	if late, err := l.enter(ctx); err != nil || late > 0 {
		return journal.Batch{}, failure.Wrap(failure.LogUnavailable, err, "no answer to a read")
	}

	t := time.NewTimer(longest)
	defer t.Stop()

	for {
		b, changed, err := l.read(name, from, most)
		if err != nil || len(b.Records) > 0 || longest <= 0 {
			return b, err
		}

		select {
		case <-changed:
		case <-t.C:
			longest = 0
		case <-ctx.Done():
			return journal.Batch{}, failure.As(ctx.Err())
		}
	}
}

func (l *Log) read(name string, from uint64, most int) (journal.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.faults.Down {
		return journal.Batch{}, nil, failure.New(failure.LogUnavailable, "the log is down")
	}

	s := l.stream(name)
	if from < s.first {
		return journal.Batch{}, nil, &journal.TrimmedError{First: s.first}
	}

	b := journal.Batch{First: s.first, Next: s.first + uint64(len(s.records))}
	if from < b.Next {
		start := int(from - s.first)
		end := min(start+most, len(s.records))
		b.Records = append(b.Records, s.records[start:end]...)
	}

	return b, l.changed, nil
}
