package controlcall

import (
	"slices"
	"sync"
	"time"

	"boragehub/socket"
)

// sweepInterval is the time between two searches for expired connections.
const sweepInterval = 5 * time.Second

// pool holds idle connections by address.
type pool struct {
	rest, strictRest, idleTimeout time.Duration
	maxIdle                       int

	mu      sync.Mutex
	idle    map[string][]*conn // the least recently used one first
	sweptAt time.Time
}

func newPool(cfg Config) pool {
	return pool{rest: cfg.Rest, strictRest: cfg.StrictRest, idleTimeout: cfg.IdleTimeout, maxIdle: cfg.MaxIdlePerAddress, idle: make(map[string][]*conn)}
}

// take removes and returns the most recently used connection to an address that has rested enough, nil if there
// is none. In that case wait is how long to wait for one, zero if a new one is to be opened. It closes
// connections that are no longer usable and returns on how many of them bytes had arrived.
func (p *pool) take(now time.Time, address string, strict bool) (c *conn, wait time.Duration, unsolicited int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	usable := p.idle[address][:0]

	for _, c := range p.idle[address] {
		state := socket.Peek(c.nc)

		if state == socket.Idle && now.Before(c.expires) {
			usable = append(usable, c)

			continue
		}

		if state == socket.Readable {
			unsolicited++
		}

		c.close()
	}

	p.set(address, usable)

	for i, c := range slices.Backward(usable) {
		if p.remainingRest(now, c, strict) <= 0 {
			p.set(address, slices.Delete(usable, i, i+1))

			return c, 0, unsolicited
		}
	}

	// A strict rest is long and its calls are few: these get a new connection. Other calls wait, as new
	// connections cost the target more than a poll that comes a little later.
	if len(usable) == 0 || strict {
		return nil, 0, unsolicited
	}

	wait = p.rest
	for _, c := range usable {
		wait = min(wait, p.remainingRest(now, c, strict))
	}

	return nil, wait, unsolicited
}

// remainingRest returns how long a connection is not to be used yet.
func (p *pool) remainingRest(now time.Time, c *conn, strict bool) time.Duration {
	switch {
	case c.echoed:
		return 0
	case strict:
		return p.strictRest - now.Sub(c.restsSince)
	default:
		return p.rest - now.Sub(c.restsSince)
	}
}

// set sets the idle connections of an address. The caller holds mu.
func (p *pool) set(address string, conns []*conn) {
	if len(conns) == 0 {
		delete(p.idle, address)

		return
	}

	p.idle[address] = conns
}

// put keeps a connection for idleTimeout, or for the pool's time if that is negative.
func (p *pool) put(now time.Time, address string, c *conn, idleTimeout time.Duration) {
	if idleTimeout < 0 {
		idleTimeout = p.idleTimeout
	}

	c.restsSince, c.expires = now, now.Add(idleTimeout)

	p.mu.Lock()
	defer p.mu.Unlock()

	p.sweep(now)

	if len(p.idle[address]) >= p.maxIdle {
		c.close()

		return
	}

	p.idle[address] = append(p.idle[address], c)
}

// sweep closes expired connections, those to addresses that are no longer called among them. The caller holds mu.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}

	p.sweptAt = now

	for address, conns := range p.idle {
		p.set(address, slices.DeleteFunc(conns, func(c *conn) bool {
			expired := !now.Before(c.expires)
			if expired {
				c.close()
			}

			return expired
		}))
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, conns := range p.idle {
		for _, c := range conns {
			c.close()
		}
	}

	clear(p.idle)
}
