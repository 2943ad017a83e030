package journal_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal"
	"boragehub/journal/memory"
)

// list is a state that depends on every record and on their order.
type list struct {
	mu    sync.Mutex
	text  strings.Builder
	gaps  int
	taken int
}

func (l *list) handle(r journal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.WriteString(string(r.Data))
	l.text.WriteByte(' ')
}

func (l *list) restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.Reset()
	l.text.Write(b)
	l.taken++

	return nil
}

func (l *list) gap(uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.Reset()
	l.gaps++
}

func (l *list) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.String()
}

func (l *list) reader(log journal.Log) *journal.Reader {
	return journal.NewReader(journal.ReaderConfig{
		Log: log, Stream: stream, Handle: l.handle, Restore: l.restore, Gap: l.gap,
	})
}

// cutOff is a log that one process can't reach at times.
type cutOff struct {
	journal.Log
	cut atomic.Bool
}

func (c *cutOff) Read(ctx context.Context, s string, from uint64, most int, wait time.Duration) (journal.Batch, error) {
	if c.cut.Load() {
		return journal.Batch{}, failure.New(failure.LogUnavailable, "cut off")
	}

	return c.Log.Read(ctx, s, from, most, wait)
}

// lateBy is how long some appends take to take effect after their sender gave up.
const lateBy = 3 * time.Second

// chunk makes a record large enough for snapshots of several parts.
const chunk = 20 << 10

// retain plays a stream whose records are forgotten once a snapshot covers them,
// while one reader is there, one is cut off at times and one comes at the end.
func retain(ctx context.Context, steps []int) error {
	var wg sync.WaitGroup

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	lost := &cutOff{Log: log}
	w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
	keeper, away, late := &list{}, &list{}, &list{}
	r := keeper.reader(log)

	wg.Go(func() { w.Run(ctx) })
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { away.reader(lost).Run(ctx) })

	for i, step := range steps {
		if err := retainStep(ctx, i, step, log, lost, w, r, keeper); err != nil {
			cancel()
			wg.Wait()

			return err
		}

		time.Sleep(time.Second)
	}

	time.Sleep(2 * lateBy)
	log.Set(memory.Faults{})
	lost.cut.Store(false)
	wg.Go(func() { late.reader(log).Run(ctx) })
	time.Sleep(time.Minute)
	cancel()
	wg.Wait()

	for name, l := range map[string]*list{"cut off": away, "late": late} {
		if l.gaps > 0 || l.String() != keeper.String() {
			return fmt.Errorf("reader that was %s: got %d bytes and %d gaps, want %d bytes and none",
				name, len(l.String()), l.gaps, len(keeper.String()))
		}
	}

	return nil
}

// The things that may happen to a stream.
const (
	stepAppend = iota
	stepSnapshot
	stepTrim
	stepCut
	stepLate
	steps
)

func retainStep(
	ctx context.Context, i, step int, log *memory.Log, lost *cutOff,
	w *journal.Writer, r *journal.Reader, keeper *list,
) error {
	switch step {
	case stepAppend:
		_, err := w.Append(ctx, []byte(fmt.Sprintf("%d%s", i, strings.Repeat(".", chunk))))

		return err
	case stepSnapshot, stepTrim:
		s, ok := r.Capture(func() []byte { return []byte(keeper.String()) })
		if !ok {
			return errors.New("capture: got none, want a snapshot")
		}

		if err := w.WriteSnapshot(ctx, s); err != nil {
			return err
		}

		if step == stepTrim {
			log.Trim(stream, s.Covers()+1)
		}
	case stepLate:
		log.Set(memory.Faults{Late: func(n uint64) time.Duration { return time.Duration(n%2) * lateBy }})
	case stepCut:
		lost.cut.Store(!lost.cut.Load())
	}

	return nil
}

// The log forgets records while a reader is cut off, or before it has started.
// A reader that went on with what is left would act on half of the state: an
// operator would see a setting revert, a caller a booking made twice.
func TestSnapshotsOutliveRetention(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, steps-1), 1, 40).Draw(rt, "steps")

		var err error

		synctest.Test(t, func(t *testing.T) { err = retain(t.Context(), drawn) })

		if err != nil {
			rt.Fatal(err)
		}
	})
}

// All that tells of a state is forgotten and no snapshot was written. The reader
// says so, and a snapshot that comes later mends it.
func TestGapIsToldAndMended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup

		ctx, cancel := context.WithCancel(t.Context())
		log := memory.New()
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		keeper, late := &list{}, &list{}
		r := keeper.reader(log)

		wg.Go(func() { w.Run(ctx) })
		wg.Go(func() { r.Run(ctx) })

		for _, text := range []string{"a", "b", "c"} {
			if _, err := w.Append(ctx, []byte(text)); err != nil {
				t.Fatal(err)
			}
		}

		log.Trim(stream, 3)
		wg.Go(func() { late.reader(log).Run(ctx) })
		time.Sleep(time.Second)

		if got, want := late.String(), "c "; got != want || late.gaps != 1 {
			t.Errorf("after the gap: got %q and %d gaps, want %q and 1", got, late.gaps, want)
		}

		s, _ := r.Capture(func() []byte { return []byte(keeper.String()) })
		if err := w.WriteSnapshot(ctx, s); err != nil {
			t.Fatal(err)
		}

		time.Sleep(time.Second)

		if got, want := late.String(), "a b c "; got != want {
			t.Errorf("after the snapshot: got %q, want %q", got, want)
		}

		cancel()
		wg.Wait()
	})
}

// A snapshot was captured, then held up, and what came between is forgotten. A
// reader that took it would lack a record and not know.
func TestSnapshotThatLeavesAGapIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup

		ctx, cancel := context.WithCancel(t.Context())
		log := memory.New()
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		keeper, late := &list{}, &list{}
		r := keeper.reader(log)

		wg.Go(func() { w.Run(ctx) })
		wg.Go(func() { r.Run(ctx) })

		add := func(text string) {
			if _, err := w.Append(ctx, []byte(text)); err != nil {
				t.Fatal(err)
			}
		}

		add("a")
		time.Sleep(time.Second)

		s, _ := r.Capture(func() []byte { return []byte(keeper.String()) })

		add("b")

		if err := w.WriteSnapshot(ctx, s); err != nil {
			t.Fatal(err)
		}

		add("c")
		log.Trim(stream, 3)
		wg.Go(func() { late.reader(log).Run(ctx) })
		time.Sleep(time.Second)

		if got, want := late.String(), "c "; got != want || late.gaps != 1 || late.taken != 0 {
			t.Errorf("got %q, %d gaps, %d snapshots taken, want %q, 1 and 0", got, late.gaps, late.taken, want)
		}

		cancel()
		wg.Wait()
	})
}
