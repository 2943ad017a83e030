// Package intake bounds the memory and the connections that clients take.
//
// # Model
//
// A Ledger accounts for the memory that the bytes of clients take: a fixed amount for each open connection, which
// covers an ordinary request, and beyond that the heads and bodies of requests and the responses that are held
// for their callers. A Port bounds the connections of one listener. Each connection has an Account at both.
//
// Large requests are refused first when memory runs out, so that ordinary ones, which need none beyond their
// connection's, pass beside any number of them. In this order, requests that aren't read completely give way:
// those that stopped, those slower than any honest link, and the largest. A request that was read
// completely never does. At the bound of connections, unused ones are closed first, the longest unused one
// first, then those whose request stopped or is slow. A connection with unread bytes doesn't count as unused
// or stopped: its process may have stood still.
//
// Decisions take the present time as an argument and do no I/O; a connection gives way by a callback.
package intake

import (
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
)

const (
	// ConnectionBytes is what an open connection takes: goroutines, buffers, and a request within allowance.
	ConnectionBytes = 24 << 10
	// allowance is the part of ConnectionBytes for heads, bodies and responses.
	allowance = 4 << 10
	// readBuffer is the buffer of net/http for what is read from a connection, which ConnectionBytes covers. The first
	// bytes of a body come with the head.
	readBuffer = 4 << 10
	// headCopies is how many times a head is held while it is read: as it was received, and parsed.
	headCopies = 2
	// stallTime is how long a request that isn't read completely may make no progress, or be behind minRate,
	// before it gives way to others.
	stallTime = time.Second
	// minRate is the lowest rate of an honest link, in bytes a second.
	minRate = 1 << 10
	// yieldTimeout is how long a request waits for the memory of those that give way to it.
	yieldTimeout = time.Second
	// connectionShare is the part of the ledger's memory that connections may take.
	connectionShare = 0.25
)

// ErrFull is returned if there is no memory for more bytes of a request or response.
var ErrFull = errors.New("the memory for clients' bytes is used up")

// Config configures a Ledger.
type Config struct {
	// Bytes is the memory for all clients together; zero means no limit.
	Bytes int64
	// Log gets a line for each request and connection that gives way.
	Log logr.Logger
}

// Ledger accounts for the memory that the bytes of clients take. Use NewLedger.
type Ledger struct {
	cfg Config

	mu       sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	freed    chan struct{} // closed when memory was freed; nil if nobody waits
	refused  int64
	lines    lineLimit
}

// maxLines is how many lines are logged in a second.
const maxLines = 20

// lineLimit bounds the number of log lines.
type lineLimit struct {
	second  time.Time
	written int
	leftOut int
}

// allow reports whether a line may be written, and how many were left out before it.
func (n *lineLimit) allow(now time.Time) (leftOut int, ok bool) {
	if now.Sub(n.second) >= time.Second {
		n.second, n.written = now, 0
	}

	if n.written >= maxLines {
		n.leftOut++

		return 0, false
	}

	leftOut, n.leftOut = n.leftOut, 0
	n.written++

	return leftOut, true
}

// NewLedger returns an empty Ledger.
func NewLedger(cfg Config) *Ledger {
	return &Ledger{cfg: cfg, accounts: make(map[*Account]struct{})}
}

// MaxConnections returns how many connections the ledger's memory allows; zero means no limit.
func (l *Ledger) MaxConnections() int {
	return int(connectionShare * float64(l.cfg.Bytes) / ConnectionBytes)
}

// Usage is what a Ledger accounts for.
type Usage struct {
	// Bytes is the memory in use, Connections the number of open connections.
	Bytes       int64
	Connections int
	// Yielded is the number of requests and connections that gave way or were refused since the start.
	Yielded int64
}

// Usage returns the present usage.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Usage{Bytes: l.used, Connections: len(l.accounts), Yielded: l.refused}
}

// free returns memory and wakes those that wait for it. The caller holds mu.
func (l *Ledger) free(n int64) {
	l.used -= n

	if n > 0 && l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// wake returns a channel that is closed when memory was freed or an account has to give way. The caller holds mu.
func (l *Ledger) wake() <-chan struct{} {
	if l.freed == nil {
		l.freed = make(chan struct{})
	}

	return l.freed
}

// fits reports whether n more bytes fit. The caller holds mu.
func (l *Ledger) fits(n int64) bool { return l.cfg.Bytes == 0 || l.used+n <= l.cfg.Bytes }

// makeRoom makes one account give way if that helps an account that wants to hold size bytes, and reports whether
// one does now or did before and hasn't returned its memory yet. The caller holds mu.
func (l *Ledger) makeRoom(now time.Time, size int64, asking *Account) bool {
	for a := range l.accounts {
		if a != asking && a.yielded && a.charge() > 0 {
			return true
		}
	}

	holding := func(a *Account) bool { return a != asking && a.charge() > 0 }

	a, reason := l.mostOverdue(now, holding)
	if a == nil {
		for o := range l.accounts {
			if holding(o) && o.incomplete() && !o.yielded && o.charge() > size && (a == nil || o.charge() > a.charge()) {
				a, reason = o, reasonLarge
			}
		}
	}

	if a == nil {
		return false
	}

	l.yield(now, a, reason)

	return true
}

// maxPeeks is how many connections are checked for unread bytes in one decision.
const maxPeeks = 16

// mostOverdue returns the account for which a condition holds and whose incomplete request has stopped for the
// longest time or, if none has, is furthest behind minRate; nil for none. The caller holds mu.
func (l *Ledger) mostOverdue(now time.Time, holds func(*Account) bool) (overdue *Account, reason string) {
	for _, by := range []struct {
		reason  string
		measure func(*Account) time.Duration
	}{
		{reasonStopped, func(a *Account) time.Duration { return a.sinceProgress(now) }},
		{reasonSlow, func(a *Account) time.Duration { return a.behind(now) }},
	} {
		var passed map[*Account]bool

		for range maxPeeks {
			a, most := (*Account)(nil), stallTime

			for o := range l.accounts {
				if !o.yielded && o.incomplete() && !passed[o] && holds(o) && by.measure(o) >= most {
					a, most = o, by.measure(o)
				}
			}

			if a == nil {
				break
			}

			if !a.pending() {
				return a, by.reason
			}

			if passed == nil {
				passed = make(map[*Account]bool)
			}

			passed[a] = true
		}
	}

	return nil, ""
}

// The reasons for which an account gives way.
const (
	reasonStopped = "stopped"
	reasonSlow    = "slow"
	reasonLarge   = "large"
	reasonUnused  = "unused"
	reasonFull    = "full"
)

// yield makes an account give way. The caller holds mu.
func (l *Ledger) yield(now time.Time, a *Account, reason string) {
	a.yielded = true
	l.refused++
	l.log(now, a, event.ClientYielded, reason)

	if a.yieldBody != nil {
		a.yieldBody()
	} else {
		a.cfg.Close()
	}

	if l.freed != nil {
		close(l.freed)
		l.freed = nil
	}
}

// refuse counts a request or connection that is refused, as no other one gives way to it. The caller holds mu.
func (l *Ledger) refuse(now time.Time, a *Account) {
	l.refused++
	l.log(now, a, event.ClientRefused, reasonFull)
}

func (l *Ledger) log(now time.Time, a *Account, e event.Event, reason string) {
	leftOut, ok := l.lines.allow(now)
	if !ok {
		return
	}

	event.Log(l.cfg.Log, e, "port", a.port.cfg.Name, "reason", reason, "state", a.state.String(), "bytes", a.charge(),
		"received", a.received.Load(), "age_ms", now.Sub(a.began).Milliseconds(), "quiet_ms", a.sinceProgress(now).Milliseconds(),
		"used", l.used, "limit", l.cfg.Bytes, "connections", len(a.port.accounts), "max_connections", a.port.cfg.Connections, "left_out", leftOut)
}

// YieldStopped makes all requests give way of which no byte came for a time, and which aren't read
// completely. A process that stops needn't wait for them.
func (l *Ledger) YieldStopped(now time.Time, quiet time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for a := range l.accounts {
		if a.state == readingBody && !a.yielded && a.sinceProgress(now) >= quiet && !a.pending() {
			l.yield(now, a, reasonStopped)
		}
	}
}
