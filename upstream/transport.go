package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// ErrScheme is returned for requests whose URL has another scheme than http.
var ErrScheme = errors.New("the scheme of the URL is not http")

// TransportConfig configures a Transport. Zero values get a default.
type TransportConfig struct {
	// Dialer opens connections. Its zero value has no timeout.
	Dialer net.Dialer
	// IdleTimeout is how long an idle connection is kept if the target announces no timeout: 20 s when zero.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections to one address: 2 when zero.
	MaxIdlePerAddress int
	// SingleUse is whether each request gets a connection of its own.
	SingleUse bool
}

// Transport is an http.RoundTripper for requests over HTTP/1.1 whose responses are read like those of a Pool, by
// package responsehead, and by the rule for responses that arrive before their request is written. Use
// NewTransport; its methods are safe for concurrent use.
//
// A request with the method GET or HEAD is sent a second time, on a new connection, if a reused connection broke
// before any byte of a response, as happens when the target closes an idle connection at that moment. Bodies
// aren't decompressed, and there is no proxy.
type Transport struct {
	pool      *Pool
	singleUse bool
}

// NewTransport returns a Transport without connections.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = 20 * time.Second
	}

	if cfg.MaxIdlePerAddress <= 0 {
		cfg.MaxIdlePerAddress = 2
	}

	p := NewPool(Config{IdleTimeout: cfg.IdleTimeout, MaxIdlePerAddress: cfg.MaxIdlePerAddress})
	p.dialer = cfg.Dialer

	return &Transport{pool: p, singleUse: cfg.SingleUse}
}

// RoundTrip implements http.RoundTripper. Its errors are ErrScheme, those of reading the request's body, and of type
// *Error.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.pool.Sweep(time.Now())

	x, err := t.roundTrip(req)
	if err != nil {
		if req.Body != nil {
			err = errors.Join(err, req.Body.Close())
		}

		return nil, err
	}

	resp := *x.resp
	resp.Request = req
	resp.Body = &exchangeBody{x: x, request: req.Body}

	return &resp, nil
}

func (t *Transport) roundTrip(req *http.Request) (*Exchange, error) {
	r, err := t.encode(req)
	if err != nil {
		return nil, err
	}

	return t.send(req.Context(), r)
}

// send sends a request, and once more if its connection had been closed before.
func (t *Transport) send(ctx context.Context, r Request) (*Exchange, error) {
	x, err := t.pool.Send(ctx, r)

	var failed *Error
	if !errors.As(err, &failed) || !failed.stale || ctx.Err() != nil || r.Method != http.MethodGet && r.Method != http.MethodHead {
		return x, err
	}

	return t.pool.sendOnNew(ctx, r)
}

// encode returns a request as a Pool sends it.
func (t *Transport) encode(req *http.Request) (Request, error) {
	if req.URL.Scheme != "http" {
		return Request{}, ErrScheme
	}

	r := Request{Address: req.URL.Host, Method: req.Method, Close: t.singleUse, Trace: httptrace.ContextClientTrace(req.Context())}
	if req.URL.Port() == "" {
		r.Address = net.JoinHostPort(req.URL.Hostname(), "80")
	}

	length := req.ContentLength

	switch {
	case req.Body == nil:
		length = 0
	case length > maxInlineBody:
		r.BodyStream, r.BodyLength = req.Body, length
	default:
		b, err := io.ReadAll(req.Body)
		if err != nil {
			return Request{}, err
		}

		r.Body, length = b, int64(len(b))
	}

	head, err := t.encodeHead(req, length)
	r.Head = head

	return r, err
}

// framingFields are the names of the header fields that a Transport sets itself.
var framingFields = []string{"Host", "Transfer-Encoding", "Trailer", "Content-Length", "Connection"}

func (t *Transport) encodeHead(req *http.Request, length int64) ([]byte, error) {
	host := req.Host
	if host == "" {
		host = req.URL.Host
	}

	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}

	for _, name := range framingFields {
		h.Del(name)
	}

	if length > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}

	if t.singleUse {
		h.Set("Connection", "close")
	}

	var head bytes.Buffer

	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.RequestURI(), host)

	if err := h.Write(&head); err != nil {
		return nil, err
	}

	head.WriteString("\r\n")

	return head.Bytes(), nil
}

// CloseIdleConnections closes all idle connections.
func (t *Transport) CloseIdleConnections() { t.pool.closeIdle() }

// exchangeBody is the body of a response. Closing it ends its exchange.
type exchangeBody struct {
	x       *Exchange
	request io.Closer // the body of the request; nil if it has none
	close   sync.Once
	err     error
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) { return b.x.Read(p) }

// Close implements io.Closer.
func (b *exchangeBody) Close() error {
	b.close.Do(func() {
		b.x.Close()

		if b.request != nil {
			b.err = b.request.Close()
		}
	})

	return b.err
}
