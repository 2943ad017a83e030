package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// session is a peer's connection to a Server, with the conversations on it that the
// Server looked at and whose answers the peer may not have yet.
//
// A connection that is closed takes with it what has arrived on it and was not
// accepted, and what was answered and has not arrived. The peer can't tell one
// from the other, nor either from a process that died, and has to take each request for
// one that may have run. So a session that ends first stops accepting, then waits
// until the peer has all answers; whatever has no answer then was never looked at, and
// codeUnserved says so.
type session struct {
	q *quic.Conn

	mu      sync.Mutex
	ending  bool
	running int
	unread  int           // answered, and the peer is slow to read the answer
	drained chan struct{} // closed once ending and nothing is running
}

func newSession(q *quic.Conn) *session {
	return &session{q: q, drained: make(chan struct{})}
}

// begin takes a conversation in, unless the session is ending.
func (c *session) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.ending {
		return false
	}

	c.running++

	return true
}

// converse answers a conversation that was taken in.
func (c *session) converse(answer func(), t *Stream) {
	answer()

	received := t.finish()
	c.answered(received)

	if !received {
		t.awaitEnd(time.Time{})
		c.caughtUp()
	}
}

// answered ends a conversation; received says that the peer has the answer.
func (c *session) answered(received bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.running--

	if !received {
		c.unread++
	}

	c.settle()
}

// caughtUp notes that a slow peer has an answer after all.
func (c *session) caughtUp() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.unread--
}

func (c *session) settle() {
	if c.ending && c.running == 0 {
		close(c.drained)
	}
}

// shutdown ends the session, at the latest when ctx ends.
func (c *session) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.ending = true
	c.settle()
	c.mu.Unlock()

	select {
	case <-c.drained:
	case <-c.q.Context().Done():
	case <-ctx.Done():
	}

	_ = c.q.CloseWithError(c.code(), "")
}

// code says how the session ends.
func (c *session) code() quic.ApplicationErrorCode {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.running > 0 || c.unread > 0 {
		return codeStopped
	}

	return codeUnserved
}
