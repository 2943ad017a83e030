package standin

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// connTracker tracks the open connections so that they can be made unresponsive, as when a
// middlebox loses its state for a connection: it drops packets in both directions and
// notifies neither end, while new connections work. The zero value is ready to use.
type connTracker struct {
	mu       sync.Mutex
	open     map[*trackedConn]struct{}
	retained []*trackedConn
}

// connKey is the context key of a request's connection.
type connKey struct{}

// trackedConn is a connection that may be made unresponsive.
type trackedConn struct {
	net.Conn
	tracker      *connTracker
	unresponsive atomic.Bool
	closeOnce    sync.Once
	closed       chan struct{}
	deadlineSet  chan struct{}
}

// trackingListener adds the connections that it accepts to its tracker.
type trackingListener struct {
	net.Listener
	tracker *connTracker
}

func (t *connTracker) wrapListener(l net.Listener) net.Listener {
	return &trackingListener{Listener: l, tracker: t}
}

func (t *connTracker) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// makeUnresponsive makes every open connection unresponsive except the one that ctx belongs to.
func (t *connTracker) makeUnresponsive(ctx context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()

	requestConn, _ := ctx.Value(connKey{}).(net.Conn)

	for c := range t.open {
		if net.Conn(c) != requestConn {
			c.unresponsive.Store(true)
		}
	}
}

// Accept waits for the next connection and tracks it.
func (l *trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	c := &trackedConn{Conn: inner, tracker: l.tracker, closed: make(chan struct{}), deadlineSet: make(chan struct{}, 1)}

	l.tracker.mu.Lock()
	defer l.tracker.mu.Unlock()

	if l.tracker.open == nil {
		l.tracker.open = map[*trackedConn]struct{}{}
	}

	l.tracker.open[c] = struct{}{}

	return c, nil
}

// Read returns neither data nor EOF once the connection is unresponsive. Read deadlines still
// apply, because net/http sets one to interrupt its own background read.
func (c *trackedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.unresponsive.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}

		if err == nil {
			continue
		}

		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.deadlineSet:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// SetReadDeadline interrupts a Read that is blocked on an unresponsive connection.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	if c.unresponsive.Load() {
		select {
		case c.deadlineSet <- struct{}{}:
		default:
		}
	}

	return c.Conn.SetReadDeadline(t)
}

// Write discards b and reports success once the connection is unresponsive.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close closes the connection on this side. The socket of an unresponsive connection stays
// open, so that the peer sees no FIN or RST.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.tracker.remove(c)
	})

	if c.unresponsive.Load() {
		return nil
	}

	return c.Conn.Close()
}

// remove removes c from the open connections. An unresponsive one is retained so that the
// garbage collector does not close its socket.
func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.open, c)

	if c.unresponsive.Load() {
		t.retained = append(t.retained, c)
	}
}
