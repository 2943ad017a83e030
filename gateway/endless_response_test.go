package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// sendWithoutEnd writes a text and then pieces until the connection is closed, a gigabyte at most.
func sendWithoutEnd(text, piece string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		respond(text)(c, r)

		long := strings.Repeat(piece, 1<<16/len(piece))

		for range 1 << 14 {
			if !respond(long)(c, r) {
				break
			}
		}

		return false
	}
}

// Guards against a request that waits for its deadline, or runs again, behind a target whose response has no end: it is
// a faulty target, and the request may have run there.
func TestResponseWithoutEndIsAFaultOfItsTarget(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"

	tests := []struct {
		name    string
		endless behaviour
	}{
		{"status line", sendWithoutEnd("HTTP/1.1 200 ", "O")},
		{"no status line", sendWithoutEnd("", "x")},
		{"header field", sendWithoutEnd(sealed+"X-A: ", "1")},
		{"header fields", sendWithoutEnd(sealed, "X-A: 1\r\n")},
		{"body that ends with its connection", sendWithoutEnd(sealed+"\r\n", "x")},
		{"chunks", sendWithoutEnd(sealed+"Transfer-Encoding: chunked\r\n\r\n", chunk(strings.Repeat("b", 512)))},
		{"body of a failure", sendWithoutEnd("HTTP/1.1 500 Sad\r\nId: ID\r\nSeal: s\r\n\r\n", "x")},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := newFakeEngine(t, "a", tt.endless)
			env := newTestEnv(t, a)
			env.gateway.responseMemory = newResponseMemory(1 << 20)

			got := env.request(t, "POST", "/unhurried/1", "x")
			if got.status != http.StatusBadGateway || a.count() != 1 {
				t.Errorf("at most once: got %d %v after %d requests, want 502 after 1", got.status, got.err, a.count())
			}

			env.list(newFakeEngine(t, "b", respond(ok200)))

			for i := range 4 {
				if got := env.request(t, "GET", "/idem/1", "", "Id", fmt.Sprint(i)); got.status != http.StatusOK {
					t.Errorf("idempotent: got %d, want 200 of the other target", got.status)
				}
			}
		})
	}
}

// Guards against an entry that runs out of memory, as a target sends bodies without end to many requests at once, and
// against requests that fail with them.
func TestResponsesWithoutEndTakeABoundedMemory(t *testing.T) {
	const limit = 8 << 20

	a := newFakeEngine(t, "a", sendWithoutEnd("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n", "x"))
	env := newTestEnv(t, a)
	env.gateway.responseMemory = newResponseMemory(limit)

	stop := make(chan struct{})
	most := int64(0)

	var watcher, callers sync.WaitGroup

	watcher.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				most = max(most, env.gateway.responseMemory.used.Load())
			}
		}
	})

	for i := range 20 {
		callers.Go(func() {
			if got := env.request(t, "POST", "/unhurried/1", "x", "Id", fmt.Sprint(i)); got.status != http.StatusBadGateway {
				t.Errorf("got %d %v, want 502", got.status, got.err)
			}
		})
	}

	callers.Wait()
	close(stop)
	watcher.Wait()

	if most > limit {
		t.Errorf("got %d bytes taken, want %d at most", most, limit)
	}

	if got := env.gateway.responseMemory.used.Load(); got != 0 {
		t.Errorf("got %d bytes taken behind the last response, want none", got)
	}

	// With all memory for long responses taken, others pass.
	env.gateway.responseMemory.used.Store(limit)
	env.roster.ObserveRemoval(time.Now(), "sa")

	long := strings.Repeat("b", heldFreely)
	env.list(newFakeEngine(t, "b", respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", len(long), long))))

	if got := env.request(t, "GET", "/idem/1", ""); got.status != http.StatusOK || got.body != long {
		t.Errorf("got %d with %d bytes, want 200 with %d", got.status, len(got.body), len(long))
	}
}
