package main

import (
	"net"
	"sync/atomic"
	"testing"
)

// More callers connect than an entry has memory for. Connections beyond the limit have to
// wait until another one closes; otherwise the process would run out of memory and be killed
// with all requests in flight.
func TestBoundedListenerLimitsOpenConnections(t *testing.T) {
	const maxOpen = 3

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = l.Close() }()

	var open atomic.Int64

	b := &boundedListener{Listener: l, maxOpen: maxOpen, countOpen: func() int { return int(open.Load()) }}

	for range maxOpen + 1 {
		nc, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}

		defer func() { _ = nc.Close() }()
	}

	accepted := make(chan net.Conn)

	go func() {
		for range maxOpen + 1 {
			nc, err := b.Accept()
			if err != nil {
				t.Error(err)
			}

			open.Add(1)

			accepted <- nc
		}
	}()

	for range maxOpen {
		if _, ok := (<-accepted).(*net.TCPConn); !ok {
			t.Error("got a connection that hides its socket")
		}
	}

	select {
	case <-accepted:
		t.Errorf("got connection %d accepted, want it to wait", maxOpen+1)
	default:
	}

	open.Add(-1)
	<-accepted
}
