package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"boragehub/socket"
)

// readBuffer is the size of a connection's read buffer: two network packets'
// worth, since streams come in small pieces and there are hundreds of connections.
const readBuffer = 4 << 10

// conn is one connection to a target.
type conn struct {
	address string
	nc      net.Conn
	br      *bufio.Reader
	until   time.Time // when it is too old to be used again
	reused  bool
}

func newConn(address string, nc net.Conn) *conn {
	return &conn{address: address, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

// close gives the connection up. The only error that Close can report is that
// the connection was closed before, which is what is wanted.
func (c *conn) close() {
	//nolint:errcheck,gosec // see above
	c.nc.Close()
}

// abort gives the connection up at once, bytes on their way included. An engine
// that stands still would otherwise find the request when it goes on, seconds after
// its caller left, and work on it for nobody.
func (c *conn) abort() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		//nolint:errcheck,gosec // the connection may be closed already
		t.SetLinger(0)
	}

	c.close()
}

// quiet reports whether the connection is open with nothing to read: it looks
// at the socket without taking bytes from it.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}

	return socket.Peek(c.nc) == socket.Quiet
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
const tcpUserTimeout = 18

// boundUnacked bounds how long written bytes may stay unacknowledged. A target
// that lost power or is cut off answers nothing, and a write to it would wait
// for many minutes.
func boundUnacked(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var failed error

		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}

		return failed
	}
}
