package controlcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"boragehub/responsehead"
)

const idHeader = "X-Call-Id"

// target is a server whose responses a test writes itself.
type target struct {
	address string

	mu          sync.Mutex
	connections int
	ids         []string // of all requests
}

// serve starts a target. respond is called for each request with its connection's number and its number on that
// connection, both from 1 on; it returns false to close the connection.
func serve(t *testing.T, respond func(nc net.Conn, r *http.Request, connection, n int) bool) *target {
	t.Helper()

	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	s := &target{address: l.Addr().String()}

	var wg sync.WaitGroup

	wg.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}

			s.mu.Lock()
			s.connections++
			number := s.connections
			s.mu.Unlock()

			context.AfterFunc(t.Context(), func() { _ = nc.Close() })
			wg.Go(func() { s.answer(nc, number, respond) })
		}
	})

	t.Cleanup(func() {
		_ = l.Close()

		wg.Wait()
	})

	return s
}

func (s *target) answer(nc net.Conn, number int, respond func(nc net.Conn, r *http.Request, connection, n int) bool) {
	defer func() { _ = nc.Close() }()

	br := bufio.NewReader(nc)

	for n := 1; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}

		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}

		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get(idHeader))
		s.mu.Unlock()

		if !respond(nc, r, number, n) {
			return
		}
	}
}

// received returns the numbers of connections and requests.
func (s *target) received() (connections, requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.connections, len(s.ids)
}

// write writes a response with an id, unless that is empty.
func write(nc net.Conn, id, body string) {
	if id != "" {
		id = idHeader + ": " + id + "\r\n"
	}

	_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func get(address string) Call {
	return Call{Method: http.MethodGet, Address: address, Path: "/", Repeatable: true}
}

func post(address string) Call {
	return Call{Method: http.MethodPost, Address: address, Path: "/", Body: []byte("{}")}
}

// Guards against the second response to a call, which arrives when the next one is expected, being taken for it.
func TestResponseWithoutTheCallsIDFailsTheCall(t *testing.T) {
	tests := []struct{ name, id string }{
		{"id of another call", "other"},
		{"no id, though the target echoes ids", ""},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, r *http.Request, _, n int) bool {
				if n == 2 {
					write(nc, tt.id, "other")
				}

				write(nc, r.Header.Get(idHeader), "own")

				return true
			})

			var lines []string

			c := NewClient(Config{IDHeader: idHeader, Log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})})

			for i, want := range []error{nil, ErrOtherResponse, nil, ErrOtherResponse} {
				r, err := c.Do(t.Context(), get(s.address))
				if !errors.Is(err, want) || (err == nil && string(r.Body) != "own") {
					t.Errorf("call %d: got %q, %v, want %v", i, r.Body, err, want)
				}

				if want != nil && OutcomeOf(err) != Unknown {
					t.Errorf("call %d: got the outcome %v, want %v", i, OutcomeOf(err), Unknown)
				}
			}

			if got, _ := s.received(); got != 2 {
				t.Errorf("got %d connections, want 2: a connection with such a response is closed", got)
			}

			if got := c.Counts(); got.Mismatched != 2 || got.Dials != 2 {
				t.Errorf("got %+v, want 2 mismatched", got)
			}

			if len(lines) != 1 || !strings.Contains(lines[0], `"event"=2600`) {
				t.Errorf("got the lines %q, want one a second", lines)
			}
		})
	}
}

// Guards against a target that echoes ids on some paths alone, or in successful responses alone, and of which
// every other call would fail.
func TestTargetMayEchoOnSomePathsAlone(t *testing.T) {
	s := serve(t, func(nc net.Conn, r *http.Request, _, n int) bool {
		switch {
		case r.URL.Path != "/health":
			write(nc, "", "report")
		case n > 6:
			_, _ = io.WriteString(nc, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		default:
			write(nc, r.Header.Get(idHeader), "health")
		}

		return true
	})
	c := NewClient(Config{IDHeader: idHeader, Rest: time.Millisecond})

	for i := range 8 {
		call := get(s.address)
		if call.Path = "/report?n=1"; i%2 == 0 {
			call.Path = "/health"
		}

		if _, err := c.Do(t.Context(), call); err != nil {
			t.Errorf("call %d: %v", i, err)
		}
	}

	if got := c.Counts(); got.Mismatched != 0 || got.Dials != 1 {
		t.Errorf("got %+v, want one connection", got)
	}
}

// Guards against a late second response of a target that echoes no ids, which arrives between two calls.
func TestConnectionWithoutEchoIsUsedAgainOnlyAfterARest(t *testing.T) {
	const rest = 30 * time.Millisecond

	late := make(chan struct{}, 1)
	s := serve(t, func(nc net.Conn, _ *http.Request, connection, n int) bool {
		write(nc, "", fmt.Sprint(connection, n))

		if connection == 1 && n == 2 {
			write(nc, "", "other")

			late <- struct{}{}
		}

		return true
	})
	c := NewClient(Config{IDHeader: idHeader, Rest: rest})
	at := time.Now()

	for i, want := range []string{"1 1", "1 2", "2 1", "2 2"} {
		r, err := c.Do(t.Context(), get(s.address))
		if err != nil || string(r.Body) != want {
			t.Errorf("call %d: got %q, %v, want %q", i, r.Body, err, want)
		}

		if i == 1 {
			<-late
		}

		// The third call is made on a new connection.
		if now := time.Now(); i%2 == 1 && now.Sub(at) < rest {
			t.Errorf("call %d was made %v after the one before on its connection, want %v or more", i, now.Sub(at), rest)
		} else {
			at = now
		}
	}

	if got := c.Counts(); got.Unsolicited != 1 || got.Dials != 2 {
		t.Errorf("got %+v, want 2 connections", got)
	}
}

// Guards against a strict call on a connection where a response to another call may still arrive.
func TestStrictCallUsesANewConnectionWithoutEcho(t *testing.T) {
	tests := []struct {
		name string
		echo bool
		want int // connections
	}{{"echo", true, 1}, {"no echo", false, 3}}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, r *http.Request, _, _ int) bool {
				id := ""
				if tt.echo {
					id = r.Header.Get(idHeader)
				}

				write(nc, id, "")

				return true
			})
			c := NewClient(Config{IDHeader: idHeader, StrictRest: time.Hour})

			for range 3 {
				call := post(s.address)
				call.Strict = true

				if _, err := c.Do(t.Context(), call); err != nil {
					t.Error(err)
				}
			}

			if got, _ := s.received(); got != tt.want {
				t.Errorf("got %d connections, want %d", got, tt.want)
			}
		})
	}
}

// Guards against an order that a target carries out twice, as its connection was closed after the first one
// arrived and the call was sent again.
func TestOnlyRepeatableCallsAreSentTwice(t *testing.T) {
	tests := []struct {
		name string
		call func(address string) Call
		want int // requests received
		err  bool
	}{{"repeatable", get, 3, false}, {"not repeatable", post, 2, true}}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, r *http.Request, connection, n int) bool {
				if connection == 1 && n == 2 {
					return false
				}

				write(nc, r.Header.Get(idHeader), "")

				return true
			})
			c := NewClient(Config{IDHeader: idHeader})

			if _, err := c.Do(t.Context(), tt.call(s.address)); err != nil {
				t.Fatal(err)
			}

			_, err := c.Do(t.Context(), tt.call(s.address))
			if (err != nil) != tt.err || (tt.err && OutcomeOf(err) != Unknown) {
				t.Errorf("got %v with the outcome %v, want an error: %v", err, OutcomeOf(err), tt.err)
			}

			if _, got := s.received(); got != tt.want {
				t.Errorf("got %d requests, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a call that counts as possibly carried out although nothing was sent.
func TestCallWithoutAConnectionWasNotSent(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	address := l.Addr().String()
	_ = l.Close()

	c := NewClient(Config{})

	if _, err := c.Do(t.Context(), post(address)); OutcomeOf(err) != NotSent || err == nil {
		t.Errorf("got %v with the outcome %v, want %v", err, OutcomeOf(err), NotSent)
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	if _, err := c.Do(ctx, post(address)); OutcomeOf(err) != NotSent || !errors.Is(err, context.Canceled) {
		t.Errorf("got %v with the outcome %v, want %v", err, OutcomeOf(err), NotSent)
	}
}

// Guards against calls that wait for a target without end, and against responses without end.
func TestResponsesAreBounded(t *testing.T) {
	tests := []struct{ name, text string }{
		{"no response", ""},
		{"no end of the header", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 2*responsehead.MaxBytes)},
		{"long body", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("a", 101)},
		{"long chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("a", 101) + "\r\n0\r\n\r\n"},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc"},
		{"informational responses only", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", responsehead.MaxInformational+1)},
		{"no HTTP", "220 ready\r\n\r\n"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, func(nc net.Conn, _ *http.Request, _, _ int) bool {
				_, _ = nc.Write([]byte(tt.text))

				return true
			})
			c := NewClient(Config{MaxBodyBytes: 100, MaxDuration: 200 * time.Millisecond})

			if r, err := c.Do(t.Context(), get(s.address)); err == nil || OutcomeOf(err) != Unknown {
				t.Errorf("got a status of %d, %v with the outcome %v, want an error", r.Status, err, OutcomeOf(err))
			}
		})
	}
}

// Guards against a target that is never reached again because it gives its responses ids of its own.
func TestTargetWithIDsOfItsOwnIsTakenForOneWithoutEcho(t *testing.T) {
	s := serve(t, func(nc net.Conn, _ *http.Request, connection, n int) bool {
		write(nc, fmt.Sprint("own-", connection, n), "")

		return true
	})
	c := NewClient(Config{IDHeader: idHeader, Rest: time.Millisecond})

	for range 3 {
		if _, err := c.Do(t.Context(), get(s.address)); err != nil {
			t.Error(err)
		}
	}
}

// Guards against an id that two calls share, in one process or across its restart.
func TestIDsAreUnique(t *testing.T) {
	s := serve(t, func(nc net.Conn, r *http.Request, _, _ int) bool {
		write(nc, r.Header.Get(idHeader), "")

		return true
	})

	for range 2 {
		c := NewClient(Config{IDHeader: idHeader})

		for range 3 {
			if _, err := c.Do(t.Context(), get(s.address)); err != nil {
				t.Fatal(err)
			}
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	seen := map[string]bool{}
	for _, id := range s.ids {
		if id == "" || seen[id] {
			t.Errorf("got the ids %q, want each once", s.ids)
		}

		seen[id] = true
	}
}

// Guards against a connection that is kept for longer than its target announces, and against one that is never
// closed because its address is not called again.
func TestIdleConnectionsExpire(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", -1},
		{"timeout=10", 9500 * time.Millisecond},
		{"max=3, Timeout=2", 1500 * time.Millisecond},
		{"timeout=0", -1},
		{"timeout=x", -1},
	}

	for _, tt := range tests {
		if got := keepAliveTimeout(http.Header{"Keep-Alive": {tt.header}}); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.header, got, tt.want)
		}
	}

	client, server := net.Pipe()
	defer func() { _ = server.Close() }()

	p := newPool(Config{}.withDefaults())
	now := time.Unix(1000, 0)
	p.put(now, "a", newConn(client), time.Second)
	p.put(now.Add(sweepInterval), "b", newConn(server), time.Second)

	if _, err := client.Write([]byte("x")); err == nil || len(p.idle["a"]) != 0 {
		t.Errorf("got %v, %d connections, want the expired one closed", err, len(p.idle["a"]))
	}
}
