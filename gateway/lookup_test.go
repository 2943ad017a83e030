package gateway

import (
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/resident"
	"boragehub/vault"
)

// sharedPart is the shared prefix of prompts of 5000 tokens under version 1.
var sharedPart = vault.Part{Salt: sharedScope.Salt(), ID: "shared"}

// otherID is the id of an engine beside b and c.
const otherID = "a"

// loadReportOf returns an engine's load report with its long parts.
func loadReportOf(e *fakeEngine, running int, parts ...resident.Part) pulse.Report {
	return pulse.Report{Engine: e.llmAddress, Model: "m", Version: 1, Running: running, Resident: parts}
}

// After a version change the stores have no space for the new parts yet, so that only engines have
// them. Guards against every engine prefilling them again: all engines would be busy for seconds
// and hardly any response on time.
func TestPromptGoesToEngineWithItsSharedPrefix(t *testing.T) {
	prefix := resident.Part{Key: resident.Key(sharedPart), Tokens: 4990}
	stream := respond(streamHead + events(1, 1) + streamEnd)

	tests := []struct {
		name string
		// parts are reported by engine b, which has running requests.
		parts   []resident.Part
		running int
		// at is the engine that has to get the prompt; fetch is true if it has to fetch the shared
		// prefix from b.
		at    string
		fetch bool
	}{
		{"has it", []resident.Part{prefix}, 0, "b", false},
		{"has it and is busy", []resident.Part{prefix}, 30, "c", true},
		{"has a piece of it", []resident.Part{{Key: prefix.Key, Tokens: 2048}}, 30, "c", false},
		{"has another prefix", []resident.Part{{Key: 1, Tokens: 4990}}, 30, "c", false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			all := map[string]*fakeEngine{"b": newFakeEngine(t, "b", stream), "c": newFakeEngine(t, "c", stream)}
			env := newTestEnv(t, all["b"], all["c"], newFakeEngine(t, otherID, stream))
			now := time.Now()
			env.roster.ObserveReport(now, loadReportOf(all["b"], tt.running, tt.parts...))
			env.roster.ObserveReport(now, loadReportOf(all["c"], 0))

			if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "5000"); got.status != 200 {
				t.Fatalf("got %d", got.status)
			}

			if got := all[tt.at].count(); got != 1 {
				t.Fatalf("got %d requests at %s, want 1", got, tt.at)
			}

			want := ""
			if tt.fetch {
				want = all["b"].llmAddress + ","
			}

			if got := all[tt.at].arrival(0).Header.Get("Fetch"); got != want {
				t.Errorf("got fetch from %q, want %q", got, want)
			}
		})
	}
}

// Prompts with the same new shared prefix arrive within a second. Guards against prefilling it at
// two engines: the later prompts go to the first engine, though that has slightly more to do.
func TestSharedPrefixIsNotPrefilledTwice(t *testing.T) {
	stream := respond(streamHead + events(1, 1) + streamEnd)
	b, c := newFakeEngine(t, "b", stream), newFakeEngine(t, "c", stream)
	env := newTestEnv(t, b, c, newFakeEngine(t, otherID, stream))

	for range 3 {
		for _, e := range []*fakeEngine{b, c} {
			env.roster.ObserveReport(time.Now(), loadReportOf(e, e.count()))
		}

		env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")
	}

	if b.count() != 3 && c.count() != 3 {
		t.Errorf("got %d and %d requests, want all at one engine", b.count(), c.count())
	}
}
