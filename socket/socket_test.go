package socket

import (
	"errors"
	"net"
	"testing"
	"time"
)

// dialPending returns a listener and the client's end of a connection that is pending in its accept
// queue.
func dialPending(t *testing.T) (net.Listener, net.Conn) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = client.Close() })

	return l, client
}

func TestPeek(t *testing.T) {
	l, client := dialPending(t)

	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()

	steps := []struct {
		name string
		do   func() error
		want State
	}{
		{"nothing sent", func() error { return nil }, Idle},
		{"one byte sent", func() error { _, err := client.Write([]byte("x")); return err }, Readable},
		{"the byte peeked at before", func() error { return nil }, Readable},
		{"the byte read", func() error { _, err := accepted.Read(make([]byte, 1)); return err }, Idle},
		{"during a blocked read", func() error { go func() { _, _ = accepted.Read(make([]byte, 1)) }(); return nil }, Idle},
		{"closed by the client", func() error { return client.Close() }, Closed},
		{"closed by the server", func() error { return accepted.Close() }, Closed},
	}

	for _, s := range steps {
		if err := s.do(); err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}

		got := Peek(accepted)
		for deadline := time.Now().Add(10 * time.Second); got != s.want && time.Now().Before(deadline); got = Peek(accepted) {
			time.Sleep(time.Millisecond) // the bytes may still be in transit
		}

		if got != s.want {
			t.Errorf("%s: got %d, want %d", s.name, got, s.want)
		}
	}

	if got := Peek(&net.UnixConn{}); got != Closed {
		t.Errorf("uninitialised connection: got %d, want %d", got, Closed)
	}
}

// Guards against lost requests: a client connects just as a server stops its listener. The
// connection must be accepted first, or the client's request is reset.
func TestListenerStaysOpenWithPendingConnection(t *testing.T) {
	l, _ := dialPending(t)

	if ShutdownIfIdle(l) {
		t.Error("with a pending connection: got the listener stopped, want it open")
	}

	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()

	if !ShutdownIfIdle(l) {
		t.Error("without pending connections: got the listener open, want it stopped")
	}

	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Errorf("got a connection to %v, want none", c.RemoteAddr())
	}

	if Peek(accepted) != Idle {
		t.Error("got the accepted connection changed, want it open and empty")
	}
}

// Guards against a reset of what was written that is taken for its acknowledgement.
func TestAcknowledgedTellsBytesThatArrivedFromAReset(t *testing.T) {
	tests := []struct {
		name string
		end  func(t *testing.T, peer *net.TCPConn)
		want error
	}{
		{"open", func(*testing.T, *net.TCPConn) {}, nil},
		{"ended on the peer's side", func(t *testing.T, peer *net.TCPConn) {
			t.Helper()

			if err := peer.CloseWrite(); err != nil {
				t.Error(err)
			}
		}, nil},
		{"closed before", func(t *testing.T, peer *net.TCPConn) {
			t.Helper()

			if err := peer.Close(); err != nil {
				t.Error(err)
			}
		}, ErrClosed},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, peer := tcpPair(t)
			tt.end(t, peer)

			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}

			acknowledged, err := Acknowledged(c)
			for !acknowledged && err == nil {
				acknowledged, err = Acknowledged(c)
			}

			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}

			_ = c.Close()

			if _, err := Acknowledged(c); !errors.Is(err, ErrClosed) {
				t.Errorf("closed: got %v, want %v", err, ErrClosed)
			}
		})
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (c, peer *net.TCPConn) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = l.Close() }()

	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _, _ = a.Close(), b.Close() })

	return a.(*net.TCPConn), b.(*net.TCPConn)
}
