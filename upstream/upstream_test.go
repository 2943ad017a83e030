package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// connHandler serves one connection of a fake target.
type connHandler func(c net.Conn, br *bufio.Reader)

// newTarget starts a target that serves each connection by the next handler, and by the last
// one once there is no next. It returns the target's address.
func newTarget(t *testing.T, handlers ...connHandler) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}

			serve := handlers[min(i, len(handlers)-1)]

			go func() {
				defer func() { _ = c.Close() }()

				serve(c, bufio.NewReader(c))
			}()
		}
	}()

	return l.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(br *bufio.Reader) (*http.Request, []byte, error) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, nil, err
	}

	body, err := io.ReadAll(r.Body)

	return r, body, err
}

// respondEach responds to the requests of a connection with the responses in order, and with
// the last one once there is no next.
func respondEach(responses ...string) connHandler {
	return func(c net.Conn, br *bufio.Reader) {
		for i := 0; ; i++ {
			if _, _, err := readRequest(br); err != nil {
				return
			}

			if _, err := io.WriteString(c, responses[min(i, len(responses)-1)]); err != nil {
				return
			}
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"

func getRequest(address, id string) Request {
	return Request{
		Address: address, Method: http.MethodGet,
		Head:  []byte("GET / HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\n\r\n"),
		Match: func(h http.Header) bool { return h.Get("X-Id") == id },
	}
}

// roundTrip sends a request and returns the body of its response.
func roundTrip(p *Pool, r Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()

	x, err := p.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer x.Close()

	b, err := io.ReadAll(x)

	return string(b), err
}

func TestConnectionIsReusedOnlyAfterCompleteResponse(t *testing.T) {
	tests := []struct {
		name     string
		response string
		dials    uint64
	}{
		{"complete", okResponse, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"closing", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"bytes after the response", okResponse + "HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 2\r\n\r\nno", 2},
		{"keep-alive timeout of 1 s", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 1},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(Config{})
			a := newTarget(t, respondEach(tt.response))

			for range 2 {
				got, err := roundTrip(p, getRequest(a, "1"))
				if err != nil || got != "ok" {
					t.Fatalf("got %q %v, want ok", got, err)
				}
			}

			if got := p.Dials(); got != tt.dials {
				t.Errorf("got %d connections, want %d", got, tt.dials)
			}
		})
	}
}

// A response to an earlier request arrives late, in place of the next response. If it were
// returned, a caller would see the booking of another one.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother"
	a := newTarget(t, respondEach(mismatched+okResponse))

	got, err := roundTrip(NewPool(Config{}), getRequest(a, "1"))
	if err != nil || got != "ok" {
		t.Errorf("got %q %v, want ok", got, err)
	}
}

// Guards against a part of a long response to another request that is read as the response to this one.
func TestLongResponseToAnotherRequestEndsTheConnection(t *testing.T) {
	forged := strings.Repeat(" ", maxDiscardedBody) + okResponse
	a := newTarget(t, respondEach("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: "+strconv.Itoa(len(forged))+"\r\n\r\n"+forged))

	got, err := roundTrip(NewPool(Config{}), getRequest(a, "1"))
	if !errors.Is(err, errMismatched) {
		t.Errorf("got %q, %v, want %v", got, err, errMismatched)
	}
}

func TestOnlyResponsesToOtherRequestsIsAnError(t *testing.T) {
	mismatched := "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother"
	a := newTarget(t, respondEach(mismatched+mismatched+mismatched))

	_, err := roundTrip(NewPool(Config{}), getRequest(a, "1"))
	if !errors.Is(err, errMismatched) {
		t.Errorf("got %v, want %v", err, errMismatched)
	}

	if got := DeliveryOf(err); got != MaybeSent {
		t.Errorf("got %v, want %v", got, MaybeSent)
	}
}

// A truncated response must never count as a complete one, and the error must report whether
// the request may have run.
func TestErrorsReportDelivery(t *testing.T) {
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	closed := unused.Addr().String()
	_ = unused.Close()

	tests := []struct {
		name    string
		address string
		want    Delivery
		step    string
	}{
		{"no listener", closed, NotSent, stepDial},
		{"closes without a response", newTarget(t, func(_ net.Conn, br *bufio.Reader) { _, _, _ = readRequest(br) }), MaybeSent, stepHead},
		{"closes in the header", newTarget(t, func(c net.Conn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id")
		}), MaybeSent, stepHead},
		{"closes in the body", newTarget(t, func(c net.Conn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 20\r\n\r\nhalf")
		}), MaybeSent, stepBody},
		{"closes between chunks", newTarget(t, func(c net.Conn, br *bufio.Reader) {
			_, _, _ = readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		}), MaybeSent, stepBody},
		{"not HTTP", newTarget(t, respondEach("hello\r\n\r\n")), MaybeSent, stepHead},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := roundTrip(NewPool(Config{}), getRequest(tt.address, "1"))

			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v, want an *Error", err)
			}

			if e.Delivery() != tt.want || e.Step() != tt.step {
				t.Errorf("got %v at %s, want %v at %s", e.Delivery(), e.Step(), tt.want, tt.step)
			}
		})
	}
}

// A request whose context ended before the first byte was written must not count as sent: a
// booking that certainly did not run may be retried on another target.
func TestContextEndedBeforeSendIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	p := NewPool(Config{})
	a := newTarget(t, respondEach(okResponse))

	if _, err := roundTrip(p, getRequest(a, "1")); err != nil {
		t.Fatal(err)
	}

	cancel()

	_, err := p.Send(ctx, getRequest(a, "1"))
	if got := DeliveryOf(err); err == nil || got != NotSent {
		t.Errorf("got %v %v, want %v", got, err, NotSent)
	}
}

// A target closes an idle connection. The next request must not be sent on it: it would
// fail, and it would be unknown whether it ran.
func TestConnectionClosedByTheTargetIsNotUsedAgain(t *testing.T) {
	closed := make(chan struct{})
	once := func(c net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = io.WriteString(c, okResponse)
		_ = c.Close()
		close(closed)
	}
	a := newTarget(t, once, respondEach(okResponse))
	p := NewPool(Config{})

	if _, err := roundTrip(p, getRequest(a, "1")); err != nil {
		t.Fatal(err)
	}

	<-closed

	// The pool detects the close once it has arrived over the loopback interface.
	for range 100 {
		if got, err := roundTrip(p, getRequest(a, "1")); err != nil || got != "ok" {
			t.Fatalf("got %q %v, want ok", got, err)
		}
	}
}

// A target may reject a long request before it has read the body. The rest of the body must
// not be taken for the next request on the connection.
func TestEarlyResponseClosesConnectionWithUnsentBody(t *testing.T) {
	early := func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}

		_, _ = io.WriteString(c, okResponse)
		time.Sleep(3 * bodyWriteTimeout)
	}
	a := newTarget(t, early, respondEach(okResponse))
	p := NewPool(Config{})
	long := getRequest(a, "1")
	long.Method = http.MethodPost
	long.Body = []byte(strings.Repeat("GET /smuggled HTTP/1.1\r\n\r\n", 1<<18))
	long.Head = []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 6815744\r\n\r\n")

	if got, err := roundTrip(p, long); err != nil || got != "ok" {
		t.Fatalf("got %q %v, want ok", got, err)
	}

	if got, err := roundTrip(p, getRequest(a, "1")); err != nil || got != "ok" {
		t.Errorf("got %q %v, want ok", got, err)
	}

	if got := p.Dials(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// A caller leaves while its target processes the request. The connection must be closed,
// which tells the target to stop.
func TestCancelClosesTheConnection(t *testing.T) {
	stopped := make(chan struct{})
	hang := func(_ net.Conn, br *bufio.Reader) {
		_, _, _ = readRequest(br)
		_, _ = br.ReadByte()
		close(stopped)
	}

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)

	_, err := NewPool(Config{}).Send(ctx, getRequest(newTarget(t, hang), "1"))
	if err == nil {
		t.Fatal("got a response, want an error")
	}

	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("got the connection open, want it closed")
	}
}

func TestKeepAliveTimeoutSubtractsMargin(t *testing.T) {
	tests := []struct {
		text string
		want time.Duration
	}{
		{"", 0},
		{"timeout=5", 4500 * time.Millisecond},
		{"max=3, Timeout=2", 1500 * time.Millisecond},
		{"timeout=x", 0},
		{"timeout=0", 0},
	}

	for _, tt := range tests {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {tt.text}}); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.text, got, tt.want)
		}
	}
}

func TestSweepClosesExpiredConnections(t *testing.T) {
	p := NewPool(Config{IdleTimeout: time.Minute})
	a := newTarget(t, respondEach(okResponse))

	if _, err := roundTrip(p, getRequest(a, "1")); err != nil {
		t.Fatal(err)
	}

	p.Sweep(time.Now().Add(2 * time.Minute))

	if got := len(p.idle); got != 0 {
		t.Errorf("got %d addresses with connections, want 0", got)
	}
}

// Guards against a check of a target that can't tell whether it has ended, or whose connection is lost.
func TestConnectTellsWhetherATargetAcceptsConnections(t *testing.T) {
	p := NewPool(Config{})
	address := newTarget(t, respondEach(okResponse))

	if err := p.Connect(t.Context(), address); err != nil {
		t.Fatal(err)
	}

	x, err := p.Send(t.Context(), getRequest(address, "1"))
	if err != nil {
		t.Fatal(err)
	}

	x.Close()

	if got := p.Dials(); got != 1 {
		t.Errorf("got %d connections, want the first one used", got)
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	_ = l.Close()

	if err := p.Connect(t.Context(), l.Addr().String()); !Refused(err) {
		t.Errorf("got %v, want a refused connection", err)
	}
}

// Guards against taking a target's response to one attempt of a request, arriving a second time, for that to the next
// one: both have the same id.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	address := newTarget(t, respondEach(okResponse))
	p := NewPool(Config{})

	for _, tt := range []struct {
		id   string
		want uint64 // connections opened so far
	}{{"a", 1}, {"b", 1}, {"a", 2}, {"c", 2}, {"a", 3}, {"", 3}, {"", 3}} {
		x, err := p.Send(t.Context(), Request{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), ID: tt.id})
		if err != nil {
			t.Fatal(err)
		}

		if _, err := io.ReadAll(x); err != nil {
			t.Fatal(err)
		}

		x.Close()

		if got := p.Dials(); got != tt.want {
			t.Errorf("request %q: got %d connections opened, want %d", tt.id, got, tt.want)
		}
	}
}

// Guards against further requests on a connection on which responses no longer arrive in the order of the requests.
func TestConnectionWithAResponseToAnotherRequestIsClosed(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 5\r\n\r\nother"

	address := newTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			if _, _, err := readRequest(br); err != nil {
				return
			}

			if _, err := io.WriteString(c, other+okResponse); err != nil {
				return
			}
		}
	})
	p := NewPool(Config{})

	for want := range uint64(2) {
		x, err := p.Send(t.Context(), Request{
			Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
			Match: func(h http.Header) bool { return h.Get("X-Id") == "1" },
		})
		if err != nil {
			t.Fatal(err)
		}

		if body, err := io.ReadAll(x); err != nil || string(body) != "ok" {
			t.Errorf("got %q, %v, want the request's own response", body, err)
		}

		x.Close()

		if got := p.Dials(); got != want+1 {
			t.Errorf("got %d connections opened, want %d", got, want+1)
		}
	}
}
