// Package upstream sends requests to targets over kept connections and knows of
// each request whether it may have run.
//
// # Model
//
// A Pool keeps the idle connections of each address. An Exchange is one request
// on one connection: Send writes it and reads the head of the answer, Read gives
// the body, Close ends it. Nothing is ever sent twice by this package. An error
// says how far the request had come: until its first byte was written it has
// certainly not run; afterwards nobody knows, unless the target says so itself.
//
// A target may send an answer that belongs to an earlier request, or bytes after
// an answer's end. So each answer is checked against the request by the caller's
// Match function, and a connection is kept only after a complete answer with
// nothing behind it.
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
	"net"
	"net/http"
	"sync"
	"time"
)

// Reached tells how far a request had come when it failed.
type Reached uint8

// The values of Reached.
const (
	// NotSent means that no byte left, so it has not run and never will.
	NotSent Reached = iota
	// MaybeSent means that some of it may have arrived, so it may have run.
	MaybeSent
)

// String returns the snake-case name of r.
func (r Reached) String() string {
	if r == NotSent {
		return "not_sent"
	}

	return "maybe_sent"
}

// Error is a failed exchange.
type Error struct {
	reached Reached
	step    string
	cause   error
}

// Error returns the step that failed and the cause.
func (e *Error) Error() string { return e.step + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Reached returns how far the request had come.
func (e *Error) Reached() Reached { return e.reached }

// Step names the step that failed: dial, write, head or body.
func (e *Error) Step() string { return e.step }

// Steps of an exchange, as errors name them.
const (
	stepDial  = "dial"
	stepWrite = "write"
	stepHead  = "head"
	stepBody  = "body"
)

// ReachedOf returns how far the request of an error had come.
func ReachedOf(err error) Reached {
	var e *Error
	if errors.As(err, &e) {
		return e.reached
	}

	return MaybeSent
}

// Request is what is sent.
type Request struct {
	// Address is the target's IP and port.
	Address string
	// Method is needed to read the answer: some have no body.
	Method string
	// Head is the request line and the headers with their last empty line.
	Head []byte
	// Body is sent behind it.
	Body []byte
	// Match reports whether an answer belongs to the request; nil takes any.
	Match func(http.Header) bool
}

// Config bounds a Pool. Zero values get a default.
type Config struct {
	// DialTimeout is how long a connection may take to be established: 500 ms
	// when zero. Data centres are a millisecond or two apart, and a packet that
	// was lost is sent again within that time.
	DialTimeout time.Duration
	// IdleMost is how long a connection is kept unused when the target doesn't
	// say: 4 s when zero, under the five seconds that servers usually allow.
	IdleMost time.Duration
	// IdlePerAddress bounds the unused connections of one address: 32 when zero.
	IdlePerAddress int
	// UnackedMost is how long written bytes may stay unacknowledged before the
	// connection is taken as dead: 2 s when zero.
	UnackedMost time.Duration
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = 500 * time.Millisecond
	}

	if c.IdleMost <= 0 {
		c.IdleMost = 4 * time.Second
	}

	if c.IdlePerAddress <= 0 {
		c.IdlePerAddress = 32
	}

	if c.UnackedMost <= 0 {
		c.UnackedMost = 2 * time.Second
	}

	return c
}

// Pool keeps connections. Use NewPool; its methods may be called from many
// goroutines.
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
		dialer: net.Dialer{Timeout: cfg.DialTimeout, Control: boundUnacked(cfg.UnackedMost), KeepAlive: -1},
		idle:   make(map[string][]*conn),
	}
}

// Dials returns how many connections were opened.
func (p *Pool) Dials() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.dials
}

// Sweep closes the connections that were unused for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn

	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]

		for _, c := range conns {
			if now.After(c.until) {
				old = append(old, c)
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

	for _, c := range old {
		c.close()
	}
}

// take returns a kept connection, the one used last first, so that a pool that
// was large in a burst shrinks again.
func (p *Pool) take(now time.Time, address string) *conn {
	for {
		p.mu.Lock()

		conns := p.idle[address]
		if len(conns) == 0 {
			p.mu.Unlock()

			return nil
		}

		c := conns[len(conns)-1]
		p.idle[address] = conns[:len(conns)-1]
		p.mu.Unlock()

		// A connection that the target closed meanwhile, or on which bytes wait
		// that no request asked for, would lose or cross the next answer.
		if now.Before(c.until) && c.quiet() {
			return c
		}

		c.close()
	}
}

// keep takes a connection back after a complete answer.
func (p *Pool) keep(now time.Time, c *conn, most time.Duration) {
	if most <= 0 {
		most = p.cfg.IdleMost
	}

	c.until = now.Add(most)
	c.reused = true

	p.mu.Lock()

	full := len(p.idle[c.address]) >= p.cfg.IdlePerAddress
	if !full {
		p.idle[c.address] = append(p.idle[c.address], c)
	}

	p.mu.Unlock()

	if full {
		c.close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()

	nc, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{NotSent, stepDial, err}
	}

	return newConn(address, nc), nil
}
