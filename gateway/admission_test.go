package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"boragehub/admission"
	"boragehub/pulse"
	"boragehub/site"
)

// contendedEnv is a gateway with one engine, whose memory is full.
type contendedEnv struct {
	*testEnv
	engine *fakeEngine
}

// Tokens in use at the engine, of 70,000: none is free, or a prompt of 30,000 fits.
const (
	allTokens  = 66_400
	someTokens = 20_000
)

// newContendedEnv returns an environment with the route /review/, whose latency target is 5 s and
// whose timeout is 20 s, and organisations of the ranks 1 and 2, with the keys k3 and k4.
func newContendedEnv(t *testing.T, behaviours ...behaviour) *contendedEnv {
	t.Helper()

	if len(behaviours) == 0 {
		behaviours = []behaviour{respond(streamHead + events(1, 2) + streamEnd)}
	}

	e := newFakeEngine(t, "a", behaviours...)
	env := &contendedEnv{newTestEnv(t, e), e}

	p := published
	p.Version = 2
	p.Routes = append(slices.Clone(p.Routes), site.Route{
		Name: "review", Host: "desk", Prefix: "/review/", Kind: site.Stream, Resumable: true, Timeout: 20 * time.Second,
		LatencyTarget: 5 * time.Second, Shares: []site.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2,
	})
	p.Organisations = append(slices.Clone(p.Organisations),
		site.Organisation{Name: "first", Keys: []string{"k3"}, HasPriority: true, Priority: 1},
		site.Organisation{Name: "second", Keys: []string{"k4"}, HasPriority: true, Priority: 2})
	env.gateway.Configure(site.New(p))
	env.report(pulse.Report{UsedTokens: allTokens, Slowdown: 100})

	return env
}

// report passes on a load report of the engine, which stays valid for the whole test. It does so
// between two rounds, since a round in which the first prompts have failed goes on with the others.
func (env *contendedEnv) report(p pulse.Report) {
	p.Engine, p.Model, p.Version, p.Running, p.Interval = env.engine.llmAddress, "m", 1, 1, 10*time.Second
	q := env.queue()

	for reported := false; !reported; time.Sleep(time.Millisecond) {
		q.mu.Lock()

		if reported = q.turn == nil; reported {
			env.roster.ObserveReport(time.Now(), p)
		}

		q.mu.Unlock()
	}

	env.gateway.CapacityChanged(time.Now())
}

func (env *contendedEnv) queue() *admissionQueue {
	return env.gateway.admission.forService(env.gateway, "llm")
}

// waiting returns the number of prompts in the admission queue.
func (env *contendedEnv) waiting() int {
	q := env.queue()

	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.waiters) != q.queue.Len() {
		return -1
	}

	return len(q.waiters)
}

// await waits until a number has a value.
func await(t *testing.T, what string, got func() int, want int) {
	t.Helper()

	for end := time.Now().Add(8 * time.Second); got() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: got %d, want %d", what, got(), want)
		}
	}
}

// send sends a prompt and returns where its reply arrives.
func (env *contendedEnv) send(ctx context.Context, t *testing.T, id string, tokens int, headers ...string) <-chan reply {
	t.Helper()

	got := make(chan reply, 1)
	headers = append([]string{"Id", id, "Tokens", strconv.Itoa(tokens)}, headers...)

	go func() { got <- env.requestCtx(ctx, t, "POST", "/review/1", "x", headers...) }()

	return got
}

// retryAfter returns a refusal's Retry-After in seconds.
func (r reply) retryAfter(t *testing.T) float64 {
	t.Helper()

	s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if r.status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("got %d with Retry-After %q (%v), want a refusal", r.status, r.header.Get("Retry-After"), r.err)
	}

	return s
}

// All engines are full, and prompts of all ranks wait. Guards against a queue that is first come,
// first served.
func TestContendedPromptsAreSentByRank(t *testing.T) {
	env := newContendedEnv(t)

	var replies []<-chan reply

	for i, key := range []string{"k4", "k4", "k3", "k1"} {
		replies = append(replies, env.send(t.Context(), t, fmt.Sprint(key, "/", i), 30_000, "Key", key))
		await(t, "waiting", env.waiting, i+1)
	}

	for i, want := range []string{"k1/3", "k3/2", "k4/0", "k4/1"} {
		env.report(pulse.Report{UsedTokens: someTokens})
		await(t, "requests at the engine", env.engine.count, i+1)

		if got := env.engine.arrival(i).Header.Get("Id"); got != want {
			t.Errorf("number %d: got %s sent, want %s", i, got, want)
		}
	}

	for _, r := range replies {
		if got := <-r; got.status != http.StatusOK {
			t.Errorf("got %d, want 200", got.status)
		}
	}

	await(t, "waiting", env.waiting, 0)
}

// A long prompt is at the head of the queue while a smaller one fits. Guards against head-of-line
// blocking.
func TestSmallerPromptPassesOneThatFindsNoEngine(t *testing.T) {
	env := newContendedEnv(t)
	large := env.send(t.Context(), t, "large", 60_000)
	await(t, "waiting", env.waiting, 1)

	small := env.send(t.Context(), t, "small", 8000)
	await(t, "waiting", env.waiting, 2)
	env.report(pulse.Report{UsedTokens: 50_000})

	if got := <-small; got.status != http.StatusOK {
		t.Errorf("got %d for the small prompt, want 200", got.status)
	}

	env.report(pulse.Report{UsedTokens: 100})

	if got := <-large; got.status != http.StatusOK {
		t.Errorf("got %d for the large prompt, want 200", got.status)
	}
}

// lineLog keeps log lines.
type lineLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineLog) add(_, args string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lines = append(l.lines, args)
}

func (l *lineLog) count(parts ...string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0

	for _, line := range l.lines {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			n++
		}
	}

	return n
}

// The queue admits two prompts a second, and five wait. Guards against callers that are held until
// their deadline though it is known that they can't be served, and against refused ones that return
// together.
func TestPromptsThatWouldWaitTooLongAreRefusedInOrder(t *testing.T) {
	env := newContendedEnv(t)
	log := &lineLog{}
	env.gateway.cfg.Log = funcr.New(log.add, funcr.Options{})

	q := env.queue()
	q.mu.Lock()

	for i := range 16 {
		began := time.Now().Add(-time.Duration(16-i) * 500 * time.Millisecond)
		x, _ := q.queue.Enter(began, admission.Prompt{Deadline: began.Add(time.Minute)})
		q.queue.Admit(began.Add(500*time.Millisecond), x)
	}

	q.mu.Unlock()

	var replies []<-chan reply

	for i := range 5 {
		replies = append(replies, env.send(t.Context(), t, fmt.Sprint("waits", i), 30_000))
		await(t, "waiting", env.waiting, i+1)
	}

	before := 0.0

	for i := range 3 {
		got := (<-env.send(t.Context(), t, fmt.Sprint("refused", i), 30_000, "Wait", "4000")).retryAfter(t)
		if got <= before || got > 4.0/3 {
			t.Errorf("refusal %d: got Retry-After %v after %v, want it later and at most a third of 4 s", i, got, before)
		}

		before = got
	}

	if got := log.count("prompt_refused", `"reason"="expected_wait"`, `"ahead"=5`); got != 3 {
		t.Errorf("got %d lines of these refusals, want 3", got)
	}

	if got := env.engine.count(); got != 0 {
		t.Errorf("got %d requests at the engine, want none", got)
	}

	for i := range replies {
		env.report(pulse.Report{UsedTokens: someTokens})
		await(t, "requests at the engine", env.engine.count, i+1)
	}

	for _, r := range replies {
		if got := <-r; got.status != http.StatusOK {
			t.Errorf("got %d for one that waited, want 200", got.status)
		}
	}

	if got := log.count("prompt_admitted"); got != 5 {
		t.Errorf("got %d lines of admissions, want 5", got)
	}
}

// As many prompts wait as may, and then a planned stop ends. Guards against memory that grows with
// the callers of an overload, and against an end of the process that cuts off what has not run.
func TestFullQueueRefusesAtOnceAndAStopRefusesAll(t *testing.T) {
	env := newContendedEnv(t)

	var replies []<-chan reply

	for i := range admission.DefaultSize {
		replies = append(replies, env.send(t.Context(), t, fmt.Sprint("waits", i), 30_000))
	}

	await(t, "waiting", env.waiting, admission.DefaultSize)

	if got := (<-env.send(t.Context(), t, "one more", 30_000)).retryAfter(t); got <= 0 {
		t.Errorf("got Retry-After %v, want a time", got)
	}

	now := time.Now()
	env.gateway.StartDrain(now, now)

	for _, r := range replies {
		got := <-r
		if got.retryAfter(t) <= 0 || !strings.Contains(got.body, "draining") {
			t.Errorf("got Retry-After %q and %q, want a refusal that says that the entry is stopping", got.header.Get("Retry-After"), got.body)
		}
	}

	if got := env.engine.count(); got != 0 {
		t.Errorf("got %d requests at the engine, want none", got)
	}

	await(t, "waiting", env.waiting, 0)
}

// Guards against prompts in the queue whose callers have left: they keep others from their place.
func TestCallerThatLeavesLeavesTheQueue(t *testing.T) {
	env := newContendedEnv(t)
	ctx, leave := context.WithCancel(t.Context())
	gone := env.send(ctx, t, "gone", 30_000)
	await(t, "waiting", env.waiting, 1)

	stays := env.send(t.Context(), t, "stays", 30_000)
	await(t, "waiting", env.waiting, 2)
	leave()
	<-gone
	await(t, "waiting", env.waiting, 1)
	env.report(pulse.Report{UsedTokens: someTokens})

	if got := <-stays; got.status != http.StatusOK || env.engine.count() != 1 {
		t.Errorf("got %d after %d requests at the engine, want 200 after one", got.status, env.engine.count())
	}
}

// A target of a service reports for the first time that its host is shared, while prompts wait in
// the queue for services without contention. Guards against prompts that stay behind there.
func TestWaitingPromptsMoveWhenTheServiceBecomesContended(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(1, 2)+streamEnd))
	env := &contendedEnv{newTestEnv(t, e), e}
	env.report(pulse.Report{UsedTokens: allTokens})

	replies := make(chan reply, 2)

	for i := range 2 {
		go func() {
			replies <- env.request(t, "POST", "/llm/1", "x", "Tokens", "30000", "Id", fmt.Sprint(i))
		}()
	}

	await(t, "waiting in the old queue", func() int { return len(env.gateway.waitQueue.waiting) }, 2)
	env.report(pulse.Report{UsedTokens: allTokens, Slowdown: 150})
	await(t, "waiting in the old queue", func() int { return len(env.gateway.waitQueue.waiting) }, 0)
	await(t, "waiting", env.waiting, 2)

	for i := range 2 {
		env.report(pulse.Report{UsedTokens: someTokens, Slowdown: 150})
		await(t, "requests at the engine", e.count, i+1)
	}

	for range 2 {
		if got := <-replies; got.status != http.StatusOK {
			t.Errorf("got %d, want 200", got.status)
		}
	}
}

// Engines have so much to prefill that a prompt's first event will be late. Guards against a refusal
// where a late response would have come, and against a wait where none can come.
func TestPromptThatWillBeLateWaitsWhileItCanBeServed(t *testing.T) {
	env := newContendedEnv(t)
	p := env.gateway.profiles.forService("llm")

	for i := range 40 {
		p.ObserveFirstEvent(1000+4000*(i%2), time.Duration(20+80*(i%2))*time.Millisecond)
		p.ObservePrompt(4000, 5000, time.Second)
	}

	// A prompt in prefill takes 80 ms. The prompt has 10 s to be sent, and a latency target of 5 s.
	env.report(pulse.Report{Prefilling: 300})

	if got := (<-env.send(t.Context(), t, "hopeless", 30_000)).retryAfter(t); got <= 0 || got > 6.667 {
		t.Errorf("got Retry-After %v, want at most a third of 20 s", got)
	}

	env.report(pulse.Report{Prefilling: 100})

	late := env.send(t.Context(), t, "late", 30_000)
	await(t, "waiting", env.waiting, 1)
	env.report(pulse.Report{})

	if got := <-late; got.status != http.StatusOK {
		t.Errorf("got %d, want 200", got.status)
	}
}

// An engine of a contended service names a rate limit. Guards against a Retry-After that is earlier
// than the target's own word.
func TestContendedPromptsKeepToRateLimits(t *testing.T) {
	env := newContendedEnv(t, respond(withHeader(streamHead, "Limit", "0.5")+events(1, 2)+streamEnd))
	env.report(pulse.Report{Slowdown: 100})

	for i := range 2 { // the second one takes the first slot
		if got := <-env.send(t.Context(), t, fmt.Sprint(i), 100); got.status != http.StatusOK {
			t.Fatalf("request %d: got %d, want 200", i, got.status)
		}
	}

	before := 0.0

	for i := range 3 {
		got := (<-env.send(t.Context(), t, fmt.Sprint("refused", i), 100)).retryAfter(t)
		if got <= before || got < 10 {
			t.Errorf("refusal %d: got Retry-After %v after %v, want the slots of the limit", i, got, before)
		}

		before = got
	}
}

// Guards against memory that counts as in use by an organisation for ever, and against an attempt
// that doesn't count.
func TestMemoryInUseIsCountedByOrganisation(t *testing.T) {
	env := newContendedEnv(t, func(c net.Conn, r *http.Request) bool {
		respond(streamHead+events(1, 1))(c, r)

		return hang(c, r)
	})
	env.report(pulse.Report{})

	inUse := func() int {
		q := env.queue()

		q.mu.Lock()
		defer q.mu.Unlock()

		return q.queue.InUse("ferry")
	}

	ctx, leave := context.WithCancel(t.Context())
	got := env.send(ctx, t, "r1", 30_000)
	await(t, "tokens in use", inUse, 30_010)
	leave()
	<-got
	await(t, "tokens in use", inUse, 0)
}

// Guards against prompts that are sent just before the end of their latency target, before others that
// could still be on time, and are late by the time to their first event.
func TestTimeToTheFirstEventIsKeptFree(t *testing.T) {
	q := &admissionQueue{}

	for range 100 {
		q.firstEvents(true).Observe(40)
		q.firstEvents(false).Observe(400)
	}

	tests := []struct {
		name   string
		short  bool
		target time.Duration
		want   time.Duration
	}{
		{"short", true, time.Second, 40 * time.Millisecond},
		{"long", false, time.Second, 400 * time.Millisecond},
		{"more than half of the target", false, 600 * time.Millisecond, 300 * time.Millisecond},
	}

	for _, tt := range tests {
		if got := q.leadTime(tt.short, tt.target).Round(time.Millisecond); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}

	if got := (&admissionQueue{}).leadTime(true, time.Second); got != 0 {
		t.Errorf("got %v before any response, want none", got)
	}

	env := newContendedEnv(t)
	env.report(pulse.Report{})

	if got := <-env.send(t.Context(), t, "r1", 30_000); got.status != http.StatusOK {
		t.Fatalf("got %d, want 200", got.status)
	}

	// The only prompt so far is as long as the mean, and counts as short.
	if ms, ok := env.queue().firstEvents(true).Value(); !ok || ms <= 0 {
		t.Errorf("got a mean of %v ms, %v, want one from the response", ms, ok)
	}
}

// Many prompts of all kinds come, some of their callers leave, and capacity comes and goes. Guards
// against a turn that is lost, which would stop the queue, and against places, memory or timers that
// are kept for ever.
func TestAdmissionQueueEndsEmptyAfterChurn(t *testing.T) {
	env := newContendedEnv(t)
	r := rand.New(rand.NewPCG(1, 2))

	var replies []<-chan reply

	for i := range 120 {
		ctx, leave := context.WithCancel(t.Context())
		replies = append(replies, env.send(ctx, t, fmt.Sprint(i), 1000+r.IntN(50_000), "Key", fmt.Sprint("k", 1+r.IntN(4))))

		if r.IntN(4) == 0 {
			time.AfterFunc(time.Duration(r.IntN(30))*time.Millisecond, leave)
		} else {
			defer leave()
		}

		if r.IntN(3) == 0 {
			env.report(pulse.Report{UsedTokens: r.IntN(allTokens)})
		}
	}

	served := 0

	for _, c := range replies {
		for got := (reply{}); got.status == 0 && got.err == nil; {
			select {
			case got = <-c:
				if got.status == http.StatusOK {
					served++
				}
			case <-time.After(time.Millisecond):
				env.report(pulse.Report{})
			}
		}
	}

	if served < 60 {
		t.Errorf("got %d served, want all whose callers stayed", served)
	}

	await(t, "waiting", env.waiting, 0)

	q := env.queue()

	await(t, "turns", func() int {
		q.mu.Lock()
		defer q.mu.Unlock()

		if q.turn != nil || !q.timerAt.IsZero() {
			return 1
		}

		return 0
	}, 0)

	for _, name := range []string{"ferry", "bureau", "first", "second"} {
		await(t, "tokens in use", func() int {
			q.mu.Lock()
			defer q.mu.Unlock()

			return q.queue.InUse(name)
		}, 0)
	}
}
