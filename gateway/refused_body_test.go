package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/drain"
	"boragehub/intake"
	"boragehub/site"
)

// serveWith serves the gateway behind a server that accounts for memory, and returns its address.
func (env *testEnv) serveWith(t *testing.T, clients *intake.Ledger) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := drain.NewServer(drain.Config{Handler: env.gateway, Port: clients.Port(intake.PortConfig{Name: "callers"})})
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(l) }()

	t.Cleanup(func() {
		s.Close()

		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("got %v, want %v", err, http.ErrServerClosed)
		}
	})

	return l.Addr().String()
}

// partialRequest sends a part of a request and returns the response, without closing the connection or sending more.
func partialRequest(t *testing.T, address, text string) *http.Response {
	t.Helper()

	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = nc.Close() })

	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))

	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}

	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}

	t.Cleanup(func() { _ = resp.Body.Close() })

	return resp
}

// Guards against a caller that waits for ever for the response to a request whose body stops, and against such a
// request that runs.
func TestRequestsWhoseBodiesStopGetTheirResponse(t *testing.T) {
	const large = 1 << 15

	framings := []struct{ name, text string }{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\nabc", large)},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
	}
	tests := []struct {
		name, path, headers string
		want                int
	}{
		{"unknown key", "/once/1", "Key: other\r\n", http.StatusUnauthorized},
		{"no route", "/nowhere/1", "Key: k1\r\n", http.StatusNotFound},
		{"malformed", "/once/1", "Key: k1\r\nBad: 1\r\n", http.StatusBadRequest},
		{"until the caller's deadline", "/unhurried/1", "Key: k1\r\nWait: 200\r\n", http.StatusRequestTimeout},
		{"until the route's timeout", "/quick/1", "Key: k1\r\n", http.StatusRequestTimeout},
	}

	for _, tt := range tests {
		for _, f := range framings {
			t.Run(tt.name+", "+f.name, func(t *testing.T) {
				a := newFakeEngine(t, "a", respond(ok200))
				env := newTestEnv(t, a)
				address := env.serveWith(t, intake.NewLedger(intake.Config{Log: logr.Discard()}))

				resp := partialRequest(t, address, "POST "+tt.path+" HTTP/1.1\r\nHost: desk\r\nId: r1\r\n"+tt.headers+f.text)
				if resp.StatusCode != tt.want || !resp.Close || a.count() != 0 {
					t.Errorf("got %d, closing %v, %d requests at the target, want %d, closing, none", resp.StatusCode, resp.Close, a.count(), tt.want)
				}
			})
		}
	}
}

// Guards against a refusal for lack of memory that promises something else than that the request never runs, and
// against memory that stays taken.
func TestRequestsWithoutMemoryAreRefusedWithoutHavingRun(t *testing.T) {
	const limit = 1 << 20 // of a body in the configuration

	a := newFakeEngine(t, "a", respond(ok200), respond(ok200))
	env := newTestEnv(t, a)

	larger := published
	larger.Version, larger.Limits.BodyBytes = 2, limit
	env.gateway.Configure(site.New(larger))

	clients := intake.NewLedger(intake.Config{Bytes: 2 * limit, Log: logr.Discard()})
	address := env.serveWith(t, clients)

	// A request in flight holds its body.
	hanging, arrived := newHangingEngine(t, "h", "")
	env.roster.ObserveRemoval(time.Now(), "sa")
	env.list(hanging)

	held, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}

	head := func(path string, n int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk\r\nId: r1\r\nKey: k1\r\nContent-Length: %d\r\n\r\n", path, n)
	}

	if _, err := io.WriteString(held, head("/unhurried/1", limit)+strings.Repeat("x", limit)); err != nil {
		t.Fatal(err)
	}

	<-arrived

	resp := partialRequest(t, address, head("/once/1", limit)+strings.Repeat("x", limit))
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("beside a request in flight: got %d, Retry-After %q, closing %v, want 503 with a time, closing", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
	}

	if got := hanging.count(); got != 1 {
		t.Errorf("got %d requests at the target, want the one in flight", got)
	}

	_ = held.Close()

	env.roster.ObserveRemoval(time.Now(), "sh")
	env.list(a)

	for end := time.Now().Add(10 * time.Second); clients.Usage().Connections > 1 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}

	resp = partialRequest(t, address, head("/once/1", limit)+strings.Repeat("x", limit))
	if resp.StatusCode != http.StatusOK {
		t.Errorf("in calm: got %d, want 200", resp.StatusCode)
	}
}
