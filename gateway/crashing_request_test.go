package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pulse"
	"boragehub/quarantine"
)

// crashingBody is the body of requests that crash each target which runs them.
const crashingBody = "crash"

// newCrashingEngine returns a target that ends when it gets a request with crashingBody, after it has
// sent a text, and responds with ok200 otherwise.
func newCrashingEngine(t *testing.T, id, text string) *fakeEngine {
	t.Helper()

	var e *fakeEngine

	e = newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
		if e.lastBody() != crashingBody {
			return respond(ok200)(c, r)
		}

		respond(text)(c, r)
		e.end()

		return false
	})

	return e
}

// newEngineCrashedBy returns a target that ends when it gets a request of which a function reports true, and
// responds with ok200 otherwise.
func newEngineCrashedBy(t *testing.T, id string, crashes func(r *http.Request) bool) *fakeEngine {
	t.Helper()

	var e *fakeEngine

	e = newFakeEngine(t, id, func(c net.Conn, r *http.Request) bool {
		if !crashes(r) {
			return respond(ok200)(c, r)
		}

		e.end()

		return false
	})

	return e
}

// newEntryFleet returns entries that know the same targets and report crashes to each other.
func newEntryFleet(t *testing.T, entries int, engines ...*fakeEngine) []*testEnv {
	t.Helper()

	all := make([]*testEnv, entries)
	for i := range all {
		all[i] = newTestEnv(t, engines...)
	}

	for i, env := range all {
		env.gateway.crashes = newCrashDetector(crashDetectorConfig{
			Requests: env.gateway.cfg.Crashes, Parts: env.gateway.cfg.CrashParts, Log: logr.Discard(),
			Report: func(c quarantine.Crash) (acquitted []quarantine.Acquittal) {
				for j, other := range all {
					if j != i {
						acquitted = append(acquitted, other.gateway.AddReportedCrash(time.Now(), c)...)
					}
				}

				return acquitted
			},
			ReportCleared: func(cleared []quarantine.Acquittal) {
				for j, other := range all {
					if j != i {
						other.gateway.AddAcquittals(time.Now(), cleared)
					}
				}
			},
		})
	}

	return all
}

func countEnded(engines []*fakeEngine) int {
	n := 0

	for _, e := range engines {
		if e.hasEnded() {
			n++
		}
	}

	return n
}

// Guards against ends of targets that count against no request, because each entry had a single
// request there: a request that crashes targets would be sent to one after the other.
func TestTargetThatEndsUnderASingleRequestCounts(t *testing.T) {
	tests := []struct {
		name, path, text string
		headers          []string
	}{
		{"idempotent", "/idem/1", "", nil},
		{"at most once", "/once/1", "", nil},
		{"truncated response", "/idem/1", truncated200, nil},
		{"stream before its first event", "/stream/1", "", nil},
		{"stream after its first event", "/stream/1", streamHead + events(1, 1), nil},
		{"resumable stream", "/resume/1", streamHead + events(1, 1), nil},
		{"prompt", "/llm/1", streamHead + events(1, 1), []string{"Tokens", "500"}},
	}

	const (
		entries  = 4
		targets  = 10
		requests = 12
		limit    = 3
	)

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := make([]*fakeEngine, targets)
			for i := range engines {
				engines[i] = newCrashingEngine(t, strconv.Itoa(i), tt.text)
			}

			fleet := newEntryFleet(t, entries, engines...)

			var last reply

			for i := range requests {
				last = fleet[i%entries].request(t, http.MethodPost, tt.path, crashingBody, append([]string{"Id", "r" + strconv.Itoa(i)}, tt.headers...)...)
			}

			if got := countEnded(engines); got != limit {
				t.Errorf("got %d targets ended under the request, want %d", got, limit)
			}

			if got, want := last.status, http.StatusUnprocessableEntity; got != want {
				t.Errorf("got status %d at last, want %d", got, want)
			}
		})
	}
}

// Guards against a request that is cleared by the responses to others of its caller, which differ from it in the query,
// the method or the encoding of the path alone, and goes on ending targets.
func TestResponsesToSimilarRequestsDoNotClearACrashingOne(t *testing.T) {
	tests := []struct {
		name, method, path, body string
		others                   []string // method and path of each
	}{
		{"another query", http.MethodGet, "/idem/today?driver=0", "", []string{"GET /idem/today?driver=1", "GET /idem/today?driver=2", "GET /idem/today"}},
		{"without a query", http.MethodGet, "/idem/today", "", []string{"GET /idem/today?driver=1", "GET /idem/today?"}},
		{"another order of parameters", http.MethodGet, "/idem/today?a=1&b=2", "", []string{"GET /idem/today?b=2&a=1"}},
		{"another method", http.MethodPut, "/idem/today", "x", []string{"PATCH /idem/today"}},
		{"another encoding of the path", http.MethodGet, "/idem/a%2Fb", "", []string{"GET /idem/a/b"}},
	}

	const (
		entries  = 3
		targets  = 10
		requests = 9
		limit    = 3
	)

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engines := make([]*fakeEngine, targets)
			for i := range engines {
				engines[i] = newEngineCrashedBy(t, strconv.Itoa(i), func(r *http.Request) bool { return r.Method == tt.method && r.RequestURI == tt.path })
			}

			fleet := newEntryFleet(t, entries, engines...)

			var last reply

			for i := range requests {
				last = fleet[i%entries].request(t, tt.method, tt.path, tt.body, "Id", "r"+strconv.Itoa(i))

				for j, env := range fleet {
					for k, other := range tt.others {
						method, path, _ := strings.Cut(other, " ")

						got := env.request(t, method, path, tt.body, "Id", fmt.Sprintf("o%d.%d.%d", i, j, k))
						if want := http.StatusOK; got.status != want && countEnded(engines) < targets {
							t.Errorf("%s: got status %d, want %d", other, got.status, want)
						}
					}
				}
			}

			if got := countEnded(engines); got != limit {
				t.Errorf("got %d targets ended under the request, want %d", got, limit)
			}

			if got, want := last.status, http.StatusUnprocessableEntity; got != want {
				t.Errorf("got status %d at last, want %d", got, want)
			}
		})
	}
}

// Guards against a request that ends targets and comes with another query each time: no two of them have the same
// fingerprint.
func TestCrashingRequestWithAnotherQueryEachTimeIsRefused(t *testing.T) {
	const (
		entries  = 3
		targets  = 24
		requests = 16
		// limit is the number of ends behind which three more are allowed.
		limit = 5 + 3
	)

	engines := make([]*fakeEngine, targets)
	for i := range engines {
		engines[i] = newEngineCrashedBy(t, strconv.Itoa(i), func(r *http.Request) bool { return r.URL.Path == "/idem/bad" })
	}

	fleet := newEntryFleet(t, entries, engines...)

	var last reply

	for i := range requests {
		last = fleet[i%entries].request(t, http.MethodGet, "/idem/bad?n="+strconv.Itoa(i), "", "Id", "r"+strconv.Itoa(i))

		if got := fleet[i%entries].request(t, http.MethodGet, "/idem/good?n="+strconv.Itoa(i), "", "Id", "o"+strconv.Itoa(i)); got.status != http.StatusOK && countEnded(engines) < targets {
			t.Errorf("request %d at another path: got status %d, want 200", i, got.status)
		}
	}

	if got := countEnded(engines); got > limit {
		t.Errorf("got %d targets ended under the requests, want at most %d", got, limit)
	}

	if got, want := last.status, http.StatusUnprocessableEntity; got != want {
		t.Errorf("got status %d at last, want %d", got, want)
	}
}

// Guards against a sound request that stays refused after its targets ended for another reason.
func TestQuarantinedRequestIsTriedOnce(t *testing.T) {
	for _, sound := range []bool{true, false} {
		engines := []*fakeEngine{newCrashingEngine(t, "a", ""), newCrashingEngine(t, "b", "")}
		env := newTestEnv(t, engines...)
		env.gateway.cfg.ProbeRank = func(string) int { return 0 }
		env.gateway.cfg.Crashes = quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3, ProbeDelay: time.Millisecond})
		env.gateway.crashes.cfg.Requests = env.gateway.cfg.Crashes

		body := crashingBody
		if sound {
			body = "sound"
		}

		q := quarantine.Request{Organisation: "ferry", Service: "desk", Method: http.MethodPost, Target: "/idem/1", Body: []byte(body)}

		for _, id := range []string{"t1", "t2", "t3"} {
			env.gateway.AddReportedCrash(time.Now(), quarantine.Crash{Target: id, Boot: id, Running: []quarantine.Fingerprint{q.Fingerprint()}})
		}

		time.Sleep(2 * time.Millisecond)

		first, ended := env.request(t, http.MethodPost, "/idem/1", body).status, countEnded(engines)
		if want := map[bool]int{true: http.StatusOK, false: http.StatusBadGateway}[sound]; first != want || ended > 1 {
			t.Errorf("sound %v: got status %d, %d targets ended, want %d and one at most", sound, first, ended, want)
		}
	}
}

// Guards against ends that count against nobody because the evidence comes late or from elsewhere,
// and against connections that count as ends although their target lives on.
func TestEvidenceOfATargetsEnd(t *testing.T) {
	const (
		single = iota // the target broke the request's connection
		abandoned
	)

	s := startOf("t", 0)
	f := quarantine.FingerprintOf("ferry", []byte("f"))
	epoch := time.Unix(1000, 0)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	ends := func(ms int, basis string) func(d *crashDetector) {
		return func(d *crashDetector) { d.observeEnd(at(ms), s, basis) }
	}
	responds := func(sentMs int) func(d *crashDetector) {
		return func(d *crashDetector) { d.observeResponse(s, at(sentMs)) }
	}
	reported := func(ms int, boot string) func(d *crashDetector) {
		return func(d *crashDetector) { d.addReported(at(ms), quarantine.Crash{Target: "t", Boot: boot}) }
	}
	breaks := func(ms int) func(d *crashDetector) {
		return func(d *crashDetector) {
			d.add(at(ms), s, crashCandidate{fingerprint: quarantine.Fingerprint{byte(ms), byte(ms >> 8)}})
		}
	}

	tests := []struct {
		name   string
		broken int
		steps  []func(d *crashDetector)
		want   int
	}{
		{"no evidence", single, nil, 0},
		{"connection refused", single, []func(*crashDetector){ends(1, basisRefused)}, 1},
		{"dropped from the register", single, []func(*crashDetector){ends(4000, basisDropped)}, 1},
		{"replaced at its address", single, []func(*crashDetector){ends(4000, basisReplaced)}, 1},
		{"reported by another entry", single, []func(*crashDetector){reported(200, "t")}, 1},
		{"another start reported by another entry", single, []func(*crashDetector){reported(200, "7")}, 0},
		{"another request breaks at once", single, []func(*crashDetector){breaks(100)}, 1},
		{"another request breaks later", single, []func(*crashDetector){breaks(400)}, 0},
		{"response to a later request", single, []func(*crashDetector){responds(10), ends(4000, basisDropped)}, 0},
		{"response to an earlier request", single, []func(*crashDetector){responds(-10), ends(4000, basisDropped)}, 1},
		{"end long after", single, []func(*crashDetector){ends(11_000, basisDropped)}, 0},
		{"abandoned, connection refused", abandoned, []func(*crashDetector){ends(1, basisRefused)}, 1},
		{"abandoned, replaced at its address", abandoned, []func(*crashDetector){ends(4000, basisReplaced)}, 1},
		{"abandoned, dropped from the register as targets are that are cut off", abandoned, []func(*crashDetector){ends(4000, basisDropped)}, 0},
		{"abandoned, another request breaks at once", abandoned, []func(*crashDetector){breaks(100)}, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3})
			d := newCrashDetector(crashDetectorConfig{Requests: tracker, Parts: newParts(), Log: logr.Discard()})

			if tt.broken == single {
				d.add(at(0), s, crashCandidate{fingerprint: f})
			} else {
				d.addAbandoned(at(0), s, crashCandidate{fingerprint: f})
			}

			for _, step := range tt.steps {
				step(d)
			}

			if got := tracker.CrashCount(at(12_000), f); got != tt.want {
				t.Errorf("got %d ends counted, want %d", got, tt.want)
			}
		})
	}
}

// Guards against a target that restarts under its id, and whose second end is taken for the first.
func TestEachStartOfATargetCounts(t *testing.T) {
	tracker := quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3})
	d := newCrashDetector(crashDetectorConfig{Requests: tracker, Parts: newParts(), Log: logr.Discard()})
	f := quarantine.FingerprintOf("ferry", []byte("f"))
	now := time.Unix(1000, 0)

	for i := range 3 {
		if _, err := tracker.Check(now, f); err != nil {
			t.Fatalf("after %d ends: got the request quarantined", i)
		}

		s := startOf("t", int64(1000+i))
		d.add(now, s, crashCandidate{fingerprint: f})
		d.observeEnd(now, s, basisRefused)
	}

	if _, err := tracker.Check(now, f); err == nil {
		t.Error("got the request accepted after three starts have ended under it, want it quarantined")
	}
}

// Guards against a request that is quarantined because connections break, while its targets live.
func TestBrokenConnectionsOfLiveTargetsDoNotCount(t *testing.T) {
	reset := func(c net.Conn, _ *http.Request) bool {
		_ = c.(*net.TCPConn).SetLinger(0)

		return false
	}

	engines := make([]*fakeEngine, 5)
	for i := range engines {
		engines[i] = newFakeEngine(t, strconv.Itoa(i), reset)
	}

	fleet := newEntryFleet(t, 2, engines...)

	for i := range 10 {
		if got := fleet[i%2].request(t, http.MethodPost, "/once/1", "x", "Id", strconv.Itoa(i)); got.status == http.StatusUnprocessableEntity {
			t.Fatalf("request %d: got it quarantined, want it sent", i)
		}
	}
}

// Guards against a prompt that goes on waiting for an engine after it was quarantined, and is then sent.
func TestWaitingPromptIsRefusedOnceQuarantined(t *testing.T) {
	tests := []struct {
		name     string
		slowdown int
		waiting  func(env *contendedEnv) int
	}{
		{"in the admission queue", 150, (*contendedEnv).waiting},
		{"in the queue of a service without contention", 0, func(env *contendedEnv) int { return len(env.gateway.waitQueue.waiting) }},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			env := newContendedEnv(t)
			if tt.slowdown == 0 {
				e := newFakeEngine(t, "a", respond(streamHead+events(1, 2)+streamEnd))
				env = &contendedEnv{newTestEnv(t, e), e}
				env.report(pulse.Report{UsedTokens: allTokens})
			}

			path := "/review/1"
			if tt.slowdown == 0 {
				path = "/llm/1"
			}

			replies := make(chan reply, 2)

			for _, body := range []string{"other", crashingBody} {
				go func() { replies <- env.request(t, http.MethodPost, path, body, "Tokens", "30000", "Id", body) }()
			}

			await(t, "waiting", func() int { return tt.waiting(env) }, 2)

			q := quarantine.Request{Organisation: "ferry", Service: "desk", Method: http.MethodPost, Target: path, Body: []byte(crashingBody)}
			f := q.Fingerprint()

			for _, id := range []string{"t1", "t2", "t3"} {
				env.gateway.AddReportedCrash(time.Now(), quarantine.Crash{Target: id, Boot: id, Running: []quarantine.Fingerprint{f}})
			}

			if got := <-replies; got.status != http.StatusUnprocessableEntity {
				t.Errorf("got status %d first, want 422", got.status)
			}

			await(t, "waiting", func() int { return tt.waiting(env) }, 1)

			if got := env.engine.count(); got != 0 {
				t.Errorf("got %d requests at the engine, want none", got)
			}

			env.report(pulse.Report{UsedTokens: someTokens, Slowdown: tt.slowdown})

			if got := <-replies; got.status != http.StatusOK {
				t.Errorf("got status %d for the other prompt, want 200", got.status)
			}
		})
	}
}
