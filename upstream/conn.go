package upstream

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"boragehub/responsehead"
	"boragehub/socket"
)

// readBuffer is the size in bytes of a connection's read buffer. Two network packets fit
// in; more isn't needed, as streams arrive in small pieces and there are hundreds of
// connections.
const readBuffer = 4 << 10

// conn is one connection to a target.
type conn struct {
	address string
	nc      net.Conn
	in      *responsehead.Reader
	expires time.Time // end of its idle time in the pool
	reused  bool
	ids     []string // of the requests that it carried last
	// identified are the classes of status, the first digit, of which responses have said to which request they belong.
	identified [10]bool
}

// belongs reports whether a response belongs to a request.
func (c *conn) belongs(r Request, resp *http.Response) bool {
	if r.Match != nil && !r.Match(resp.Header) {
		return false
	}

	if r.Identified == nil {
		return true
	}

	class := resp.StatusCode / 100 % len(c.identified)
	if !r.Identified(resp.Header) {
		return !c.identified[class]
	}

	c.identified[class] = true

	return true
}

// maxCarriedIDs is the number of requests that a connection remembers. The attempts of one request follow each other
// within its deadline.
const maxCarriedIDs = 32

// carry records that the connection carries the request with an id.
func (c *conn) carry(id string) {
	if id == "" {
		return
	}

	if len(c.ids) >= maxCarriedIDs {
		c.ids = slices.Delete(c.ids, 0, 1)
	}

	c.ids = append(c.ids, id)
}

// carried reports whether the connection has carried the request with an id.
func (c *conn) carried(id string) bool { return id != "" && slices.Contains(c.ids, id) }

func newConn(address string, nc net.Conn) *conn {
	return &conn{address: address, nc: nc, in: responsehead.NewReader(nc, readBuffer)}
}

// close closes the connection. The only error that Close can return is that the
// connection is closed already, which is the desired state.
func (c *conn) close() {
	//nolint:errcheck,gosec // see above
	c.nc.Close()
}

// abort resets the connection and discards unsent bytes. Otherwise a paused engine would
// find the request when it resumes, seconds after its caller left, and process it in vain.
func (c *conn) abort() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		//nolint:errcheck,gosec // the connection may be closed already
		t.SetLinger(0)
	}

	c.close()
}

// maxAckPause is the longest pause between two looks at what the target's host has acknowledged.
const maxAckPause = 16 * time.Millisecond

// awaitAcknowledged waits until the target's host has acknowledged all bytes written. It returns an error if the
// connection is reset or closed before.
func (c *conn) awaitAcknowledged() error {
	for wait := time.Millisecond; ; wait = min(2*wait, maxAckPause) {
		if acknowledged, err := socket.Acknowledged(c.nc); acknowledged || err != nil {
			return err
		}

		time.Sleep(wait)
	}
}

// usable reports whether the connection is open with nothing to read. It peeks at the
// socket and consumes no bytes.
func (c *conn) usable() bool {
	if c.in.Buffered() > 0 {
		return false
	}

	return socket.Peek(c.nc) == socket.Idle
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall
// doesn't define.
const tcpUserTimeout = 18

// userTimeoutControl returns a net.Dialer.Control function that limits how long written
// bytes may stay unacknowledged. A target that lost power or network sends nothing, and a
// write to it would otherwise block for many minutes.
func userTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var sockErr error

		err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}

		return sockErr
	}
}
