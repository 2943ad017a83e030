package gateway

import (
	"net/http"
	"testing"
	"time"

	"boragehub/pulse"
)

// An engine is paused while a request waits there. Its caller would leave after some seconds without
// a response, and the engine, once resumed, would serve a request that no caller waits for. Guards
// against a late error, against sending a request that may have run to a second engine, and against
// counting the pause as a failure of the first one.
func TestRequestAtPausedEngineFailsAtOnce(t *testing.T) {
	paused, arrived := newHangingEngine(t, "a", "")
	env := newTestEnv(t, paused)
	other := newFakeEngine(t, "b", respond(streamHead+events(0, 1)+streamEnd))
	env.roster.ObserveReport(time.Now(), pulse.Report{Engine: paused.llmAddress, Model: "m", Version: 1})

	got := make(chan reply, 1)

	go func() { got <- env.request(t, "POST", "/llm/1", "x", "Tokens", "30") }()

	<-arrived
	env.list(other)

	for range 6 {
		env.roster.ObserveReport(time.Now(), pulse.Report{Engine: other.llmAddress, Model: "m", Version: 1})
		env.roster.Tick(time.Now())
		env.gateway.Tick(time.Now())
	}

	if r := <-got; r.status != 502 && r.status != 504 {
		t.Errorf("got %d %v, want 502 or 504", r.status, r.err)
	}

	if n := other.count(); n != 0 {
		t.Errorf("got %d requests at the other engine, want none", n)
	}

	for _, e := range env.roster.Candidates(time.Now(), "llm", "m") {
		if e.ID == "llma" && (e.Failures > 0 || !e.HeartbeatMissing) {
			t.Errorf("got %d failures, suspected %v, want none and suspected", e.Failures, e.HeartbeatMissing)
		}
	}
}

// An engine crashes while calls wait there and is restarted under its id, and nothing resets their
// connections. Guards against waiting for responses that won't come: a call that isn't idempotent
// may have run and fails at once, an idempotent one goes to another target.
func TestRequestsAtRestartedTargetAreCancelled(t *testing.T) {
	tests := []struct {
		path   string
		status int
		others int
	}{
		{"/once/1", http.StatusBadGateway, 0},
		{"/idem/1", http.StatusOK, 1},
	}

	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			restarted, arrived := newHangingEngine(t, "a", "")
			env := newTestEnv(t, restarted)
			other := newFakeEngine(t, "b", respond(ok200))
			got := make(chan reply, 1)

			go func() { got <- env.request(t, "POST", tt.path, "x") }()

			<-arrived
			env.list(other)
			env.gateway.TargetRestarted("sa")

			if r := <-got; r.status != tt.status {
				t.Errorf("got %d %v, want %d", r.status, r.err, tt.status)
			}

			if n := other.count(); n != tt.others {
				t.Errorf("got %d requests at the other target, want %d", n, tt.others)
			}
		})
	}
}

// New weights are published, and an engine that has yet to load them has a long queue. Guards
// against a prompt that begins on the replaced weights too late: it is cancelled in time and goes to
// an engine with the new ones.
func TestRequestsWaitingForReplacedWeightsAreCancelled(t *testing.T) {
	old, arrived := newHangingEngine(t, "a", "")
	env := newTestEnv(t, old)
	changed := newFakeEngine(t, "b", hasVersion("2"))
	got := make(chan reply, 1)

	go func() { got <- env.request(t, "POST", "/llm/1", "x", "Tokens", "30") }()

	<-arrived

	now := time.Now()
	env.list(changed)
	env.roster.ObserveVersion("llmb", "m", 2, "test")
	env.gateway.VersionNamed(now, "m", 2, moment(now))
	env.gateway.Tick(now.Add(7 * time.Second))

	select {
	case r := <-got:
		t.Fatalf("after 7 s: got %d, want it to wait", r.status)
	case <-time.After(50 * time.Millisecond):
	}

	env.gateway.Tick(now.Add(7700 * time.Millisecond))

	if r := <-got; r.status != 200 || changed.count() != 1 {
		t.Errorf("got %d %v after %d requests at the other engine, want 200 from there", r.status, r.err, changed.count())
	}
}
