package misuse

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// form is what each client of a crowd sends. It then keeps its connection open.
type form struct {
	name string
	// clients is the number of clients.
	clients int
	// head is sent first, then piece as often as pieces says. With drips, the pieces come with pauses for
	// as long as the crowd stays.
	head   string
	piece  string
	pieces int
	drips  bool
	// reads is true if the clients read what they are sent.
	reads bool
}

// dripPause is the time between two pieces of a client that sends slowly.
const dripPause = 100 * time.Millisecond

// sendTimeout is how long a client waits for the process to take what it sends. A client that waits longer
// keeps its connection open without sending more.
const sendTimeout = 5 * time.Second

// crowd is a number of clients at one address.
type crowd struct {
	leave   chan struct{}
	sent    sync.WaitGroup
	clients sync.WaitGroup
}

// startCrowd starts the clients of all forms at once and returns when each has sent what it sends, or can't
// send more.
func startCrowd(address string, forms ...form) *crowd {
	c := &crowd{leave: make(chan struct{})}

	for _, f := range forms {
		for range f.clients {
			c.sent.Add(1)
			c.clients.Go(func() { c.client(address, f) })
		}
	}

	c.sent.Wait()

	return c
}

// end closes the connections of all clients.
func (c *crowd) end() {
	close(c.leave)
	c.clients.Wait()
}

// client sends what a form says, and stays until the crowd leaves. A client that is refused or closed stops.
func (c *crowd) client(address string, f form) {
	sent := sync.OnceFunc(c.sent.Done)
	defer sent()

	nc, err := net.DialTimeout("tcp", address, sendTimeout)
	if err != nil {
		return
	}

	defer func() { _ = nc.Close() }()

	if f.reads {
		go discard(nc)
	}

	if write(nc, f.head) == nil && !f.drips {
		for range f.pieces {
			if write(nc, f.piece) != nil {
				break
			}
		}
	}

	sent()

	if f.drips {
		c.drip(nc, f.piece)
	}

	<-c.leave
}

// drip sends pieces with pauses until the crowd leaves or the connection is closed.
func (c *crowd) drip(nc net.Conn, piece string) {
	tick := time.NewTicker(dripPause)
	defer tick.Stop()

	for {
		select {
		case <-c.leave:
			return
		case <-tick.C:
			if write(nc, piece) != nil {
				return
			}
		}
	}
}

func write(nc net.Conn, text string) error {
	_ = nc.SetWriteDeadline(time.Now().Add(sendTimeout))

	_, err := nc.Write([]byte(text))

	return err
}

func discard(nc net.Conn) {
	b := make([]byte, 4<<10)

	for {
		if _, err := nc.Read(b); err != nil {
			return
		}
	}
}

const (
	mebibyte = 1 << 20
	// bodyLimit is the largest body that callers may send to the processes under test.
	bodyLimit = 4 * mebibyte
)

// chunks returns n chunks of the same size.
func chunks(size, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n)
}

// bodyForms returns the forms of clients that send bodies to a door, given the head of a request without the
// empty line at its end.
func bodyForms(head string) []form {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	withLength := func(n int) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, n) }

	return []form{
		{name: "large chunks that stop just short of the limit", clients: 60, head: chunked + chunks(mebibyte, 3) + chunks(mebibyte-1, 1)},
		{name: "small chunks that stop", clients: 100, head: chunked, piece: chunks(1, 4096), pieces: 256},
		{name: "a length that is one byte short", clients: 60, head: withLength(bodyLimit) + strings.Repeat("x", bodyLimit-1)},
		{name: "a length announced and not sent", clients: 400, head: withLength(bodyLimit) + "x"},
		{name: "chunks far over the limit", clients: 60, head: chunked, piece: chunks(mebibyte, 1), pieces: 40},
		{name: "a length far over the limit, sent", clients: 60, head: withLength(1 << 30), piece: strings.Repeat("x", mebibyte), pieces: 40},
		{name: "long chunk extensions", clients: 100, head: chunked, piece: "1;" + strings.Repeat("e", 4000) + "\r\nx\r\n", pieces: 64},
		{name: "slow chunks of one byte", clients: 1000, head: chunked, piece: chunks(1, 1), drips: true},
	}
}

// headForms returns the forms of clients that send heads, or only open connections, which any port has to bear.
func headForms() []form {
	const begin = "GET /look/1 HTTP/1.1\r\nHost: a.example\r\n"

	line := "X-Filler: " + strings.Repeat("f", 1000) + "\r\n"

	return []form{
		{name: "heads without end", clients: 1000, head: begin, piece: strings.Repeat(line, 15), pieces: 4},
		{name: "slow heads", clients: 1000, head: begin, piece: "X", drips: true},
		{name: "connections without a request", clients: 1000},
	}
}

// mixed returns all forms together, with a fraction of their clients.
func mixed(all []form) []form {
	some := make([]form, len(all))
	for i, f := range all {
		f.clients = (f.clients + 3) / 4
		some[i] = f
	}

	return some
}

// eventually waits for a condition, with a timeout far longer than it should take.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()

	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("timed out waiting for: %s", what)

			return
		}
	}
}
