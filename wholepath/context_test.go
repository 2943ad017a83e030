package wholepath

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"boragehub/directory"
	"boragehub/message"
	"boragehub/organisation"
	"boragehub/peer"
	"boragehub/prompt"
	"boragehub/standin/engine"
)

// longContext is long enough to be copied to a store: 1,600 tokens.
var longContext = strings.Repeat("exhibit 12, page 7: the records of the registry. ", 131)[:6400]

// responseTokens is the length of each response in tokens.
const responseTokens = 8

// minCachedTokens is the number of tokens of longContext that must be cached on a hit.
const minCachedTokens = 1500

// slowPrefill makes prefill so slow that importing a copy takes less time than
// recomputing the context.
func slowPrefill(_ int, cfg *engine.Config) { cfg.PrefillTokensPerSecond = 20_000 }

// holdings returns where, according to entry 1, parts of a prompt's context are held.
func (e *testEnv) holdings(owner, text string) []message.Holding {
	e.t.Helper()

	n := e.entries[0]
	scope := prompt.Scope{Salt: "organisation/" + owner, Model: model, Version: "v1"}

	m, err := n.process.dialer.Call(e.t.Context(), peer.Address{VM: "entry-1", Addr: n.process.server.Addr()}, message.Locate{
		Anchor: directory.Anchor(scope, text[:min(len(text), 1024)]),
		Chain:  scope.Chain(text, prompt.DefaultBlockTokens),
	})
	if err != nil {
		e.t.Fatal(err)
	}

	located, err := message.Expect[message.Located](m)
	if err != nil {
		e.t.Fatal(err)
	}

	return located.Holdings
}

// waitForCopy waits until a store holds a copy of a context and returns the copy's id.
func (e *testEnv) waitForCopy(owner, text string) string {
	e.t.Helper()

	id := ""

	e.eventually("no copy was stored", func() bool {
		for _, h := range e.holdings(owner, text) {
			if h.Store {
				id = h.Copy
			}
		}

		return id != ""
	})

	return id
}

// storeObject reads, writes or deletes an object of store 1 and returns the response body.
func (e *testEnv) storeObject(method, id string, body []byte) []byte {
	e.t.Helper()

	r, err := http.NewRequestWithContext(e.t.Context(), method, "http://"+e.stores[0].addr+"/objects/"+id, bytes.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		e.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode >= http.StatusMultipleChoices {
		e.t.Fatalf("%s %s: got %d, %v", method, id, resp.StatusCode, err)
	}

	return b
}

// eventCursor records up to which cache event a side process has read.
type eventCursor struct {
	after atomic.Uint64
}

// wrap returns a handler that records the cursor of each poll of the engine's cache
// events.
func (c *eventCursor) wrap(_ int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/events" {
			n, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
			c.after.Store(n)
		}

		h.ServeHTTP(w, r)
	})
}

// evictCache evicts the cache of engine 1 and waits until its side process has read
// the events.
func (e *testEnv) evictCache(c *eventCursor) {
	e.t.Helper()
	e.setFaults(e.engines[0].addr, map[string]any{"evict_all": true})

	seq := e.engines[0].engine.LastEventSeq()
	e.eventually("the side process has not read the eviction events", func() bool { return c.after.Load() >= seq })
}

// checkResponse completes text as the organisation with this key, checks the response and
// returns it.
func (e *testEnv) checkResponse(key, text string) string {
	e.t.Helper()

	got, err := e.entries[0].complete(e.t.Context(), key, text, responseTokens)
	if want := engine.CompletionText(text, responseTokens); got != want || err != nil {
		e.t.Errorf("got %q, %v, want %q", got, err, want)
	}

	return got
}

// lastRun returns the latest run at engine 1.
func (e *testEnv) lastRun() engine.Run {
	runs := e.engines[0].engine.Runs()

	return runs[len(runs)-1]
}

// A context is used again after the engine has evicted it, and its copy in the store
// is intact, truncated, corrupted, missing or one of another context. A response
// computed from wrong blocks cannot be told from a right one, so a damaged copy must
// count as a miss and the context be recomputed.
func TestDamagedCopyIsAMiss(t *testing.T) {
	cases := []struct {
		name   string
		damage func(env *testEnv, id string)
		miss   bool
	}{
		{"intact", func(*testEnv, string) {}, false},
		{"truncated", func(env *testEnv, _ string) { env.setFaults(env.stores[0].addr, map[string]any{"cut_bytes": 100_000}) }, true},
		{"truncated to one byte", func(env *testEnv, _ string) { env.setFaults(env.stores[0].addr, map[string]any{"cut_bytes": 1}) }, true},
		{"one bit flipped", func(env *testEnv, _ string) { env.setFaults(env.stores[0].addr, map[string]any{"flip": true}) }, true},
		{"deleted", func(env *testEnv, id string) { env.storeObject(http.MethodDelete, id, nil) }, true},
		{"second half zeroed", func(env *testEnv, id string) {
			b := env.storeObject(http.MethodGet, id, nil)
			env.storeObject(http.MethodPut, id, append(b[:len(b)/2], make([]byte, len(b)-len(b)/2)...))
		}, true},
		{"replaced by the copy of another context", func(env *testEnv, id string) {
			other := strings.ToUpper(longContext)
			env.checkResponse(deskKey, other)
			env.storeObject(http.MethodPut, id, env.storeObject(http.MethodGet, env.waitForCopy("desk-agents", other), nil))
		}, true},
		{"replaced by the copy of another organisation", func(env *testEnv, id string) {
			env.checkResponse(bureauKey, longContext)
			env.storeObject(http.MethodPut, id, env.storeObject(http.MethodGet, env.waitForCopy("bureau", longContext), nil))
		}, true},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cursor := &eventCursor{}
			env := start(t, envConfig{engines: 1, stores: 1, configureEngine: slowPrefill, wrapEngine: cursor.wrap})
			followUp := longContext + env.checkResponse(deskKey, longContext) + " and the appendix?"

			c.damage(env, env.waitForCopy("desk-agents", longContext))
			env.evictCache(cursor)
			env.checkResponse(deskKey, followUp)

			got := env.lastRun().CachedTokens
			if c.miss && got != 0 || !c.miss && got < minCachedTokens {
				t.Errorf("got %d cached tokens, want miss %v", got, c.miss)
			}

			if got := env.logs.count(`"copy_imported"`); (got == 0) != c.miss {
				t.Errorf("got %d imports, want miss %v", got, c.miss)
			}
		})
	}
}

// Two organisations send the same text. If the second one's prefill used cached blocks of
// the first, its response time would reveal what others have asked. Each copy in a store
// belongs to one organisation as well.
func TestOrganisationsShareNoContext(t *testing.T) {
	env := start(t, envConfig{engines: 1, stores: 1, configureEngine: slowPrefill})

	for _, o := range []struct{ name, key string }{{"desk-agents", deskKey}, {"bureau", bureauKey}} {
		env.checkResponse(o.key, longContext)

		if got, want := env.lastRun().CachedTokens, 0; got != want {
			t.Errorf("%s first: got %d cached tokens, want %d", o.name, got, want)
		}

		env.checkResponse(o.key, longContext)

		if got, want := env.lastRun().CachedTokens, minCachedTokens; got < want {
			t.Errorf("%s again: got %d cached tokens, want %d", o.name, got, want)
		}
	}

	if got, other := env.waitForCopy("desk-agents", longContext), env.waitForCopy("bureau", longContext); got == other {
		t.Errorf("got copy %s for both organisations, want two copies", got)
	}

	salts := map[string]bool{}
	for _, r := range env.engines[0].engine.Runs() {
		salts[r.CacheSalt] = true
	}

	if got, want := len(salts), 2; got != want {
		t.Errorf("got salts %v, want %d", salts, want)
	}
}

// An operator rotates an organisation's key while a response is streaming. A request in
// flight must complete with its own response; later requests with the old key must be
// refused.
func TestKeyRotatedMidRequest(t *testing.T) {
	const tokens, newKey = 40, "key-of-the-desk-agents-2"

	env := start(t, envConfig{engines: 1, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 40 }})
	result := make(chan error, 1)

	go func() {
		got, err := env.entries[0].stream(t.Context(), deskKey, "a long itinerary", tokens)
		if want := engine.CompletionText("a long itinerary", tokens); err == nil && got != want {
			err = fmt.Errorf("got %q, want %q", got, want)
		}

		result <- err
	}()

	env.eventually("the run never started", func() bool { return env.engines[0].engine.Running() == 1 })
	env.publish(env.settingsVersion(), strings.ReplaceAll(settings(), organisation.HashKey(deskKey), organisation.HashKey(newKey)))
	env.eventually("the new key is not accepted", func() bool {
		return env.request(env.entries[0], "GET", "/v1/models", "", "Authorization", "Bearer "+newKey).status == http.StatusOK
	})

	if got, want := env.request(env.entries[0], "GET", "/v1/models", "", "Authorization", "Bearer "+deskKey).status, http.StatusUnauthorized; got != want {
		t.Errorf("old key: got %d, want %d", got, want)
	}

	if err := <-result; err != nil {
		t.Errorf("request in flight: %v", err)
	}
}

// settingsVersion returns the version of the settings in force at entry 1.
func (e *testEnv) settingsVersion() uint64 {
	return e.entries[0].process.settings.Current().Version()
}
