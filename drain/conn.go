package drain

import (
	"net"
	"sync/atomic"
	"time"

	"boragehub/socket"
)

// phase is what a caller's connection is doing.
type phase uint32

const (
	// opened: no request has come on it yet.
	opened phase = iota
	// busy: a request is being served.
	busy
	// idle: its last answer is complete.
	idle
)

// conn is a caller's connection. It notes when bytes of a request have been read: the
// HTTP server calls a connection idle until it has read the whole head of the next
// request, and one that is closed by then loses that request.
type conn struct {
	*net.TCPConn

	// Times are in ns since it was accepted: the time of day may jump.
	born  time.Time
	phase atomic.Uint32
	since atomic.Int64 // when the phase began
	heard atomic.Int64 // when bytes were last read in this phase, plus one; zero for never
}

// Read reads from the caller.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.hear(time.Now())
	}

	return n, err
}

// hear takes that bytes were read.
func (c *conn) hear(now time.Time) { c.heard.Store(int64(now.Sub(c.born)) + 1) }

// enter begins a phase.
func (c *conn) enter(now time.Time, p phase) {
	c.since.Store(int64(now.Sub(c.born)))
	c.phase.Store(uint32(p))
	// Last, so that no look in between finds a connection idle, unused and nothing heard.
	c.heard.Store(0)
}

// pending reports whether a request, or a part of one, has reached this machine and
// isn't being served yet.
func (c *conn) pending(now time.Time) bool {
	return phase(c.phase.Load()) != busy && (c.begun(now) || socket.Peek(c.TCPConn) == socket.Unread)
}

// begun reports whether a part of a request was read, and the rest is still to be expected.
// A caller that sends half a head and nothing more would otherwise hold a stop up until
// its time is over.
func (c *conn) begun(now time.Time) bool {
	heard := c.heard.Load()

	return heard > 0 && now.Sub(c.born)-time.Duration(heard) < nextPart
}

// unused reports whether the connection has been without a request for so long that its
// caller will send none on it.
func (c *conn) unused(now time.Time, keepAlive time.Duration) bool {
	most := keepAlive
	if phase(c.phase.Load()) == opened {
		most = firstRequest
	}

	return now.Sub(c.born)-time.Duration(c.since.Load()) >= most
}

// firstRequest is how long a caller that has opened a connection may take to send its
// first request. Callers send it at once; the time is for a way that is full.
const firstRequest = time.Second

// nextPart is how long the next part of a request may take to come. Parts are sent one
// behind the other; one that is lost on the way is sent again within half a second.
const nextPart = time.Second
