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

// silence keeps the open connections so that they can fall silent. A middlebox
// that has lost track of a connection drops what comes in either direction, and
// neither end is told; new connections work. The zero value is ready.
type silence struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
	lost  []*conn
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// conn is a connection that may be dead.
type conn struct {
	net.Conn
	owner  *silence
	dead   atomic.Bool
	once   sync.Once
	closed chan struct{}
	woken  chan struct{}
}

// listener gives out connections that its silence knows.
type listener struct {
	net.Listener
	owner *silence
}

func (s *silence) listen(l net.Listener) net.Listener {
	return &listener{Listener: l, owner: s}
}

func (s *silence) connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// fall makes all connections silent but the one that ctx belongs to.
func (s *silence) fall(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()

	own, _ := ctx.Value(connKey{}).(net.Conn)

	for c := range s.conns {
		if net.Conn(c) != own {
			c.dead.Store(true)
		}
	}
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	c := &conn{Conn: nc, owner: l.owner, closed: make(chan struct{}), woken: make(chan struct{}, 1)}

	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()

	if l.owner.conns == nil {
		l.owner.conns = map[*conn]struct{}{}
	}

	l.owner.conns[c] = struct{}{}

	return c, nil
}

// Read returns nothing more once the connection is dead, not even its end. Only
// a deadline is still kept, since the server uses one to stop a read of its own.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if !c.dead.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}

		if err == nil {
			continue
		}

		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-c.woken:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// SetReadDeadline wakes a Read that waits on a dead connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.dead.Load() {
		select {
		case c.woken <- struct{}{}:
		default:
		}
	}

	return c.Conn.SetReadDeadline(t)
}

// Write drops what it gets once the connection is dead, and doesn't say so.
func (c *conn) Write(b []byte) (int, error) {
	if c.dead.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}

// Close closes the connection on this side. The other end of a dead connection
// isn't told: its socket is kept open.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})

	if c.dead.Load() {
		return nil
	}

	return c.Conn.Close()
}

// forget takes c off the open connections. A dead one moves to the lost ones,
// so that its socket is not closed by the garbage collector.
func (s *silence) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.conns, c)

	if c.dead.Load() {
		s.lost = append(s.lost, c)
	}
}
