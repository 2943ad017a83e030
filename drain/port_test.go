package drain

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/intake"
	"boragehub/socket"
)

// startBounded starts a server with a limit on its connections.
func startBounded(t *testing.T, h http.Handler, connections int) *testServer {
	t.Helper()

	port := intake.NewLedger(intake.Config{Log: logr.Discard()}).Port(intake.PortConfig{Name: "callers", Connections: connections})

	return startConfigured(t, Config{Handler: h, Port: port})
}

// Guards against more callers than a process has descriptors and memory for, and against a request in flight that is
// lost to a new connection.
func TestServerLimitsOpenConnections(t *testing.T) {
	const limit = 3

	g := newGatedHandler()
	s := startBounded(t, g, limit)

	var busy []*caller

	for range limit {
		c := s.connect(t)
		c.send(t, request)
		<-g.started

		busy = append(busy, c)
	}

	refused := s.connect(t)
	if _, _, err := refused.response(); err == nil {
		t.Error("beyond the limit: got a response, want the connection closed")
	}

	if got, want := s.Count(), (Count{Busy: limit}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}

	for range limit {
		g.release <- struct{}{}
	}

	for i, c := range busy {
		if _, body, err := c.response(); err != nil || body != "ok" {
			t.Errorf("request %d in flight: got %q, %v, want ok", i, body, err)
		}
	}

	g.release <- struct{}{}

	later := s.connect(t)
	later.send(t, request)

	if _, body, err := later.response(); err != nil || body != "ok" {
		t.Errorf("beside unused connections: got %q, %v, want ok", body, err)
	}

	eventually(t, "one unused connection is closed", func() bool { return s.Count().Busy+s.Count().Idle+s.Count().Opened == limit })
}

// connected returns both ends of a connection.
func connected(t *testing.T) (server *net.TCPConn, client net.Conn) {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = l.Close() }()

	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() {
		_ = client.Close()
		_ = nc.Close()
	})

	return nc.(*net.TCPConn), client
}

// Guards against a request that was sent on an unused connection and is lost as the connection gives way.
func TestConnectionsWithUnreadRequestsDoNotGiveWay(t *testing.T) {
	port := intake.NewLedger(intake.Config{Log: logr.Discard()}).Port(intake.PortConfig{Name: "callers", Connections: 1})
	tracker := newConnTracker(port)

	server, client := connected(t)
	if _, ok := tracker.add(time.Now(), server); !ok {
		t.Fatal("got the first connection refused")
	}

	if _, err := client.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}

	eventually(t, "the request arrives", func() bool { return socket.Peek(server) == socket.Readable })

	other, _ := connected(t)
	if _, ok := tracker.add(time.Now(), other); ok {
		t.Error("got the second connection admitted, want it refused")
	}

	if got := socket.Peek(server); got != socket.Readable {
		t.Errorf("got state %d, want the first connection open with its request", got)
	}
}
