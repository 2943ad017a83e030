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

// meddling writes the pieces of an engine's answer as they reach the side process.
type meddling func(w http.ResponseWriter, chunks [][]byte)

// meddler lets the first completions through a meddling and the others as they are.
type meddler struct {
	engine http.Handler
	meddle meddling
	left   atomic.Int32
}

// ServeHTTP implements http.Handler.
func (m *meddler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/completions" || m.left.Add(-1) < 0 {
		m.engine.ServeHTTP(w, r)
		return
	}

	kept := &keeper{header: http.Header{}}
	m.engine.ServeHTTP(kept, r)

	if kept.status != 0 && kept.status != http.StatusOK {
		w.WriteHeader(kept.status)
		_, _ = w.Write(kept.Bytes())

		return
	}

	w.Header().Set("Content-Type", "text/event-stream")
	m.meddle(w, bytes.SplitAfter(kept.Bytes(), []byte("\n\n")))
}

// keeper keeps an answer.
type keeper struct {
	bytes.Buffer
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (k *keeper) Header() http.Header { return k.header }

// WriteHeader implements http.ResponseWriter.
func (k *keeper) WriteHeader(status int) { k.status = status }

// Flush implements http.Flusher.
func (k *keeper) Flush() {}

// pass writes chunks.
func pass(w http.ResponseWriter, chunks ...[]byte) {
	for _, c := range chunks {
		_, _ = w.Write(c)
		w.(http.Flusher).Flush()
	}
}

// cutShort is the way of an answer whose connection breaks after n pieces.
func cutShort(n int) meddling {
	return func(w http.ResponseWriter, c [][]byte) {
		pass(w, c[:min(n, len(c))]...)
		panic(http.ErrAbortHandler)
	}
}

// damage lets an engine's first answer through a meddling, asks once for a whole
// answer and once for a stream, and checks that what passes for an answer is one.
func damage(t *testing.T, meddle meddling) {
	const tokens = 10

	var meddlers [2]*meddler

	w := start(t, shape{engines: 2, meddle: func(i int, h http.Handler) http.Handler {
		meddlers[i] = &meddler{engine: h, meddle: meddle}
		return meddlers[i]
	}})

	for _, ask := range []struct {
		name string
		call func(context.Context, string, string, int64) (string, error)
	}{{"whole", w.entries[0].complete}, {"stream", w.entries[0].stream}} {
		for _, m := range meddlers {
			m.left.Store(1)
		}

		prompt := "fare rules, " + ask.name

		got, err := ask.call(t.Context(), desk, prompt, tokens)
		if want := engine.Answer(prompt, tokens); err == nil && got != want {
			t.Errorf("%s: got %q, want %q or an error", ask.name, got, want)
		}

		if meddlers[0].left.Load() > 0 && meddlers[1].left.Load() > 0 {
			t.Errorf("%s: no answer was damaged", ask.name)
		}
	}
}

// An engine's answer stops short on its way, or what comes can't be read. The
// rider must get the whole answer, from another engine if need be, or an error,
// and never a part that passes for an answer.
func TestCutAnswerPassesForNoWholeOne(t *testing.T) {
	cases := []struct {
		name   string
		meddle meddling
	}{
		{"before the first token", cutShort(0)},
		{"in the middle", cutShort(4)},
		{"before the end mark", cutShort(10)},
		{"inside a piece", func(w http.ResponseWriter, c [][]byte) { pass(w, c[0][:20]); panic(http.ErrAbortHandler) }},
		{"as though whole", func(w http.ResponseWriter, c [][]byte) { pass(w, c[:len(c)/2]...) }},
		{"end mark too early", func(w http.ResponseWriter, c [][]byte) { pass(w, c[0], []byte("data: [DONE]\n\n")) }},
		{"garbage between", func(w http.ResponseWriter, c [][]byte) { pass(w, c[0], []byte("data: {\n\n")); pass(w, c[1:]...) }},
		{"error status", func(w http.ResponseWriter, _ [][]byte) { w.WriteHeader(http.StatusInternalServerError) }},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { damage(t, c.meddle) })
	}
}

// An engine dies in the middle of long answers. Each rider's answer has to go on
// from the token where it stopped, at another engine, without a token twice or
// left out.
func TestAnswersGoOnWhenAnEngineDies(t *testing.T) {
	const riders, tokens, early = 12, 60, 5

	w := start(t, shape{engines: 3, entries: 2, engine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})

	var (
		all    sync.WaitGroup
		pieces [riders]atomic.Int32
	)

	for i := range riders {
		all.Go(func() {
			prompt := fmt.Sprintf("rider %d asks at length", i)

			got, err := w.entries[i%2].read(t.Context(), desk, prompt, tokens, func() { pieces[i].Add(1) })
			if want := engine.Answer(prompt, tokens); got != want || err != nil {
				t.Errorf("rider %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	w.eventually("the answers don't come", func() bool {
		for i := range pieces {
			if pieces[i].Load() < early {
				return false
			}
		}

		return true
	})

	if w.engines[0].engine.Running() == 0 {
		t.Error("nothing runs on engine-1")
	}

	w.engines[0].engine.Abort()
	all.Wait()
}

// The connections between a side process and its engine fall silent in the middle
// of answers: nothing more comes, nothing fails, and new ones work. Each rider's
// answer has to go on all the same; one that just stops looks like a slow one and
// makes its rider wait for ever.
func TestAnswersGoOnWhenConnectionsFallSilent(t *testing.T) {
	const riders, tokens, early = 6, 60, 5

	w := start(t, shape{engines: 2, engine: func(_ int, cfg *engine.Config) { cfg.DecodeTokensPerSecond = 100 }})

	// Repeats are limited to a fifth of the first attempts and three more. Without these requests,
	// the limit would be below the number of riders that may be on the same engine.
	for i := range 20 {
		prompt := fmt.Sprintf("warm-up request %d", i)
		if _, err := w.entries[0].read(t.Context(), desk, prompt, 1, func() {}); err != nil {
			t.Fatal(err)
		}
	}

	var (
		all    sync.WaitGroup
		pieces [riders]atomic.Int32
	)

	for i := range riders {
		all.Go(func() {
			prompt := fmt.Sprintf("rider %d waits at the curb", i)

			got, err := w.entries[0].read(t.Context(), desk, prompt, tokens, func() { pieces[i].Add(1) })
			if want := engine.Answer(prompt, tokens); got != want || err != nil {
				t.Errorf("rider %d: got %q, %v, want %q", i, got, err, want)
			}
		})
	}

	w.eventually("the answers don't come", func() bool {
		for i := range pieces {
			if pieces[i].Load() < early {
				return false
			}
		}

		return true
	})
	w.fault(w.engines[0].addr, map[string]any{"silent": true})
	all.Wait()
}
