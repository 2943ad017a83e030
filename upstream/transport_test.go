package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
)

// send sends a request with a body through a client and returns the body of the response.
func send(ctx context.Context, c *http.Client, method, url string, body io.Reader) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return "", err
	}

	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}

	b, err := io.ReadAll(resp.Body)

	// Closing a body twice is allowed.
	return string(b), errors.Join(err, resp.Body.Close(), resp.Body.Close())
}

func TestTransportSendsWholeRequests(t *testing.T) {
	var got atomic.Value

	address := newTarget(t, func(c net.Conn, br *bufio.Reader) {
		for {
			r, body, err := readRequest(br)
			if err != nil {
				return
			}

			got.Store(fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Get("Connection"), " ", r.ContentLength, " ", len(body)))

			_, _ = io.WriteString(c, okResponse)
		}
	})

	tests := []struct {
		method string
		single bool
		size   int
		want   string
		dials  uint64 // after three requests
	}{
		{http.MethodGet, false, 0, "GET /a?b=c ADDRESS  0 0", 1},
		{http.MethodPost, false, 0, "POST /a?b=c ADDRESS  0 0", 1},
		{http.MethodPost, false, 5, "POST /a?b=c ADDRESS  5 5", 1},
		{http.MethodPut, false, 100_000, "PUT /a?b=c ADDRESS  100000 100000", 1},
		{http.MethodPost, true, 5, "POST /a?b=c ADDRESS close 5 5", 3},
	}

	for _, tt := range tests {
		tr := NewTransport(TransportConfig{SingleUse: tt.single})

		for range 3 {
			if body, err := send(t.Context(), &http.Client{Transport: tr}, tt.method, "http://"+address+"/a?b=c", bytes.NewReader(make([]byte, tt.size))); err != nil || body != "ok" {
				t.Errorf("%s of %d bytes: got %q, %v, want ok", tt.method, tt.size, body, err)
			}

			if got, want := got.Load(), strings.ReplaceAll(tt.want, "ADDRESS", address); got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		}

		if got := tr.pool.Dials(); got != tt.dials {
			t.Errorf("%s, single use %v: got %d connections, want %d", tt.method, tt.single, got, tt.dials)
		}

		tr.CloseIdleConnections()

		if got := len(tr.pool.idle); got != 0 {
			t.Errorf("got %d addresses with idle connections, want none", got)
		}
	}
}

// Guards against a poll that fails because its connection was closed as idle, and against a request with effects that is
// sent twice.
func TestTransportRepeatsOnlyPollsOnStaleConnections(t *testing.T) {
	for _, tt := range []struct {
		method string
		first  string // what the second request of the first connection gets
		again  bool
	}{
		{http.MethodGet, "", true},
		{http.MethodPost, "", false},
		{http.MethodGet, "HTTP/1.1 200", false},
	} {
		var requests atomic.Int32

		handle := func(last string) connHandler {
			return func(c net.Conn, br *bufio.Reader) {
				for i := range 2 {
					if _, _, err := readRequest(br); err != nil {
						return
					}

					requests.Add(1)

					_, _ = io.WriteString(c, []string{okResponse, last}[i])
				}
			}
		}

		address := newTarget(t, handle(tt.first), handle(okResponse))
		c := &http.Client{Transport: NewTransport(TransportConfig{})}

		if _, err := send(t.Context(), c, tt.method, "http://"+address, nil); err != nil {
			t.Fatal(err)
		}

		want := int32(2)
		if tt.again {
			want = 3
		}

		if got, err := send(t.Context(), c, tt.method, "http://"+address, nil); (err == nil) != tt.again || requests.Load() != want {
			t.Errorf("%s, %q: got %q, %v after %d requests, want %d", tt.method, tt.first, got, err, requests.Load(), want)
		}
	}
}

func TestTransportTracesConnectionAndFirstByte(t *testing.T) {
	var conn, first bool

	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { conn = info.Conn != nil && !info.Reused },
		GotFirstResponseByte: func() { first = conn },
	})

	if _, err := send(ctx, &http.Client{Transport: NewTransport(TransportConfig{})}, http.MethodGet, "http://"+newTarget(t, respondEach(okResponse)), nil); err != nil || !conn || !first {
		t.Errorf("got %v with a connection %v and a first byte %v, want both", err, conn, first)
	}
}

func TestTransportRefusesOtherSchemes(t *testing.T) {
	if _, err := send(t.Context(), &http.Client{Transport: NewTransport(TransportConfig{})}, http.MethodGet, "https://127.0.0.1:1", nil); !errors.Is(err, ErrScheme) {
		t.Errorf("got %v, want %v", err, ErrScheme)
	}
}
