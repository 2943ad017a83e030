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

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	if tcp, ok := nc.(*net.TCPConn); ok {
		return l.conns.add(time.Now(), tcp), nil
	}

	return nc, nil
}
