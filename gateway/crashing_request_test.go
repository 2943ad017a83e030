package gateway

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/quarantine"
)

// crashingBody is the body of requests that crash each target which runs them.
const crashingBody = "crash"

// newCrashingEngine returns a target that ends when it gets a request with crashingBody, after it has
// sent a text, and responds with ok200 otherwise.
func newCrashingEngine(t *testing.T, id, text string) *fakeEngine {
	t.Helper()

	var e *fakeEngine

	e = newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
		if e.lastBody() != crashingBody {
			return respond(ok200)(c, r)
		}

		respond(text)(c, r)
		e.end()

		return false
	})

	return e
}

// newEntryFleet returns entries that know the same targets and report crashes to each other.
func newEntryFleet(t *testing.T, entries int, engines ...*fakeEngine) []*testEnv {
	t.Helper()

	all := make([]*testEnv, entries)
	for i := range all {
		all[i] = newTestEnv(t, engines...)
	}

	for i, env := range all {
		env.gateway.crashes = newCrashDetector(env.gateway.cfg.Crashes, func(c quarantine.Crash) {
			for j, other := range all {
				if j != i {
					other.gateway.AddReportedCrash(time.Now(), c)
				}
			}
		}, logr.Discard())
	}

	return all
}

func countEnded(engines []*fakeEngine) int {
	n := 0

	for _, e := range engines {
		if e.hasEnded() {
			n++
		}
	}

	return n
}

// Guards against ends of targets that count against no request, because each entry had a single
// request there: a request that crashes targets would be sent to one after the other.
func TestTargetThatEndsUnderASingleRequestCounts(t *testing.T) {
	tests := []struct {
		name, path, text string
		headers          []string
	}{
		{"idempotent", "/idem/1", "", nil},
		{"at most once", "/once/1", "", nil},
		{"truncated response", "/idem/1", truncated200, nil},
		{"stream before its first event", "/stream/1", "", nil},
		{"stream after its first event", "/stream/1", streamHead + events(1, 1), nil},
		{"resumable stream", "/resume/1", streamHead + events(1, 1), nil},
		{"prompt", "/llm/1", streamHead + events(1, 1), []string{"Tokens", "500"}},
	}

	const (
		entries  = 4
		targets  = 10
		requests = 12
		limit    = 3
	)

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := make([]*fakeEngine, targets)
			for i := range engines {
				engines[i] = newCrashingEngine(t, strconv.Itoa(i), tt.text)
			}

			fleet := newEntryFleet(t, entries, engines...)

			var last reply

			for i := range requests {
				last = fleet[i%entries].request(t, http.MethodPost, tt.path, crashingBody, append([]string{"Id", "r" + strconv.Itoa(i)}, tt.headers...)...)
			}

			if got := countEnded(engines); got != limit {
				t.Errorf("got %d targets ended under the request, want %d", got, limit)
			}

			if got, want := last.status, http.StatusUnprocessableEntity; got != want {
				t.Errorf("got status %d at last, want %d", got, want)
			}
		})
	}
}
