package drain

import (
	"net"
	"net/http"
	"sync"
	"time"

	"boragehub/intake"
	"boragehub/socket"
)

// Count is the number of connections in each state.
type Count struct {
	// Opened have not received a request, Busy are being served, Idle wait for the next
	// request.
	Opened, Busy, Idle int
	// Pending are those of Opened and Idle whose next request has arrived, at least in part,
	// and is not being served yet.
	Pending int
}

// connTracker tracks the open connections of callers.
type connTracker struct {
	port *intake.Port

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newConnTracker(port *intake.Port) *connTracker {
	return &connTracker{port: port, conns: make(map[*conn]struct{})}
}

// add registers a new connection. It returns false if there is no place for it.
func (t *connTracker) add(now time.Time, tcp *net.TCPConn) (*conn, bool) {
	c := &conn{TCPConn: tcp, acceptedAt: now}
	c.setPhase(now, phaseOpened)
	c.account = t.port.Open(now, intake.AccountConfig{
		Close: func() {
			//nolint:errcheck,gosec // fails only if it is closed already
			tcp.Close()
		},
		Pending: func() bool { return socket.Peek(tcp) == socket.Readable },
	})

	if !t.port.Admit(now, c.account) {
		c.account.Close(now)

		return nil, false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	t.conns[c] = struct{}{}

	return c, true
}

// setState records a state change that net/http reported for a connection.
func (t *connTracker) setState(now time.Time, nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}

	switch state {
	case http.StateActive:
		c.account.Head()
		c.setPhase(now, phaseBusy)
	case http.StateIdle:
		c.endResponse()
		c.account.Unused(now)
		c.setPhase(now, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		c.account.Close(now)

		t.mu.Lock()
		defer t.mu.Unlock()

		delete(t.conns, c)
	case http.StateNew:
	}
}

// count returns the number of connections in each state.
func (t *connTracker) count(now time.Time) Count {
	t.mu.Lock()
	defer t.mu.Unlock()

	var n Count

	for c := range t.conns {
		switch phase(c.phase.Load()) {
		case phaseOpened:
			n.Opened++
		case phaseBusy:
			n.Busy++
		case phaseIdle:
			n.Idle++
		}

		if c.pending(now) {
			n.Pending++
		}
	}

	return n
}

// opened returns the number of connections that have not received a request.
func (t *connTracker) opened() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := 0

	for c := range t.conns {
		if phase(c.phase.Load()) == phaseOpened {
			n++
		}
	}

	return n
}

// mayReceive reports whether a caller may still send a request on an idle connection whose
// keep-alive time has not expired.
func (t *connTracker) mayReceive(now time.Time, keepAlive time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	for c := range t.conns {
		if phase(c.phase.Load()) == phaseIdle && !c.expired(now, keepAlive) {
			return true
		}
	}

	return false
}

// canClose reports whether all connections could be closed now without losing a response:
// none is being served, none has a request that has arrived, and none was used so recently
// that a request may be in transit. The sockets are checked last, as each check is a system
// call.
func (t *connTracker) canClose(now time.Time, keepAlive time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	for c := range t.conns {
		if phase(c.phase.Load()) == phaseBusy || c.partlyRead(now) || !c.expired(now, keepAlive) {
			return false
		}
	}

	for c := range t.conns {
		if c.pending(now) {
			return false
		}
	}

	return true
}
