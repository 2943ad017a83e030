// Package output writes log lines without ever holding up whoever logs.
//
// # Model
//
// A Writer takes each line into a bounded ring, and one goroutine writes them out
// in batches. A reader of standard output that stops reading fills the ring;
// further lines are then left out and counted. So are lines over the budget of a
// second, so that a fault that makes every request log more doesn't take the
// processor from the requests. What was left out is told once a second.
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

// Config configures a Writer. Zero values get a default.
type Config struct {
	// To is where lines go.
	To io.Writer
	// Lines is how many wait at most: 4096 when zero, some 1.5 MB.
	Lines int
	// PerSecond is how many are taken a second: 3000 when zero. A request writes
	// two or three lines, and an entry serves some hundred requests a second.
	PerSecond int
}

// batchEvery is the pause between two writes.
const batchEvery = 20 * time.Millisecond

// Writer is an io.Writer for whole lines. Use New.
type Writer struct {
	cfg    Config
	lines  *ring.Ring[[]byte]
	second atomic.Int64 // the present second …
	taken  atomic.Int64 // … and the lines taken in it
	left   atomic.Int64 // lines left out since it was last told
	total  atomic.Int64
}

// New returns a Writer that Run writes out.
func New(cfg Config) *Writer {
	if cfg.Lines <= 0 {
		cfg.Lines = 4096
	}

	if cfg.PerSecond <= 0 {
		cfg.PerSecond = 3000
	}

	return &Writer{cfg: cfg, lines: ring.New[[]byte](cfg.Lines)}
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.within(time.Now()) || !w.lines.Offer(bytes.Clone(line)) {
		w.left.Add(1)
		w.total.Add(1)
	}

	return len(line), nil
}

// LeftOut returns how many lines were left out since the start.
func (w *Writer) LeftOut() int64 { return w.total.Load() }

// within reports whether the budget of the second of now has room.
func (w *Writer) within(now time.Time) bool {
	s := now.Unix()
	if old := w.second.Load(); old != s && w.second.CompareAndSwap(old, s) {
		w.taken.Store(0)
	}

	return w.taken.Add(1) <= int64(w.cfg.PerSecond)
}

// Run writes lines out until ctx ends, then what is left.
func (w *Writer) Run(ctx context.Context) {
	var told time.Time

	for pause.For(ctx, batchEvery) {
		w.flush()

		if now := time.Now(); now.Sub(told) >= time.Second {
			told = now
			w.tell(now)
		}
	}

	w.flush()
}

// flush writes the lines that wait in one go. An error of standard output can be
// told nowhere, and must not stop the process.
func (w *Writer) flush() {
	var batch []byte

	for range w.lines.Len() {
		batch = append(batch, <-w.lines.C()...)
	}

	if len(batch) > 0 {
		//nolint:errcheck,gosec // see above
		w.cfg.To.Write(batch)
	}
}

// tell says how many lines were left out.
func (w *Writer) tell(now time.Time) {
	n := w.left.Swap(0)
	if n == 0 {
		return
	}

	line := `{"level":"info","event":2320,"lines":` + strconv.FormatInt(n, 10) +
		`,"time":` + strconv.FormatInt(now.UnixMilli(), 10) + `,"message":"lines_left_out"}` + "\n"
	w.lines.Offer([]byte(line))
}
