package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/room"
	"boragehub/roster"
	"boragehub/site"
)

// fakeClaims replies to claims by the address of the engine and records all messages.
type fakeClaims struct {
	mu       sync.Mutex
	replies  map[string]room.Outcome // engines without one don't reply
	onClaim  func()
	claims   []room.Claim
	engines  []string // of claims
	messages []string
}

func (f *fakeClaims) Claim(_ context.Context, engine string, c room.Claim) (room.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.claims, f.engines = append(f.claims, c), append(f.engines, engine)

	if f.onClaim != nil {
		f.onClaim()
	}

	o, ok := f.replies[engine]
	if !ok {
		return room.Grant{}, errors.New("no reply")
	}

	return room.Grant{ID: uint64(len(f.claims)), Outcome: o}, nil
}

func (f *fakeClaims) Started(_ string, _ uint64) { f.record("started") }
func (f *fakeClaims) Done(_ string, _ uint64)    { f.record("done") }

func (f *fakeClaims) record(message string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.messages = append(f.messages, message)
}

// recorded returns the messages.
func (f *fakeClaims) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return slices.Clone(f.messages)
}

// newRoomEnv returns a gateway that claims capacity, with engines of a contended service whose mean
// prompt has 1,000 tokens.
func newRoomEnv(t *testing.T, contended bool, engines ...*fakeEngine) (*testEnv, *fakeClaims) {
	t.Helper()

	env := newTestEnv(t, engines...)
	claims := &fakeClaims{replies: map[string]room.Outcome{}}
	env.gateway.cfg.Claims = claims

	if contended {
		env.gateway.cfg.Roster = roster.New(roster.Config{Self: "entry-1", DataCentre: "east", Contention: roster.ContentionOn, Entries: firstEntry{}, SlowStart: env.gateway.SlowStart})
		env.roster = env.gateway.cfg.Roster

		for _, e := range engines {
			env.list(e)
		}
	}

	for range 200 {
		env.gateway.profiles.forService("llm").ObservePrompt(1000, 1000, time.Second)
	}

	return env, claims
}

func answering(t *testing.T, id string) *fakeEngine {
	t.Helper()

	return newFakeEngine(t, id, respond(streamHead+events(1, 1)+streamEnd))
}

// Long prompts claim before they are sent, and their leases end with them. Guards against short
// prompts that claim, against leases that stay, and against claims where load does not exceed
// capacity.
func TestLongPromptsClaimInContendedServices(t *testing.T) {
	tests := []struct {
		name         string
		contended    bool
		tokens       string
		want         int
		wantMessages []string
	}{
		{"long prompt", true, "5000", 1, []string{"started", "done"}},
		{"short prompt", true, "500", 0, nil},
		{"not contended", false, "5000", 0, nil},
	}

	for _, tt := range tests {
		e := answering(t, "a")
		env, claims := newRoomEnv(t, tt.contended, e)
		claims.replies[e.llmAddress] = room.Granted

		if got := env.request(t, "POST", "/llm/1", "x", "Tokens", tt.tokens); got.status != 200 {
			t.Errorf("%s: got %d, want 200", tt.name, got.status)
		}

		env.server.Close() // waits for the request to end

		if got := len(claims.claims); got != tt.want {
			t.Errorf("%s: got %d claims, want %d", tt.name, got, tt.want)
		}

		if !slices.Equal(claims.messages, tt.wantMessages) {
			t.Errorf("%s: got %v, want %v", tt.name, claims.messages, tt.wantMessages)
		}

		if tt.want > 0 {
			if c := claims.claims[0]; c.PrefillTokens != 5000 || c.MemoryTokens != 5010 || c.TimeLeftMs <= 0 || c.TimeLeftMs > 2000 {
				t.Errorf("%s: got %+v", tt.name, c)
			}
		}
	}
}

// An engine denies a claim, as another entry's prompt was there first. Guards against sending the
// prompt there all the same, against asking all engines of a fleet in turn, and against an error
// instead of a wait.
func TestDeniedPromptsGoToOtherEnginesOrWait(t *testing.T) {
	engines := make([]*fakeEngine, 5)
	for i := range engines {
		engines[i] = answering(t, string(rune('a'+i)))
	}

	env, claims := newRoomEnv(t, true, engines...)
	for _, e := range engines {
		claims.replies[e.llmAddress] = room.NoMemory
	}

	// The fourth claim is the first of the queue's own round.
	claims.onClaim = func() {
		if len(claims.claims) == 4 {
			claims.replies[claims.engines[3]] = room.Granted
		}
	}

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "5000"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}

	first := slices.Clone(claims.engines[:3])
	slices.Sort(first)

	if len(slices.Compact(first)) != 3 || len(claims.claims) != 4 {
		t.Errorf("got claims at %v, want three engines and then one again", claims.engines)
	}

	for _, e := range engines {
		if want := e.llmAddress == claims.engines[3]; (e.count() > 0) != want {
			t.Errorf("got %d requests at %s, want some %v", e.count(), e.llmAddress, want)
		}
	}
}

// An engine that refuses, or whose request fails, holds no lease of it any more.
func TestLeaseOfRefusedPromptIsGivenBack(t *testing.T) {
	a := newFakeEngine(t, "a", respond(notRun503))
	env, claims := newRoomEnv(t, true, a)
	claims.replies[a.llmAddress] = room.Granted

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "5000"); got.status != 503 {
		t.Errorf("got %d, want 503", got.status)
	}

	env.server.Close()

	if len(claims.claims) == 0 || slices.Contains(claims.messages, "started") || len(claims.messages) != len(claims.claims) {
		t.Errorf("got %v after %d claims, want each lease given back", claims.messages, len(claims.claims))
	}
}

// A caller leaves while its long prompt is prefilled. Guards against a lease that holds the memory of an
// engine until the deadline of a request that nobody waits for.
func TestLeaseEndsWhenTheCallerLeaves(t *testing.T) {
	e, arrived := newHangingEngine(t, "a", "")
	env, claims := newRoomEnv(t, true, e)
	claims.replies[e.llmAddress] = room.Granted

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()

	env.requestCtx(ctx, t, "POST", "/llm/1", "x", "Tokens", "5000")
	env.server.Close()

	if got := claims.recorded(); !slices.Equal(got, []string{"done"}) {
		t.Errorf("got %v, want the lease ended", got)
	}
}

// An engine breaks off a stream, which continues on another one. Guards against a rest that waits for a
// short queue, as a prompt does that could still be refused.
func TestStartedStreamAcceptsAnyBacklog(t *testing.T) {
	e := newFakeEngine(t, "a", respondAndClose(streamHead+events(1, 1)))
	other := newFakeEngine(t, "b", respondAndClose(streamHead+events(1, 1)))
	env, claims := newRoomEnv(t, true, e, other)
	claims.replies[e.llmAddress], claims.replies[other.llmAddress] = room.Granted, room.Granted

	for i := range 64 {
		tokens := 500 + 1000*(i%8)
		env.gateway.profiles.forService("llm").ObserveFirstEvent(tokens, time.Duration(tokens)*10*time.Microsecond)
	}

	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")
	env.server.Close()

	if len(claims.claims) != 2 {
		t.Fatalf("got %d claims, want 2", len(claims.claims))
	}

	// A quarter of the aim of short prompts, 1 s, at 100 tokens per ms.
	if first, second := claims.claims[0].MaxBacklog, claims.claims[1].MaxBacklog; first < 24_000 || first > 26_000 || second != math.MaxInt32 {
		t.Errorf("got a limit of %d, and of %d for the rest", first, second)
	}
}

// The process beside an engine is dead or of an old build. Guards against prompts that are then never
// sent, and against several long prompts of this process on an engine of which nothing is known.
func TestPromptsWithoutReplyAreSentOneAtATime(t *testing.T) {
	tests := []struct {
		name   string
		other  bool // whether another long prompt of this process is there
		report *pulse.Report
		want   bool
	}{
		{"no other prompt, no report", false, nil, true},
		{"another prompt", true, nil, false},
		{"memory free", false, &pulse.Report{Running: 1, UsedTokens: 1000}, true},
		{"memory in use", false, &pulse.Report{Running: 1, UsedTokens: 66_000, Interval: 10 * time.Second}, false},
	}

	for _, tt := range tests {
		e := answering(t, "a")
		env, _ := newRoomEnv(t, true, e)

		if tt.other {
			env.gateway.longPrompts.add("llma", false)
		}

		if tt.report != nil {
			tt.report.Engine = e.llmAddress
			env.roster.ObserveReport(time.Now(), *tt.report)
		}

		if got := env.request(t, "POST", "/soon/1", "x", "Tokens", "5000").status == 200; got != tt.want {
			t.Errorf("%s: got sent %v, want %v", tt.name, got, tt.want)
		}

		env.server.Close()

		want := map[bool]int{true: 1}[tt.other]
		if got := env.gateway.longPrompts.byTarget["llma"]; got != want {
			t.Errorf("%s: got %d long prompts counted, want %d", tt.name, got, want)
		}
	}
}

// newMemoryTask returns the task of a prompt for engines with 70,000 tokens of memory.
func newMemoryTask(tokens int) *task {
	return &task{g: &Gateway{}, service: site.Service{Engines: &site.Engines{CacheTokens: 70_000}}, arrival: CallerRequest{Prompt: &Prompt{Tokens: tokens}}}
}

// Leases of other entries take memory that the engine does not report yet.
func TestLeasedMemoryCountsInContendedServicesOnly(t *testing.T) {
	for _, contended := range []bool{true, false} {
		task := newMemoryTask(20_000)
		task.contended = contended
		e := roster.Engine{Report: pulse.Report{Running: 1, UsedTokens: 1000}, Backlog: roster.Backlog{Known: true, MemoryTokens: 60_000}}

		if got := task.fitsMemory(e); got == contended {
			t.Errorf("contended %v: got room %v", contended, got)
		}
	}
}

// A prompt whose parts the engine fetches has little to prefill and takes as much memory as any other.
// Guards against engines that get more of these than fit, and preempt them.
func TestPromptsThatTakeMemoryClaimIt(t *testing.T) {
	tests := []struct {
		name                     string
		prefill, memory          int
		want, wantUnlimitedQueue bool
	}{
		{"little of both", 500, 600, false, false},
		{"much memory", 500, 17_000, true, true},
		{"much prefill", 4000, 4100, true, false},
	}

	env, _ := newRoomEnv(t, true, answering(t, "a"))

	for _, tt := range tests {
		x := &task{g: env.gateway, contended: true, route: &site.Route{LatencyTarget: time.Second}, deadline: time.Now().Add(time.Second)}
		x.arrival.Prompt = &Prompt{Tokens: tt.memory}
		x.service = site.Service{Name: "llm", Engines: &site.Engines{CacheTokens: 70_000}}
		c := &choice{prefillTokens: tt.prefill, memoryTokens: tt.memory}

		for range 8 {
			x.profile().ObserveFirstEvent(500, 10*time.Millisecond)
			x.profile().ObserveFirstEvent(10_000, 200*time.Millisecond)
		}

		if got := x.needsRoom(c); got != tt.want {
			t.Errorf("%s: got claim %v, want %v", tt.name, got, tt.want)
		}

		if got := x.claimFor(time.Now(), c).MaxBacklog == math.MaxInt32; tt.want && got != tt.wantUnlimitedQueue {
			t.Errorf("%s: got unlimited backlog %v, want %v", tt.name, got, tt.wantUnlimitedQueue)
		}
	}
}

// Load: a burst in which the slots of most engines are taken. Guards against claims that are certain to
// be denied: entries on small VMs spent half of their processor time on them.
func TestEnginesWithoutSlotsGetNoClaims(t *testing.T) {
	tests := []struct {
		name             string
		running, waiting int
		want             int
	}{
		{"slots taken, none waits", 8, 0, 1},
		{"one waits", 8, 1, 0},
	}

	for _, tt := range tests {
		e := answering(t, "a")
		env, claims := newRoomEnv(t, true, e)
		claims.replies[e.llmAddress] = room.Granted
		env.roster.ObserveReport(time.Now(), pulse.Report{
			Engine: e.llmAddress, Running: tt.running, Waiting: tt.waiting, TotalTokens: 70_000, StateSequence: 1, Interval: 10 * time.Second,
		})

		env.request(t, "POST", "/soon/1", "x", "Tokens", "5000")

		if got := len(claims.claims); got != tt.want {
			t.Errorf("%s: got %d claims, want %d", tt.name, got, tt.want)
		}
	}
}
