package drain

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// serving is a Server on a port of its own.
type serving struct {
	*Server

	address string
}

func serve(t *testing.T, h http.Handler, keepAlive time.Duration) *serving {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &serving{NewServer(Config{Handler: h, HeaderTimeout: time.Minute, KeepAlive: keepAlive}), l.Addr().String()}
	served := make(chan error, 1)

	go func() { served <- s.Serve(l) }()

	t.Cleanup(func() {
		s.Close()

		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve: got %v, want %v", err, http.ErrServerClosed)
		}
	})

	return s
}

// caller is a caller on one connection.
type caller struct {
	net.Conn

	br *bufio.Reader
}

func (s *serving) connect(t *testing.T) *caller {
	t.Helper()

	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = nc.Close() })

	return &caller{nc, bufio.NewReader(nc)}
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()

	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// request is a whole request.
const request = "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"

// answer reads an answer whole.
func (c *caller) answer() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)

	return resp, string(b), err
}

// gate lets requests through one by one.
type gate struct {
	begun, open chan struct{}
}

func newGate() gate { return gate{make(chan struct{}, 100), make(chan struct{}, 100)} }

func (g gate) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.begun <- struct{}{}
	<-g.open

	_, _ = io.WriteString(w, "ok")
}

var ok = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

// eventually waits for a condition, for far longer than it should take.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()

	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never came true: %s", what)
		}
	}
}

// Callers keep their connections for the next request. One that doesn't hear that the
// process leaves sends it just as the connection is closed, and is left without an answer.
func TestAnswersTellHowLongTheirConnectionIsOfUse(t *testing.T) {
	silent := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	closing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	tests := []struct {
		name      string
		handler   http.Handler
		keepAlive time.Duration
		leaves    bool
		want      string
		closes    bool
	}{
		{"told", ok, 2 * time.Second, false, "timeout=2", false},
		{"nothing to tell", ok, 0, false, "", false},
		{"an answer without a word", silent, 2 * time.Second, false, "timeout=2", false},
		{"the handler closes", closing, 2 * time.Second, false, "", true},
		{"leaving", ok, 2 * time.Second, true, "", true},
		{"leaving, without a word", silent, 2 * time.Second, true, "", true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, tt.handler, tt.keepAlive)
			if tt.leaves {
				s.Leave()
			}

			c := s.connect(t)
			c.send(t, request)

			resp, _, err := c.answer()
			if err != nil {
				t.Fatal(err)
			}

			if got := resp.Header.Get("Keep-Alive"); got != tt.want || resp.Close != tt.closes {
				t.Errorf("got %q, closing %v, want %q, %v", got, resp.Close, tt.want, tt.closes)
			}
		})
	}
}

// A request is being worked on as the stop begins. Its caller has to hear that the
// connection is of no use, too.
func TestStopTellsTheCallersOfWhatIsInWork(t *testing.T) {
	g := newGate()
	s := serve(t, g, time.Second)
	c := s.connect(t)
	c.send(t, request)
	<-g.begun
	s.Leave()

	g.open <- struct{}{}

	if resp, _, err := c.answer(); err != nil || !resp.Close {
		t.Errorf("got %v, %v, want an answer that closes", resp, err)
	}
}

// Guards against a stop that closes a connection as idle when the head of the next request has
// been read only in part.
func TestStopWaitsForARequestThatIsPartlyRead(t *testing.T) {
	s := serve(t, ok, 0)
	c := s.connect(t)
	c.send(t, request)

	if _, _, err := c.answer(); err != nil {
		t.Fatal(err)
	}

	c.send(t, "GET / HTTP/1.1\r\nHost: desk\r\n")
	eventually(t, "a part is read", func() bool { return s.Count() == Count{Idle: 1, Pending: 1} })

	drained := make(chan Count, 1)

	go func() { drained <- s.Drain(t.Context(), Stop{}) }()

	// Sends a header line before each check of the port, so that the interval between parts
	// doesn't grow to nextPart while the port is still open.
	eventually(t, "the port is closed", func() bool {
		c.send(t, "X-Part: 1\r\n")

		return !s.takes()
	})
	c.send(t, "\r\n")

	if _, body, err := c.answer(); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// takes reports whether the port is open.
func (s *serving) takes() bool {
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		return false
	}

	_ = nc.Close()

	return true
}

// A long answer still runs, and the balancer goes on sending callers to the process that
// stops, since it finds no others. With its port closed they would find nobody.
func TestPortStaysOpenWhileSomethingRunsLong(t *testing.T) {
	g := newGate()
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			g.ServeHTTP(w, r)
		} else {
			ok(w, r)
		}
	}), 0)
	long := s.connect(t)
	long.send(t, "GET /long HTTP/1.1\r\nHost: desk\r\n\r\n")
	<-g.begun

	runs := make(chan struct{})
	drained := make(chan Count, 1)

	go func() {
		drained <- s.Drain(t.Context(), Stop{Short: func(time.Time) bool {
			select {
			case <-runs:
				return true
			default:
				return false
			}
		}})
	}()

	eventually(t, "the stop has begun", s.leaving.Load)

	for n := range 20 {
		late := s.connect(t)
		late.send(t, request)

		if resp, body, err := late.answer(); err != nil || body != "ok" || !resp.Close {
			t.Errorf("late caller %d: got %q, %v, want ok and a closed connection", n, body, err)
		}
	}

	close(runs)
	g.open <- struct{}{}

	if _, body, err := long.answer(); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// The head of a long answer went out before the stop, and says that the connection may be
// used for a while behind the answer. With the port closed meanwhile, callers find nobody
// for seconds although the process lives and serves nothing.
func TestPortStaysOpenWhileACallerMayUseItsConnection(t *testing.T) {
	head := make(chan struct{})
	rest := make(chan struct{})
	s := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			ok(w, r)

			return
		}

		_, _ = io.WriteString(w, "o")
		_ = http.NewResponseController(w).Flush()

		close(head)
		<-rest

		_, _ = io.WriteString(w, "k")
	}), time.Second)
	c := s.connect(t)
	c.send(t, "GET /long HTTP/1.1\r\nHost: desk\r\n\r\n")
	<-head

	drained := make(chan Count, 1)

	go func() { drained <- s.Drain(t.Context(), Stop{}) }()

	eventually(t, "the stop has begun", s.leaving.Load)
	close(rest)

	if resp, body, err := c.answer(); err != nil || body != "ok" || resp.Close {
		t.Fatalf("got %q, %v, want ok and no word that the connection closes", body, err)
	}

	if !s.takes() {
		t.Error("got the port closed behind the answer, want it open")
	}

	c.send(t, request)

	if resp, body, err := c.answer(); err != nil || body != "ok" || !resp.Close {
		t.Errorf("got %q, %v, want ok and that the connection closes", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// An answer that doesn't end in the time that a stop may take is broken off, and the
// count says so.
func TestStopEndsInTime(t *testing.T) {
	g := newGate()
	s := serve(t, g, 0)
	c := s.connect(t)
	c.send(t, request)
	<-g.begun

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	if got, want := s.Drain(ctx, Stop{}), (Count{Busy: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}

	if _, _, err := c.answer(); err == nil {
		t.Error("got an answer, want a broken connection")
	}

	g.open <- struct{}{}
}

// What may be closed without anybody missing an answer.
func TestSettled(t *testing.T) {
	const keepAlive = 2 * time.Second

	t0 := time.Unix(1000, 0)
	tests := []struct {
		name  string
		phase phase
		heard time.Duration // before the look; zero for never
		after time.Duration
		want  bool
	}{
		{"being served", busy, 0, time.Minute, false},
		{"used lately", idle, 0, keepAlive - 1, false},
		{"not used any more", idle, 0, keepAlive, true},
		{"a part of the next request read", idle, nextPart - 1, time.Minute, false},
		{"a part read, and no more came", idle, nextPart + 1, time.Minute, true},
		{"opened just now", opened, 0, firstRequest - 1, false},
		{"opened for nothing", opened, 0, firstRequest, true},
		{"a part of its first request read", opened, nextPart - 1, time.Minute, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newCensus()
			c := s.add(t0, quiet(t))
			c.enter(t0, tt.phase)

			now := t0.Add(tt.after)
			if tt.heard > 0 {
				c.hear(now.Add(-tt.heard))
			}

			if got := s.settled(now, keepAlive); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// quiet returns a connection on which nothing comes.
func quiet(t *testing.T) *net.TCPConn {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = nc.Close() })

	return nc.(*net.TCPConn)
}

// A stop that waits too long keeps many entries away at once while all are replaced; one
// that doesn't wait for the balancer closes the port before callers who are on their way.
func TestBalancerKnowsWhenItWasToldTwice(t *testing.T) {
	t0 := time.Now()
	b := NewBalancer(func() bool { return true })

	if b.Released(t0.Add(time.Hour)) {
		t.Error("without a stop: got released")
	}

	ask := func() int {
		w := httptest.NewRecorder()
		b.ServeHTTP(w, nil)

		return w.Code
	}

	if got := ask(); got != http.StatusOK {
		t.Errorf("before the stop: got %d, want 200", got)
	}

	b.Leave(t0)

	for n := 1; n <= enough; n++ {
		if got, want := b.Released(t0.Add(time.Second)), false; got != want {
			t.Errorf("after %d refusals: got released %v, want %v", n-1, got, want)
		}

		if got := ask(); got != http.StatusServiceUnavailable {
			t.Errorf("refusal %d: got %d, want 503", n, got)
		}
	}

	steps := []struct {
		at   time.Time
		want bool
	}{
		{b.last.Add(lastCallers - 1), false},
		{b.last.Add(lastCallers), true},
	}

	for _, s := range steps {
		if got := b.Released(s.at); got != s.want {
			t.Errorf("%v after the last refusal: got %v, want %v", s.at.Sub(b.last), got, s.want)
		}
	}

	unasked := NewBalancer(func() bool { return true })
	unasked.Leave(t0)

	for _, s := range []struct {
		after time.Duration
		want  bool
	}{{mostAsked - 1, false}, {mostAsked, true}} {
		if got := unasked.Released(t0.Add(s.after)); got != s.want {
			t.Errorf("nobody asks for %v: got %v, want %v", s.after, got, s.want)
		}
	}
}

func ExampleServer_Drain() {
	s := NewServer(Config{Handler: ok, KeepAlive: time.Second})

	fmt.Println(s.Drain(context.Background(), Stop{}))
	// Output: {0 0 0 0}
}
