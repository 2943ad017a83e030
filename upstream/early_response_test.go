package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// longBytes is the size of a body that doesn't fit into the buffers of a connection.
const longBytes = 16 << 20

// tries is how often a case is tried whose outcome depends on which goroutine comes first.
const tries = 10

var longBody = bytes.Repeat([]byte("x"), longBytes)

// bodyRequest returns a request with a body of a size in bytes.
func bodyRequest(address string, size int) Request {
	body := longBody[:size]

	return Request{
		Address: address, Method: http.MethodPost, Body: body,
		Head: fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body)),
	}
}

// respondEarly responds with a text once it has read the head of a request, and then ends the connection.
func respondEarly(text string, end func(c net.Conn, br *bufio.Reader)) connHandler {
	return func(c net.Conn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}

		_, _ = io.WriteString(c, text)

		end(c, br)
	}
}

// Guards against a part of a response that is taken for all of it: a target responds before it has read the request, and
// its connection is reset while the request is being written.
func TestPartOfAnEarlyResponseIsNotTakenForTheWhole(t *testing.T) {
	ends := []struct {
		name string
		end  func(c net.Conn, br *bufio.Reader)
	}{
		{"reset", func(c net.Conn, _ *bufio.Reader) { _ = c.(*net.TCPConn).SetLinger(0) }},
		{"closed with unread bytes", func(net.Conn, *bufio.Reader) {}},
		{"reset after a part of the request", func(c net.Conn, br *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, br, 1<<20)
			_ = c.(*net.TCPConn).SetLinger(0)
		}},
	}

	heads := []struct{ name, text string }{
		{"HTTP/1.1", "HTTP/1.1 200 OK\r\n\r\n"},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n"},
	}

	for _, tt := range ends {
		for _, head := range heads {
			t.Run(tt.name+" "+head.name, func(t *testing.T) {
				address := newTarget(t, respondEarly(head.text+"part", tt.end))

				for range tries {
					got, err := roundTrip(NewPool(Config{}), bodyRequest(address, longBytes))
					if err == nil {
						t.Fatalf("got %q as a whole response, want an error", got)
					}

					if DeliveryOf(err) != MaybeSent {
						t.Errorf("got %v, want %v", DeliveryOf(err), MaybeSent)
					}
				}

				c := http.Client{Transport: NewTransport(TransportConfig{SingleUse: true})}

				for range tries {
					resp, err := c.Post("http://"+address, "text/plain", bytes.NewReader(longBody))
					if err != nil {
						continue
					}

					if got, err := io.ReadAll(resp.Body); err == nil {
						t.Fatalf("by a client of net/http: got %q as a whole response, want an error", got)
					}

					_ = resp.Body.Close()
				}
			})
		}
	}
}

// resetConn is a connection whose reset is reported to its writer alone: its reader gets a response and an orderly end.
type resetConn struct {
	net.Conn
	response io.Reader
	reset    chan struct{} // closed when the writer has got the reset
	head     bool
}

func (c *resetConn) Write(b []byte) (int, error) {
	if !c.head {
		c.head = true

		return len(b), nil
	}

	defer close(c.reset)

	return len(b) / 2, syscall.ECONNRESET
}

func (c *resetConn) Read(b []byte) (int, error) { return c.response.Read(b) }
func (c *resetConn) Close() error               { return nil }

// Guards against a reset that only the writer of a request gets to know of.
func TestResetThatTheWriterGetsBreaksTheResponse(t *testing.T) {
	tests := []struct {
		name, response string
		want           error // of sending the request or reading the response
	}{
		{"open body", "HTTP/1.1 200 OK\r\n\r\npart", syscall.ECONNRESET},
		{"no response", "", syscall.ECONNRESET},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(Config{})
			nc := &resetConn{response: strings.NewReader(tt.response), reset: make(chan struct{})}

			x, err := p.sendOn(t.Context(), newConn("a", nc), bodyRequest("a", longBytes))
			if err == nil {
				_, err = io.ReadAll(x)
				x.Close()
			}

			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}

			<-nc.reset

			if got := len(p.idle); got != 0 {
				t.Errorf("got %d idle connections, want none", got)
			}
		})
	}
}

// stoppedReader waits before its first byte.
type stoppedReader struct {
	ready <-chan struct{}
	r     io.Reader
}

func (s stoppedReader) Read(b []byte) (int, error) {
	<-s.ready

	return s.r.Read(b)
}

// Guards against a part of a response whose target has closed its connection before the request arrives, which the
// target's host then resets: the response has ended in order, and all of the request was written.
func TestTargetThatLeavesBeforeTheRequestBreaksTheResponse(t *testing.T) {
	const size = 60 << 10

	left := make(chan struct{})
	address := newTarget(t, respondEarly("HTTP/1.1 200 OK\r\n\r\npart", func(c net.Conn, _ *bufio.Reader) {
		_ = c.Close()

		close(left)
	}))

	r := bodyRequest(address, size)
	r.BodyStream, r.BodyLength = stoppedReader{left, bytes.NewReader(r.Body)}, size

	if got, err := roundTrip(NewPool(Config{}), r); !errors.Is(err, errUndelivered) {
		t.Errorf("got %q, %v, want %v", got, err, errUndelivered)
	}
}

// Guards against a whole response that counts as broken because it came before its request was read: the target reads the
// rest of the request later.
func TestWholeEarlyResponseIsRead(t *testing.T) {
	readRest := func(br *bufio.Reader) { _, _ = io.CopyN(io.Discard, br, longBytes) }

	tests := []struct {
		name, text string
		end        func(c net.Conn, br *bufio.Reader)
		dials      uint64 // after two requests
	}{
		{"open body, end behind the request", "HTTP/1.1 200 OK\r\n\r\nok", func(_ net.Conn, br *bufio.Reader) { readRest(br) }, 2},
		{"open body, end before the request", "HTTP/1.1 200 OK\r\n\r\nok", func(c net.Conn, br *bufio.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()

			readRest(br)
		}, 2},
		{"length, reset", okResponse, func(c net.Conn, _ *bufio.Reader) { _, _ = c.Read(make([]byte, 1)) }, 2},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPool(Config{})
			address := newTarget(t, respondEarly(tt.text, tt.end))

			for range 2 {
				if got, err := roundTrip(p, bodyRequest(address, longBytes)); err != nil || got != "ok" {
					t.Errorf("got %q, %v, want ok", got, err)
				}
			}

			if got := p.Dials(); got != tt.dials {
				t.Errorf("got %d connections, want %d", got, tt.dials)
			}
		})
	}

	t.Run("connection is kept", func(t *testing.T) {
		const size = 64 << 10 // fits into the buffers of a connection

		p := NewPool(Config{})
		address := newTarget(t, func(c net.Conn, br *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}

				if _, err := io.WriteString(c, okResponse); err != nil {
					return
				}

				if _, err := io.CopyN(io.Discard, br, size); err != nil {
					return
				}
			}
		})

		for range 3 {
			if got, err := roundTrip(p, bodyRequest(address, size)); err != nil || got != "ok" {
				t.Errorf("got %q, %v, want ok", got, err)
			}
		}

		if got := p.Dials(); got != 1 {
			t.Errorf("got %d connections, want 1", got)
		}
	})
}
