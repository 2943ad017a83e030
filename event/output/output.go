// Package output writes log lines without blocking the caller.
//
// # Model
//
// A Writer puts each line into a bounded ring, and one goroutine writes the lines in
// batches. If the reader of standard output stops reading, the ring fills up and
// further lines are dropped and counted. So are lines over a limit per second, so
// that a fault that makes every request log more does not take CPU time from the
// requests. The number of dropped lines is logged at most once a second.
//
//	w := output.New(output.Config{To: os.Stdout})
//	go w.Run(ctx)
package output

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"boragehub/pause"
	"boragehub/ring"
)

// Config configures a Writer. Zero limits use a default.
type Config struct {
	// To is the destination of the lines.
	To io.Writer
	// MaxLines is the capacity of the ring in lines; zero is 4096, about 1.5 MB. MaxBytes bounds what they take, and
	// the longest line is a hundredth of it; zero is 4 MiB.
	MaxLines, MaxBytes int
	// MaxLinesPerSecond is the limit of lines accepted per second; zero is 3000. A
	// request writes two or three lines, and an entry serves some hundred requests a
	// second.
	MaxLinesPerSecond int
}

// flushInterval is the time between two batches.
const flushInterval = 20 * time.Millisecond

// Writer is an io.Writer for complete lines. Use New.
type Writer struct {
	cfg          Config
	lines        *ring.Queue[[]byte]
	bytes        atomic.Int64 // of the lines in the ring
	budgetSecond atomic.Int64 // the second that budgetUsed counts, in Unix seconds
	budgetUsed   atomic.Int64 // lines written in that second, dropped ones included
	unreported   atomic.Int64 // lines dropped since the last report
	dropped      atomic.Int64 // lines dropped since the start
}

// New returns a Writer; lines reach cfg.To only while Run runs.
func New(cfg Config) *Writer {
	if cfg.MaxLines <= 0 {
		cfg.MaxLines = 4096
	}

	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = 4 << 20
	}

	if cfg.MaxLinesPerSecond <= 0 {
		cfg.MaxLinesPerSecond = 3000
	}

	return &Writer{cfg: cfg, lines: ring.New[[]byte](cfg.MaxLines)}
}

// Write accepts or drops one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.withinBudget(time.Now()) || !w.offer(line) {
		w.unreported.Add(1)
		w.dropped.Add(1)
	}

	return len(line), nil
}

// maxLinePart is the part of Config.MaxBytes that one line may take.
const maxLinePart = 100

// offer puts a line into the ring and reports whether it fits.
func (w *Writer) offer(line []byte) bool {
	n := int64(len(line))
	if n > int64(w.cfg.MaxBytes/maxLinePart) {
		return false
	}

	if w.bytes.Add(n) > int64(w.cfg.MaxBytes) || !w.lines.Offer(bytes.Clone(line)) {
		w.bytes.Add(-n)

		return false
	}

	return true
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// withinBudget counts a line and reports whether it is within the limit of the current
// second.
func (w *Writer) withinBudget(now time.Time) bool {
	s := now.Unix()
	if old := w.budgetSecond.Load(); old != s && w.budgetSecond.CompareAndSwap(old, s) {
		w.budgetUsed.Store(0)
	}

	return w.budgetUsed.Add(1) <= int64(w.cfg.MaxLinesPerSecond)
}

// Run writes lines in batches until ctx ends, and then the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	var lastReport time.Time

	for pause.For(ctx, flushInterval) {
		w.flush()

		if now := time.Now(); now.Sub(lastReport) >= time.Second {
			lastReport = now
			w.reportDropped(now)
		}
	}

	w.flush()
}

// maxBatchBytes is the size of a batch above which no line is added. A pipe takes as much in one piece
// (PIPE_BUF), so that a reader that is slow or shared by several processes gets whole lines.
const maxBatchBytes = 4 << 10

// flush writes the lines in the ring in batches of whole lines.
func (w *Writer) flush() {
	var (
		batch []byte
		lines int64
	)

	for range w.lines.Len() {
		line := <-w.lines.C()
		w.bytes.Add(-int64(len(line)))

		if len(batch)+len(line) > maxBatchBytes {
			w.writeBatch(batch, lines)

			batch, lines = batch[:0], 0
		}

		batch = append(batch, line...)
		lines++
	}

	w.writeBatch(batch, lines)
}

// writeBatch writes a batch of so many lines. An error of standard output must not stop the process; the lines
// count as dropped, also those of them that were written.
func (w *Writer) writeBatch(batch []byte, lines int64) {
	if len(batch) == 0 {
		return
	}

	if _, err := w.cfg.To.Write(batch); err != nil {
		w.unreported.Add(lines)
		w.dropped.Add(lines)
	}
}

// reportDropped queues an event with the number of lines dropped since the last one.
func (w *Writer) reportDropped(now time.Time) {
	n := w.unreported.Swap(0)
	if n == 0 {
		return
	}

	line := `{"level":"info","event":2320,"lines":` + strconv.FormatInt(n, 10) +
		`,"time":` + strconv.FormatInt(now.UnixMilli(), 10) + `,"message":"lines_left_out"}` + "\n"
	w.lines.Offer([]byte(line))
}
