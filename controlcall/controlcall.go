// Package controlcall makes the calls between processes over HTTP/1.1 that are not callers' requests:
// polls, lists, orders, records of a log.
//
// # Which response is a call's own
//
// A target may answer a call twice, the second time late. HTTP/1.1 has no number for a response, so the
// second one is taken for the response to the next call on the connection, and each later call gets the
// response to the one before it. A Client sends an id with each call, in the header Config.IDHeader names,
// and learns on each connection for each path and class of status whether the target echoes it.
//
//   - A response with another id fails the call with ErrOtherResponse and closes the connection. So does one
//     without an id of a kind that has carried ids on that connection. Only if the first response on a
//     connection, which can belong to no other call, has another id, the target's ids are ignored.
//   - A connection whose last response had no id is used again only after it has rested for Config.Rest and
//     nothing has arrived on it meanwhile; a call waits for that. A Call that is Strict uses one that has
//     rested for Config.StrictRest, or a new one. A response that is later than that is not recognised here;
//     the content of responses is to be checked as well.
//
// On every connection, bytes that arrive between calls close it.
//
// # Repeating
//
// A call is sent twice only if it is Repeatable and a reused connection broke before any byte of a response
// arrived, as happens when the target closes an idle connection at that moment. An Error reports for every
// other failure whether the call may have been carried out.
//
// # Example
//
//	c := controlcall.NewClient(controlcall.Config{IDHeader: "X-Request-Id"})
//	r, err := c.Do(ctx, controlcall.Call{Method: http.MethodGet, Address: "10.0.0.7:80", Path: "/report", Repeatable: true})
package controlcall

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"boragehub/event"
)

// ErrOtherResponse is the cause of the Error of a call that got a response to another call.
var ErrOtherResponse = errors.New("received a response that does not belong to the call")

// Outcome is what is known of a failed call at its target.
type Outcome uint8

// The values of Outcome.
const (
	// Unknown means that the call may have been carried out, or may be carried out later.
	Unknown Outcome = iota
	// NotSent means that no byte of the call was sent: it is not carried out.
	NotSent
)

// String returns the snake-case name of o.
func (o Outcome) String() string {
	if o == NotSent {
		return "not_sent"
	}

	return "unknown"
}

// Error is a failed call.
type Error struct {
	outcome Outcome
	cause   error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string {
	return "control call, outcome " + e.outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Outcome returns what is known of the call at its target.
func (e *Error) Outcome() Outcome { return e.outcome }

// OutcomeOf returns the Outcome of the Error in err's chain, Unknown if there is none.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.outcome
	}

	return Unknown
}

// Call is one call.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Address is the target's host and port.
	Address string
	// Path is the path with its query.
	Path string
	// Header holds further header fields; nil for none.
	Header http.Header
	// Body is the body; nil for none.
	Body []byte
	// Repeatable is whether the call may be carried out twice.
	Repeatable bool
	// Strict is whether Config.StrictRest applies in place of Config.Rest.
	Strict bool
}

// Response is the complete response to a call.
type Response struct {
	// Status is the status code.
	Status int
	// Header is the header.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// Config configures a Client. Zero values get a default.
type Config struct {
	// IDHeader is the name of the header that carries the id of a call; empty if calls carry none.
	IDHeader string
	// DialTimeout is the timeout for establishing a connection: 500 ms when zero.
	DialTimeout time.Duration
	// MaxDuration bounds every call, in addition to its context: 1 min when zero.
	MaxDuration time.Duration
	// IdleTimeout is how long an idle connection is kept if the target announces no timeout: 20 s when zero.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections to one address: 4 when zero.
	MaxIdlePerAddress int
	// MaxBodyBytes bounds the body of a response: 8 MiB when zero.
	MaxBodyBytes int64
	// Rest is how long a connection is not used after a response without its call's id: 50 ms when zero.
	Rest time.Duration
	// StrictRest is the same for calls that are Strict: 1 s when zero.
	StrictRest time.Duration
	// Log gets the events of this package, at most one a second; the zero value discards them.
	Log logr.Logger
}

func (c Config) withDefaults() Config {
	c.DialTimeout = positiveOr(c.DialTimeout, 500*time.Millisecond)
	c.MaxDuration = positiveOr(c.MaxDuration, time.Minute)
	c.IdleTimeout = positiveOr(c.IdleTimeout, 20*time.Second)
	c.MaxIdlePerAddress = positiveOr(c.MaxIdlePerAddress, 4)
	c.MaxBodyBytes = positiveOr(c.MaxBodyBytes, 8<<20)
	c.Rest = positiveOr(c.Rest, 50*time.Millisecond)
	c.StrictRest = positiveOr(c.StrictRest, time.Second)

	return c
}

func positiveOr[T int | int64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}

	return fallback
}

// Counts are the counts of a Client since its start.
type Counts struct {
	// Dials is the number of attempts to open a connection.
	Dials uint64
	// Mismatched is the number of calls that failed with ErrOtherResponse.
	Mismatched uint64
	// Unsolicited is the number of connections closed because bytes arrived on them between calls.
	Unsolicited uint64
}

// Client makes calls. Use NewClient; its methods are safe for concurrent use.
type Client struct {
	cfg      Config
	dialer   net.Dialer
	pool     pool
	idPrefix string

	calls, dials, mismatched, unsolicited atomic.Uint64
	loggedAt                              atomic.Int64 // Unix time in ms
}

// NewClient returns a Client without connections.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()

	return &Client{
		cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1},
		pool: newPool(cfg), idPrefix: uuid.NewString() + "-",
	}
}

// Counts returns the counts since the Client's start.
func (c *Client) Counts() Counts {
	return Counts{Dials: c.dials.Load(), Mismatched: c.mismatched.Load(), Unsolicited: c.unsolicited.Load()}
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() { c.pool.closeAll() }

// nextID returns an id that no other call has, of any process or start.
func (c *Client) nextID() string { return c.idPrefix + strconv.FormatUint(c.calls.Add(1), 10) }

// Do makes a call and returns its complete response, whatever its status. Its error is an *Error.
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MaxDuration)
	defer cancel()

	cn, err := c.connection(ctx, call)
	if err != nil {
		return Response{}, &Error{NotSent, err}
	}

	again := call.Repeatable && cn.reused()

	resp, err := c.roundTrip(ctx, cn, call)
	if err == nil || !again || cn.answered || ctx.Err() != nil {
		return resp, err
	}

	if cn, err = c.dial(ctx, call.Address); err != nil {
		return Response{}, &Error{Unknown, err}
	}

	return c.roundTrip(ctx, cn, call)
}

// connection returns an idle connection that the call may use, or a new one.
func (c *Client) connection(ctx context.Context, call Call) (*conn, error) {
	for {
		cn, wait, unsolicited := c.pool.take(time.Now(), call.Address, call.Strict)
		if unsolicited > 0 {
			c.countUnsolicited(call.Address, unsolicited)
		}

		if cn != nil {
			return cn, nil
		}

		if wait <= 0 {
			return c.dial(ctx, call.Address)
		}

		t := time.NewTimer(wait)

		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()

			return nil, ctx.Err()
		}
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	c.dials.Add(1)

	nc, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}

	return newConn(nc), nil
}

// roundTrip makes a call on a connection, which it closes or keeps.
func (c *Client) roundTrip(ctx context.Context, cn *conn, call Call) (Response, error) {
	id := ""
	if c.cfg.IDHeader != "" {
		id = c.nextID()
	}

	text, req, err := c.encode(ctx, call, id)
	if err != nil {
		cn.close()

		return Response{}, &Error{NotSent, err}
	}

	stop := context.AfterFunc(ctx, cn.close)

	if err := ctx.Err(); err != nil {
		stop()
		cn.close()

		return Response{}, &Error{NotSent, err}
	}

	resp, keep, err := cn.exchange(ctx, text, req, exchangeConfig{c.cfg.IDHeader, id, c.cfg.MaxBodyBytes})

	// stop returns false if the connection is being closed.
	if !stop() || err != nil || keep == 0 {
		cn.close()
	} else {
		c.pool.put(time.Now(), call.Address, cn, keep)
	}

	if cn.followed {
		c.countUnsolicited(call.Address, 1)
	}

	if err == nil {
		return resp, nil
	}

	if errors.Is(err, ErrOtherResponse) {
		c.countMismatched(call, cn)
	}

	if ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", ctx.Err(), err)
	}

	return Response{}, &Error{Unknown, err}
}

// encode returns the bytes of a call, and the request that its response is read for.
func (c *Client) encode(ctx context.Context, call Call, id string) ([]byte, *http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, nil, err
	}

	if call.Header != nil {
		req.Header = call.Header.Clone()
	}

	if id != "" {
		req.Header.Set(c.cfg.IDHeader, id)
	}

	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return nil, nil, err
	}

	return text.Bytes(), req, nil
}

func (c *Client) countMismatched(call Call, cn *conn) {
	n := c.mismatched.Add(1)
	c.log(event.ResponseMismatched, "address", call.Address, "method", call.Method, "path", call.Path, "id", cn.otherID, "calls", cn.calls, "mismatched", n)
}

func (c *Client) countUnsolicited(address string, connections int) {
	n := c.unsolicited.Add(uint64(connections))
	c.log(event.ResponseUnsolicited, "address", address, "connections", connections, "unsolicited", n)
}

// logInterval is the least time between two log lines of a Client.
const logInterval = time.Second

func (c *Client) log(e event.Event, keysAndValues ...any) {
	now, before := time.Now().UnixMilli(), c.loggedAt.Load()
	if now-before < logInterval.Milliseconds() || !c.loggedAt.CompareAndSwap(before, now) {
		return
	}

	event.Log(c.cfg.Log, e, keysAndValues...)
}
