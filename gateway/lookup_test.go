package gateway

import (
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/resident"
	"boragehub/vault"
)

// sharedPart is the opening of prompts of 5000 tokens under version 1.
var sharedPart = vault.Part{Salt: vault.Scope{Model: "m", Version: 1}.Salt(), ID: "shared"}

// otherID is of an engine beside b and c.
const otherID = "a"

// pulseOf is an engine's pulse that tells its long parts.
func pulseOf(e *engine, running int, parts ...resident.Part) pulse.Pulse {
	return pulse.Pulse{Engine: e.llm, Model: "m", Version: 1, Running: running, Resident: parts}
}

// After new weights the stores have no room for their contexts yet, so that engines
// alone have them. Read anew by each engine that gets a prompt, they keep all engines
// busy for seconds, and one notices that hardly any answer is on time.
func TestPromptGoesToTheEngineThatHasItsOpening(t *testing.T) {
	opening := resident.Part{Key: resident.Key(sharedPart), Tokens: 4990}
	stream := answers(streamTop + events(1, 1) + streamEnd)

	tests := []struct {
		name string
		// parts are told by engine b, which has so many requests.
		parts   []resident.Part
		running int
		// at is the engine that is to get the prompt, empty for any; fetch says that
		// it brings the opening from b.
		at    string
		fetch bool
	}{
		{"it has it", []resident.Part{opening}, 0, "b", false},
		{"it has it and is busy", []resident.Part{opening}, 30, "c", true},
		{"it has a piece of it", []resident.Part{{Key: opening.Key, Tokens: 2048}}, 30, "c", false},
		{"it has another one", []resident.Part{{Key: 1, Tokens: 4990}}, 30, "c", false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := map[string]*engine{"b": newEngine(t, "b", stream), "c": newEngine(t, "c", stream)}
			w := open(t, all["b"], all["c"], newEngine(t, otherID, stream))
			now := time.Now()
			w.roster.Pulse(now, pulseOf(all["b"], tt.running, tt.parts...))
			w.roster.Pulse(now, pulseOf(all["c"], 0))

			if got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000"); got.status != 200 {
				t.Fatalf("got %d", got.status)
			}

			if got := all[tt.at].count(); got != 1 {
				t.Fatalf("got %d requests at %s, want 1", got, tt.at)
			}

			want := ""
			if tt.fetch {
				want = all["b"].llm + ","
			}

			if got := all[tt.at].arrival(0).Header.Get("Fetch"); got != want {
				t.Errorf("got it fetched from %q, want %q", got, want)
			}
		})
	}
}

// Two prompts with the same new opening come within a second. The second one goes
// where the first one has it read, though that engine has a little more to do.
func TestOpeningThatIsBeingReadIsNotReadTwice(t *testing.T) {
	stream := answers(streamTop + events(1, 1) + streamEnd)
	b, c := newEngine(t, "b", stream), newEngine(t, "c", stream)
	w := open(t, b, c, newEngine(t, otherID, stream))

	for range 3 {
		for _, e := range []*engine{b, c} {
			w.roster.Pulse(time.Now(), pulseOf(e, e.count()))
		}

		w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")
	}

	if b.count() != 3 && c.count() != 3 {
		t.Errorf("got %d and %d requests, want all at one engine", b.count(), c.count())
	}
}
