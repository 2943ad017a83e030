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

// Two callers send prompts at the same time, and the engine, or a proxy before it,
// swaps the two responses. Each caller must get its own response or an error: the
// response to another request may disclose private data.
func TestSwappedResponsesAreNotDelivered(t *testing.T) {
	const tokens = 6

	var (
		mu      sync.Mutex
		waiting = map[string]chan []byte{}
		paired  = make(chan struct{})
	)

	// swap holds back the first two responses until both are complete and swaps them.
	swap := func(_ int, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/completions" {
				h.ServeHTTP(w, r)
				return
			}

			b, _ := io.ReadAll(r.Body)

			var q engine.Request

			_ = json.Unmarshal(b, &q)

			r.Body = io.NopCloser(bytes.NewReader(b))
			recorded := &responseRecorder{header: http.Header{}}
			h.ServeHTTP(recorded, r)

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
				_, _ = w.Write(recorded.Bytes())
				return
			}

			<-paired
			mu.Lock()
			for other, c := range waiting {
				if other != q.Prompt {
					c <- recorded.Bytes()
				}
			}

			own := waiting[q.Prompt]
			mu.Unlock()

			_, _ = w.Write(<-own)
		})
	}

	env := start(t, envConfig{engines: 1, entries: 2, wrapEngine: swap})

	var wg sync.WaitGroup

	for i, key := range []string{deskKey, bureauKey} {
		wg.Go(func() {
			prompt := fmt.Sprintf("caller %d asks for its booking", i)
			want := engine.CompletionText(prompt, tokens)

			got, err := env.entries[i].stream(t.Context(), key, prompt, tokens)
			if err == nil && got != want || got != "" && !strings.HasPrefix(want, got) {
				t.Errorf("caller %d: got %q, %v, want %q or an error", i, got, err, want)
			}
		})
	}

	wg.Wait()
}
