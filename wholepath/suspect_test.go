package wholepath

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"boragehub/message"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/standin/engine"
)

// startSuspectRun starts a run at a target as an entry does for a suspect, that is, a
// request that was running on a target when it crashed.
func (e *testEnv) startSuspectRun(t *target, f quarantine.Fingerprint, text string) *peer.Stream {
	e.t.Helper()

	s, err := e.entries[0].process.dialer.Open(e.t.Context(), peer.Address{VM: t.vm, Addr: t.process.server.Addr()})
	if err != nil {
		e.t.Fatal(err)
	}

	e.t.Cleanup(s.Close)

	err = s.Send(message.Run{
		RequestID: text, Organisation: "desk-agents", Fingerprint: f, Suspect: true, Model: model, Version: "v1",
		Prompt: text, MaxTokens: 1000, TimeoutMS: waitTimeout.Milliseconds(),
	})
	if err != nil {
		e.t.Fatal(err)
	}

	return s
}

// inFlight returns how many requests the side process of a target counts as running or
// waiting.
func (e *testEnv) inFlight(t *target) int {
	e.t.Helper()

	m, err := e.entries[0].process.dialer.Call(e.t.Context(), peer.Address{VM: t.vm, Addr: t.process.server.Addr()}, message.StateRequest{})
	if err != nil {
		e.t.Fatal(err)
	}

	s, err := message.Expect[message.State](m)
	if err != nil {
		e.t.Fatal(err)
	}

	return s.Load.Running + s.Load.Waiting
}

// Two requests are suspects, and one of them waits until the other has left the
// engine. The engine crashes on the other one. If the waiting one, which never
// reached the engine, were reported as running too, it would count as the cause of
// two crashes and be quarantined for another caller's request.
func TestWaitingSuspectIsNotReportedInCrash(t *testing.T) {
	// maxPolls bounds the polls for the second run to be counted by the side process.
	const maxPolls = 300

	env := start(t, envConfig{engines: 1, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 50 }})
	crashing, waiting := quarantine.FingerprintOf("desk-agents", []byte("guilty")), quarantine.FingerprintOf("desk-agents", []byte("waiting"))
	crashingRun := env.startSuspectRun(env.engines[0], crashing, "guilty")

	env.eventually("the first run never started", func() bool { return env.engines[0].engine.Running() == 1 })
	env.startSuspectRun(env.engines[0], waiting, "waiting")

	for range maxPolls {
		if env.inFlight(env.engines[0]) > 1 {
			break
		}
	}

	env.engines[0].engine.Abort()

	for {
		m, err := crashingRun.Receive()
		if err != nil {
			t.Fatalf("got %v, want a report of the crash", err)
		}

		if c, ok := m.(message.CrashReport); ok {
			if got, want := c.Crash.Running, []quarantine.Fingerprint{crashing}; !slices.Equal(got, want) {
				t.Errorf("got %x reported as running, want %x", got, want)
			}

			return
		}
	}
}

// An engine is stopped gracefully and closes its idle connections, just as the side process
// sends the next run on one of them. The engine has read nothing of the run. If the run
// counted as running in a crash, it would be quarantined after a second engine, as in a
// rolling restart, and every caller who sends the same request would be refused.
func TestEngineStopCreatesNoSuspects(t *testing.T) {
	const callers = 20

	var (
		mu        sync.Mutex
		usedConns = map[string]bool{}
	)

	// closeOnReuse closes engine 1's server when a second run arrives on one connection:
	// that connection breaks, and new ones are refused.
	closeOnReuse := func(i int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if i == 0 && r.URL.Path == "/v1/completions" {
				mu.Lock()
				reused := usedConns[r.RemoteAddr]
				usedConns[r.RemoteAddr] = true
				mu.Unlock()

				if reused {
					_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close()

					panic(http.ErrAbortHandler)
				}
			}

			h.ServeHTTP(w, r)
		})
	}
	env := start(t, envConfig{engines: 2, entries: 1, wrapEngine: closeOnReuse})

	for i := range callers {
		env.checkCompletion(env.entries[0], fmt.Sprintf("rider %d", i))
	}

	if got := env.logs.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}

// An engine is stopped gracefully while long responses are streaming and clients keep sending
// requests. The responses are completed after the port has been closed, and requests that
// have just arrived are dropped without a response. None of them crashed the engine; if they
// counted as suspects, they would wait for each other on the remaining engines.
func TestEngineStopUnderLoadCreatesNoSuspects(t *testing.T) {
	const streams, tokens, callers = 8, 300, 24

	env := start(t, envConfig{engines: 2, entries: 2, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})

	var streaming sync.WaitGroup

	for i := range streams {
		streaming.Go(func() {
			prompt := fmt.Sprintf("reader %d", i)

			got, err := env.entries[i%2].stream(t.Context(), deskKey, prompt, tokens)
			if want := engine.CompletionText(prompt, tokens); got != want || err != nil {
				t.Errorf("%s: got %q, %v, want %q", prompt, got, err, want)
			}
		})
	}

	env.eventually("the stopping engine has no request", func() bool { return env.engines[0].engine.Running() > 0 })

	var load loadGenerator

	for i := range callers {
		load.addClient(func(j int) {
			if err := env.entries[i%2].streamWithRetries(t.Context(), fmt.Sprintf("rider %d asks for the %d. time", i, j), 4); err != nil {
				t.Errorf("client %d: %v", i, err)
			}
		})
	}

	load.runDuring(env.engines[0].stop)
	streaming.Wait()

	if got := env.logs.count("request_suspect"); got != 0 {
		t.Errorf("got %d suspects, want none", got)
	}
}
