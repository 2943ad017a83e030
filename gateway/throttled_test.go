package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/roster"
	"boragehub/site"
)

// withHeader adds a header to a response's text.
func withHeader(text, name, value string) string {
	return strings.Replace(text, "\r\n", "\r\n"+name+": "+value+"\r\n", 1)
}

// target returns what the roster holds of a target.
func (env *testEnv) target(t *testing.T, service, id string) roster.Engine {
	t.Helper()

	for _, e := range env.roster.Candidates(time.Now(), service, "m") {
		if e.ID == id {
			return e
		}
	}

	t.Fatalf("%s is not a candidate", id)

	return roster.Engine{}
}

// Guards against a rate limit that is missed because the response that names it takes another path
// than usual: refusals, errors, streams and responses that break off.
func TestRateLimitIsLearnedFromEveryResponse(t *testing.T) {
	const named = 7.5

	tests := []struct {
		name, path, response string
		want                 float64
	}{
		{"complete response", "/once/1", ok200, named},
		{"refusal", "/once/1", notRun503, named},
		{"refusal that does not say that it has not run", "/once/1", mayHaveRun503, named},
		{"error", "/once/1", error500, named},
		{"bad request", "/once/1", bad400, named},
		{"truncated response", "/once/1", truncated200, named},
		{"unsigned response", "/once/1", unsigned200, named},
		{"stream", "/llm/1", streamHead + events(1, 2) + streamEnd, named},
		{"stream that breaks off before its first event", "/llm/1", streamHead, named},
		{"newer weights", "/llm/1", withHeader(newerVersion421, "Target", "llma"), named},
		{"another target at the same address", "/once/1", otherTarget421, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newTestEnv(t, newFakeEngine(t, "a", respondAndClose(withHeader(tt.response, "Limit", "7.5"))))

			service := "s"
			if tt.path == "/llm/1" {
				service = "llm"
			}

			env.request(t, "POST", tt.path, "x", promptHeaders(tt.path)...)

			if got := env.target(t, service, service+"a").RateLimit; got != tt.want {
				t.Errorf("got a limit of %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against requests that go past a target's rate limit by a retry or a resumed stream.
func TestRetriesKeepToRateLimits(t *testing.T) {
	limited := newFakeEngine(t, "a", respond(withHeader(ok200, "Limit", "0.5")))
	env := newTestEnv(t, limited)
	env.request(t, "POST", "/once/1", "x")
	env.request(t, "POST", "/once/1", "x") // in the first slot

	failing := newFakeEngine(t, "b", respondAndClose(""))
	env.list(failing)

	if r := env.request(t, "GET", "/idem/1", ""); r.status == http.StatusOK {
		t.Errorf("got %d, want no response of the limited target", r.status)
	}

	if got, want := limited.count(), 2; got != want || failing.count() == 0 {
		t.Errorf("got %d requests at the limited target and %d at the other, want %d and one or two", got, failing.count(), want)
	}
}

// Guards against callers that wait for a target until their deadline although its rate limit
// already shows that they can't be served, and against refused callers that return at the same
// moment.
func TestRequestsBeyondRateLimitsAreRefusedInOrder(t *testing.T) {
	for _, path := range []string{"/idem/1", "/soon/1"} {
		t.Run(path, func(t *testing.T) {
			text := withHeader(ok200, "Limit", "0.5")
			if path == "/soon/1" {
				text = withHeader(streamHead, "Limit", "0.5") + events(1, 2) + streamEnd
			}

			e := newFakeEngine(t, "a", respond(text))
			env := newTestEnv(t, e)

			for i := range 2 {
				if r := env.request(t, "POST", path, "x", promptHeaders(path)...); r.status != http.StatusOK {
					t.Fatalf("request %d: got %d, want 200", i, r.status)
				}
			}

			var after []float64

			for range 3 {
				r := env.request(t, "POST", path, "x", promptHeaders(path)...)

				s, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				if r.status != http.StatusServiceUnavailable || err != nil {
					t.Fatalf("got %d with Retry-After %q, want a refusal", r.status, r.header.Get("Retry-After"))
				}

				after = append(after, s)
			}

			if interval := after[2] - after[1]; after[0] >= after[1] || interval < 10 {
				t.Errorf("got Retry-After %v, want times that follow each other at the interval of the slots", after)
			}

			if got := e.count(); got != 2 {
				t.Errorf("got %d requests at the target, want 2", got)
			}
		})
	}
}

func TestPromptWaitsForASlotThatOpensInTime(t *testing.T) {
	e := newFakeEngine(t, "a", respond(withHeader(streamHead, "Limit", "100")+events(1, 2)+streamEnd))
	env := newTestEnv(t, e)

	for i := range 5 {
		if r := env.request(t, "POST", "/soon/1", "x", "Tokens", "100"); r.status != http.StatusOK {
			t.Errorf("request %d: got %d, want 200", i, r.status)
		}
	}
}

func TestThrottledWait(t *testing.T) {
	l := throttled{wait: 100 * time.Millisecond, perSecond: 4}

	if got, want := l.waitBehind(2), 600*time.Millisecond; got != want {
		t.Errorf("got %v behind two requests, want %v", got, want)
	}

	if got, ok := asThrottled(failure.Wrap(failure.QueueFull, l, "limited")); !ok || got != l {
		t.Errorf("got %v, %v from a wrapped limit, want %v", got, ok, l)
	}
}

// Guards against prompts that waited in vain for a throttled engine and are all told to return for
// the same slot, where all but one are refused again.
func TestPromptsThatWaitedInVainReturnInOrder(t *testing.T) {
	e := newFakeEngine(t, "a", respond(withHeader(streamHead, "Limit", "60")+events(1, 2)+streamEnd))
	env := newTestEnv(t, e)

	for range 2 { // the second one takes the first slot
		env.request(t, "POST", "/llm/1", "x", "Tokens", "100")
	}

	env.gateway.waitQueue.head <- struct{}{} // nobody gets to the head of the queue

	const prompts = 3

	times := make(chan float64, prompts)

	for range prompts {
		go func() {
			r := env.request(t, "POST", "/llm/1", "x", "Tokens", "100")
			s, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			times <- s
		}()
	}

	var all []float64
	for range prompts {
		all = append(all, <-times)
	}

	slices.Sort(all)

	for i := range prompts - 1 {
		if d := all[i+1] - all[i]; d < 0.12 {
			t.Errorf("got Retry-After %v, want times that follow each other at the interval of 0.15 s", all)
		}
	}
}

// Guards against a queue before throttled engines in which every prompt waits for nearly its whole
// latency target, so that all responses are late and no more of them are given.
func TestPromptsThatWouldBeLateDoNotQueueForThrottledEngines(t *testing.T) {
	l := throttled{wait: 100 * time.Millisecond, perSecond: 20}
	route := &site.Route{LatencyTarget: 400 * time.Millisecond, EventTimeout: time.Second}

	tests := []struct {
		name  string
		x     *task
		ahead int
		want  bool
	}{
		{"first", &task{route: route}, 0, true},
		{"on time", &task{route: route}, 2, true},
		{"late by the time to its first event", &task{route: route}, 3, false},
		{"late", &task{route: route}, 7, false},
		{"a stream that has started", &task{route: route, stream: stream{started: true}}, 7, true},
		{"a stream that has started, too late", &task{route: route, stream: stream{started: true}}, 30, false},
	}

	for _, tt := range tests {
		if got := tt.x.mayQueueFor(l, tt.ahead); got != tt.want {
			t.Errorf("%s, %d ahead: got %v, want %v", tt.name, tt.ahead, got, tt.want)
		}
	}
}
