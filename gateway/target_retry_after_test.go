package gateway

import (
	"fmt"
	"testing"
)

// Guards against a target that refuses with Retry-After and gets further requests of this entry
// before that time, which it refuses too: each of them costs its caller time and a retry.
func TestTargetThatAskedForAPauseGetsNoRequests(t *testing.T) {
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
