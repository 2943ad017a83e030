package socket

import (
	"net"
	"testing"
	"time"
)

// dialled returns a listener and the far end of a connection that waits to be accepted.
func dialled(t *testing.T) (net.Listener, net.Conn) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = far.Close() })

	return l, far
}

func TestPeek(t *testing.T) {
	l, far := dialled(t)

	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()

	steps := []struct {
		name string
		do   func() error
		want State
	}{
		{"nothing sent", func() error { return nil }, Quiet},
		{"a byte sent", func() error { _, err := far.Write([]byte("x")); return err }, Unread},
		{"looked at before", func() error { return nil }, Unread},
		{"the byte read", func() error { _, err := near.Read(make([]byte, 1)); return err }, Quiet},
		{"while somebody reads", func() error { go func() { _, _ = near.Read(make([]byte, 1)) }(); return nil }, Quiet},
		{"closed by the other side", func() error { return far.Close() }, Ended},
		{"closed by this side", func() error { return near.Close() }, Ended},
	}

	for _, s := range steps {
		if err := s.do(); err != nil {
			t.Fatalf("%s: %v", s.name, err)
		}

		got := Peek(near)
		for deadline := time.Now().Add(10 * time.Second); got != s.want && time.Now().Before(deadline); got = Peek(near) {
			time.Sleep(time.Millisecond) // the bytes are on their way
		}

		if got != s.want {
			t.Errorf("%s: got %d, want %d", s.name, got, s.want)
		}
	}

	if got := Peek(&net.UnixConn{}); got != Ended {
		t.Errorf("without a connection: got %d, want %d", got, Ended)
	}
}

// A connection is made just as a server looks whether it may close its port. It is to be
// accepted first, or its maker's request is lost.
func TestShutWaitsForWhoeverArrives(t *testing.T) {
	l, _ := dialled(t)

	if Shut(l) {
		t.Error("with a connection waiting: got shut, want it left open")
	}

	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = near.Close() }()

	if !Shut(l) {
		t.Error("with nobody waiting: got it left open, want it shut")
	}

	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		t.Errorf("got a connection to %v, want none", c.RemoteAddr())
	}

	if Peek(near) != Quiet {
		t.Error("got the accepted connection disturbed")
	}
}
