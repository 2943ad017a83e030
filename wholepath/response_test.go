package wholepath

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"boragehub/standin/engine"
)

// tamperFunc writes the chunks of an engine's response as they should reach the side
// process.
type tamperFunc func(w http.ResponseWriter, chunks [][]byte)

// tamperHandler passes the first completions of an engine through tamper and the others
// unchanged.
type tamperHandler struct {
	engine    http.Handler
	tamper    tamperFunc
	remaining atomic.Int32
}

// ServeHTTP implements http.Handler.
func (h *tamperHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" || h.remaining.Add(-1) < 0 {
		h.engine.ServeHTTP(w, r)
		return
	}

	recorded := &responseRecorder{header: http.Header{}}
	h.engine.ServeHTTP(recorded, r)

	if recorded.status != 0 && recorded.status != http.StatusOK {
		w.WriteHeader(recorded.status)
		_, _ = w.Write(recorded.Bytes())

		return
	}

	w.Header().Set("Content-Type", "text/event-stream")
	h.tamper(w, bytes.SplitAfter(recorded.Bytes(), []byte("\n\n")))
}

// responseRecorder buffers a response. Its status is 0 until WriteHeader is called.
type responseRecorder struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) { r.status = status }

// Flush implements http.Flusher.
func (r *responseRecorder) Flush() {}

// send writes and flushes each chunk.
func send(w http.ResponseWriter, chunks ...[]byte) {
	for _, c := range chunks {
		_, _ = w.Write(c)
		w.(http.Flusher).Flush()
	}
}

// abortAfter returns a tamperFunc that breaks the connection after n chunks.
func abortAfter(n int) tamperFunc {
	return func(w http.ResponseWriter, c [][]byte) {
		send(w, c[:min(n, len(c))]...)
		panic(http.ErrAbortHandler)
	}
}

// checkTamperedResponse sends a request without streaming and then one with streaming, and
// tampers with the first response of each engine to each request. It checks that the caller
// gets the complete text or an error.
func checkTamperedResponse(t *testing.T, tamper tamperFunc) {
	const tokens = 10

	var handlers [2]*tamperHandler

	env := start(t, envConfig{engines: 2, wrapEngine: func(i int, h http.Handler) http.Handler {
		handlers[i] = &tamperHandler{engine: h, tamper: tamper}
		return handlers[i]
	}})

	for _, variant := range []struct {
		name string
		call func(context.Context, string, string, int64) (string, error)
	}{{"whole", env.entries[0].complete}, {"stream", env.entries[0].stream}} {
		for _, h := range handlers {
			h.remaining.Store(1)
		}

		prompt := "fare rules, " + variant.name

		got, err := variant.call(t.Context(), deskKey, prompt, tokens)
		if want := engine.CompletionText(prompt, tokens); err == nil && got != want {
			t.Errorf("%s: got %q, want %q or an error", variant.name, got, want)
		}

		if handlers[0].remaining.Load() > 0 && handlers[1].remaining.Load() > 0 {
			t.Errorf("%s: no response was tampered with", variant.name)
		}
	}
}

// An engine's response is truncated on its way or cannot be parsed. The caller must get
// the complete response, from another engine if necessary, or an error. A part of it must
// never look like a complete one.
func TestTruncatedResponseIsNotTakenAsComplete(t *testing.T) {
	cases := []struct {
		name   string
		tamper tamperFunc
	}{
		{"before the first token", abortAfter(0)},
		{"after four chunks", abortAfter(4)},
		{"before [DONE]", abortAfter(10)},
		{"inside a chunk", func(w http.ResponseWriter, c [][]byte) { send(w, c[0][:20]); panic(http.ErrAbortHandler) }},
		{"body ends early without [DONE]", func(w http.ResponseWriter, c [][]byte) { send(w, c[:len(c)/2]...) }},
		{"[DONE] too early", func(w http.ResponseWriter, c [][]byte) { send(w, c[0], []byte("data: [DONE]\n\n")) }},
		{"invalid JSON", func(w http.ResponseWriter, c [][]byte) { send(w, c[0], []byte("data: {\n\n")); send(w, c[1:]...) }},
		{"error status", func(w http.ResponseWriter, _ [][]byte) { w.WriteHeader(http.StatusInternalServerError) }},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { checkTamperedResponse(t, c.tamper) })
	}
}

// An engine crashes in the middle of long responses. Each response has to be resumed at
// another engine from the token where it stopped, with no token duplicated or missing.
func TestResponsesResumeAfterEngineCrash(t *testing.T) {
	const callers, tokens, minChunks = 12, 60, 5

	env := start(t, envConfig{engines: 3, entries: 2, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})

	var (
		wg     sync.WaitGroup
		chunks [callers]atomic.Int32
	)

	for i := range callers {
		wg.Go(func() {
			prompt := fmt.Sprintf("rider %d asks at length", i)

			got, err := env.entries[i%2].streamWithCallback(t.Context(), deskKey, prompt, tokens, func() { chunks[i].Add(1) })
			if want := engine.CompletionText(prompt, tokens); got != want || err != nil {
				t.Errorf("request %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	env.eventually("not all responses have started", func() bool {
		for i := range chunks {
			if chunks[i].Load() < minChunks {
				return false
			}
		}

		return true
	})

	if env.engines[0].engine.Running() == 0 {
		t.Error("no request runs on engine-1")
	}

	env.engines[0].engine.Abort()
	wg.Wait()
}

// The open connections between a side process and its engine become unresponsive in the
// middle of responses: no data, no error, and new connections work. Each response has to
// be resumed; otherwise it would look like a slow one and its caller would wait for ever.
func TestResponsesResumeAfterUnresponsiveConnections(t *testing.T) {
	const callers, tokens, minChunks = 6, 60, 5

	env := start(t, envConfig{engines: 2, configureEngine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})

	// Retries are limited to a fifth of the first attempts plus three. Without these requests, the
	// limit would be lower than the number of responses that may be on the same engine.
	for i := range 20 {
		prompt := fmt.Sprintf("warm-up request %d", i)
		if _, err := env.entries[0].streamWithCallback(t.Context(), deskKey, prompt, 1, func() {}); err != nil {
			t.Fatal(err)
		}
	}

	var (
		wg     sync.WaitGroup
		chunks [callers]atomic.Int32
	)

	for i := range callers {
		wg.Go(func() {
			prompt := fmt.Sprintf("rider %d waits at the curb", i)

			got, err := env.entries[0].streamWithCallback(t.Context(), deskKey, prompt, tokens, func() { chunks[i].Add(1) })
			if want := engine.CompletionText(prompt, tokens); got != want || err != nil {
				t.Errorf("request %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	env.eventually("not all responses have started", func() bool {
		for i := range chunks {
			if chunks[i].Load() < minChunks {
				return false
			}
		}

		return true
	})
	env.setFaults(env.engines[0].addr, map[string]any{"silent": true})
	wg.Wait()
}
