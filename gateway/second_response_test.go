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
