package drain

import (
	"net"
	"time"
)

// listener registers the accepted connections with a connTracker.
type listener struct {
	net.Listener

	conns *connTracker
}

// Accept returns the next connection for which there is a place.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}

		if c, ok := l.conns.add(time.Now(), tcp); ok {
			return c, nil
		}

		// No request was read on it: its client may send one elsewhere.
		//nolint:errcheck,gosec // fails only if it is closed already
		tcp.Close()
	}
}
