package gateway

import (
	"fmt"
	"testing"
)

// Guards against a target that says in a response that it leaves and gets new requests all the same
// for as long as the register doesn't show it.
func TestTargetThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	tests := []struct{ name, path, response, usual string }{
		{"complete response", "/once/1", ok200, ok200},
		{"refusal", "/once/1", notRun503, ok200},
		{"error", "/idem/1", error500, ok200},
		{"bad request", "/once/1", bad400, ok200},
		{"truncated response", "/idem/1", truncated200, ok200},
		{"stream", "/llm/1", streamHead + events(1, 2) + streamEnd, streamHead + events(1, 2) + streamEnd},
		{"prompt", "/soon/1", streamHead + events(1, 2) + streamEnd, streamHead + events(1, 2) + streamEnd},
		{"stream that breaks off and is resumed", "/resume/1", streamHead + events(1, 1), streamHead + events(1, 2) + streamEnd},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			leaving := newFakeEngine(t, "a", respondAndClose(withHeader(tt.response, "Leaving", "1")))
			other := newFakeEngine(t, "b", respond(tt.usual))
			env := newTestEnv(t, leaving)
			env.request(t, "POST", tt.path, "x", promptHeaders(tt.path)...)
			env.listIn(other, "west") // chosen only if the leaving one is not

			for i := range 30 {
				env.request(t, "POST", tt.path, "x", append(promptHeaders(tt.path), "Id", fmt.Sprint("later", i))...)
			}

			if got := leaving.count(); got != 1 {
				t.Errorf("got %d requests at the leaving target, want 1", got)
			}

			if got := other.count(); got != 30 {
				t.Errorf("got %d of the 30 later requests at the other target, want all", got)
			}
		})
	}
}
