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

// caseFile is a context that is worth a copy: 1,600 tokens.
var caseFile = strings.Repeat("exhibit 12, page 7: the records of the registry. ", 131)[:6400]

// firstQuestion is the length of the first answer in tokens.
const firstQuestion = 8

// cachedAtLeast is how many tokens of the context a copy must bring at least.
const cachedAtLeast = 1500

// atHand is an engine at which recomputing the context takes a while.
func atHand(_ int, cfg *engine.Config) { cfg.PrefillTokensPerSecond = 20_000 }

// holdings asks entry 1 what is believed to hold a prompt's context.
func (w *world) holdings(owner, text string) []message.Holding {
	w.t.Helper()

	e := w.entries[0]
	scope := prompt.Scope{Salt: "organisation/" + owner, Model: model, Version: "v1"}

	m, err := e.process.dialer.Ask(w.t.Context(), peer.Address{VM: "entry-1", Addr: e.process.server.Addr()}, message.Locate{
		Anchor: directory.Anchor(scope, text[:min(len(text), 1024)]),
		Chain:  scope.Chain(text, prompt.DefaultBlockTokens),
	})
	if err != nil {
		w.t.Fatal(err)
	}

	located, err := message.Expect[message.Located](m)
	if err != nil {
		w.t.Fatal(err)
	}

	return located.Holdings
}

// copyOf waits until a context has a copy in a store and returns the copy's id.
func (w *world) copyOf(owner, text string) string {
	w.t.Helper()

	id := ""

	w.eventually("the context was never parked", func() bool {
		for _, h := range w.holdings(owner, text) {
			if h.Store {
				id = h.Copy
			}
		}

		return id != ""
	})

	return id
}

// object reads or writes an object of store 1.
func (w *world) object(method, id string, body []byte) []byte {
	w.t.Helper()

	r, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+w.stores[0].addr+"/objects/"+id, bytes.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}

	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()

	b, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode >= http.StatusMultipleChoices {
		w.t.Fatalf("%s %s: got %d, %v", method, id, answer.StatusCode, err)
	}

	return b
}

// follower notes up to which cache event a side process has read.
type follower struct {
	after atomic.Uint64
}

// before stands before an engine.
func (f *follower) before(_ int, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/events" {
			n, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
			f.after.Store(n)
		}

		h.ServeHTTP(w, r)
	})
}

// evict drops the cache of engine 1 and waits until its side process knows.
func (w *world) evict(f *follower) {
	w.t.Helper()
	w.fault(w.engines[0].addr, map[string]any{"evict_all": true})

	seq := w.engines[0].engine.Seq()
	w.eventually("the side process does not know of the loss", func() bool { return f.after.Load() >= seq })
}

// ask asks one question about a text as an organisation and checks the answer.
func (w *world) question(key, text string) string {
	w.t.Helper()

	got, err := w.entries[0].complete(w.t.Context(), key, text, firstQuestion)
	if want := engine.Answer(text, firstQuestion); got != want || err != nil {
		w.t.Errorf("got %q, %v, want %q", got, err, want)
	}

	return got
}

// lastRun returns the run that began last at engine 1.
func (w *world) lastRun() engine.Run {
	runs := w.engines[0].engine.Runs()

	return runs[len(runs)-1]
}

// A case file returns after the engine has dropped it, and its copy in the store
// is whole, cut, altered, gone or somebody else's. Reading a damaged block gives
// a wrong determination that nobody can tell from a right one; the copy must be
// a miss, and the answer the one that a recomputed context gives.
func TestDamagedCopyIsAMiss(t *testing.T) {
	cases := []struct {
		name   string
		damage func(w *world, id string)
		miss   bool
	}{
		{"whole", func(*world, string) {}, false},
		{"cut", func(w *world, _ string) { w.fault(w.stores[0].addr, map[string]any{"cut_bytes": 100_000}) }, true},
		{"cut to nothing", func(w *world, _ string) { w.fault(w.stores[0].addr, map[string]any{"cut_bytes": 1}) }, true},
		{"altered", func(w *world, _ string) { w.fault(w.stores[0].addr, map[string]any{"flip": true}) }, true},
		{"gone", func(w *world, id string) { w.object(http.MethodDelete, id, nil) }, true},
		{"half written", func(w *world, id string) {
			b := w.object(http.MethodGet, id, nil)
			w.object(http.MethodPut, id, append(b[:len(b)/2], make([]byte, len(b)-len(b)/2)...))
		}, true},
		{"another context under its id", func(w *world, id string) {
			other := strings.ToUpper(caseFile)
			w.question(desk, other)
			w.object(http.MethodPut, id, w.object(http.MethodGet, w.copyOf("desk-agents", other), nil))
		}, true},
		{"another organisation's under its id", func(w *world, id string) {
			w.question(bureau, caseFile)
			w.object(http.MethodPut, id, w.object(http.MethodGet, w.copyOf("bureau", caseFile), nil))
		}, true},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &follower{}
			w := start(t, shape{engines: 1, stores: 1, engine: atHand, meddle: f.before})
			returning := caseFile + w.question(desk, caseFile) + " and the appendix?"

			c.damage(w, w.copyOf("desk-agents", caseFile))
			w.evict(f)
			w.question(desk, returning)

			got := w.lastRun().CachedTokens
			if c.miss && got != 0 || !c.miss && got < cachedAtLeast {
				t.Errorf("got %d cached tokens, want a miss %v", got, c.miss)
			}

			if got := w.lines.count(`"copy_imported"`); (got == 0) != c.miss {
				t.Errorf("got %d imports, want a miss %v", got, c.miss)
			}
		})
	}
}

// Two organisations send the same text. If the second were answered from blocks
// of the first, how fast its answer comes would tell what others have asked; and
// each copy in a store belongs to one of them.
func TestOrganisationsShareNoContext(t *testing.T) {
	w := start(t, shape{engines: 1, stores: 1, engine: atHand})

	for _, o := range []struct{ name, key string }{{"desk-agents", desk}, {"bureau", bureau}} {
		w.question(o.key, caseFile)

		if got, want := w.lastRun().CachedTokens, 0; got != want {
			t.Errorf("%s first: got %d cached tokens, want %d", o.name, got, want)
		}

		w.question(o.key, caseFile)

		if got, want := w.lastRun().CachedTokens, cachedAtLeast; got < want {
			t.Errorf("%s again: got %d cached tokens, want %d", o.name, got, want)
		}
	}

	if got, other := w.copyOf("desk-agents", caseFile), w.copyOf("bureau", caseFile); got == other {
		t.Errorf("got the same copy %s for both", got)
	}

	salts := map[string]bool{}
	for _, r := range w.engines[0].engine.Runs() {
		salts[r.CacheSalt] = true
	}

	if got, want := len(salts), 2; got != want {
		t.Errorf("got salts %v, want %d", salts, want)
	}
}

// An operator rotates an organisation's key, even to one that another one had,
// while its answers are streaming. What runs goes on to its end; what comes later
// under the old key is refused, and no answer goes to whom it isn't for.
func TestKeyRotatedMidRequest(t *testing.T) {
	const tokens, newKey = 40, "key-of-the-desk-agents-2"

	w := start(t, shape{engines: 1, engine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 40 }})
	ended := make(chan error, 1)

	go func() {
		got, err := w.entries[0].stream(t.Context(), desk, "a long itinerary", tokens)
		if want := engine.Answer("a long itinerary", tokens); err == nil && got != want {
			err = fmt.Errorf("got %q, want %q", got, want)
		}

		ended <- err
	}()

	w.eventually("the run never began", func() bool { return w.engines[0].engine.Running() == 1 })
	w.publish(w.version(), strings.ReplaceAll(settings(), organisation.HashKey(desk), organisation.HashKey(newKey)))
	w.eventually("the new key is not in force", func() bool {
		return w.ask(w.entries[0], "GET", "/v1/models", "", "Authorization", "Bearer "+newKey).status == http.StatusOK
	})

	if got, want := w.ask(w.entries[0], "GET", "/v1/models", "", "Authorization", "Bearer "+desk).status, http.StatusUnauthorized; got != want {
		t.Errorf("old key: got %d, want %d", got, want)
	}

	if err := <-ended; err != nil {
		t.Errorf("what was running: %v", err)
	}
}

// version returns the settings' version in force at entry 1.
func (w *world) version() uint64 {
	return w.entries[0].process.settings.Current().Version()
}
