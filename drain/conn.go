package drain

import (
	"net"
	"sync/atomic"
	"time"

	"boragehub/intake"
	"boragehub/socket"
)

// phase is the state of a caller's connection.
type phase uint32

const (
	// phaseOpened: no request has been received yet.
	phaseOpened phase = iota
	// phaseBusy: a request is being served.
	phaseBusy
	// phaseIdle: the last response is complete.
	phaseIdle
)

// conn is a caller's connection. It records when bytes of a request were read: net/http
// reports a connection as idle until it has read the complete header of the next request,
// and closing the connection in between would lose that request.
type conn struct {
	*net.TCPConn

	// Times are in ns since acceptedAt, which is monotonic: the wall clock may jump.
	acceptedAt time.Time
	phase      atomic.Uint32
	phaseStart atomic.Int64 // when the phase began
	lastRead   atomic.Int64 // when bytes were last read in this phase, plus one; zero for never
	completion completion
	account    *intake.Account // nil if nothing bounds it
}

// Read reads from the connection and records the time.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}

	now := time.Now()
	c.recordRead(now)

	if full := c.account.Read(now, n); full != nil {
		return 0, full
	}

	return n, err
}

// recordRead records that bytes were read.
func (c *conn) recordRead(now time.Time) { c.lastRead.Store(int64(now.Sub(c.acceptedAt)) + 1) }

// setPhase sets the phase and its start.
func (c *conn) setPhase(now time.Time, p phase) {
	c.phaseStart.Store(int64(now.Sub(c.acceptedAt)))
	c.phase.Store(uint32(p))
	// Stored last, so that no check in between sees an idle, expired connection without a read.
	c.lastRead.Store(0)
}

// pending reports whether a request, or part of one, has reached this VM and is not being
// served yet.
func (c *conn) pending(now time.Time) bool {
	return phase(c.phase.Load()) != phaseBusy && (c.partlyRead(now) || socket.Peek(c.TCPConn) == socket.Readable)
}

// partlyRead reports whether part of a request was read and the rest may still arrive. A
// caller that sends half a header and nothing more would otherwise delay a drain until its
// timeout.
func (c *conn) partlyRead(now time.Time) bool {
	lastRead := c.lastRead.Load()

	return lastRead > 0 && now.Sub(c.acceptedAt)-time.Duration(lastRead) < nextPartTimeout
}

// expired reports whether the connection has been without a request for so long that its
// caller sends none on it any more.
func (c *conn) expired(now time.Time, keepAlive time.Duration) bool {
	limit := keepAlive
	if phase(c.phase.Load()) == phaseOpened {
		limit = firstRequestTimeout
	}

	return now.Sub(c.acceptedAt)-time.Duration(c.phaseStart.Load()) >= limit
}

// firstRequestTimeout is the maximum time from accepting a connection to its first request.
// Callers send it at once; the time allows for a congested network.
const firstRequestTimeout = time.Second

// nextPartTimeout is the maximum time between two parts of a request. Parts are sent in
// succession; a lost one is retransmitted within half a second.
const nextPartTimeout = time.Second
