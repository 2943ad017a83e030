package drain

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Count is how many connections are in each state.
type Count struct {
	// Opened have not had a request, Busy are being served, Idle wait for their next
	// request.
	Opened, Busy, Idle int
	// Pending are those of Opened and Idle whose next request has arrived, at least in
	// part, and isn't being served.
	Pending int
}

// census knows the callers' connections.
type census struct {
	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newCensus() *census { return &census{conns: make(map[*conn]struct{})} }

// add takes a new connection in.
func (s *census) add(now time.Time, tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, born: now}
	c.enter(now, opened)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.conns[c] = struct{}{}

	return c
}

// changed takes what the HTTP server says of a connection.
func (s *census) changed(now time.Time, nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}

	switch state {
	case http.StateActive:
		c.enter(now, busy)
	case http.StateIdle:
		c.enter(now, idle)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()

		delete(s.conns, c)
	case http.StateNew:
	}
}

// count counts the connections.
func (s *census) count(now time.Time) Count {
	s.mu.Lock()
	defer s.mu.Unlock()

	var n Count

	for c := range s.conns {
		switch phase(c.phase.Load()) {
		case opened:
			n.Opened++
		case busy:
			n.Busy++
		case idle:
			n.Idle++
		}

		if c.pending(now) {
			n.Pending++
		}
	}

	return n
}

// expected reports whether a caller may still send a request on a connection that it was
// told to be of use.
func (s *census) expected(now time.Time, keepAlive time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		if phase(c.phase.Load()) == idle && !c.unused(now, keepAlive) {
			return true
		}
	}

	return false
}

// settled reports whether no caller would miss an answer if all connections were closed
// now: none is being served, none has a request that has arrived, and none was used so
// lately that its caller may have a request on its way. The sockets are looked at last,
// as each look is a system call.
func (s *census) settled(now time.Time, keepAlive time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	for c := range s.conns {
		if phase(c.phase.Load()) == busy || c.begun(now) || !c.unused(now, keepAlive) {
			return false
		}
	}

	for c := range s.conns {
		if c.pending(now) {
			return false
		}
	}

	return true
}
