package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"boragehub/roster"
	"boragehub/vault"
)

func TestPromptsUseTheirScopeAndVersion(t *testing.T) {
	e := newEngine(t, "a", answers(streamTop+events(1, 1)+streamEnd))
	w := open(t, e)

	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")
	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000", "Key", "k2")

	first, second := e.arrival(0).Header, e.arrival(1).Header
	if first.Get("Version") != "1" || first.Get("Salt") == "" || first.Get("Salt") == second.Get("Salt") {
		t.Errorf("got version %q, salts %q and %q", first.Get("Version"), first.Get("Salt"), second.Get("Salt"))
	}

	if got, want := first.Get("Save"), "vault:1,"; got != want {
		t.Errorf("got it saved in %q, want %q", got, want)
	}
}

func TestKeptContextIsFetchedWhileThatIsRight(t *testing.T) {
	e := newEngine(t, "a", answers(streamTop+events(1, 1)+streamEnd))
	w := open(t, e)
	part := vault.Part{Salt: vault.Scope{Model: "m", Version: 1}.Salt(), ID: "shared"}
	w.vaults.Follow(time.Now(), "vault:1", vault.Events{Epoch: 1, Next: 1, Clock: 5000, Events: []vault.Event{{Held: vault.Held{Part: part, Tokens: 4990}, Added: true}}})

	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")

	w.seen = time.Now().Add(-time.Minute) // this process is cut off from the log
	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")

	w.seen, w.listed = time.Now().Add(-10*time.Second), time.Now().Add(-5*time.Second) // registered too late
	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")

	w.listed = time.Now().Add(-20 * time.Second) // a short outage of the log
	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")

	w.gateway.Named(time.Now(), "m", 2, w.seen) // it was an outage for this process alone
	w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")

	if got, want := e.arrival(0).Header.Get("Fetch"), "vault:1,"; got != want {
		t.Errorf("got it fetched from %q, want %q", got, want)
	}

	if got := e.arrival(1).Header.Get("Fetch"); got != "" {
		t.Errorf("cut off: got it fetched from %q, want nowhere", got)
	}

	if got := e.arrival(2).Header.Get("Fetch"); got != "" {
		t.Errorf("registered since: got it fetched from %q, want nowhere", got)
	}

	if got, want := e.arrival(3).Header.Get("Fetch"), "vault:1,"; got != want {
		t.Errorf("in an outage: got it fetched from %q, want %q", got, want)
	}

	if got := e.arrival(4).Header.Get("Fetch"); got != "" {
		t.Errorf("replaced: got it fetched from %q, want nowhere", got)
	}
}

// An engine has new weights already and says so. The same engine gets the request
// again, now with the version that it has.
func TestEngineWithNewerWeightsIsBelieved(t *testing.T) {
	e := newEngine(t, "a", answers(newer421), answers(streamTop+events(1, 1)+streamEnd))
	w := open(t, e)

	got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "5000")
	if got.status != 200 || e.count() != 2 || e.arrival(1).Header.Get("Version") != "2" {
		t.Errorf("got %d after %d arrivals", got.status, e.count())
	}
}

// hasVersion answers as an engine with a weight version: it refuses requests that
// expect another one, without telling its own.
func hasVersion(version string) behaviour {
	return func(c net.Conn, r *http.Request) bool {
		if v := r.Header.Get("Version"); v != "0" && v != version {
			return answers("HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nContent-Length: 0\r\n\r\n")(c, r)
		}

		return answers(streamTop+events(1, 1)+streamEnd)(c, r)
	}
}

// Operators named new weights long ago, and one engine still has the old ones, as
// when its side process died. No request may begin there any more.
func TestEngineWithReplacedWeightsIsLeftOutInTime(t *testing.T) {
	a := newEngine(t, "a", hasVersion("1"))
	w := open(t, a)
	now := time.Now()
	w.gateway.Named(now.Add(-6*time.Second), "m", 2, now.Add(-8*time.Second))

	if got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 {
		t.Errorf("after 6 s: got %d, want 200", got.status)
	}

	before := a.count()
	w.gateway.Named(now.Add(-6600*time.Millisecond), "m", 3, now.Add(-9*time.Second))

	if got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 503 {
		t.Errorf("after 6.6 s: got %d, want 503", got.status)
	}

	for i := before; i < a.count(); i++ {
		if got := a.arrival(i).Header.Get("Version"); got != "3" {
			t.Errorf("got a request that expects version %q, want 3", got)
		}
	}

	b := newEngine(t, "b", hasVersion("3"))
	w.roster.List(now, roster.Listing{ID: "llmb", Service: "llm", Address: b.llm, DataCentre: "east", Slots: 8, Versions: map[string]int64{"m": 3}})

	if got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 || b.count() != 1 {
		t.Errorf("with an engine that has them: got %d, want 200", got.status)
	}
}

// An entry missed that the engines changed over: it was started meanwhile, and
// nobody told it. Were they left out for good, it would never learn better, and
// would refuse everything while all others serve.
func TestEnginesBelievedOldAreAskedForTheNewWeights(t *testing.T) {
	a := newEngine(t, "a", hasVersion("2"))
	w := open(t, a) // which believes that it has version 1
	now := time.Now()
	w.gateway.Named(now.Add(-time.Minute), "m", 2, now.Add(-time.Minute))

	if got := w.ask(t, "POST", "/llm/1", "x", "Tokens", "500"); got.status != 200 {
		t.Errorf("got %d, want 200", got.status)
	}

	if got := a.arrival(0).Header; got.Get("Version") != "2" || !strings.Contains(got.Get("Salt"), "/2/") {
		t.Errorf("got version %q and salt %q, want those of 2", got.Get("Version"), got.Get("Salt"))
	}
}

// All entries were killed some seconds after new weights were named, and one engine
// can't load them. The entries that come back don't know when the weights were
// named; were the time allowed counted from their start, requests would begin on
// replaced weights long after they may.
func TestWeightsNamedBeforeTheStartAreRequiredSoon(t *testing.T) {
	w := open(t, newEngine(t, "a", answers(streamTop+events(1, 1)+streamEnd)))
	start := time.Now()
	w.gateway.Named(start, "m", 2, time.Time{})

	tests := []struct {
		after time.Duration
		want  int64
	}{
		{0, 0}, {2 * time.Second, 0}, {startGrace - versionMargin, 2},
	}

	for _, tt := range tests {
		if got := w.gateway.required(start.Add(tt.after), "m"); got != tt.want {
			t.Errorf("after %v: got version %d required, want %d", tt.after, got, tt.want)
		}
	}
}
