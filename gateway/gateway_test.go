package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"boragehub/site"
)

func TestResponseStatusByRequest(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)

	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
	}{
		{"served", "POST", "/once/1", "x", nil, 200},
		{"without a body", "GET", "/idem/1", "", nil, 200},
		{"no route", "GET", "/nowhere/", "", nil, 404},
		{"unknown key", "GET", "/idem/1", "", []string{"Key", "wrong"}, 401},
		{"public route without a key", "GET", "/open/1", "", []string{"Key", ""}, 200},
		{"body over the limit", "POST", "/once/1", strings.Repeat("x", 1<<17), nil, 413},
		{"malformed request", "GET", "/idem/1", "", []string{"Bad", "1"}, 400},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := env.request(t, tt.method, tt.path, tt.body, tt.headers...)
			if got.status != tt.status || got.err != nil {
				t.Errorf("got %d %v, want %d", got.status, got.err, tt.status)
			}
		})
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)

	if got := env.request(t, "POST", "/once/a%2Fb/../c?q=%20x", "body"); got.status != 200 {
		t.Fatalf("got %d", got.status)
	}

	r := e.arrival(0)
	if r.RequestURI != "/once/a%2Fb/../c?q=%20x" || e.bodies[0] != "body" {
		t.Errorf("got %q with %q", r.RequestURI, e.bodies[0])
	}

	if got := r.Header.Get("Organisation"); got != "ferry" {
		t.Errorf("got organisation %q, want ferry", got)
	}

	if got := r.Header.Get("For"); got != "sa" {
		t.Errorf("got target %q, want sa", got)
	}
}

// Guards against a 404 or 401 from a process that started in an outage and has no configuration:
// it would tell callers that what they want doesn't exist.
func TestRequestsWithoutConfigurationAreRefused(t *testing.T) {
	env := newTestEnv(t)
	env.gateway = New(env.gateway.cfg, env.gateway.versionsKnownAt, env.gateway.registeredSince)
	env.server.Config.Handler = env.gateway

	got := env.request(t, "GET", "/idem/1", "")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q, want 503 and a Retry-After time", got.status, got.header.Get("Retry-After"))
	}

	if env.gateway.Ready() {
		t.Error("got ready, want not ready")
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	env := newTestEnv(t)

	older := published
	older.Version, older.Routes = 0, nil
	env.gateway.Configure(site.New(older))

	if got := env.gateway.ConfigVersion(); got != 1 {
		t.Errorf("got version %d, want 1", got)
	}
}

// What one target did with a request decides whether another one may get it. Guards against
// sending a booking that may have run again, and against reporting that it has not run.
func TestFailuresOfOneTarget(t *testing.T) {
	tests := []struct {
		name, path string
		first      behaviour
		status     int
		arrivals   int
	}{
		{"refused: once is retried", "/once/1", respond(notRun503), 200, 2},
		{"another target has the address: once is retried", "/once/1", respond(otherTarget421), 200, 2},
		{"no response: once fails", "/once/1", respondAndClose(""), 502, 1},
		{"incomplete response: once fails", "/once/1", respondAndClose(truncated200), 502, 1},
		{"unsigned: once fails", "/once/1", respond(unsigned200), 502, 1},
		{"encoded: once fails", "/once/1", respond(encoded200), 502, 1},
		{"failed: once gets the target's error", "/once/1", respond(error500), 500, 1},
		{"503 not marked as not run: once gets 502", "/once/1", respond(mayHaveRun503), 502, 1},
		{"rejected: once gets the target's error", "/once/1", respond(bad400), 400, 1},
		{"no response: idempotent is retried", "/idem/1", respondAndClose(""), 200, 2},
		{"incomplete response: idempotent is retried", "/idem/1", respondAndClose(truncated200), 200, 2},
		{"unsigned: idempotent is retried", "/idem/1", respond(unsigned200), 200, 2},
		{"failed: idempotent is retried", "/idem/1", respond(error500), 200, 2},
		{"hangs: idempotent is retried", "/idem/1", hang, 200, 2},
		{"rejected: idempotent gets the target's error", "/idem/1", respond(bad400), 400, 1},
		{"no response: stream fails", "/stream/1", respondAndClose(""), 502, 1},
		{"no response: resumable stream is retried", "/resume/1", respondAndClose(""), 200, 2},
		{"refused: stream is retried", "/stream/1", respond(notRun503), 200, 2},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The first target to get a request misbehaves, the other one serves.
			done := make(chan struct{}, 1)
			done <- struct{}{}

			either := func(c net.Conn, r *http.Request) bool {
				select {
				case <-done:
					return tt.first(c, r)
				default:
				}

				if strings.HasPrefix(tt.path, "/stream") || strings.HasPrefix(tt.path, "/resume") {
					return respond(streamHead+events(1, 2)+streamEnd)(c, r)
				}

				return respond(ok200)(c, r)
			}
			a, b := newFakeEngine(t, "a", either), newFakeEngine(t, "b", either)
			env := newTestEnv(t, a, b)

			got := env.request(t, "GET", tt.path, "")
			if got.status != tt.status || got.err != nil {
				t.Errorf("got %d %v, want %d", got.status, got.err, tt.status)
			}

			if n := a.count() + b.count(); n != tt.arrivals {
				t.Errorf("got %d requests at the targets, want %d", n, tt.arrivals)
			}

			if got.status >= 500 && got.status != 500 && got.header.Get("Seal") != "" {
				t.Error("got a target's signature on the gateway's own response")
			}
		})
	}
}

// All targets refuse, so the request has certainly not run. Guards against a response that doesn't
// say so at once, with a Retry-After time.
func TestRequestRefusedByAllTargetsIsReportedNotRun(t *testing.T) {
	a, b := newFakeEngine(t, "a", respond(notRun503)), newFakeEngine(t, "b", respond(notRun503))
	env := newTestEnv(t, a, b)

	got := env.request(t, "POST", "/once/1", "x")
	if got.status != 503 || got.header.Get("Retry-After") == "" || got.header.Get("Id") != "r1" {
		t.Errorf("got %d, Retry-After %q, id %q", got.status, got.header.Get("Retry-After"), got.header.Get("Id"))
	}
}

func TestServiceWithoutTargetsIsRefusedAtOnce(t *testing.T) {
	env := newTestEnv(t)

	got := env.request(t, "POST", "/once/1", "x")
	if got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", got.status, got.header.Get("Retry-After"))
	}
}

// Many requests fail at once. Guards against retries that double the load on the remaining
// targets.
func TestRetriesAreLimited(t *testing.T) {
	a, b := newFakeEngine(t, "a", respond(error500)), newFakeEngine(t, "b", respond(error500))
	env := newTestEnv(t, a, b)
	env.gateway.cfg.RetrySlack = 80 // an entry's share among eight is 5

	const requests = 100
	for range requests {
		env.request(t, "GET", "/idem/1", "")
	}

	if got, most := a.count()+b.count(), requests+requests/5+5; got > most {
		t.Errorf("got %d requests at the targets, want %d at most", got, most)
	}
}

func TestStreamsArePassedOnWhole(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+chunk("id: 1\nda")+chunk("ta: token1\n\nid: 2\ndata: token2\n\n")+streamEnd))
	env := newTestEnv(t, e)

	got := env.request(t, "GET", "/stream/1", "")
	if want := eventText(1) + eventText(2); got.body != want || got.err != nil || got.header.Get("Seal") != "s" {
		t.Errorf("got %q %v, want %q", got.body, got.err, want)
	}
}

// An engine dies in the middle of an event. Guards against forwarding the incomplete event, and
// against losing or repeating events when the stream resumes at another engine.
func TestBrokenStreamResumesAtAnotherTarget(t *testing.T) {
	broken := make(chan struct{}, 1)
	broken <- struct{}{}

	either := func(c net.Conn, r *http.Request) bool {
		select {
		case <-broken:
			return respondAndClose(streamHead+events(1, 2)+chunk("id: 3\ndata: to"))(c, r)
		default:
		}

		if got := r.Header.Get("After"); got != "2" {
			t.Errorf("got stream resumed after %q, want 2", got)
		}

		return respond(streamHead+events(2, 4)+streamEnd)(c, r) // repeats event 2
	}
	env := newTestEnv(t, newFakeEngine(t, "a", either), newFakeEngine(t, "b", either))

	got := env.request(t, "GET", "/resume/1", "")
	if want := eventText(1) + eventText(2) + eventText(3) + eventText(4); got.body != want || got.err != nil {
		t.Errorf("got %q %v, want %q", got.body, got.err, want)
	}
}

// The same on a route that isn't resumable. Guards against an incomplete stream that looks
// complete: the caller's connection has to break.
func TestBrokenNonResumableStreamBreaksConnection(t *testing.T) {
	broken := respondAndClose(streamHead + events(1, 2) + chunk("id: 3\ndata: to"))
	env := newTestEnv(t, newFakeEngine(t, "a", broken), newFakeEngine(t, "b", broken))

	got := env.request(t, "GET", "/stream/1", "")
	if got.err == nil {
		t.Errorf("got complete response %q, want a broken connection", got.body)
	}

	if want := eventText(1) + eventText(2); got.body != want {
		t.Errorf("got %q, want complete events only: %q", got.body, want)
	}
}

func TestCallerResumptionIsForwarded(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(8, 9)+streamEnd))
	env := newTestEnv(t, e)

	got := env.request(t, "GET", "/resume/1", "", "After", "7")
	if got.body != eventText(8)+eventText(9) || e.arrival(0).Header.Get("After") != "7" {
		t.Errorf("got %q after %q", got.body, e.arrival(0).Header.Get("After"))
	}
}

// The route's timeout ends while the target works. Guards against a late response, and against one
// that says whether the request has run.
func TestTimeoutIsAnsweredInTime(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", hang))
	began := time.Now()

	got := env.request(t, "POST", "/quick/1", "x")
	if took := time.Since(began); got.status != 504 || took > time.Second {
		t.Errorf("got %d after %v, want 504 after 0.1 s", got.status, took)
	}
}

func TestTimeLeftIsSentToTargets(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)
	env.request(t, "GET", "/idem/1", "", "Wait", "700")

	if got := e.arrival(0).Header.Get("Left"); got == "" || len(got) > 3 || got > "700" {
		t.Errorf("got %q ms left, want 700 at most", got)
	}
}

// The caller disconnects. Guards against a target that continues a request that no caller waits
// for: its connection has to be closed soon.
func TestCallerDisconnectCancelsTarget(t *testing.T) {
	stopped := make(chan struct{})
	e := newFakeEngine(t, "a", func(c net.Conn, _ *http.Request) bool {
		_, _ = c.Read(make([]byte, 1))
		close(stopped)

		return false
	})
	env := newTestEnv(t, e)

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	env.requestCtx(ctx, t, "POST", "/once/1", "x")

	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Error("got the target's connection open, want it closed")
	}
}

func TestStoppingIsNotReadyAndServes(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", respond(ok200)))
	env.gateway.Stop(time.Now().Add(time.Minute))

	if got := env.request(t, "GET", "/idem/1", ""); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}

	if env.gateway.Ready() {
		t.Error("got ready, want not ready")
	}
}

// One request crashes each target that runs it, and its caller retries it again and again. Guards
// against sending it to a fourth target, and against quarantining other requests.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", respond(ok200)))
	f := func(body string) error {
		k := &task{g: env.gateway, route: &routes[0], r: &http.Request{URL: mustURL(t, "/once/1")}, body: []byte(body), organisation: &site.Organisation{Name: "ferry"}}

		return k.checkQuarantine(time.Now())
	}

	for i, target := range []string{"t1", "t2", "t3"} {
		k := &task{g: env.gateway, route: &routes[0], r: &http.Request{URL: mustURL(t, "/once/1")}, body: []byte("poison"), organisation: &site.Organisation{Name: "ferry"}}
		if err := k.checkQuarantine(time.Now()); err != nil {
			t.Fatalf("crash %d: got request quarantined: %v", i, err)
		}

		env.gateway.crashes.add(time.Now(), startOf(target, 0), crashCandidate{fingerprint: k.fingerprint})
		env.gateway.crashes.add(time.Now(), startOf(target, 0), crashCandidate{fingerprint: [16]byte{byte(i)}}) // ran beside it
	}

	if f("poison") == nil {
		t.Error("got request sent to a fourth target, want it quarantined")
	}

	if err := f("other"); err != nil {
		t.Errorf("got another request quarantined: %v", err)
	}
}
