package drain

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// http10Request is a complete request of a caller that knows no chunks.
const http10Request = "GET / HTTP/1.0\r\nHost: desk\r\n\r\n"

// streamPart is a part of a stream that the test's handlers send.
const streamPart = "id: 1\ndata: a\n\n"

// flushPart sends a part of a stream.
func flushPart(t *testing.T, w http.ResponseWriter) {
	t.Helper()

	if _, err := io.WriteString(w, streamPart); err != nil {
		t.Error(err)
	}

	if err := http.NewResponseController(w).Flush(); err != nil {
		t.Error(err)
	}
}

// A response to HTTP/1.0 without a length ends with its connection. Guards against one that was cut off and
// looks complete because its connection is closed in order.
func TestIncompleteResponseToHTTP10EndsWithAReset(t *testing.T) {
	tests := []struct {
		name    string
		handler func(w http.ResponseWriter, r *http.Request) // ends the response
		closes  bool                                         // whether the server is closed meanwhile
		want    error
	}{
		{"complete", func(http.ResponseWriter, *http.Request) {}, false, nil},
		{"given up", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, syscall.ECONNRESET},
		{"server closed", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, true, syscall.ECONNRESET},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan struct{})
			s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				flushPart(t, w)
				<-read // a reset would discard what the caller has not read
				tt.handler(w, r)
			}), time.Second)

			c := s.connect(t)
			c.send(t, http10Request)

			resp, err := http.ReadResponse(c.br, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()

			part := make([]byte, len(streamPart))
			if _, err := io.ReadFull(resp.Body, part); err != nil {
				t.Fatal(err)
			}

			close(read)

			if tt.closes {
				s.Close()
			}

			rest, err := io.ReadAll(resp.Body)
			if len(rest) > 0 || !errors.Is(err, tt.want) {
				t.Errorf("got %q, %v behind the part, want %v", rest, err, tt.want)
			}
		})
	}
}

// Guards against a complete response that is lost by a reset, because the caller reads it late.
func TestCompleteResponseToHTTP10IsReadToItsEnd(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 1<<16)
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := io.WriteString(w, body); err != nil {
			t.Error(err)
		}
	}), time.Second)

	c := s.connect(t)
	c.send(t, http10Request)

	_, got, err := c.response()
	if err != nil || got != body {
		t.Errorf("got %d bytes, %v, want %d", len(got), err, len(body))
	}
}

// Guards against a reset of an idle connection of HTTP/1.0, whose responses had a length.
func TestIdleConnectionOfHTTP10IsClosedInOrder(t *testing.T) {
	s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "2")

		if _, err := io.WriteString(w, "ok"); err != nil {
			t.Error(err)
		}
	}), time.Second)

	c := s.connect(t)

	for range 2 {
		c.send(t, "GET / HTTP/1.0\r\nHost: desk\r\nConnection: keep-alive\r\n\r\n")

		if _, got, err := c.response(); got != "ok" || err != nil {
			t.Fatalf("got %q, %v", got, err)
		}
	}

	s.Close()

	if rest, err := io.ReadAll(c.br); len(rest) > 0 || err != nil {
		t.Errorf("got %q, %v at the end, want the connection closed in order", rest, err)
	}
}
