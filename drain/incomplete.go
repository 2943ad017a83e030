package drain

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"boragehub/intake"
)

// A response to HTTP/1.0 has no chunks. Without a length it ends with its connection, and its caller takes a
// connection that is closed in order for its end, whoever closes it: net/http after a handler that gave up, a
// drain whose time is over, or the operating system after a process that was killed. While such a response is
// incomplete, its connection is therefore set to be reset when it is closed.

// completion tells whether a connection is reset when it is closed.
type completion struct{ state atomic.Uint32 }

// The states of a completion.
const (
	// framed: the responses tell their ends themselves, or there is none yet.
	framed uint32 = iota
	// incomplete: a response that ends with its connection is incomplete.
	incomplete
	// handled: its handler has returned; it may still have to be written.
	handled
	// failed: a part of it could not be written.
	failed
)

// connKey is the context key of a request's connection.
type connKey struct{}

// connContext adds the connection of a request and its account to its context.
func connContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*conn); ok && c.account != nil {
		ctx = intake.NewContext(ctx, c.account)
	}

	return context.WithValue(ctx, connKey{}, nc)
}

// beginResponse has the connection reset until the returned function is called, if only its end could tell
// that the response is complete.
func beginResponse(r *http.Request) (complete func()) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || r.ProtoAtLeast(1, 1) {
		return func() {}
	}

	c.completion.state.Store(incomplete)
	c.setLinger(0)

	return func() { c.completion.state.CompareAndSwap(incomplete, handled) }
}

// endResponse has the connection closed in order from now on, if its last response has been written.
func (c *conn) endResponse() {
	if c.completion.state.CompareAndSwap(handled, framed) {
		c.setLinger(-1)
	}
}

// setLinger sets how the connection is closed: 0 resets it, -1 closes it in order.
func (c *conn) setLinger(seconds int) {
	//nolint:errcheck,gosec // fails only if the connection is closed already
	c.SetLinger(seconds)
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil && c.completion.state.Load() != framed {
		c.completion.state.Store(failed)
	}

	return n, err
}

// Close closes the connection, in order unless a response that ends with it is incomplete.
func (c *conn) Close() error {
	c.endResponse()

	return c.TCPConn.Close()
}
