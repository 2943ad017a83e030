package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
)

// Guards against a target that refuses with Retry-After and gets further requests of this entry
// before that time, which it refuses too: each of them costs its caller time and a retry.
func TestTargetThatRefusedWithRetryAfterGetsNoRequests(t *testing.T) {
	stream := streamHead + events(1, 2) + streamEnd

	tests := []struct{ name, path, refusal, usual string }{
		{"call", "/once/1", notRun503, ok200},
		{"idempotent call", "/idem/1", notRun503, ok200},
		{"without the statement that it has not run", "/idem/1", mayHaveRun503, ok200},
		{"prompt", "/soon/1", notRun503, stream},
		{"stream", "/llm/1", notRun503, stream},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			refusing := newFakeEngine(t, "a", respond(withHeader(tt.refusal, "Retry-After", "60")))
			other := newFakeEngine(t, "b", respond(tt.usual))
			env := newTestEnv(t, refusing)
			env.request(t, "POST", tt.path, "x", promptHeaders(tt.path)...)

			before := refusing.count()
			env.listIn(other, "west") // chosen only if the refusing one is not

			for i := range 400 {
				env.request(t, "POST", tt.path, "x", append(promptHeaders(tt.path), "Id", fmt.Sprint("later", i))...)
			}

			if got := refusing.count(); got != before || before != 1 {
				t.Errorf("got %d requests at the refusing target at first and %d later, want one and none", before, got-before)
			}

			if got := other.count(); got != 400 {
				t.Errorf("got %d of the 400 later requests at the other target, want all", got)
			}
		})
	}
}

// Guards against callers that wait although all targets refused with a Retry-After beyond the time
// that they have, and against callers that return before it.
func TestCallersAreToldWhenRefusingTargetsReturn(t *testing.T) {
	for _, path := range []string{"/idem/1", "/soon/1"} {
		t.Run(path, func(t *testing.T) {
			e := newFakeEngine(t, "a", respond(withHeader(notRun503, "Retry-After", "20")))
			env := newTestEnv(t, e)
			env.request(t, "POST", path, "x", promptHeaders(path)...)

			r := env.request(t, "POST", path, "x", promptHeaders(path)...)

			after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			if r.status != http.StatusServiceUnavailable || err != nil || after < 15 || after > 21 {
				t.Errorf("got %d with Retry-After %q, want a refusal until the target takes requests", r.status, r.header.Get("Retry-After"))
			}

			if got := e.count(); got != 1 {
				t.Errorf("got %d requests at the target, want 1", got)
			}
		})
	}
}

func TestPromptWaitsForARefusingTargetThatReturnsInTime(t *testing.T) {
	e := newFakeEngine(t, "a", respond(withHeader(notRun503, "Retry-After", "0.1")), respond(streamHead+events(1, 2)+streamEnd))
	env := newTestEnv(t, e)

	if r := env.request(t, "POST", "/llm/1", "x"); r.status != http.StatusServiceUnavailable {
		t.Fatalf("got %d, want the refusal", r.status)
	}

	if r := env.request(t, "POST", "/soon/1", "x", "Tokens", "100"); r.status != http.StatusOK {
		t.Errorf("got %d, want 200", r.status)
	}
}
