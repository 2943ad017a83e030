package gateway

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"boragehub/mirror"
	"boragehub/roster"
	"boragehub/vault"
)

func TestPromptsUseTheirScopeAndVersion(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)

	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000", "Key", "k2")

	first, second := e.arrival(0).Header, e.arrival(1).Header
	if first.Get("Version") != "1" || first.Get("Salt") == "" || first.Get("Salt") == second.Get("Salt") {
		t.Errorf("got version %q, salts %q and %q", first.Get("Version"), first.Get("Salt"), second.Get("Salt"))
	}

	if got, want := first.Get("Save"), "vault:1,"; got != want {
		t.Errorf("got save to %q, want %q", got, want)
	}
}

func TestStoredPartIsFetchedOnlyWhileAllowed(t *testing.T) {
	e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)
	part := vault.Part{Salt: sharedScope.Salt(), ID: "shared"}
	env.vaults.ApplyEvents(time.Now(), "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: 105_000, Events: []vault.Event{{Held: vault.Held{Part: part, Tokens: 4990}, Added: true}}})

	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	env.versionsKnownAt = moment(time.Now().Add(-time.Minute)) // this process is cut off from the log
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	env.versionsKnownAt, env.registeredSince = moment(time.Now().Add(-10*time.Second)), time.Now().Add(-5*time.Second) // registered too late
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	env.registeredSince = time.Now().Add(-20 * time.Second) // a short outage of the log
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	env.gateway.VersionNamed(time.Now(), "m", 2, env.versionsKnownAt) // the outage was of this process alone
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	if got, want := e.arrival(0).Header.Get("Fetch"), "vault:1,"; got != want {
		t.Errorf("got fetch from %q, want %q", got, want)
	}

	if got := e.arrival(1).Header.Get("Fetch"); got != "" {
		t.Errorf("cut off: got fetch from %q, want none", got)
	}

	if got := e.arrival(2).Header.Get("Fetch"); got != "" {
		t.Errorf("registered too late: got fetch from %q, want none", got)
	}

	if got, want := e.arrival(3).Header.Get("Fetch"), "vault:1,"; got != want {
		t.Errorf("in an outage: got fetch from %q, want %q", got, want)
	}

	if got := e.arrival(4).Header.Get("Fetch"); got != "" {
		t.Errorf("replaced: got fetch from %q, want none", got)
	}
}

// An engine already has new weights and reports it. Guards against giving up on it: it gets the
// request again, with its actual version.
func TestEngineWithNewerWeightsGetsRequestAgain(t *testing.T) {
	e := newFakeEngine(t, "a", respond(newerVersion421), respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)

	got := env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")
	if got.status != 200 || e.count() != 2 || e.arrival(1).Header.Get("Version") != "2" {
		t.Errorf("got %d after %d requests at the engine", got.status, e.count())
	}
}

// hasVersion responds as an engine with a weight version: it refuses requests that expect another
// one, without reporting its own.
func hasVersion(version string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		if v := r.Header.Get("Version"); v != "0" && v != version {
			return respond("HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nContent-Length: 0\r\n\r\n")(c, r)
		}

		return respond(streamHead+events(1, 1)+streamEnd)(c, r)
	}
}

// Operators published new weights long ago, and one engine still has the old ones, as when its
// side process died. Guards against requests that begin there.
func TestEngineWithReplacedWeightsIsExcluded(t *testing.T) {
	a := newFakeEngine(t, "a", hasVersion("1"))
	env := newTestEnv(t, a)
	now := time.Now()
	env.gateway.VersionNamed(now.Add(-6*time.Second), "m", 2, moment(now.Add(-8*time.Second)))

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 {
		t.Errorf("after 6 s: got %d, want 200", got.status)
	}

	before := a.count()
	env.gateway.VersionNamed(now.Add(-6600*time.Millisecond), "m", 3, moment(now.Add(-9*time.Second)))

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 503 {
		t.Errorf("after 6.6 s: got %d, want 503", got.status)
	}

	for i := before; i < a.count(); i++ {
		if got := a.arrival(i).Header.Get("Version"); got != "3" {
			t.Errorf("got a request that expects version %q, want 3", got)
		}
	}

	b := newFakeEngine(t, "b", hasVersion("3"))
	env.roster.ObserveListing(now, roster.Listing{ID: "llmb", Service: "llm", Address: b.llmAddress, DataCentre: "east", Slots: 8, Versions: map[string]int64{"m": 3}})

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 || b.count() != 1 {
		t.Errorf("with an engine that has them: got %d, want 200", got.status)
	}
}

// An entry missed that the engines changed version: it was starting, and no process reported it.
// Guards against excluding those engines for good: the entry would never learn of the change and
// refuse everything while all others serve.
func TestOutdatedEnginesAreAskedForRequiredVersion(t *testing.T) {
	a := newFakeEngine(t, "a", hasVersion("2"))
	env := newTestEnv(t, a) // the roster has it with version 1
	now := time.Now()
	env.gateway.VersionNamed(now.Add(-time.Minute), "m", 2, moment(now.Add(-time.Minute)))

	if got := env.request(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}

	if got := a.arrival(0).Header; got.Get("Version") != "2" || !strings.Contains(got.Get("Salt"), "/2/") {
		t.Errorf("got version %q and salt %q, want those of 2", got.Get("Version"), got.Get("Salt"))
	}
}

// All entries were killed some seconds after new weights were published, and one engine can't load
// them. Restarted entries don't know when the weights were published. Guards against counting the
// time allowed from the entries' start: requests would begin on replaced weights long after they
// may.
func TestWeightsNamedBeforeTheStartAreRequiredSoon(t *testing.T) {
	env := newTestEnv(t, newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd)))
	start := time.Now()
	env.gateway.VersionNamed(start, "m", 2, mirror.Moment{})

	tests := []struct {
		after time.Duration
		want  int64
	}{
		{0, 0}, {2 * time.Second, 0}, {startupGrace - sendMargin, 2},
	}

	for _, tt := range tests {
		if got := env.gateway.requiredVersion(start.Add(tt.after), "m"); got != tt.want {
			t.Errorf("after %v: got version %d required, want %d", tt.after, got, tt.want)
		}
	}
}

// Guards against logs that don't tell why a part was fetched that its store freed meanwhile.
func TestGrantOfAFetchIsLogged(t *testing.T) {
	var lines []string

	e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
	env := newTestEnv(t, e)
	env.gateway.cfg.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 10})
	part := vault.Part{Salt: sharedScope.Salt(), ID: "shared"}
	env.vaults.ApplyEvents(time.Now(), "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: 105_000, Events: []vault.Event{{Held: vault.Held{Part: part, Tokens: 4990}, Added: true}}})
	env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

	sent := slices.IndexFunc(lines, func(line string) bool { return strings.Contains(line, `"fetches"=true`) })
	if sent < 0 {
		t.Fatalf("got %q, want a fetch", lines)
	}

	for _, want := range []string{`"fetch"="shared@vault:1"`, `"fetch_until"=107`, `"clock"=105`, `"clock_age_ms"=`, `"newest"=true`, `"newest_age_ms"=`, `"registered"=`} {
		if !strings.Contains(lines[sent], want) {
			t.Errorf("got %q, want %s in it", lines[sent], want)
		}
	}
}

// Guards against a fetch that is granted after its entry's VM was suspended, by what the entry knew before:
// others have freed the part by then. The local clock of a suspended VM stands still, the engines' goes on.
func TestRightToFetchEndsWhileItsEntryIsSuspended(t *testing.T) {
	tests := []struct {
		name      string
		suspended time.Duration
		want      string // where the part is fetched from
	}{
		{"short", time.Second, "vault:1,"},
		{"beyond the right", 20 * time.Second, ""},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newFakeEngine(t, "a", respond(streamHead+events(1, 1)+streamEnd))
			env := newTestEnv(t, e)
			now := time.Now()
			part := vault.Part{Salt: sharedScope.Salt(), ID: "shared"}
			added := []vault.Event{{Held: vault.Held{Part: part, Tokens: 4990}, Added: true}}

			env.vaults.ApplyEvents(now, "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: 105_000, Events: added})
			env.versionsKnownAt = mirror.Moment{Local: now, Shared: 105_000}
			env.registeredSince = now.Add(-time.Minute)

			resumed := 105_000 + tt.suspended.Milliseconds()
			for i := range int64(2) { // the second report confirms the first
				env.vaults.ApplyEvents(now, "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: resumed + i})
			}

			env.request(t, "POST", "/llm/1", "x", "Tokens", "5000")

			if got := e.arrival(0).Header.Get("Fetch"); got != tt.want {
				t.Errorf("got fetch from %q, want %q", got, tt.want)
			}
		})
	}
}
