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

// testServer is a Server on its own port.
type testServer struct {
	*Server

	address string
}

func startServer(t *testing.T, h http.Handler, keepAlive time.Duration) *testServer {
	t.Helper()

	return startConfigured(t, Config{Handler: h, HeaderTimeout: time.Minute, KeepAlive: keepAlive})
}

func startConfigured(t *testing.T, cfg Config) *testServer {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &testServer{NewServer(cfg), l.Addr().String()}
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

// caller is a caller with one connection.
type caller struct {
	net.Conn

	br *bufio.Reader
}

func (s *testServer) connect(t *testing.T) *caller {
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

// request is a complete request.
const request = "GET / HTTP/1.1\r\nHost: desk\r\n\r\n"

// response reads a complete response.
func (c *caller) response() (*http.Response, string, error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)

	return resp, string(b), err
}

// gatedHandler holds each request until release receives a value.
type gatedHandler struct {
	started, release chan struct{}
}

func newGatedHandler() gatedHandler {
	return gatedHandler{make(chan struct{}, 100), make(chan struct{}, 100)}
}

func (g gatedHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	g.started <- struct{}{}
	<-g.release

	_, _ = io.WriteString(w, "ok")
}

var okHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })

// eventually waits until a condition holds; its timeout is far longer than needed.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()

	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

// Callers reuse connections. If the server does not announce that it closes one, a caller may
// send the next request just as it is closed, and gets no response.
func TestResponsesAnnounceKeepAliveOrClose(t *testing.T) {
	empty := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	closing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
	tests := []struct {
		name      string
		handler   http.Handler
		keepAlive time.Duration
		draining  bool
		want      string
		closes    bool
	}{
		{"keep-alive", okHandler, 2 * time.Second, false, "timeout=2", false},
		{"no keep-alive time", okHandler, 0, false, "", false},
		{"empty response", empty, 2 * time.Second, false, "timeout=2", false},
		{"the handler closes", closing, 2 * time.Second, false, "", true},
		{"draining", okHandler, 2 * time.Second, true, "", true},
		{"draining, empty response", empty, 2 * time.Second, true, "", true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := startServer(t, tt.handler, tt.keepAlive)
			if tt.draining {
				s.StartDrain()
			}

			c := s.connect(t)
			c.send(t, request)

			resp, _, err := c.response()
			if err != nil {
				t.Fatal(err)
			}

			if got := resp.Header.Get("Keep-Alive"); got != tt.want || resp.Close != tt.closes {
				t.Errorf("got %q, closing %v, want %q, %v", got, resp.Close, tt.want, tt.closes)
			}
		})
	}
}

// A request is being served when the drain begins. Its response, too, must announce that the
// connection closes.
func TestDrainAnnouncesCloseToRequestsInFlight(t *testing.T) {
	g := newGatedHandler()
	s := startServer(t, g, time.Second)
	c := s.connect(t)
	c.send(t, request)
	<-g.started
	s.StartDrain()

	g.release <- struct{}{}

	if resp, _, err := c.response(); err != nil || !resp.Close {
		t.Errorf("got %v, %v, want an answer that closes", resp, err)
	}
}

// Guards against a drain that closes a connection as idle when the header of the next request
// has been read only in part.
func TestDrainWaitsForPartlyReadRequest(t *testing.T) {
	s := startServer(t, okHandler, 0)
	c := s.connect(t)
	c.send(t, request)

	if _, _, err := c.response(); err != nil {
		t.Fatal(err)
	}

	c.send(t, "GET / HTTP/1.1\r\nHost: desk\r\n")
	eventually(t, "a part is read", func() bool { return s.Count() == Count{Idle: 1, Pending: 1} })

	drained := make(chan Count, 1)

	go func() { drained <- s.Drain(t.Context(), Options{}) }()

	// Sends a header line before each check of the port, so that the interval between parts
	// doesn't grow to nextPartTimeout while the port is still open.
	eventually(t, "the port is closed", func() bool {
		c.send(t, "X-Part: 1\r\n")

		return !s.accepts()
	})
	c.send(t, "\r\n")

	if _, body, err := c.response(); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// accepts reports whether the port accepts connections.
func (s *testServer) accepts() bool {
	nc, err := net.Dial("tcp", s.address)
	if err != nil {
		return false
	}

	_ = nc.Close()

	return true
}

// A long request is running, and the load balancer still sends callers to the draining process
// because it has no other. If the port were closed, their connections would be refused.
func TestPortStaysOpenDuringLongRequest(t *testing.T) {
	g := newGatedHandler()
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			g.ServeHTTP(w, r)
		} else {
			okHandler(w, r)
		}
	}), 0)
	long := s.connect(t)
	long.send(t, "GET /long HTTP/1.1\r\nHost: desk\r\n\r\n")
	<-g.started

	runs := make(chan struct{})
	drained := make(chan Count, 1)

	go func() {
		drained <- s.Drain(t.Context(), Options{MayClosePort: func(time.Time) bool {
			select {
			case <-runs:
				return true
			default:
				return false
			}
		}})
	}()

	eventually(t, "the drain has begun", s.draining.Load)

	for n := range 20 {
		late := s.connect(t)
		late.send(t, request)

		if resp, body, err := late.response(); err != nil || body != "ok" || !resp.Close {
			t.Errorf("late caller %d: got %q, %v, want ok and a closed connection", n, body, err)
		}
	}

	close(runs)
	g.release <- struct{}{}

	if _, body, err := long.response(); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// The header of a long response was sent before the drain, and announces that the connection
// may be used for some time after the response. If the port were closed meanwhile, callers
// would be refused for seconds although the process is idle.
func TestPortStaysOpenDuringKeepAlive(t *testing.T) {
	head := make(chan struct{})
	rest := make(chan struct{})
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			okHandler(w, r)

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

	go func() { drained <- s.Drain(t.Context(), Options{}) }()

	eventually(t, "the drain has begun", s.draining.Load)
	close(rest)

	if resp, body, err := c.response(); err != nil || body != "ok" || resp.Close {
		t.Fatalf("got %q, %v, want ok and no announced close", body, err)
	}

	if !s.accepts() {
		t.Error("got the port closed after the response, want it open")
	}

	c.send(t, request)

	if resp, body, err := c.response(); err != nil || body != "ok" || !resp.Close {
		t.Errorf("got %q, %v, want ok and an announced close", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// A caller has opened a connection in advance and sends no request on it. Guards against closing the
// port a second before that connection: callers would be refused although the process is idle.
func TestPortStaysOpenForConnectionWithoutRequest(t *testing.T) {
	s := startServer(t, okHandler, 0)
	spare := s.connect(t)

	eventually(t, "the connection was accepted", func() bool { return s.Count().Opened == 1 })

	checks := make(chan struct{}, 1000)
	drained := make(chan Count, 1)

	go func() {
		drained <- s.Drain(t.Context(), Options{MayClosePort: func(time.Time) bool {
			checks <- struct{}{}

			return true
		}})
	}()

	eventually(t, "the port stays open at the first check", func() bool { return len(checks) > 1 })
	spare.send(t, request)

	if resp, body, err := spare.response(); err != nil || body != "ok" || !resp.Close {
		t.Errorf("got %q, %v, want ok and an announced close", body, err)
	}

	if got, want := <-drained, (Count{}); got != want {
		t.Errorf("got %+v closed, want %+v", got, want)
	}
}

// Guards against a port that never closes because connections are opened all the time.
func TestWaitForConnectionsWithoutRequestIsBounded(t *testing.T) {
	t0 := time.Unix(1000, 0)
	tests := []struct {
		after  time.Duration
		opened int
		want   bool
	}{
		{0, 2, false},
		{firstRequestTimeout - 1, 1, false},
		{firstRequestTimeout - 1, 0, true},
		{firstRequestTimeout, 1, true},
	}

	var w openedWait

	for _, tt := range tests {
		if got := w.over(t0.Add(tt.after), tt.opened); got != tt.want {
			t.Errorf("after %v with %d opened: got over %v, want %v", tt.after, tt.opened, got, tt.want)
		}
	}
}

// The process is paused for more than a second just after it has read a request. Guards against closing
// the connection because the request seems incomplete for so long: its caller would get no response.
func TestDrainGivesTimeAfterPause(t *testing.T) {
	t0 := time.Unix(1000, 0)
	p := pauseDetector{lastCheck: t0}
	tests := []struct {
		after time.Duration
		want  bool
	}{
		{checkInterval, true},
		{checkInterval + maxCheckGap - 1, true},
		{1200 * time.Millisecond, false},
		{1200*time.Millisecond + resumeTime - 1, false},
		{1200*time.Millisecond + resumeTime, true},
	}

	for _, tt := range tests {
		if got := p.running(t0.Add(tt.after)); got != tt.want {
			t.Errorf("after %v: got running %v, want %v", tt.after, got, tt.want)
		}
	}
}

// A response that does not end before the drain's context ends is aborted, and the returned
// count reports it.
func TestDrainEndsWithContext(t *testing.T) {
	g := newGatedHandler()
	s := startServer(t, g, 0)
	c := s.connect(t)
	c.send(t, request)
	<-g.started

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	if got, want := s.Drain(ctx, Options{}), (Count{Busy: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}

	if _, _, err := c.response(); err == nil {
		t.Error("got a response, want a closed connection")
	}

	g.release <- struct{}{}
}

// Covers which connections may be closed without losing a response.
func TestCanClose(t *testing.T) {
	const keepAlive = 2 * time.Second

	t0 := time.Unix(1000, 0)
	tests := []struct {
		name      string
		phase     phase
		sinceRead time.Duration // time since the last read; zero for never
		after     time.Duration
		want      bool
	}{
		{"being served", phaseBusy, 0, time.Minute, false},
		{"used recently", phaseIdle, 0, keepAlive - 1, false},
		{"expired", phaseIdle, 0, keepAlive, true},
		{"part of the next request read", phaseIdle, nextPartTimeout - 1, time.Minute, false},
		{"part read, rest overdue", phaseIdle, nextPartTimeout + 1, time.Minute, true},
		{"just opened", phaseOpened, 0, firstRequestTimeout - 1, false},
		{"opened and never used", phaseOpened, 0, firstRequestTimeout, true},
		{"part of its first request read", phaseOpened, nextPartTimeout - 1, time.Minute, false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newConnTracker(nil)
			c, _ := s.add(t0, idleConn(t))
			c.setPhase(t0, tt.phase)

			now := t0.Add(tt.after)
			if tt.sinceRead > 0 {
				c.recordRead(now.Add(-tt.sinceRead))
			}

			if got := s.canClose(now, keepAlive); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// idleConn returns a connection on which nothing is received.
func idleConn(t *testing.T) *net.TCPConn {
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

// A drain that waits too long keeps many entries out of service at once while all are replaced;
// one that doesn't wait for the load balancer refuses callers that it has already sent.
func TestHealthCheckDeregistersAfterTwoFailures(t *testing.T) {
	t0 := time.Now()
	b := NewHealthCheck(func() bool { return true })

	if b.Deregistered(t0.Add(time.Hour)) {
		t.Error("without a drain: got deregistered")
	}

	check := func() int {
		w := httptest.NewRecorder()
		b.ServeHTTP(w, nil)

		return w.Code
	}

	if got := check(); got != http.StatusOK {
		t.Errorf("before the drain: got %d, want 200", got)
	}

	b.StartDrain(t0)

	for n := 1; n <= minRefusals; n++ {
		if got, want := b.Deregistered(t0.Add(time.Second)), false; got != want {
			t.Errorf("after %d refusals: got deregistered %v, want %v", n-1, got, want)
		}

		if got := check(); got != http.StatusServiceUnavailable {
			t.Errorf("refusal %d: got %d, want 503", n, got)
		}
	}

	steps := []struct {
		at   time.Time
		want bool
	}{
		{b.lastRefusal.Add(lastCallerDelay - 1), false},
		{b.lastRefusal.Add(lastCallerDelay), true},
	}

	for _, s := range steps {
		if got := b.Deregistered(s.at); got != s.want {
			t.Errorf("%v after the last refusal: got %v, want %v", s.at.Sub(b.lastRefusal), got, s.want)
		}
	}

	unchecked := NewHealthCheck(func() bool { return true })
	unchecked.StartDrain(t0)

	for _, s := range []struct {
		after time.Duration
		want  bool
	}{{maxHealthCheckWait - 1, false}, {maxHealthCheckWait, true}} {
		if got := unchecked.Deregistered(t0.Add(s.after)); got != s.want {
			t.Errorf("no health check for %v: got %v, want %v", s.after, got, s.want)
		}
	}
}

func ExampleServer_Drain() {
	s := NewServer(Config{Handler: okHandler, KeepAlive: time.Second})

	fmt.Println(s.Drain(context.Background(), Options{}))
	// Output: {0 0 0 0}
}
