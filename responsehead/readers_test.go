package responsehead_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"boragehub/controlcall"
	"boragehub/engine"
	"boragehub/journal"
	"boragehub/once"
	"boragehub/platform"
	"boragehub/store"
	"boragehub/upstream"
	"boragehub/vm"
	"boragehub/wholebody"
)

// target responds to each request on its connections with a text, and then ends the connection.
type target struct {
	address string
	respond atomic.Pointer[func(nc net.Conn) error]
}

// setRespond sets what is sent to the next connections.
func (s *target) setRespond(f func(nc net.Conn) error) { s.respond.Store(&f) }

func newTarget(t *testing.T) *target {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	s := &target{address: l.Addr().String()}

	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}

			s.serve(nc)
		}
	}()

	return s
}

// serve responds to one request.
func (s *target) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()

	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}

	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}

	if f := s.respond.Load(); f != nil {
		_ = (*f)(nc)
	}
}

// reader makes a call whose response a package of the project reads, and returns its error.
type reader struct {
	name string
	body string // of a response that the reader takes
	call func(ctx context.Context, address string) error
}

func readers() []reader {
	return []reader{
		{"callers' requests", "ok", func(ctx context.Context, address string) error {
			x, err := upstream.NewPool(upstream.Config{}).Send(ctx, upstream.Request{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")})
			if err != nil {
				return err
			}

			defer x.Close()

			_, err = wholebody.ReadAll(x, 1<<20)

			return err
		}},
		{"control calls", "ok", func(ctx context.Context, address string) error {
			_, err := controlcall.NewClient(controlcall.Config{}).Do(ctx, controlcall.Call{Method: http.MethodGet, Address: address, Path: "/"})

			return err
		}},
		{"the log", `{"items":[],"hasMore":false,"end":0}`, func(ctx context.Context, address string) error {
			_, err := platform.NewLogClient(address).Newest(ctx, "t")

			return err
		}},
		{"states of engines", `{"models":[],"busy":false,"sequence":0,"queued":0,"running":0,"kvUsed":0,"kvTotal":0}`, func(ctx context.Context, address string) error {
			_, err := platform.NewClient(platform.ClientConfig{}).State(ctx, address)

			return err
		}},
		{"health checks", "ok", func(ctx context.Context, address string) error {
			_, err := platform.NewClient(platform.ClientConfig{}).Health(ctx, address, "/healthz")

			return err
		}},
		{"engines beside a side process", `{"running":0}`, func(ctx context.Context, address string) error {
			c := once.NewClient()
			defer c.CloseIdleConnections()

			_, err := engine.Client{Address: address, HTTP: c}.Load(ctx)

			return err
		}},
		{"stores beside a side process", `{"used_bytes":0,"total_bytes":1}`, func(ctx context.Context, address string) error {
			c := store.NewHTTP(time.Minute)
			defer c.CloseIdleConnections()

			_, err := store.Client{Address: address, HTTP: c}.Space(ctx)

			return err
		}},
		{"plain services beside a side process", "ok", func(ctx context.Context, address string) error {
			c := once.NewClient()
			defer c.CloseIdleConnections()

			return post(ctx, c, address, "x")
		}},
		{"the list of VMs", `{"version":1,"vms":[]}`, func(ctx context.Context, address string) error {
			_, err := vm.Fetch(ctx, "http://"+address, time.Minute)

			return err
		}},
		{"commands", "ok", func(ctx context.Context, address string) error {
			c := &http.Client{Transport: upstream.NewTransport(upstream.TransportConfig{})}
			defer c.CloseIdleConnections()

			return post(ctx, c, address, "x")
		}},
		{"the product's own log", `{"records":[],"next":0,"end":0,"first":0}`, func(ctx context.Context, address string) error {
			_, err := journal.NewClient(journal.ClientConfig{URL: "http://" + address}).Read(ctx, "s", 0, 1, 0)

			return err
		}},
	}
}

// post sends a body and reads the whole response, which must be a success.
func post(ctx context.Context, c *http.Client, address, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader(body))
	if err != nil {
		return err
	}

	resp, err := c.Do(req)
	if err != nil {
		return err
	}

	defer func() { _ = resp.Body.Close() }()

	if _, err := wholebody.ReadAll(resp.Body, 1<<20); err != nil {
		return err
	}

	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}

	return nil
}

// form is a response of the protocol. complete is the number of bytes from which on it is complete, as far as the
// protocol tells.
type form struct {
	name, text string
	complete   int
}

func forms(body string) []form {
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	lines := fmt.Sprintf("HTTP/1.1 200 OK\nX-A: 1\nContent-Length: %d\n\n%s", len(body), body)
	closing := "HTTP/1.1 200 OK\r\nX-A: 1\r\nConnection: close\r\n\r\n"
	older := "HTTP/1.0 200 OK\r\nX-A: 1\r\n\r\n"

	return []form{
		{"length", length, len(length)},
		{"chunks", chunked, len(chunked)},
		{"LF alone", lines, len(lines)},
		{"informational response first", "HTTP/1.1 103 Early Hints\r\nX-B: 1\r\n\r\n" + length, len("HTTP/1.1 103 Early Hints\r\nX-B: 1\r\n\r\n") + len(length)},
		{"end of the connection", closing + body, len(closing)},
		{"HTTP/1.0", older + body, len(older)},
	}
}

// Guards against a success whose head stopped midway: a target sends the beginning of a response and ends the
// connection, in order or with a reset.
func TestNoReaderTakesAPartOfAResponseForAWhole(t *testing.T) {
	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			s := newTarget(t)

			for _, f := range forms(r.body) {
				s.setRespond(func(nc net.Conn) error {
					_, err := io.WriteString(nc, f.text)

					return err
				})

				if err := r.call(t.Context(), s.address); err != nil {
					t.Errorf("%s, whole: got %v, want no error", f.name, err)
				}

				for n := range f.complete {
					for _, reset := range []bool{false, true} {
						s.setRespond(func(nc net.Conn) error {
							_, err := io.WriteString(nc, f.text[:n])

							if tcp, ok := nc.(*net.TCPConn); ok && reset {
								return tcp.SetLinger(0)
							}

							return err
						})

						if err := r.call(t.Context(), s.address); err == nil {
							t.Errorf("%s, %d of %d bytes, reset %v: got no error, want one", f.name, n, f.complete, reset)
						}
					}
				}
			}
		})
	}
}

const (
	// sentWithoutEnd is the number of bytes after which a target ends a response that is meant to have no end.
	sentWithoutEnd = 128 << 20
	// maxSent is the number of bytes that a target may get rid of: what the reader reads, and what the two sockets
	// keep.
	maxSent = 32 << 20
)

// Guards against a process that runs out of memory, as a target sends bytes without end in a head or in place of one.
func TestEveryReaderGivesUpAHeadWithoutEnd(t *testing.T) {
	starts := []struct{ name, begin, repeated string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no status line", "", "x"},
		{"header field", "HTTP/1.1 200 OK\r\nX-A: ", "1"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-A: 1\r\n"},
		{"folded header field", "HTTP/1.1 200 OK\r\nX-A: 1\r\n", " 1\r\n"},
	}

	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			s := newTarget(t)

			for _, x := range starts {
				var sent atomic.Int64

				piece := bytes.Repeat([]byte(x.repeated), 1<<16/len(x.repeated))
				ended := make(chan struct{})

				s.setRespond(func(nc net.Conn) error {
					defer close(ended)

					n, err := io.WriteString(nc, x.begin)
					for sent.Store(int64(n)); err == nil && sent.Load() < sentWithoutEnd; sent.Add(int64(n)) {
						n, err = nc.Write(piece)
					}

					return err
				})

				if err := r.call(t.Context(), s.address); err == nil || strings.Contains(err.Error(), context.DeadlineExceeded.Error()) {
					t.Errorf("%s: got %v, want an error at once", x.name, err)
				}

				<-ended

				if got := sent.Load(); got > maxSent {
					t.Errorf("%s: got %d bytes sent, want %d at most", x.name, got, maxSent)
				}
			}
		})
	}
}

// Guards against a broken response that one of the readers takes for an answer: a caller's, an engine's state, a record
// of a log. Each head is followed by the body that the reader takes.
func TestNoReaderTakesAnImproperHead(t *testing.T) {
	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			s := newTarget(t)
			length := fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
			chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(r.body), r.body)

			tests := []struct{ name, text string }{
				{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "X-A : 1\r\n\r\n"},
				{"informational response", "HTTP/1.1 103 Early Hints\r\nX-A : 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + r.body},
				{"length beside chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n" + chunks + "\r\n"},
			}

			for _, status := range []string{"000", "001", "099", "+20", "-00", "600", "777", "999"} {
				tests = append(tests, struct{ name, text string }{"status " + status, "HTTP/1.1 " + status + " OK\r\n" + length + "\r\n" + r.body})
			}

			for _, line := range []string{"Se al: x", "X-A : x", "Content-Length : 1", "Transfer-Encoding : chunked", " X-A: x", "X\x00A: x", "X-A: \x00"} {
				tests = append(tests,
					struct{ name, text string }{"line " + line, "HTTP/1.1 200 OK\r\nX-B: 1\r\n" + line + "\r\n" + length + "\r\n" + r.body},
					struct{ name, text string }{"open body, line " + line, "HTTP/1.1 200 OK\r\nConnection: close\r\n" + line + "\r\n\r\n" + r.body})
			}

			for _, tt := range tests {
				s.setRespond(func(nc net.Conn) error {
					_, err := io.WriteString(nc, tt.text)

					return err
				})

				if err := r.call(t.Context(), s.address); err == nil {
					t.Errorf("%q: got no error, want one", tt.name)
				}
			}
		})
	}
}

// Guards against a process that runs out of memory, or a call without end, as a target sends a body without end.
func TestEveryReaderGivesUpABodyWithoutEnd(t *testing.T) {
	// The longest answers, records of a log and the blocks of an engine's cache, have 64 MiB.
	const limit = 64<<20 + maxSent

	starts := []struct{ name, begin, repeated string }{
		{"length", "HTTP/1.1 500 Sad\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 500 Sad\r\nTransfer-Encoding: chunked\r\n\r\n", "200\r\n" + strings.Repeat("x", 512) + "\r\n"},
		{"end of the connection", "HTTP/1.1 500 Sad\r\n\r\n", "x"},
	}

	for _, r := range readers() {
		t.Run(r.name, func(t *testing.T) {
			s := newTarget(t)

			for _, x := range starts {
				piece := bytes.Repeat([]byte(x.repeated), 1<<16/len(x.repeated))
				ended := make(chan int, 1)

				s.setRespond(func(nc net.Conn) error {
					n, err := io.WriteString(nc, x.begin)
					for m := 0; err == nil && n < limit+maxSent; n += m {
						m, err = nc.Write(piece)
					}

					ended <- n

					return err
				})

				if err := r.call(t.Context(), s.address); err == nil || strings.Contains(err.Error(), context.DeadlineExceeded.Error()) {
					t.Errorf("%s: got %v, want an error at once", x.name, err)
				}

				if got := <-ended; got > limit {
					t.Errorf("%s: got %d bytes sent, want %d at most", x.name, got, limit)
				}
			}
		})
	}
}
