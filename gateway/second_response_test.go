package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// An engine refuses a request, gets it again with its actual version and runs it, and its refusal arrives a second time
// on the connection. Guards against taking that for the response to the request that it runs, which both have the same
// id: the caller is refused although the request runs, or it runs twice.
func TestSecondRefusalOfARequestIsNotTakenForItsNextResponse(t *testing.T) {
	var first atomic.Value

	refuse := func(c net.Conn, r *http.Request) bool {
		first.Store(c)

		return respond(newerVersion421)(c, r)
	}
	run := func(c net.Conn, r *http.Request) bool {
		if c == first.Load() {
			respond(newerVersion421)(c, r)
		}

		return respond(streamHead+events(1, 1)+streamEnd)(c, r)
	}

	e := newFakeEngine(t, "a", refuse, run)
	env := newTestEnv(t, e)

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "5000"); got.status != 200 || e.count() != 2 {
		t.Errorf("got %d after %d requests at the engine, want 200 after 2", got.status, e.count())
	}
}

// A target that sends ids back writes its response to one caller a second time, without the id, where the next one is
// expected. Guards against handing it to the caller of the next request.
func TestSecondResponseWithoutIDGoesToNoOtherCaller(t *testing.T) {
	const second = "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 5\r\n\r\nfirst"

	var conn atomic.Value

	e := newFakeEngine(t, "a", func(c net.Conn, r *http.Request) bool {
		conn.Store(c)

		return respond(ok200)(c, r)
	}, func(c net.Conn, r *http.Request) bool {
		if c == conn.Load() {
			respond(second)(c, r)
		}

		return respond(ok200)(c, r)
	})
	env := newTestEnv(t, e)

	for _, id := range []string{"x", "y"} {
		if got := env.request(t, "GET", "/idem/1", id); got.status == 200 && got.body != "ok" {
			t.Errorf("%s: got %q, want the response to this request or an error", id, got.body)
		}
	}
}
