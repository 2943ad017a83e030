package main

import (
	"net"
	"syscall"
	"time"

	"boragehub/drain"
)

// recountEvery is the pause between two counts while no connection may be accepted.
const recountEvery = 50 * time.Millisecond

// boundedListener keeps the connections that are open at once within a bound; those beyond
// it wait to be accepted. It returns connections as they are: one that is wrapped, as
// by netutil.LimitListener, hides its socket, and a planned stop that can't look for
// unread requests there closes the connections that have them.
type boundedListener struct {
	net.Listener

	most int
	open func() int // how many connections are open
	held int        // as many as were counted last, and those accepted since
}

func newBoundedListener(l net.Listener, most int, callers *drain.Server) *boundedListener {
	return &boundedListener{Listener: l, most: most, open: func() int {
		n := callers.Count()

		return n.Opened + n.Busy + n.Idle
	}}
}

// SyscallConn gives access to the listener's socket, where a planned stop looks for
// connections that wait to be accepted.
func (l *boundedListener) SyscallConn() (syscall.RawConn, error) {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}

	return sc.SyscallConn()
}

// Accept waits for the next connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	for l.held >= l.most {
		l.held = l.open()

		if l.held >= l.most {
			time.Sleep(recountEvery)
		}
	}

	nc, err := l.Listener.Accept()
	if err == nil {
		l.held++
	}

	return nc, err
}
