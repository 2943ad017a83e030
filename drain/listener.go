package drain

import (
	"net"
	"time"
)

// listener accepts callers' connections and takes them into the census.
type listener struct {
	net.Listener

	census *census
}

// Accept returns the next caller's connection.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	if tcp, ok := nc.(*net.TCPConn); ok {
		return l.census.add(time.Now(), tcp), nil
	}

	return nc, nil
}
