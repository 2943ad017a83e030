package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

var t0 = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// client is a connection of a test.
type client struct {
	*Account

	closed, ended, pending bool
}

// open opens a connection at a port.
func open(t *testing.T, now time.Time, p *Port) *client {
	t.Helper()

	c := &client{}
	c.Account = p.Open(now, AccountConfig{Close: func() { c.closed = true }, Pending: func() bool { return c.pending }})

	return c
}

// sends makes a connection receive n bytes of a body, of which it holds as many.
func (c *client) sends(t *testing.T, now time.Time, n int) {
	t.Helper()

	if err := c.Read(now, 100); err != nil {
		t.Fatal(err)
	}

	c.Head()
	c.beginBody(func() { c.ended = true })

	if err := c.Read(now, n); err != nil {
		t.Fatal(err)
	}

	c.port.ledger.mu.Lock()
	defer c.port.ledger.mu.Unlock()

	if err := c.set(now, &c.body, int64(n)); err != nil {
		t.Fatal(err)
	}
}

func newTestLedger(bytes int64) *Ledger { return NewLedger(Config{Bytes: bytes, Log: logr.Discard()}) }

const mebibyte = 1 << 20

// Guards against a body that holds its memory for ever, and against an honest one that gives way to it.
func TestRequestsThatStoppedAreSlowOrLargeGiveWayInThisOrder(t *testing.T) {
	tests := []struct {
		name    string
		clients []int                                  // bytes that they have sent at t0
		before  func(now time.Time, clients []*client) // what happens from then on
		want    int                                    // that gives way; -1 for none
	}{
		{"the one that stopped, though smaller", []int{2 * mebibyte, mebibyte}, func(now time.Time, c []*client) { _ = c[0].Read(now, 1<<20) }, 1},
		{"the one that stopped first", []int{mebibyte, mebibyte}, func(now time.Time, c []*client) { c[1].progress.Add(int64(time.Millisecond)) }, 0},
		{"not one with unread bytes", []int{mebibyte, mebibyte}, func(_ time.Time, c []*client) { c[0].pending = true }, 1},
		{"the slow one", []int{2 * mebibyte, 8 << 10}, func(now time.Time, c []*client) {
			_ = c[0].Read(now, 1)
			_ = c[1].Read(now, 1)
		}, 1},
		{"the largest, if all go on", []int{mebibyte, 2 * mebibyte}, func(now time.Time, c []*client) {
			_ = c[0].Read(now, 1<<20)
			_ = c[1].Read(now, 1<<20)
		}, 1},
		{"none that was read completely", []int{2 * mebibyte, 2 * mebibyte}, func(_ time.Time, c []*client) {
			c[0].endBody(true)
			c[1].endBody(true)
		}, -1},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newTestLedger(64 * mebibyte)
			p := l.Port(PortConfig{Name: "callers"})
			now := t0.Add(20 * time.Second)

			var clients []*client

			for _, n := range tt.clients {
				c := open(t, t0, p)
				c.sends(t, t0, n)
				clients = append(clients, c)
			}

			tt.before(now, clients)

			asking := open(t, now, p)

			l.mu.Lock()
			made := l.makeRoom(now, 100<<10, asking.Account)
			l.mu.Unlock()

			if made != (tt.want >= 0) {
				t.Errorf("got room made: %v, want %v", made, tt.want >= 0)
			}

			for i, c := range clients {
				if c.ended != (i == tt.want) || c.closed {
					t.Errorf("client %d: got ended %v, closed %v, want ended %v and not closed", i, c.ended, c.closed, i == tt.want)
				}
			}
		})
	}
}

// Guards against an ordinary request that is refused beside bodies which take all memory.
func TestOrdinaryRequestsNeedNoMemoryBeyondTheirConnection(t *testing.T) {
	l := newTestLedger(4 * mebibyte)
	p := l.Port(PortConfig{Name: "callers"})
	large := open(t, t0, p)
	large.sends(t, t0, 4*mebibyte-2*ConnectionBytes+allowance)
	large.endBody(true)

	ordinary := open(t, t0, p)
	if err := ordinary.Read(t0, readBuffer); err != nil {
		t.Errorf("head, and the body with it: got %v, want no error", err)
	}

	ordinary.Head()
	ordinary.beginBody(func() {})

	if err := ordinary.growBody(context.Background(), 2<<10); err != nil {
		t.Errorf("body: got %v, want no error", err)
	}

	other := open(t, t0, p)
	other.Head()
	other.beginBody(func() {})

	if err := other.growBody(context.Background(), mebibyte); !errors.Is(err, ErrFull) {
		t.Errorf("large body: got %v, want %v", err, ErrFull)
	}
}

// Guards against memory that stays accounted for, which would refuse all requests in the end.
func TestMemoryIsReturned(t *testing.T) {
	l := newTestLedger(64 * mebibyte)
	p := l.Port(PortConfig{Name: "callers"})
	c := open(t, t0, p)

	for range 3 {
		c.sends(t, t0, mebibyte)
		c.endBody(true)

		if err := c.SetResponse(t0, mebibyte, 0); err != nil {
			t.Fatal(err)
		}

		c.Unused(t0)

		if got := l.Usage(); got.Bytes != ConnectionBytes || got.Connections != 1 {
			t.Errorf("behind a request: got %+v, want one connection and nothing else", got)
		}
	}

	c.sends(t, t0, mebibyte)
	c.Close(t0)
	c.Close(t0)

	if got := l.Usage(); got.Bytes != 0 || got.Connections != 0 {
		t.Errorf("behind the connection: got %+v, want nothing", got)
	}
}

// Guards against a head that grows without end, one byte at a time.
func TestHeadsAreAccountedFor(t *testing.T) {
	l := newTestLedger(mebibyte)
	p := l.Port(PortConfig{Name: "callers"})

	var full error

	for range 100 {
		c := open(t, t0, p)
		for range 60 {
			if err := c.Read(t0, 1<<10); err != nil {
				full = err
			}
		}
	}

	if !errors.Is(full, ErrFull) {
		t.Errorf("got %v, want %v", full, ErrFull)
	}

	if got, most := l.Usage().Bytes, int64(mebibyte+100*ConnectionBytes); got > most {
		t.Errorf("got %d bytes, want at most %d", got, most)
	}
}

// Guards against a crowd that keeps ordinary callers out, and against one that costs them their requests.
func TestConnectionsGiveWay(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, now time.Time, c []*client)
		want    int // that is closed; -1 for the new one
	}{
		{"the one unused for the longest time", func(_ *testing.T, now time.Time, c []*client) { c[0].Unused(now) }, 1},
		{"not one with unread bytes", func(_ *testing.T, _ time.Time, c []*client) { c[0].pending = true }, 1},
		{"an unused one rather than one that stopped", func(t *testing.T, _ time.Time, c []*client) {
			c[0].sends(t, t0, 10)
			c[1].sends(t, t0, 10)
		}, 2},
		{"a request that stopped", func(t *testing.T, _ time.Time, c []*client) {
			c[0].Head()
			c[1].sends(t, t0, 10)
			c[2].Head()
		}, 1},
		{"a slow head", func(t *testing.T, now time.Time, c []*client) {
			c[0].Head()
			c[1].Head()

			if c[2].Read(t0, 1) != nil || c[2].Read(now, 1) != nil {
				t.Error("got an error, want none")
			}
		}, 2},
		{"none with a request in flight", func(_ *testing.T, _ time.Time, c []*client) {
			for _, a := range c {
				a.Head()
			}
		}, -1},
		{"no request that has just begun", func(t *testing.T, now time.Time, c []*client) {
			for _, a := range c {
				a.sends(t, now, 10)
			}
		}, -1},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := t0.Add(10 * time.Second)
			p := newTestLedger(0).Port(PortConfig{Name: "callers", Connections: 3})
			clients := []*client{open(t, t0, p), open(t, t0, p), open(t, t0, p)}

			for i, c := range clients {
				c.Unused(t0.Add(time.Duration(i) * time.Millisecond))
			}

			tt.prepare(t, now, clients)

			opened := open(t, now, p)
			if got := p.Admit(now, opened.Account); got != (tt.want >= 0) {
				t.Errorf("got admitted %v, want %v", got, tt.want >= 0)
			}

			for i, c := range clients {
				if got := c.closed || c.ended; got != (i == tt.want) {
					t.Errorf("client %d: got closed %v, want %v", i, got, i == tt.want)
				}
			}
		})
	}
}

// Guards against more descriptors than the limit while refused clients leave slowly.
func TestFewConnectionsAreOpenBeyondTheLimit(t *testing.T) {
	const limit = 40

	p := newTestLedger(0).Port(PortConfig{Name: "callers", Connections: limit})
	now := t0.Add(time.Minute)

	for range 200 {
		c := open(t, t0, p)
		c.sends(t, t0, 10)

		if !p.Admit(now, c.Account) {
			c.Close(now)
		}
	}

	if got, most := len(p.accounts), limit+limit/leavingDivisor; got > most {
		t.Errorf("got %d open connections, want at most %d", got, most)
	}
}

// Guards against a planned stop that waits for bodies which never come.
func TestStoppedBodiesYieldToAStop(t *testing.T) {
	l := newTestLedger(0)
	p := l.Port(PortConfig{Name: "callers"})
	stopped, goesOn, inFlight, unread := open(t, t0, p), open(t, t0, p), open(t, t0, p), open(t, t0, p)

	for _, c := range []*client{stopped, goesOn, inFlight, unread} {
		c.sends(t, t0, 10)
	}

	now := t0.Add(2 * time.Second)
	unread.pending = true

	inFlight.endBody(true)

	if err := goesOn.Read(now, 1); err != nil {
		t.Fatal(err)
	}

	l.YieldStopped(now, time.Second)

	for _, tt := range []struct {
		name string
		c    *client
		want bool
	}{{"stopped", stopped, true}, {"goes on", goesOn, false}, {"in flight", inFlight, false}, {"unread", unread, false}} {
		if tt.c.ended != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, tt.c.ended, tt.want)
		}
	}
}

// Guards against a log that a crowd fills.
func TestLinesAreBounded(t *testing.T) {
	var n lineLimit

	written := 0

	for range 100 {
		if _, ok := n.allow(t0); ok {
			written++
		}
	}

	leftOut, ok := n.allow(t0.Add(time.Second))
	if written != maxLines || !ok || leftOut != 100-maxLines {
		t.Errorf("got %d lines, then %d left out, want %d and %d", written, leftOut, maxLines, 100-maxLines)
	}
}
