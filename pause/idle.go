package pause

import (
	"context"
	"io"
	"sync"
	"time"
)

// idleTimeoutKey is the context key of an idleTimeout.
type idleTimeoutKey struct{}

// idleTimeout cancels a context when no progress is reported for a time.
type idleTimeout struct {
	timer    *time.Timer
	idle     time.Duration // maximum time without progress
	deadline time.Time     // end of the context regardless of progress
	parent   *idleTimeout  // of the enclosing context, nil for none

	mu      sync.Mutex
	stopped bool
}

// WithIdleTimeout returns a context that is cancelled when no progress was reported for
// idle (see ReportProgress), or after total in any case.
//
// A fixed timeout for a whole transfer has to be long enough for the largest message
// over the slowest link, and is then too long to detect an unresponsive connection. One
// that is too short is worse: a large message is restarted on each retry, uses the
// link's bandwidth and never arrives.
func WithIdleTimeout(ctx context.Context, idle, total time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	parent, _ := ctx.Value(idleTimeoutKey{}).(*idleTimeout)
	t := &idleTimeout{idle: idle, deadline: time.Now().Add(total), parent: parent}
	t.timer = time.AfterFunc(min(idle, total), cancel)

	return context.WithValue(ctx, idleTimeoutKey{}, t), func() {
		t.stop()
		cancel()
	}
}

// ReportProgress reports progress to ctx and all enclosing contexts made by
// WithIdleTimeout: each gets its full idle time again, up to its total limit. It does
// nothing for other contexts.
func ReportProgress(ctx context.Context) {
	t, _ := ctx.Value(idleTimeoutKey{}).(*idleTimeout)

	for now := time.Now(); t != nil; t = t.parent {
		t.extend(now)
	}
}

func (t *idleTimeout) extend(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()

	// If the timer has fired, the context has already ended.
	if !t.stopped && t.timer.Stop() {
		t.timer.Reset(max(min(t.idle, t.deadline.Sub(now)), 0))
	}
}

func (t *idleTimeout) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.stopped = true
	t.timer.Stop()
}

// ProgressReader returns a reader of r that calls ReportProgress with ctx at each read
// that yields data.
func ProgressReader(ctx context.Context, r io.Reader) io.Reader { return progressReader{ctx, r} }

type progressReader struct {
	ctx context.Context //nolint:containedctx // the reader belongs to one call
	r   io.Reader
}

// Read implements io.Reader.
func (t progressReader) Read(b []byte) (int, error) {
	n, err := t.r.Read(b)
	if n > 0 {
		ReportProgress(t.ctx)
	}

	return n, err
}
