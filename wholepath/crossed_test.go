package wholepath

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"boragehub/standin/engine"
)

// Two riders ask at once, and the engine, or what stands before it, gives each
// the other's answer. Each must get its own, or an error; reading the other's
// booking is worse than none.
func TestCrossedAnswersReachNobody(t *testing.T) {
	const tokens = 6

	var (
		mu      sync.Mutex
		waiting = map[string]chan []byte{}
		paired  = make(chan struct{})
	)

	// cross holds the first two answers until both are there and swaps them.
	cross := func(_ int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/completions" {
				h.ServeHTTP(w, r)
				return
			}

			b, _ := io.ReadAll(r.Body)

			var q engine.Request

			_ = json.Unmarshal(b, &q)

			r.Body = io.NopCloser(bytes.NewReader(b))
			kept := &keeper{header: http.Header{}}
			h.ServeHTTP(kept, r)

			mu.Lock()
			first := len(waiting) < 2 && waiting[q.Prompt] == nil

			if first {
				waiting[q.Prompt] = make(chan []byte, 1)
				if len(waiting) == 2 {
					close(paired)
				}
			}
			mu.Unlock()

			if !first {
				_, _ = w.Write(kept.Bytes())
				return
			}

			<-paired
			mu.Lock()
			for other, c := range waiting {
				if other != q.Prompt {
					c <- kept.Bytes()
				}
			}

			mine := waiting[q.Prompt]
			mu.Unlock()

			_, _ = w.Write(<-mine)
		})
	}

	w := start(t, shape{engines: 1, entries: 2, meddle: cross})

	var all sync.WaitGroup

	for i, key := range []string{desk, bureau} {
		all.Go(func() {
			prompt := fmt.Sprintf("caller %d asks for its booking", i)
			want := engine.Answer(prompt, tokens)

			got, err := w.entries[i].stream(t.Context(), key, prompt, tokens)
			if err == nil && got != want || got != "" && !strings.HasPrefix(want, got) {
				t.Errorf("caller %d: got %q, %v, want %q or an error", i, got, err, want)
			}
		})
	}

	all.Wait()
}
