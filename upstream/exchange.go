package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits of an exchange.
const (
	// maxResponses is the number of responses that are read for one request, including
	// those to other requests, before the connection is closed.
	maxResponses = 2
	// maxDiscardedBody is the number of bytes that are read of the body of a response to
	// another request.
	maxDiscardedBody = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is written together with the
	// head. A larger body is written concurrently with reading, as a target may respond
	// before it has read the body.
	maxInlineBody = 8 << 10
	// bodyWriteTimeout is how long Close waits, after a complete response, for the rest
	// of the request body to be written. After it the connection is closed instead of
	// kept.
	bodyWriteTimeout = 100 * time.Millisecond
	// keepAliveMargin is subtracted from the idle timeout that a target announces, as
	// the next request has to arrive before the target closes the connection.
	keepAliveMargin = 500 * time.Millisecond
)

var errMismatched = errors.New("received no response that belongs to the request")

// errUndelivered is the cause of the Error of a response whose connection ended before the target had the request.
var errUndelivered = errors.New("the connection ended before the target had the whole request")

// Exchange is a request that was sent and whose response header was read. The caller must
// call Close.
type Exchange struct {
	pool        *Pool
	conn        *conn
	resp        *http.Response
	stopAbort   func() bool
	bodyWritten chan struct{} // closed when the body was written or failed; nil if it was written with the head
	writeErr    error         // of writing the body; valid once bodyWritten is closed
	hasBody     bool          // the request has a body
	answered    bool          // a byte of a response has arrived
	single      bool          // the connection is for this request alone
	complete    bool
	failed      bool
	mismatched  bool // a response to another request arrived first
}

// Send writes a request and returns once the header of its response was read. When ctx
// ends, the connection is closed, which tells the target to stop. Errors are of type
// *Error.
func (p *Pool) Send(ctx context.Context, r Request) (*Exchange, error) {
	if !r.Close {
		if c := p.idleConn(time.Now(), r.Address, r.ID); c != nil {
			return p.sendOn(ctx, c, r)
		}
	}

	return p.sendOnNew(ctx, r)
}

// sendOnNew sends a request on a new connection.
func (p *Pool) sendOnNew(ctx context.Context, r Request) (*Exchange, error) {
	c, err := p.dial(ctx, r.Address)
	if err != nil {
		return nil, err
	}

	return p.sendOn(ctx, c, r)
}

// sendOn sends a request on a connection.
func (p *Pool) sendOn(ctx context.Context, c *conn, r Request) (*Exchange, error) {
	c.carry(r.ID)

	if r.Trace != nil && r.Trace.GotConn != nil {
		r.Trace.GotConn(httptrace.GotConnInfo{Conn: c.nc, Reused: c.reused})
	}

	x := &Exchange{pool: p, conn: c, stopAbort: context.AfterFunc(ctx, c.abort), single: r.Close}

	// The context ended before the first byte was written.
	if err := ctx.Err(); err != nil {
		x.abandon()

		return nil, &Error{NotSent, stepWrite, err, false}
	}

	if err := x.writeRequest(r); err != nil {
		x.abandon()

		return nil, &Error{MaybeSent, stepWrite, err, c.reused}
	}

	resp, err := x.readResponse(r) //nolint:bodyclose // Close closes or keeps the connection itself
	if err != nil {
		x.abandon()

		return nil, &Error{MaybeSent, stepHead, x.connectionError(err), c.reused && !x.answered}
	}

	x.resp = resp

	return x, nil
}

// writeRequest writes the head and the body; a body above maxInlineBody is written by a
// goroutine, as is one that is read from a stream.
func (x *Exchange) writeRequest(r Request) error {
	x.hasBody = len(r.Body) > 0 || r.BodyStream != nil

	if r.BodyStream == nil && len(r.Body) <= maxInlineBody {
		_, err := x.conn.nc.Write(append(r.Head, r.Body...))

		return err
	}

	if _, err := x.conn.nc.Write(r.Head); err != nil {
		return err
	}

	x.bodyWritten = make(chan struct{})

	go func() {
		defer close(x.bodyWritten)

		if r.BodyStream == nil {
			_, x.writeErr = x.conn.nc.Write(r.Body)
		} else {
			_, x.writeErr = io.CopyN(x.conn.nc, r.BodyStream, r.BodyLength)
		}

		if errors.Is(x.writeErr, io.EOF) {
			x.writeErr = io.ErrUnexpectedEOF // the body is shorter than its length
		}
	}()

	return nil
}

// connectionError returns the error of a closed connection, given that of its reader. The kernel reports a reset
// to one call alone: if the writer got it, the reader finds an orderly end.
func (x *Exchange) connectionError(err error) error {
	if x.bodyWritten == nil {
		return err
	}

	<-x.bodyWritten

	if errors.Is(x.writeErr, syscall.ECONNRESET) {
		return x.writeErr
	}

	return err
}

// readResponse reads response headers until one belongs to the request, at most
// maxResponses.
func (x *Exchange) readResponse(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}

	if err := x.conn.in.Await(); err != nil {
		return nil, err
	}

	x.answered = true

	if r.Trace != nil && r.Trace.GotFirstResponseByte != nil {
		r.Trace.GotFirstResponseByte()
	}

	for range maxResponses {
		resp, err := x.conn.in.Read(req)
		if err != nil {
			return nil, err
		}

		if x.conn.belongs(r, resp) {
			return resp, nil
		}

		x.mismatched = true

		if err := discard(resp); err != nil {
			return nil, err
		}
	}

	return nil, errMismatched
}

// discard reads the body of a response to another request. After a close-delimited body
// no further response can follow.
func discard(resp *http.Response) error {
	if framingOf(resp) == CloseFraming {
		return errMismatched
	}

	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody+1))
	if err == nil && n > maxDiscardedBody {
		// The rest of the body would be read as the next response.
		return errMismatched
	}

	return err
}

// Status returns the response's status code.
func (x *Exchange) Status() int { return x.resp.StatusCode }

// Framing returns how the response tells where its body ends.
func (x *Exchange) Framing() Framing { return framingOf(x.resp) }

// Header returns the response's header.
func (x *Exchange) Header() http.Header { return x.resp.Header }

// Read reads the response body. It returns io.EOF only at the end of a complete body, and
// an *Error if the body is truncated. A close-delimited body counts as complete when the
// connection is closed in order and the target's host has the whole request; only its content can tell
// whether the target has broken off.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.resp.Body.Read(b)
	if errors.Is(err, io.EOF) && x.Framing() == CloseFraming && x.hasBody {
		err = x.awaitDelivered()
	}

	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		x.complete = true
	default:
		x.failed = true
		err = &Error{MaybeSent, stepBody, err, false}
	}

	return n, err
}

// awaitDelivered waits until the target's host has all of the request, and returns io.EOF then. Before, the end of a
// connection doesn't tell an orderly one from a reset: the writer may have got the error, or the target has closed the
// connection and resets it for the rest of the request.
func (x *Exchange) awaitDelivered() error {
	if x.bodyWritten != nil {
		<-x.bodyWritten
	}

	err := x.writeErr
	if err == nil {
		err = x.conn.awaitAcknowledged()
	}

	if err != nil {
		return fmt.Errorf("%w: %w", errUndelivered, err)
	}

	return io.EOF
}

// MarkBroken marks the response as incomplete although its body has ended, so that Close doesn't keep the
// connection.
func (x *Exchange) MarkBroken() { x.failed = true }

// Close ends the exchange. The connection is kept if the response was read to its end, no bytes follow it and it
// was the first one to arrive; otherwise it is closed, which tells the target to stop.
func (x *Exchange) Close() {
	if !x.stopAbort() || !x.reusable() {
		x.conn.close()

		return
	}

	x.pool.put(time.Now(), x.conn, keepAliveTimeout(x.resp.Header))
}

// abandon closes the connection of an exchange without a response.
func (x *Exchange) abandon() {
	x.stopAbort()
	x.conn.close()
}

func (x *Exchange) reusable() bool {
	if x.single || !x.complete || x.failed || x.mismatched || x.resp.Close || x.Framing() == CloseFraming || x.conn.in.Buffered() > 0 {
		return false
	}

	if x.bodyWritten == nil {
		return true
	}

	t := time.NewTimer(bodyWriteTimeout)
	defer t.Stop()

	select {
	case <-x.bodyWritten:
		return x.writeErr == nil
	case <-t.C:
		return false
	}
}

// keepAliveTimeout returns the idle timeout that a target announces in its Keep-Alive
// header, less keepAliveMargin; zero if it announces none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || s <= 0 {
			return 0
		}

		return max(time.Duration(s)*time.Second-keepAliveMargin, time.Millisecond)
	}

	return 0
}
