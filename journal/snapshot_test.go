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

// textState is a state that depends on every record and on the order of the
// records. It counts the gaps and the snapshots restored.
type textState struct {
	mu       sync.Mutex
	text     strings.Builder
	gaps     int
	restored int
}

func (l *textState) handle(r journal.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.WriteString(string(r.Data))
	l.text.WriteByte(' ')
}

func (l *textState) restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.Reset()
	l.text.Write(b)
	l.restored++

	return nil
}

func (l *textState) gap(uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.text.Reset()
	l.gaps++
}

func (l *textState) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.text.String()
}

func (l *textState) reader(log journal.Log) *journal.Reader {
	return journal.NewReader(journal.ReaderConfig{
		Log: log, Stream: stream, Handle: l.handle, Restore: l.restore, Gap: l.gap,
	})
}

// partitionedLog is a log whose reads fail while it is partitioned from one
// reader.
type partitionedLog struct {
	journal.Log
	partitioned atomic.Bool
}

func (c *partitionedLog) Read(ctx context.Context, s string, from uint64, maxRecords int, wait time.Duration) (journal.Batch, error) {
	if c.partitioned.Load() {
		return journal.Batch{}, failure.New(failure.LogUnavailable, "network partition")
	}

	return c.Log.Read(ctx, s, from, maxRecords, wait)
}

// appendDelay is the time until a delayed append takes effect after its response
// was lost.
const appendDelay = 3 * time.Second

// paddingBytes makes records large enough that snapshots have several parts.
const paddingBytes = 20 << 10

// runRetention runs a stream whose records are trimmed once a snapshot covers
// them. One reader runs continuously, one is partitioned from the log at times,
// and one starts at the end. It returns an error if the states of the readers
// differ.
func runRetention(ctx context.Context, steps []int) error {
	var wg sync.WaitGroup

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	partitionable := &partitionedLog{Log: log}
	w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
	continuous, interrupted, late := &textState{}, &textState{}, &textState{}
	r := continuous.reader(log)

	wg.Go(func() { w.Run(ctx) })
	wg.Go(func() { r.Run(ctx) })
	wg.Go(func() { interrupted.reader(partitionable).Run(ctx) })

	for i, step := range steps {
		if err := runStep(ctx, i, step, log, partitionable, w, r, continuous); err != nil {
			cancel()
			wg.Wait()

			return err
		}

		time.Sleep(time.Second)
	}

	time.Sleep(2 * appendDelay)
	log.SetFaults(memory.Faults{})
	partitionable.partitioned.Store(false)
	wg.Go(func() { late.reader(log).Run(ctx) })
	time.Sleep(time.Minute)
	cancel()
	wg.Wait()

	for name, l := range map[string]*textState{"temporarily partitioned": interrupted, "late": late} {
		if l.gaps > 0 || l.String() != continuous.String() {
			return fmt.Errorf("%s reader: got %d bytes and %d gaps, want %d bytes and none",
				name, len(l.String()), l.gaps, len(continuous.String()))
		}
	}

	return nil
}

// The steps of a test run.
const (
	stepAppend = iota
	stepSnapshot
	stepTrim
	stepPartition
	stepDelay
	stepCount
)

func runStep(
	ctx context.Context, i, step int, log *memory.Log, partitionable *partitionedLog,
	w *journal.Writer, r *journal.Reader, continuous *textState,
) error {
	switch step {
	case stepAppend:
		_, err := w.Append(ctx, []byte(fmt.Sprintf("%d%s", i, strings.Repeat(".", paddingBytes))))

		return err
	case stepSnapshot, stepTrim:
		s, ok := r.Capture(func() []byte { return []byte(continuous.String()) })
		if !ok {
			return errors.New("capture: got none, want a snapshot")
		}

		if err := w.WriteSnapshot(ctx, s); err != nil {
			return err
		}

		if step == stepTrim {
			log.Trim(stream, s.Covers()+1)
		}
	case stepDelay:
		log.SetFaults(memory.Faults{DelayEffect: func(n uint64) time.Duration { return time.Duration(n%2) * appendDelay }})
	case stepPartition:
		partitionable.partitioned.Store(!partitionable.partitioned.Load())
	}

	return nil
}

// The log trims records while a reader is partitioned from it, or before the
// reader starts. A reader that went on without a snapshot would act on a part of
// the state: a setting would revert, or a caller's booking be made twice.
func TestSnapshotsOutliveRetention(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.IntRange(0, stepCount-1), 1, 40).Draw(rt, "steps")

		var err error

		synctest.Test(t, func(t *testing.T) { err = runRetention(t.Context(), drawn) })

		if err != nil {
			rt.Fatal(err)
		}
	})
}

// The log trims records before a snapshot covers them. The reader must report
// the gap and restore the complete state from a later snapshot.
func TestGapIsReportedAndLaterRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup

		ctx, cancel := context.WithCancel(t.Context())
		log := memory.New()
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		continuous, late := &textState{}, &textState{}
		r := continuous.reader(log)

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

		s, _ := r.Capture(func() []byte { return []byte(continuous.String()) })
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

// A snapshot is captured, a record is appended before it is written, and the log
// trims that record. A reader that restored the snapshot would lack the record
// without noticing.
func TestSnapshotThatLeavesGapIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup

		ctx, cancel := context.WithCancel(t.Context())
		log := memory.New()
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		continuous, late := &textState{}, &textState{}
		r := continuous.reader(log)

		wg.Go(func() { w.Run(ctx) })
		wg.Go(func() { r.Run(ctx) })

		appendText := func(text string) {
			if _, err := w.Append(ctx, []byte(text)); err != nil {
				t.Fatal(err)
			}
		}

		appendText("a")
		time.Sleep(time.Second)

		s, _ := r.Capture(func() []byte { return []byte(continuous.String()) })

		appendText("b")

		if err := w.WriteSnapshot(ctx, s); err != nil {
			t.Fatal(err)
		}

		appendText("c")
		log.Trim(stream, 3)
		wg.Go(func() { late.reader(log).Run(ctx) })
		time.Sleep(time.Second)

		if got, want := late.String(), "c "; got != want || late.gaps != 1 || late.restored != 0 {
			t.Errorf("got %q, %d gaps, %d snapshots restored, want %q, 1 and 0", got, late.gaps, late.restored, want)
		}

		cancel()
		wg.Wait()
	})
}
