package peer

import (
	"context"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// session is a peer's connection to a Server, with counts of the accepted streams
// whose responses the peer may not have received.
//
// Closing a connection discards both the requests that arrived and were not
// accepted, and the responses that were sent and not delivered. The peer can't distinguish
// one from the other, nor either from a crashed process, and has to assume for each
// request that it may have run. A closing session therefore first stops accepting,
// then waits until the peer has all responses; a request without a response then was
// never processed, and codeNotProcessed says so.
type session struct {
	conn *quic.Conn

	mu             sync.Mutex
	closing        bool
	inFlight       int
	unacknowledged int           // streams whose response the peer did not read within StreamTimeout
	drained        chan struct{} // closed once closing is set and inFlight is zero
}

func newSession(q *quic.Conn) *session {
	return &session{conn: q, drained: make(chan struct{})}
}

// admit counts a new stream as in flight; it returns false if the session is closing.
func (c *session) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closing {
		return false
	}

	c.inFlight++

	return true
}

// handle runs the handler of an admitted stream and waits until the peer has
// received the response.
func (c *session) handle(respond func(), t *Stream) {
	respond()

	received := t.awaitReceipt()
	c.release(received)

	if !received {
		t.awaitPeerClose(time.Time{})
		c.acknowledge()
	}
}

// release counts a stream as no longer in flight; received reports whether the peer
// has the response.
func (c *session) release(received bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.inFlight--

	if !received {
		c.unacknowledged++
	}

	c.closeIfDrained()
}

// acknowledge records that a slow peer has received a response late, or that its
// connection is gone.
func (c *session) acknowledge() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.unacknowledged--
}

func (c *session) closeIfDrained() {
	if c.closing && c.inFlight == 0 {
		close(c.drained)
	}
}

// shutdown stops admission, waits until the session is drained or ctx ends, and closes
// the connection.
func (c *session) shutdown(ctx context.Context) {
	c.mu.Lock()
	c.closing = true
	c.closeIfDrained()
	c.mu.Unlock()

	select {
	case <-c.drained:
	case <-c.conn.Context().Done():
	case <-ctx.Done():
	}

	_ = c.conn.CloseWithError(c.closeCode(), "")
}

// closeCode returns the code to close the connection with: codeNotProcessed only if
// the peer has every response.
func (c *session) closeCode() quic.ApplicationErrorCode {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.inFlight > 0 || c.unacknowledged > 0 {
		return codeStopped
	}

	return codeNotProcessed
}
