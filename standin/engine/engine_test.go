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

// fast is an engine whose work takes no time worth mentioning.
func fast() Config {
	return Config{Model: "casemodel", WeightVersion: "v1", PrefillTokensPerSecond: 1e9, DecodeTokensPerSecond: 1e9}
}

func start(t *testing.T, cfg Config) (*Server, string) {
	t.Helper()

	s := New(cfg)
	ts := httptest.NewServer(s.Handler())
	t.Cleanup(ts.Close)

	return s, ts.URL
}

// call sends v and returns the status and the body.
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

// get decodes the answer to a GET.
func get[T any](t *testing.T, url string) T {
	t.Helper()

	var v T

	_, b := call(t, http.MethodGet, url, nil)
	if err := json.Unmarshal(b, &v); err != nil {
		t.Fatalf("%s: %v in %s", url, err, b)
	}

	return v
}

// whole completes a request without streaming.
func whole(t *testing.T, url string, r Request) (string, usage) {
	t.Helper()

	status, b := call(t, http.MethodPost, url+"/v1/completions", r)

	var c completion
	if err := json.Unmarshal(b, &c); err != nil || status != http.StatusOK {
		t.Fatalf("got status %d %s", status, b)
	}

	return c.Choices[0].Text, *c.Usage
}

// eventually waits until ok holds; the test's own deadline ends a wait in vain.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()

	for !ok() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(time.Millisecond):
		}
	}
}

var file = strings.Repeat("case file 4711, ", 40)

func TestSecondTimeIsCached(t *testing.T) {
	s, url := start(t, fast())
	r := Request{Model: "casemodel", Prompt: file, MaxTokens: 20}
	_, first := whole(t, url, r)
	text, second := whole(t, url, r)

	if got, want := text, Answer(file, 20); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := first.Details.CachedTokens, 0; got != want {
		t.Errorf("first: got %d cached tokens, want %d", got, want)
	}

	if got, want := second.Details.CachedTokens, 160; got != want {
		t.Errorf("second: got %d cached tokens, want %d", got, want)
	}

	whole(t, url, Request{Model: "casemodel", Prompt: file, CacheSalt: "other"})

	if got, want := s.runs[2].CachedTokens, 0; got != want {
		t.Errorf("another salt: got %d cached tokens, want %d", got, want)
	}
}

func TestStreamAndResume(t *testing.T) {
	_, url := start(t, fast())
	want := Answer(file, 9)

	for _, produced := range []int{0, 1, 4, 7, 12, 35, 36} {
		_, b := call(t, http.MethodPost, url+"/v1/completions", Request{
			Model: "casemodel", Prompt: file, MaxTokens: 9, Stream: true, ResumeText: want[:produced],
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
			t.Errorf("resumed after %d: got no proper end in %s", produced, b)
		}
	}
}

// The caller of a long answer hangs up. Its place has to go to the one that
// waits, or the engine fills up with answers that nobody reads.
func TestCancelFreesThePlace(t *testing.T) {
	cfg := fast()
	cfg.MaxRunning = 1
	cfg.DecodeTokensPerSecond = 1
	s, url := start(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	body, _ := json.Marshal(Request{Model: "casemodel", Prompt: file, MaxTokens: 1000, Stream: true})
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", bytes.NewReader(body))
	gone := make(chan struct{})

	go func() {
		defer close(gone)

		if w, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, w.Body)
			_ = w.Body.Close()
		}
	}()

	eventually(t, "the long answer never ran", func() bool { return get[loadReport](t, url+"/load").Running == 1 })
	cancel()
	<-gone
	eventually(t, "the place was not freed", func() bool { return get[loadReport](t, url+"/load").Running == 0 })

	if got, want := len(s.queue), 0; got != want {
		t.Errorf("got %d waiting, want %d", got, want)
	}
}

func TestPriorityGoesFirst(t *testing.T) {
	s := New(fast())
	s.running = s.cfg.MaxRunning
	first := make(chan int, 3)

	for i, priority := range []int{5, 1, 5} {
		go func() {
			s.enter(t.Context(), priority)
			first <- i
		}()

		eventually(t, "nobody waits", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.queue) == i+1 })
	}

	for _, want := range []int{1, 0, 2} {
		s.mu.Lock()
		s.release(time.Now())
		s.mu.Unlock()

		if got := <-first; got != want {
			t.Errorf("got waiter %d, want %d", got, want)
		}
	}
}

// A prompt brings its engine down each time it runs. Whoever counts engines has
// to see each crash and no answer.
func TestCrashPrompt(t *testing.T) {
	var crashes atomic.Int32

	cfg := fast()
	cfg.Crash = func() { crashes.Add(1) }
	cfg.Faults.CrashPrompt = "poison"
	_, url := start(t, cfg)
	body, _ := json.Marshal(Request{Model: "casemodel", Prompt: "a poison pill"})

	w, err := http.Post(url+"/v1/completions", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = w.Body.Close()
		t.Errorf("got status %d, want a cut connection", w.StatusCode)
	}

	if got, want := crashes.Load(), int32(1); got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}
}

func TestRefusals(t *testing.T) {
	_, url := start(t, fast())
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

// Cache events get lost. A reader has to see that numbers are missing, or it
// believes in blocks that are gone.
func TestLostEventsLeaveAGap(t *testing.T) {
	s, url := start(t, fast())
	whole(t, url, Request{Model: "casemodel", Prompt: file})
	call(t, http.MethodPost, url+"/faults", map[string]any{"events_lost": 1, "evict_all": true})
	call(t, http.MethodPost, url+"/faults", map[string]any{"events_lost": 0})

	p := get[eventPage](t, url+"/events?after=0")
	if got, want := p.Next, s.seq+1; got != want {
		t.Errorf("next: got %d, want %d", got, want)
	}

	if got, want := len(p.Events), int(s.seq)-1; got != want {
		t.Errorf("got %d events, want %d", got, want)
	}

	call(t, http.MethodPost, url+"/faults", map[string]any{"events_delay_ms": 3_600_000})

	if got, want := len(get[eventPage](t, url+"/events?after=0").Events), 0; got != want {
		t.Errorf("late: got %d events, want %d", got, want)
	}
}

// A copy of cached blocks was altered or cut on its way. The engine believes
// it, and the caller's answer is wrong.
func TestImportOfATornCopyShows(t *testing.T) {
	_, from := start(t, fast())
	whole(t, from, Request{Model: "casemodel", Prompt: file})

	chain := prompt.Scope{Model: "casemodel", Version: "v1"}.Chain(file, prompt.DefaultBlockTokens)
	status, copied := call(t, http.MethodPost, from+"/cache/export", map[string]any{"hashes": chain})

	if got, want := status, http.StatusOK; got != want {
		t.Fatalf("export: got %d, want %d", got, want)
	}

	flipped := bytes.Clone(copied)
	flipped[len(flipped)-9] ^= 1
	cases := []struct {
		name  string
		copy  []byte
		sound bool
	}{
		{"whole", copied, true},
		{"cut", copied[:len(copied)-100], false},
		{"flipped", flipped, false},
	}

	for _, c := range cases {
		_, to := start(t, fast())
		call(t, http.MethodPost, to+"/cache/import", c.copy)

		text, u := whole(t, to, Request{Model: "casemodel", Prompt: file})
		if got, want := u.Details.CachedTokens, 160; got != want {
			t.Errorf("%s: got %d cached tokens, want %d", c.name, got, want)
		}

		if got := text == Answer(file, defaultMaxTokens); got != c.sound {
			t.Errorf("%s: got a sound answer %v, want %v", c.name, got, c.sound)
		}
	}

	cfg := fast()
	cfg.WeightVersion = "v2"
	_, other := start(t, cfg)

	if got, _ := call(t, http.MethodPost, other+"/cache/import", copied); got != http.StatusConflict {
		t.Errorf("another version: got %d, want %d", got, http.StatusConflict)
	}
}

// An order that was sent before a newer one arrives late. Carrying it out
// would bring back the old weights.
func TestOldOrderIsRefused(t *testing.T) {
	_, url := start(t, fast())
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
	eventually(t, "v2 was never loaded", func() bool { return get[Info](t, url+"/info").WeightVersion == "v2" })
}
