package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds of reading answers.
const (
	// maxCrossed is how many answers of earlier requests are passed over on one
	// connection before it is given up.
	maxCrossed = 2
	// maxDrained bounds the body of an answer that is passed over.
	maxDrained = 1 << 20
	// smallBody is what is written in one go with the head. A larger body is
	// written beside reading, as a target may answer before it has read it.
	smallBody = 8 << 10
	// bodyGrace is how long a complete answer waits for the rest of its request
	// to be written before the connection is given up instead of kept.
	bodyGrace = 100 * time.Millisecond
	// idleMargin is taken off the time for which a target says that it keeps a
	// connection, as the next request has to arrive before it closes.
	idleMargin = 500 * time.Millisecond
)

var errCrossed = errors.New("only answers of other requests came")

// Exchange is a request on its way with the head of its answer. Close must
// follow.
type Exchange struct {
	pool    *Pool
	conn    *conn
	resp    *http.Response
	stop    func() bool
	written chan error // nil when the request was written whole before reading
	whole   bool
	failed  bool
}

// Send writes a request and returns once the head of its answer was read. When
// ctx ends, the connection is closed, which tells the target to stop.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	c := p.take(time.Now(), r.Address)
	if c == nil {
		var err error

		c, err = p.dial(ctx, r.Address)
		if err != nil {
			return nil, err
		}
	}

	x := &Exchange{pool: p, conn: c, stop: context.AfterFunc(ctx, c.abort)}

	// A context that ended before the first byte left: nothing was sent.
	if err := ctx.Err(); err != nil {
		x.abandon()

		return nil, &Error{NotSent, stepWrite, err}
	}

	if err := x.write(r); err != nil {
		x.abandon()

		return nil, &Error{MaybeSent, stepWrite, err}
	}

	resp, err := x.head(r) //nolint:bodyclose // Close gives up or keeps the connection itself
	if err != nil {
		x.abandon()

		return nil, &Error{MaybeSent, stepHead, err}
	}

	x.resp = resp

	return x, nil
}

// write sends head and body; a large body goes on beside.
func (x *Exchange) write(r Request) error {
	if len(r.Body) <= smallBody {
		_, err := x.conn.nc.Write(append(r.Head, r.Body...))

		return err
	}

	if _, err := x.conn.nc.Write(r.Head); err != nil {
		return err
	}

	x.written = make(chan error, 1)

	go func() {
		_, err := x.conn.nc.Write(r.Body)
		x.written <- err
	}()

	return nil
}

// head reads answers until one belongs to the request.
func (x *Exchange) head(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}

	for range maxCrossed {
		resp, err := http.ReadResponse(x.conn.br, req)
		if err != nil {
			return nil, err
		}

		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}

		if r.Match == nil || r.Match(resp.Header) {
			return resp, nil
		}

		if err := discard(resp); err != nil {
			return nil, err
		}
	}

	return nil, errCrossed
}

// discard reads the body of an answer that belongs to another request. One
// without a length has no end on a kept connection.
func discard(resp *http.Response) error {
	if unframed(resp) {
		return errCrossed
	}

	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrained))

	return err
}

// unframed reports whether the body ends with its connection.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Status returns the answer's status.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Header returns the answer's headers.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Read reads the answer's body. It returns io.EOF only at the end of a complete
// answer.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)

	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		x.whole = true
	default:
		x.failed = true
		err = &Error{MaybeSent, stepBody, err}
	}

	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing is left on it; otherwise it is closed, which makes the target
// stop its work.
func (x *Exchange) Close() {
	if !x.stop() || !x.reusable() {
		x.conn.close()

		return
	}

	x.pool.keep(time.Now(), x.conn, keepAlive(x.resp.Header))
}

// abandon closes the connection of an exchange that has no answer.
func (x *Exchange) abandon() {
	x.stop()
	x.conn.close()
}

func (x *Exchange) reusable() bool {
	if !x.whole || x.failed || x.resp.Close || unframed(x.resp) || x.conn.br.Buffered() > 0 {
		return false
	}

	if x.written == nil {
		return true
	}

	t := time.NewTimer(bodyGrace)
	defer t.Stop()

	select {
	case err := <-x.written:
		return err == nil
	case <-t.C:
		return false
	}
}

// keepAlive returns for how long a target keeps an unused connection, less a
// margin; zero when it doesn't say.
func keepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || s <= 0 {
			return 0
		}

		return max(time.Duration(s)*time.Second-idleMargin, time.Millisecond)
	}

	return 0
}
