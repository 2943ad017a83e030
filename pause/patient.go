package pause

import (
	"context"
	"io"
	"sync"
	"time"
)

// patientKey is the key of a context's patience.
type patientKey struct{}

// patience ends a context when what it is for stands still.
type patience struct {
	timer *time.Timer
	each  time.Duration
	last  time.Time // when it ends in any case
	outer *patience

	mu    sync.Mutex
	ended bool
}

// Patient returns a context that ends when what it is for has not moved on for d
// (Moves), or has taken longer than most. Without any move it ends after d.
//
// A fixed time for a whole transfer has to be long enough for the largest message over
// the slowest link, and is then too long to notice a connection that fell silent. One
// that is too short is worse: a large message is begun anew each time, takes the link
// for nothing and never arrives.
func Patient(ctx context.Context, d, most time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	outer, _ := ctx.Value(patientKey{}).(*patience)
	p := &patience{each: d, last: time.Now().Add(most), outer: outer}
	p.timer = time.AfterFunc(min(d, most), cancel)

	return context.WithValue(ctx, patientKey{}, p), func() {
		p.end()
		cancel()
	}
}

// Moves tells the contexts by Patient, ctx and those around it, that what they are for
// has moved on.
func Moves(ctx context.Context) {
	p, _ := ctx.Value(patientKey{}).(*patience)

	for now := time.Now(); p != nil; p = p.outer {
		p.moves(now)
	}
}

func (p *patience) moves(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	// A timer that has fired has ended the context already.
	if !p.ended && p.timer.Stop() {
		p.timer.Reset(max(min(p.each, p.last.Sub(now)), 0))
	}
}

func (p *patience) end() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.ended = true
	p.timer.Stop()
}

// Reader returns a reader of r that tells ctx of each byte that comes.
func Reader(ctx context.Context, r io.Reader) io.Reader { return movingReader{ctx, r} }

type movingReader struct {
	ctx context.Context //nolint:containedctx // the reader is a part of one call
	r   io.Reader
}

// Read reads from the reader beneath.
func (m movingReader) Read(b []byte) (int, error) {
	n, err := m.r.Read(b)
	if n > 0 {
		Moves(m.ctx)
	}

	return n, err
}
