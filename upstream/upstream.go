// Package upstream sends requests to targets over persistent connections and reports
// for each failed request whether it may have run.
//
// # Model
//
// A Pool keeps the idle connections of each address. An Exchange is one request
// on one connection: Send writes it and reads the response header, Read returns
// the body, Close ends it. A Pool never retries a request. An Error reports
// the Delivery of its request: before the first byte was written it has certainly
// not run; afterwards this is unknown, unless the target reports it.
//
// A target may send a response that belongs to an earlier request, or bytes after
// the end of a response. Each response is therefore checked by the caller's Match
// function, and a connection is kept only after a complete response without
// further bytes.
//
// # Example
//
//	x, err := pool.Send(ctx, upstream.Request{Address: "10.0.0.7:80", Head: head, Body: body, Match: match})
//	if err != nil {
//		…
//	}
//	defer x.Close()
//	body, err := io.ReadAll(x)
package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Delivery reports how far a failed request was sent.
type Delivery uint8

// The values of Delivery.
const (
	// NotSent means that no byte was sent, so the request has not run and never will.
	NotSent Delivery = iota
	// MaybeSent means that bytes may have arrived, so the request may have run.
	MaybeSent
)

// String returns the snake-case name of d.
func (d Delivery) String() string {
	if d == NotSent {
		return "not_sent"
	}

	return "maybe_sent"
}

// Error is a failed exchange.
type Error struct {
	delivery Delivery
	step     string
	cause    error
	stale    bool // a reused connection broke before any byte of a response
}

// Error returns the step that failed and the cause.
func (e *Error) Error() string { return e.step + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Delivery returns how far the request was sent.
func (e *Error) Delivery() Delivery { return e.delivery }

// Step returns the name of the failed step: dial, write, head or body.
func (e *Error) Step() string { return e.step }

// Steps of an exchange, as named in errors.
const (
	stepDial  = "dial"
	stepWrite = "write"
	stepHead  = "head"
	stepBody  = "body"
)

// DeliveryOf returns the Delivery of an Error in err's chain, MaybeSent if there is none.
func DeliveryOf(err error) Delivery {
	var e *Error
	if errors.As(err, &e) {
		return e.delivery
	}

	return MaybeSent
}

// Request is a request to a target.
type Request struct {
	// Address is the target's IP and port.
	Address string
	// Method is the request's method. Whether the response has a body depends on it.
	Method string
	// Head is the request line and the header, including the final empty line.
	Head []byte
	// Body is sent after Head, as it is.
	Body []byte
	// Match reports whether a response belongs to the request; nil accepts any.
	Match func(http.Header) bool
	// Identified reports whether a response says to which request it belongs; nil if none does. One that doesn't is
	// another request's if responses of that class of status have done so on its connection.
	Identified func(http.Header) bool
	// ID is the same for all attempts of a request and differs between requests; empty if unknown. Match can't tell the
	// response to one attempt from that to another, so a connection carries a request once.
	ID string
	// BodyStream is the body in place of Body, of BodyLength bytes; nil for Body.
	BodyStream io.Reader
	BodyLength int64
	// Close is whether the request gets a connection of its own, which is closed after the response.
	Close bool
	// Trace has hooks for the connection and the first byte of a response; nil for none.
	Trace *httptrace.ClientTrace
}

// Config configures a Pool. Zero values get a default.
type Config struct {
	// DialTimeout is the timeout for establishing a connection: 500 ms when zero.
	// Data centres are one or two milliseconds apart; the rest is meant to allow for
	// the retransmission of a lost packet.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the target announces no
	// timeout: 4 s when zero, below the 5 s that servers usually allow.
	IdleTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections to one address: 32
	// when zero.
	MaxIdlePerAddress int
	// UnackedTimeout is how long written bytes may stay unacknowledged before the
	// connection fails: 2 s when zero.
	UnackedTimeout time.Duration
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = 500 * time.Millisecond
	}

	if c.IdleTimeout <= 0 {
		c.IdleTimeout = 4 * time.Second
	}

	if c.MaxIdlePerAddress <= 0 {
		c.MaxIdlePerAddress = 32
	}

	if c.UnackedTimeout <= 0 {
		c.UnackedTimeout = 2 * time.Second
	}

	return c
}

// Pool keeps idle connections by address. Use NewPool; its methods are safe for
// concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu    sync.Mutex
	idle  map[string][]*conn
	dials uint64
}

// NewPool returns an empty Pool.
func NewPool(cfg Config) *Pool {
	cfg = cfg.withDefaults()

	return &Pool{
		cfg:    cfg,
		dialer: net.Dialer{Timeout: cfg.DialTimeout, Control: userTimeoutControl(cfg.UnackedTimeout), KeepAlive: -1},
		idle:   make(map[string][]*conn),
	}
}

// Dials returns the number of attempts to open a connection.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.dials
}

// Sweep closes the connections whose idle time is over.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn

	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]

		for _, c := range conns {
			if now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}

		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()

	for _, c := range expired {
		c.close()
	}
}

// closeIdle closes all idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*conn)
	p.mu.Unlock()

	for _, conns := range idle {
		for _, c := range conns {
			c.close()
		}
	}
}

// idleConn returns a usable idle connection that hasn't carried the request with an id, nil for none. It takes the
// most recently used one first, so that a pool that grew in a burst shrinks again.
func (p *Pool) idleConn(now time.Time, address, id string) *conn {
	for {
		c := p.take(address, id)
		if c == nil {
			return nil
		}

		// On a connection that the target closed the next response would be lost; with
		// unread bytes of an earlier request it could be taken for another one.
		if now.Before(c.expires) && c.usable() {
			return c
		}

		c.close()
	}
}

// take removes the most recently used idle connection that hasn't carried the request with an id from the pool, and
// returns it, nil if there is none.
func (p *Pool) take(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	conns := p.idle[address]

	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; !c.carried(id) {
			p.idle[address] = slices.Delete(conns, i, i+1)

			return c
		}
	}

	return nil
}

// put returns a connection to the pool after a complete response.
func (p *Pool) put(now time.Time, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = p.cfg.IdleTimeout
	}

	c.expires = now.Add(idleTimeout)
	c.reused = true

	p.mu.Lock()

	full := len(p.idle[c.address]) >= p.cfg.MaxIdlePerAddress
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}

	p.mu.Unlock()

	if full {
		c.close()
	}
}

// Connect opens a connection to a target and keeps it idle. Its error is one for which Refused returns
// true if nothing accepts connections at the address.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}

	p.put(time.Now(), c, 0)

	return nil
}

// Refused reports whether an error says that nothing accepts connections at the target's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()

	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{NotSent, stepDial, err, false}
	}

	return newConn(address, nc), nil
}
