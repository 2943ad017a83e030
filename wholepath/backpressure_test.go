package wholepath

import (
	"fmt"
	"testing"

	"boragehub/standin/engine"
	"boragehub/vm"
)

// completeMany sends short completions through all entries in turn, each of which must succeed.
func (e *testEnv) completeMany(name string, n int) {
	e.t.Helper()

	for i := range n {
		e.checkCompletion(e.entries[i%len(e.entries)], fmt.Sprintf("%s %d", name, i))
	}
}

// newEngineWithoutSide starts an engine that has no side process.
func (e *testEnv) newEngineWithoutSide(name string) *target {
	e.t.Helper()

	t := &target{vm: name, engine: engine.New(engine.Config{
		Model: model, WeightVersion: "v1", CacheBlocks: 1024, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6,
		Crash: func() { e.t.Errorf("%s crashed", name) },
	})}
	t.addr, t.stop = e.serveStandIn(name, t.engine)
	e.registerVM(vm.Engine, name, llmService, t.addr, "")

	return t
}

// An engine in need names a rate limit for all entries together. Entries that don't keep to it
// overload the engine further, and requests beyond it must not fail while another engine can
// take them.
func TestRateLimitedEngineGetsNoMoreThanItsLimit(t *testing.T) {
	tests := []struct {
		name string
		// limited returns the engine that is to name a limit.
		limited func(env *testEnv) *target
	}{
		{"with a side process", func(env *testEnv) *target { return env.engines[0] }},
		{"without a side process", func(env *testEnv) *target { return env.newEngineWithoutSide("engine-9") }},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := start(t, envConfig{engines: 2, entries: 2})
			limited := tt.limited(env)
			env.setFaults(limited.addr, map[string]any{"rate_limit": 0.1})
			env.eventually("the limit is not known", func() bool {
				env.completeMany("until it is known", 2)

				return env.logs.count(`"rate_limit"=0.1`) > 0
			})

			before := len(limited.engine.Runs())

			env.completeMany("while limited", 60)

			// One slot comes each 11 s; each entry without a side process to ask learns of the limit
			// by a response to its own request.
			if got := len(limited.engine.Runs()) - before; got > 3 {
				t.Errorf("got %d of 60 requests at an engine that takes one in 10 s, want 3 at most", got)
			}

			env.setFaults(limited.addr, map[string]any{"rate_limit": 0})

			before = len(limited.engine.Runs())

			env.eventually("the engine gets no requests after the limit", func() bool {
				env.completeMany("after the limit", 4)

				return len(limited.engine.Runs()) > before+1
			})
		})
	}
}

// An engine says in its responses that it leaves, which the platform's list shows late or never.
// Requests that are sent to it until then are cut off when it ends.
func TestEngineThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	tests := []struct {
		name    string
		leaving func(env *testEnv) *target
	}{
		{"with a side process", func(env *testEnv) *target { return env.engines[0] }},
		{"without a side process", func(env *testEnv) *target { return env.newEngineWithoutSide("engine-9") }},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := start(t, envConfig{engines: 2})
			leaving := tt.leaving(env)
			env.setFaults(leaving.addr, map[string]any{"leaving": true})
			env.eventually("its leaving is not known", func() bool {
				env.completeMany("until it is known", 2)

				return env.logs.count(`"leaving"=true`) > 0
			})

			before := len(leaving.engine.Runs())

			env.completeMany("while it leaves", 40)

			if got := len(leaving.engine.Runs()) - before; got != 0 {
				t.Errorf("got %d of 40 requests at an engine that leaves, want none", got)
			}
		})
	}
}

// An engine refuses work and states for how long it wants none. Work that is sent to it all the same
// is refused again, at the cost of time and of a retry for each request.
func TestEngineThatRefusesWithRetryAfterIsLeftAlone(t *testing.T) {
	tests := []struct {
		name     string
		refusing func(env *testEnv) *target
	}{
		{"with a side process", func(env *testEnv) *target { return env.engines[0] }},
		{"without a side process", func(env *testEnv) *target { return env.newEngineWithoutSide("engine-9") }},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := start(t, envConfig{engines: 2})
			refusing := tt.refusing(env)
			env.setFaults(refusing.addr, map[string]any{"refuse_for_ms": 60_000})
			env.eventually("it never refuses", func() bool {
				env.completeMany("until it refuses", 2)

				return refusing.engine.Refused() > 0
			})

			before := refusing.engine.Refused()

			env.completeMany("while it refuses", 40)

			if got := refusing.engine.Refused() - before; got > 1 {
				t.Errorf("got %d further requests at an engine that wants none for a minute, want one at most", got)
			}
		})
	}
}
