package gateway

import (
	"strings"
	"testing"
	"time"

	"boragehub/roster"
	"boragehub/vault"
)

// Guards against figures that never reach the decisions, and against those of another target that
// responds at the address.
func TestSlowdownIsTakenFromResponses(t *testing.T) {
	tests := []struct {
		name, text string
		want       bool
	}{
		{"shared host", strings.Replace(ok200, "Seal", "Slowdown: 2.5\r\nSeal", 1), true},
		{"refusal", strings.Replace(notRun503, "Not-Run", "Slowdown: 1\r\nNot-Run", 1), true},
		{"not reported", ok200, false},
		{"another target", strings.Replace(otherTarget421, "Target", "Slowdown: 2.5\r\nTarget", 1), false},
	}

	for _, tt := range tests {
		env := newTestEnv(t, newFakeEngine(t, "a", respond(tt.text)))
		env.request(t, "POST", "/idem/1", "x")

		if got := env.roster.Contended("s"); got != tt.want {
			t.Errorf("%s: got contended %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A third of the engines is slower. Guards against prompts that go there although another engine would
// be done sooner; which of them is the home engine differs.
func TestPromptsAvoidSlowerEngines(t *testing.T) {
	for _, slow := range []string{"a", "b"} {
		engines := map[string]*fakeEngine{}
		for _, id := range []string{"a", "b"} {
			engines[id] = newFakeEngine(t, id, respond(streamHead+events(1, 1)+streamEnd))
		}

		env := newTestEnv(t, engines["a"], engines["b"])
		part := vault.Part{Salt: sharedScope.Salt(), ID: "shared"}
		env.vaults.ApplyEvents(time.Now(), "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: 105_000, Events: []vault.Event{{Held: vault.Held{Part: part, Tokens: 71_990}, Added: true}}})
		env.roster.ObserveSlowdown(time.Now(), "llm"+slow, 1)

		for range 32 {
			env.roster.ObserveFirstEvent(time.Now(), "llm"+slow, 4*time.Second, time.Second)
		}

		env.request(t, "POST", "/llm/1", "x", "Tokens", "72000")

		if got := engines[slow].count(); got != 0 {
			t.Errorf("%s is slower: got %d prompts there, want none", slow, got)
		}
	}
}

// Only prompts whose engine had nothing else to prefill tell its speed.
func TestSpeedIsSampledAtIdleEnginesOfContendedServices(t *testing.T) {
	tests := []struct {
		name            string
		contended, idle bool
		tokens, want    int
	}{
		{"idle", true, true, 5000, 1}, {"busy", true, false, 5000, 0}, {"not contended", false, true, 5000, 0}, {"short prompt", true, true, 5, 0},
	}

	for _, tt := range tests {
		e := newFakeEngine(t, "a", hang)
		env := newTestEnv(t, e)
		service, _ := env.gateway.current.Load().Service("llm")
		x := &task{g: env.gateway, service: service, sentAt: time.Now().Add(-time.Second)}

		for i := range 32 {
			x.profile().ObserveFirstEvent(500*i, time.Duration(40+10*i)*time.Millisecond)
		}

		if tt.contended {
			env.roster.ObserveSlowdown(time.Now(), "llma", 1)
		}

		x.recordFirstEvent(&choice{engine: roster.Engine{ID: "llma"}, idle: tt.idle, prefillTokens: tt.tokens})

		if _, got := env.roster.Speed(e.llmAddress); got != tt.want {
			t.Errorf("%s: got %d samples, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a changed choice of targets in deployments without contention.
func TestCallTimesAreUsedUnderContentionOnly(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", respond(ok200)))
	x := &task{g: env.gateway, route: &routes[1]}

	for range 10 {
		env.request(t, "POST", "/idem/1", "x")
	}

	usual, ok := env.gateway.profiles.callTimes.Usual("idem")
	if !ok || usual <= 0 {
		t.Errorf("got %v, %v, want a learned time", usual, ok)
	}

	if got := x.callTime(); got != plainCallTime {
		t.Errorf("without contention: got %v, want %v", got, plainCallTime)
	}

	env.roster.ObserveSlowdown(time.Now(), "llma", 1)

	if got := x.callTime(); got != usual {
		t.Errorf("with contention: got %v, want %v", got, usual)
	}
}

// Calls that had to wait at their target tell the length of its queue instead.
func TestCallTimesOfFullTargetsAreNotLearned(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", respond(ok200)))
	env.request(t, "POST", "/idem/1", "x")
	env.roster.ObserveLoad(time.Now(), "sa", 8, 4)

	for range 10 {
		env.request(t, "POST", "/idem/1", "x")
	}

	if usual, ok := env.gateway.profiles.callTimes.Usual("idem"); ok {
		t.Errorf("got %v, want no time", usual)
	}
}
