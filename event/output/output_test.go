package output

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks each Write until gate is closed, like standard output whose
// reader has stopped.
type blockedWriter struct{ gate chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.gate

	return len(b), nil
}

// The reader of standard output stops reading. Logging must not block requests; lines
// that can't be written are dropped and counted.
func TestStoppedReaderDoesNotBlockWrite(t *testing.T) {
	gate := make(chan struct{})
	w := New(Config{To: blockedWriter{gate}, MaxLines: 10, MaxLinesPerSecond: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())

	var running sync.WaitGroup

	running.Go(func() { w.Run(ctx) })

	for range 5000 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("got %d %v", n, err)
		}
	}

	if w.Dropped() == 0 {
		t.Error("got no line dropped, want most of them")
	}

	close(gate)
	cancel()
	running.Wait()
}

func TestLinesOverBudgetAreDroppedAndReported(t *testing.T) {
	var out bytes.Buffer

	w := New(Config{To: &out, MaxLinesPerSecond: 3})
	now := time.Unix(100, 0)
	passed := 0

	for range 10 {
		if w.withinBudget(now) {
			passed++
		}
	}

	if passed != 3 {
		t.Errorf("got %d lines in a second, want 3", passed)
	}

	if !w.withinBudget(now.Add(time.Second)) {
		t.Error("got a line dropped in the next second, want it accepted")
	}

	w.unreported.Store(7)
	w.reportDropped(now)
	w.flush()

	if got := out.String(); !strings.Contains(got, `"lines":7`) || !strings.Contains(got, `"event":2320`) {
		t.Errorf("got %q, want 7 dropped lines reported", got)
	}
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer

	w := New(Config{To: &out})
	for _, l := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(l))
	}

	w.flush()

	if got, want := out.String(), "a\nb\nc\n"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// pipe takes so many bytes in one piece and fails a longer write after them, and every write while it is full.
type pipe struct {
	bytes.Buffer
	full bool
}

func (p *pipe) Write(b []byte) (int, error) {
	if p.full {
		return 0, io.ErrShortWrite
	}

	n := min(len(b), maxBatchBytes)
	_, _ = p.Buffer.Write(b[:n])

	if n < len(b) {
		return n, io.ErrShortWrite
	}

	return n, nil
}

// Guards against lines that are lost without a trace when a process that was paused writes many at once, as those that say
// what it freed were.
func TestManyLinesAreWrittenWhole(t *testing.T) {
	var p pipe

	w := New(Config{To: &p})
	want := ""

	for i := range 200 {
		line := fmt.Sprintf("%0*d\n", 300+i, i)
		want += line
		_, _ = w.Write([]byte(line))
	}

	w.flush()

	if got := p.String(); got != want {
		t.Errorf("got %d bytes, want %d", len(got), len(want))
	}

	p.full = true
	_, _ = w.Write([]byte("lost\n"))
	w.flush()

	if got := w.Dropped(); got != 1 {
		t.Errorf("got %d lines counted as dropped, want 1", got)
	}
}

// Guards against a process that runs out of memory by long lines which nobody reads, and against one long line that
// keeps others out.
func TestMemoryOfLinesIsBounded(t *testing.T) {
	const limit = 1 << 20

	w := New(Config{To: io.Discard, MaxBytes: limit, MaxLinesPerSecond: 1 << 20})
	line := bytes.Repeat([]byte{'x'}, 10<<10)

	for range 1000 {
		_, _ = w.Write(line)
	}

	if got := w.bytes.Load(); got > limit || got < limit-int64(len(line)) {
		t.Errorf("got %d bytes held, want up to %d", got, limit)
	}

	w.flush()

	if got := w.bytes.Load(); got != 0 {
		t.Errorf("got %d bytes held behind the flush, want none", got)
	}

	before := w.Dropped()
	_, _ = w.Write(bytes.Repeat(line, 2))
	_, _ = w.Write([]byte("short\n"))

	if got := w.Dropped() - before; got != 1 {
		t.Errorf("got %d lines dropped, want the long one alone", got)
	}
}
