package output

import (
	"bytes"
	"context"
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
