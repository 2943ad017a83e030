package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"boragehub/pulse"
	"boragehub/roster"
	"boragehub/site"
)

// limitSlowStart limits each service's targets to ten requests a second for d after a start.
func (env *testEnv) limitSlowStart(d time.Duration) {
	p := published
	p.Version = 2
	p.Services = nil

	for _, s := range published.Services {
		s.SlowStart = site.SlowStart{Duration: d, RequestsPerSecond: 10}
		p.Services = append(p.Services, s)
	}

	env.gateway.Configure(site.New(p))
}

// markCold lists an engine's targets as cold for another d.
func (env *testEnv) markCold(e *fakeEngine, d time.Duration) {
	for service, address := range map[string]string{"s": e.address, "llm": e.llmAddress} {
		env.roster.ObserveListing(time.Now(), roster.Listing{
			ID: service + e.id, Service: service, Address: address, DataCentre: "east", Slots: 8,
			Versions: map[string]int64{"m": 1}, ColdFor: d,
		})
	}
}

// Guards against overrunning targets that return together: requests beyond their limit are refused
// without having run, and their callers get a time to retry.
func TestRequestsBeyondSlowStartLimitAreRefused(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)
	env.limitSlowStart(3 * time.Second)
	env.markCold(e, 3*time.Second)

	for _, path := range []string{"/idem/1", "/soon/1"} {
		r := env.request(t, "POST", path, "x", promptHeaders(path)...)

		after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		if r.status != http.StatusServiceUnavailable && r.status != http.StatusTooManyRequests {
			t.Errorf("%s: got %d, want a refusal", path, r.status)
		}

		if err != nil || after < 2 || after > 4 {
			t.Errorf("%s: got Retry-After %v s (%v), want about 3 s", path, after, err)
		}
	}

	if n := e.count(); n != 0 {
		t.Errorf("got %d requests at the target, want none", n)
	}
}

// promptHeaders returns the headers that turn a request for a path into a prompt.
func promptHeaders(path string) []string {
	if path == "/soon/1" {
		return []string{"Tokens", "100"}
	}

	return nil
}

// Guards against a cold engine that gets no requests at all.
func TestPermitsAdmitRequestsToColdEngine(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)
	env.limitSlowStart(3 * time.Second)
	env.markCold(e, 3*time.Second)
	env.roster.ObserveReport(time.Now(), pulse.Report{Engine: e.llmAddress, Model: "m", Version: 1, ColdMs: 3000, Permits: 2})

	for i, want := range []int{200, 200, 503} {
		r := env.request(t, "POST", "/soon/1", "x", "Tokens", "100", "Id", strconv.Itoa(i))
		if want == 200 && r.status != want || want != 200 && r.status == 200 {
			t.Errorf("request %d: got %d, want %d", i, r.status, want)
		}
	}
}

// Guards against new requests to an evacuated data centre, and against callers that wait until
// their deadline although no target is left.
func TestEvacuatedDataCentreIsRefusedAtOnce(t *testing.T) {
	e := newFakeEngine(t, "a", respond(ok200))
	env := newTestEnv(t, e)
	env.roster.Evacuate(time.Now(), "east", true)

	for _, path := range []string{"/once/1", "/idem/1", "/soon/1"} {
		r := env.request(t, "POST", path, "x", promptHeaders(path)...)
		if r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" {
			t.Errorf("%s: got %d, want a refusal with a Retry-After time", path, r.status)
		}
	}

	if n := e.count(); n != 0 {
		t.Errorf("got %d requests at the target, want none", n)
	}

	env.roster.Evacuate(time.Now(), "east", false)

	if r := env.request(t, "POST", "/once/1", "x"); r.status != http.StatusOK {
		t.Errorf("got %d after the end of the evacuation, want 200", r.status)
	}
}
