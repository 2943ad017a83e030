package main

import (
	"net"
	"syscall"
	"time"

	"boragehub/drain"
)

// recountInterval is the pause between two counts of open connections at the limit.
const recountInterval = 50 * time.Millisecond

// boundedListener limits the number of connections that are open at once; those beyond the
// limit wait to be accepted. It returns connections unwrapped: a wrapped one, as by
// netutil.LimitListener, hides its socket, and a drain that can't check the socket for unread
// requests closes connections that have some.
type boundedListener struct {
	net.Listener

	maxOpen   int
	countOpen func() int // returns the number of open connections
	maybeOpen int        // upper bound of the open connections: the last count and those accepted since
}

func newBoundedListener(l net.Listener, maxOpen int, callers *drain.Server) *boundedListener {
	return &boundedListener{Listener: l, maxOpen: maxOpen, countOpen: func() int {
		n := callers.Count()

		return n.Opened + n.Busy + n.Idle
	}}
}

// SyscallConn gives access to the listener's socket, which a drain checks for connections
// that wait to be accepted.
func (l *boundedListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}

	return sc.SyscallConn()
}

// Accept returns the next connection, and waits while the limit is reached.
func (l *boundedListener) Accept() (net.Conn, error) {
	for l.maybeOpen >= l.maxOpen {
		l.maybeOpen = l.countOpen()

		if l.maybeOpen >= l.maxOpen {
			time.Sleep(recountInterval)
		}
	}

	nc, err := l.Listener.Accept()
	if err == nil {
		l.maybeOpen++
	}

	return nc, err
}
