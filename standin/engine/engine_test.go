package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"boragehub/prompt"
)

// fastConfig returns the configuration of an engine whose prefill and decode take
// negligible time.
func fastConfig() Config {
	return Config{Model: "casemodel", WeightVersion: "v1", PrefillTokensPerSecond: 1e9, DecodeTokensPerSecond: 1e9}
}

func start(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()

	s := New(cfg)
	ts := httptest.NewServer(s.Handler())
	t.Cleanup(ts.Close)

	return s, ts.URL
}

// call sends v, as JSON unless it is a []byte, and returns the status and the body.
func call(t *testing.T, method, url string, v any) (int, []byte) {
	t.Helper()

	body, ok := v.([]byte)
	if !ok {
		body, _ = json.Marshal(v)
	}

	r, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}

	w, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Body.Close() }()

	b, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}

	return w.StatusCode, b
}

// get decodes the response to a GET.
func get[T any](t *testing.T, url string) T {
	t.Helper()

	var v T

	_, b := call(t, http.MethodGet, url, nil)
	if err := json.Unmarshal(b, &v); err != nil {
		t.Fatalf("%s: %v in %s", url, err, b)
	}

	return v
}

// complete sends r without streaming and returns the completion and its usage.
func complete(t *testing.T, url string, r Request) (string, usage) {
	t.Helper()

	status, b := call(t, http.MethodPost, url+"/v1/completions", r)

	var c completion
	if err := json.Unmarshal(b, &c); err != nil || status != http.StatusOK {
		t.Fatalf("got status %d %s", status, b)
	}

	return c.Choices[0].Text, *c.Usage
}

// waitFor polls until ok returns true; it fails the test with what when the context of
// the test ends first.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()

	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(time.Millisecond):
		}
	}
}

var filePrompt = strings.Repeat("case file 4711, ", 40)

func TestRepeatedPromptIsCached(t *testing.T) {
	s, url := start(t, fastConfig())
	r := Request{Model: "casemodel", Prompt: filePrompt, MaxTokens: 20}
	_, first := complete(t, url, r)
	text, second := complete(t, url, r)

	if got, want := text, CompletionText(filePrompt, 20); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := first.Details.CachedTokens, 0; got != want {
		t.Errorf("first: got %d cached tokens, want %d", got, want)
	}

	if got, want := second.Details.CachedTokens, 160; got != want {
		t.Errorf("second: got %d cached tokens, want %d", got, want)
	}

	complete(t, url, Request{Model: "casemodel", Prompt: filePrompt, CacheSalt: "other"})

	if got, want := s.runs[2].CachedTokens, 0; got != want {
		t.Errorf("another salt: got %d cached tokens, want %d", got, want)
	}
}

func TestStreamAndResume(t *testing.T) {
	_, url := start(t, fastConfig())
	want := CompletionText(filePrompt, 9)

	for _, produced := range []int{0, 1, 4, 7, 12, 35, 36} {
		_, b := call(t, http.MethodPost, url+"/v1/completions", Request{
			Model: "casemodel", Prompt: filePrompt, MaxTokens: 9, Stream: true, ResumeText: want[:produced],
		})

		var text string

		var last completion

		lines := bufio.NewScanner(bytes.NewReader(b))
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: {"); ok {
				last = completion{}
				if err := json.Unmarshal([]byte("{"+data), &last); err != nil {
					t.Fatal(err)
				}

				text += last.Choices[0].Text
			}
		}

		if got := want[:produced] + text; got != want {
			t.Errorf("resumed after %d: got %q, want %q", produced, got, want)
		}

		if last.Usage == nil || last.Choices[0].FinishReason == nil || !bytes.HasSuffix(b, []byte("data: [DONE]\n\n")) {
			t.Errorf("resumed after %d: incomplete end of stream in %s", produced, b)
		}
	}
}

// The client of a long completion disconnects. Its batch slot must be released, or the
// engine fills up with completions that no client reads.
func TestCancelReleasesBatchSlot(t *testing.T) {
	cfg := fastConfig()
	cfg.MaxRunning = 1
	cfg.DecodeTokensPerSecond = 1
	s, url := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	body, _ := json.Marshal(Request{Model: "casemodel", Prompt: filePrompt, MaxTokens: 1000, Stream: true})
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		if w, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, w.Body)
			_ = w.Body.Close()
		}
	}()

	waitFor(t, "the long completion never started", func() bool { return get[loadReport](t, url+"/load").Running == 1 })
	cancel()
	<-ended
	waitFor(t, "the batch slot was not released", func() bool { return get[loadReport](t, url+"/load").Running == 0 })

	if got, want := len(s.waiting), 0; got != want {
		t.Errorf("got %d waiting, want %d", got, want)
	}
}

func TestWaitQueueIsOrderedByPriority(t *testing.T) {
	s := New(fastConfig())
	s.running = s.cfg.MaxRunning
	first := make(chan int, 3)

	for i, priority := range []int{5, 1, 5} {
		go func() {
			s.acquireSlot(t.Context(), priority)
			first <- i
		}()

		waitFor(t, "the request was not queued", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.waiting) == i+1 })
	}

	for _, want := range []int{1, 0, 2} {
		s.mu.Lock()
		s.releaseSlot(time.Now())
		s.mu.Unlock()

		if got := <-first; got != want {
			t.Errorf("got waiter %d, want %d", got, want)
		}
	}
}

// A prompt crashes its engine each time it runs. The client must get no response, so that
// each crash is visible to a gateway that counts them.
func TestCrashPrompt(t *testing.T) {
	var crashes atomic.Int32

	cfg := fastConfig()
	cfg.Crash = func() { crashes.Add(1) }
	cfg.Faults.CrashPrompt = "poison"
	_, url := start(t, cfg)
	body, _ := json.Marshal(Request{Model: "casemodel", Prompt: "a poison pill"})

	w, err := http.Post(url+"/v1/completions", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = w.Body.Close()
		t.Errorf("got status %d, want a closed connection", w.StatusCode)
	}

	if got, want := crashes.Load(), int32(1); got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}
}

func TestRefusals(t *testing.T) {
	_, url := start(t, fastConfig())
	cases := []struct {
		name string
		r    Request
		want int
	}{
		{"model", Request{Model: "other"}, http.StatusNotFound},
		{"version", Request{Model: "casemodel", WeightVersion: "v2"}, http.StatusConflict},
		{"adapter", Request{Model: "casemodel", Adapter: "legal"}, http.StatusConflict},
		{"tokens", Request{Model: "casemodel", MaxTokens: -1}, http.StatusBadRequest},
	}

	for _, c := range cases {
		if got, _ := call(t, http.MethodPost, url+"/v1/completions", c.r); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// Cache events get lost. A reader must be able to detect the gap in the sequence numbers,
// or it takes evicted blocks for cached ones.
func TestLostEventsLeaveAGap(t *testing.T) {
	s, url := start(t, fastConfig())
	complete(t, url, Request{Model: "casemodel", Prompt: filePrompt})
	call(t, http.MethodPost, url+"/faults", map[string]any{"events_lost": 1, "evict_all": true})
	call(t, http.MethodPost, url+"/faults", map[string]any{"events_lost": 0})

	p := get[eventPage](t, url+"/events?after=0")
	if got, want := p.Next, s.lastSeq+1; got != want {
		t.Errorf("next: got %d, want %d", got, want)
	}

	if got, want := len(p.Events), int(s.lastSeq)-1; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}

	call(t, http.MethodPost, url+"/faults", map[string]any{"events_delay_ms": 3_600_000})

	if got, want := len(get[eventPage](t, url+"/events?after=0").Events), 0; got != want {
		t.Errorf("delayed: got %d events, want %d", got, want)
	}
}

// A copy of cached blocks is altered or truncated in transit. The engine imports it
// without verification, and the completion is wrong.
func TestImportOfDamagedCopyChangesCompletion(t *testing.T) {
	_, from := start(t, fastConfig())
	complete(t, from, Request{Model: "casemodel", Prompt: filePrompt})

	chain := prompt.Scope{Model: "casemodel", Version: "v1"}.Chain(filePrompt, prompt.DefaultBlockTokens)
	status, copied := call(t, http.MethodPost, from+"/cache/export", map[string]any{"hashes": chain})

	if got, want := status, http.StatusOK; got != want {
		t.Fatalf("export: got %d, want %d", got, want)
	}

	flipped := bytes.Clone(copied)
	flipped[len(flipped)-9] ^= 1
	cases := []struct {
		name   string
		copy   []byte
		intact bool
	}{
		{"complete", copied, true},
		{"truncated", copied[:len(copied)-100], false},
		{"flipped", flipped, false},
	}

	for _, c := range cases {
		_, to := start(t, fastConfig())
		call(t, http.MethodPost, to+"/cache/import", c.copy)

		text, u := complete(t, to, Request{Model: "casemodel", Prompt: filePrompt})
		if got, want := u.Details.CachedTokens, 160; got != want {
			t.Errorf("%s: got %d cached tokens, want %d", c.name, got, want)
		}

		if got := text == CompletionText(filePrompt, defaultMaxTokens); got != c.intact {
			t.Errorf("%s: got a correct completion %v, want %v", c.name, got, c.intact)
		}
	}

	cfg := fastConfig()
	cfg.WeightVersion = "v2"
	_, other := start(t, cfg)

	if got, _ := call(t, http.MethodPost, other+"/cache/import", copied); got != http.StatusConflict {
		t.Errorf("another version: got %d, want %d", got, http.StatusConflict)
	}
}

// An order arrives after a newer one that was sent later. Applying it would restore the
// old weights.
func TestOrderWithStaleFenceIsRejected(t *testing.T) {
	_, url := start(t, fastConfig())
	cases := []struct {
		fence  uint64
		ignore bool
		want   int
	}{{5, false, http.StatusAccepted}, {4, false, http.StatusConflict}, {4, true, http.StatusAccepted}}

	for _, c := range cases {
		call(t, http.MethodPost, url+"/faults", map[string]any{"ignores_fence": c.ignore})

		if got, _ := call(t, http.MethodPost, url+"/orders", Order{Fence: c.fence, Kind: "set_role"}); got != c.want {
			t.Errorf("fence %d: got %d, want %d", c.fence, got, c.want)
		}
	}

	call(t, http.MethodPost, url+"/orders", Order{Fence: 6, Kind: "load_weights", WeightVersion: "v2"})
	waitFor(t, "v2 was never loaded", func() bool { return get[Info](t, url+"/info").WeightVersion == "v2" })
}
