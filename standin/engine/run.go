package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"boragehub/pause"
	"boragehub/prompt"
	"boragehub/standin"
)

const (
	defaultMaxTokens = 16
	finishLength     = "length"
	objectName       = "text_completion"
	// minTimerWait is the shortest wait for which decode starts a timer.
	minTimerWait = 50 * time.Microsecond
)

// Request is the body of POST /v1/completions.
type Request struct {
	Model         string `json:"model"`
	Prompt        string `json:"prompt"`
	MaxTokens     int    `json:"max_tokens,omitempty"`
	Stream        bool   `json:"stream,omitempty"`
	Priority      int    `json:"priority,omitempty"`
	CacheSalt     string `json:"cache_salt,omitempty"`
	WeightVersion string `json:"weight_version,omitempty"`
	Adapter       string `json:"adapter,omitempty"`
	RequestID     string `json:"request_id,omitempty"`
	ResumeText    string `json:"resume_text,omitempty"`
}

// Run describes one started request, for tests.
type Run struct {
	// RequestID is the ID of the request.
	RequestID string `json:"request_id"`
	// CacheSalt is the cache salt of the request.
	CacheSalt string `json:"cache_salt"`
	// WeightVersion is the version that it ran on.
	WeightVersion string `json:"weight_version"`
	// PromptTokens is the length of its prompt and resumed text.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is how many of those tokens were cached.
	CachedTokens int `json:"cached_tokens"`
	// AtMS is when it started, in Unix ms.
	AtMS int64 `json:"at_ms"`
}

type usage struct {
	PromptTokens     int     `json:"prompt_tokens"`
	CompletionTokens int     `json:"completion_tokens"`
	TotalTokens      int     `json:"total_tokens"`
	Details          details `json:"prompt_tokens_details"`
}

type details struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// CompletionText returns the first tokens of the completion of a prompt.
func CompletionText(text string, tokens int) string {
	seed := xxh3.HashString(text)

	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}

	return b.String()
}

// token returns one token of a completion: three letters and a space.
func token(seed uint64, i int) string {
	n := rand.NewPCG(seed, uint64(i)).Uint64()
	letter := func(shift int) byte { return 'a' + byte(n>>shift)%26 }

	return string([]byte{letter(0), letter(8), letter(16), ' '})
}

// waiter is a request that waits for a batch slot.
type waiter struct {
	priority int
	arrival  uint64
	admitted chan struct{}
}

// waitQueue is a heap of waiters, ordered by priority (lowest number first), then arrival.
type waitQueue []*waiter

// Len returns the number of waiters.
func (q waitQueue) Len() int { return len(q) }

// Less reports whether i is admitted before j.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}

	return q[i].arrival < q[j].arrival
}

// Swap swaps i and j.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends a *waiter, for container/heap.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*waiter)) }

// Pop removes the last waiter, for container/heap.
func (q *waitQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// admitWaiting gives free batch slots to waiters. The caller holds mu.
func (s *Server) admitWaiting(now time.Time) {
	for s.state == stateReady && s.running < s.cfg.MaxRunning && len(s.waiting) > 0 {
		s.running++
		close(heap.Pop(&s.waiting).(*waiter).admitted)
	}

	s.recordLoad(now)
}

// acquireSlot waits for a batch slot and reports whether it got one before ctx ended.
func (s *Server) acquireSlot(ctx context.Context, priority int) bool {
	s.mu.Lock()
	s.arrivals++
	self := &waiter{priority: priority, arrival: s.arrivals, admitted: make(chan struct{})}
	heap.Push(&s.waiting, self)
	s.admitWaiting(time.Now())
	s.mu.Unlock()

	select {
	case <-self.admitted:
		return true
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if i := slices.Index(s.waiting, self); i >= 0 {
		heap.Remove(&s.waiting, i)
		s.recordLoad(time.Now())
	} else {
		s.releaseSlot(time.Now())
	}

	return false
}

// releaseSlot releases a batch slot. The caller holds mu.
func (s *Server) releaseSlot(now time.Time) {
	s.running--
	s.admitWaiting(now)
}

// run is one request that holds a batch slot.
type run struct {
	Request
	completionID  string
	seed          uint64
	intact        bool
	scope         prompt.Scope
	chain         prompt.Chain
	resumedTokens int
	usage         usage
	writer        http.ResponseWriter
	flush         func()
	framing       standin.FramingFaults
	sentEvents    int
	brokenOff     bool
}

// rejectUnservable writes an error and returns true if weights are loading, or if r needs a
// model, version or adapter that is not loaded. The caller holds mu.
func (s *Server) rejectUnservable(w http.ResponseWriter, r Request) bool {
	switch {
	case r.Model != s.cfg.Model:
		standin.WriteError(w, http.StatusNotFound, "model_not_found", "the engine serves model "+s.cfg.Model)
	case s.state != stateReady:
		w.Header().Set("Retry-After", "1")
		standin.WriteError(w, http.StatusServiceUnavailable, stateLoading, "weights are loading")
	case r.WeightVersion != "" && r.WeightVersion != s.version:
		standin.WriteError(w, http.StatusConflict, "wrong_version", "the loaded version is "+s.version)
	case r.Adapter != "" && !slices.Contains(s.adapters, r.Adapter):
		standin.WriteError(w, http.StatusConflict, "wrong_adapter", r.Adapter+" is not a loaded adapter")
	default:
		return false
	}

	return true
}

// addPrefillTokens adds to the outstanding prefill tokens. The caller holds mu.
func (s *Server) addPrefillTokens(now time.Time, tokens int) {
	s.waitingPrefillTokens += tokens
	s.recordLoad(now)
}

func (s *Server) postCompletions(q *restful.Request, w *restful.Response) {
	in, ok := standin.DecodeBody[Request](w, q.Request)
	if !ok {
		return
	}

	if in.MaxTokens < 0 {
		standin.WriteError(w, http.StatusBadRequest, "bad_request", "max_tokens is negative")
		return
	}

	setDefault(&in.MaxTokens, defaultMaxTokens)
	setDefault(&in.RequestID, uuid.NewString())

	s.mu.Lock()
	refused := s.rejectUnservable(w, in)
	s.mu.Unlock()

	if refused || !s.acquireSlot(q.Request.Context(), in.Priority) {
		return
	}

	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.releaseSlot(time.Now())
	}()

	if f := s.Faults(); f.CrashPrompt != "" && strings.Contains(in.Prompt, f.CrashPrompt) {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}

	if r := s.startRun(w, in); r != nil && s.prefill(q.Request.Context(), r) {
		s.decode(q.Request.Context(), r)
	}
}

// startRun prepares the run of an admitted request. It writes an error and returns nil if
// what is loaded changed while the request waited and can't serve it.
func (s *Server) startRun(w *restful.Response, in Request) *run {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.rejectUnservable(w, in) {
		return nil
	}

	now := time.Now()
	text := in.Prompt + in.ResumeText
	r := &run{
		Request: in, completionID: in.RequestID, seed: xxh3.HashString(in.Prompt), writer: w, flush: w.Flush,
		scope:         prompt.Scope{Salt: in.CacheSalt, Model: in.Model, Version: s.version, Adapter: in.Adapter},
		resumedTokens: prompt.Tokens(in.ResumeText),
	}
	r.chain = r.scope.Chain(text, s.cfg.BlockTokens)

	n, intact := s.cachedPrefix(r.chain)
	if r.intact = intact; !intact {
		r.seed = ^r.seed
	}

	r.usage = usage{
		PromptTokens:     prompt.Tokens(text),
		CompletionTokens: max(in.MaxTokens, r.resumedTokens),
		Details:          details{CachedTokens: n * s.cfg.BlockTokens},
	}
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens - r.resumedTokens
	s.runs = append(s.runs, Run{
		RequestID: in.RequestID, CacheSalt: in.CacheSalt, WeightVersion: s.version,
		PromptTokens: r.usage.PromptTokens, CachedTokens: r.usage.Details.CachedTokens, AtMS: now.UnixMilli(),
	})
	s.storeBlocks(now, r.chain[:n], func(int) bool { return intact })
	s.addPrefillTokens(now, r.prefillTokens())

	return r
}

// prefillTokens returns how many tokens have to be prefilled before decoding.
func (r *run) prefillTokens() int { return r.usage.PromptTokens - r.usage.Details.CachedTokens }

// workTime returns how long tokens take at speed, in tokens per second.
func (s *Server) workTime(tokens int, speed float64) time.Duration {
	factor := s.Faults().SlowFactor
	setDefault(&factor, 1)

	return time.Duration(float64(tokens) / speed * factor * float64(time.Second))
}

// prefill waits until no other run prefills, since one run does so at a time, and then for the
// time of the uncached tokens. It reports whether it finished before ctx ended.
func (s *Server) prefill(ctx context.Context, r *run) bool {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.addPrefillTokens(time.Now(), -r.prefillTokens())
	}()

	select {
	case s.prefillSlot <- struct{}{}:
	case <-ctx.Done():
		return false
	}

	done := pause.For(ctx, s.workTime(r.prefillTokens(), s.cfg.PrefillTokensPerSecond))
	<-s.prefillSlot

	if done {
		s.cacheRun(time.Now(), r, r.chain)
	}

	return done
}

// cacheRun caches the blocks of a run, unless its weights are no longer loaded.
func (s *Server) cacheRun(now time.Time, r *run, chain prompt.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if r.scope.Version == s.version {
		s.storeBlocks(now, chain, func(int) bool { return r.intact })
	}
}

// decode generates the completion at the engine's speed and writes it.
func (s *Server) decode(ctx context.Context, r *run) {
	var text strings.Builder

	due := time.Now()
	skip := len(r.ResumeText) % prompt.TokenBytes

	if r.Stream {
		r.beginStream(s.Faults().FramingFaults)
	}

	for i := len(r.ResumeText) / prompt.TokenBytes; i < r.MaxTokens; i++ {
		due = due.Add(s.workTime(1, s.cfg.DecodeTokensPerSecond))
		if wait := time.Until(due); wait > minTimerWait && !pause.For(ctx, wait) {
			break
		}

		t := token(r.seed, i)[skip:]
		skip = 0

		text.WriteString(t)

		if r.Stream && i < r.MaxTokens-1 && !r.sendEvent(ctx, t, false) {
			break
		}
	}

	completed := text.String()
	s.cacheRun(time.Now(), r, r.scope.Chain(r.Prompt+r.ResumeText+completed, s.cfg.BlockTokens))

	if ctx.Err() != nil || r.brokenOff {
		return
	}

	if !r.Stream {
		standin.WriteJSON(r.writer, http.StatusOK, r.chunk(completed, true))
		return
	}

	if r.sendEvent(ctx, completed[max(len(completed)-prompt.TokenBytes, 0):], true) {
		_, _ = r.writer.Write([]byte(r.framing.Lines("data: [DONE]\n\n")))
		r.flush()
	}
}

// beginStream prepares the stream's header.
func (r *run) beginStream(f standin.FramingFaults) {
	r.framing = f
	r.writer.Header().Set("Content-Type", "text/event-stream")

	if f.Unframed {
		r.writer.Header().Set("Transfer-Encoding", "identity") // net/http then sends no chunks
	}
}

// chunk returns a part of the completion; the last one carries finish reason and usage.
func (r *run) chunk(text string, last bool) completion {
	c := completion{ID: r.completionID, Object: objectName, Created: time.Now().Unix(), Model: r.Model}
	c.Choices = []choice{{Text: text}}

	if last {
		reason := finishLength
		c.Choices[0].FinishReason = &reason
		c.Usage = &r.usage
	}

	return c
}

// sendEvent writes one server-sent event and reports whether that succeeded.
func (r *run) sendEvent(ctx context.Context, text string, last bool) bool {
	// A completion can always be encoded.
	b, _ := json.Marshal(r.chunk(text, last))
	event := r.framing.Lines("data: " + string(b) + "\n\n")

	if r.framing.BreakAfter > 0 && r.sentEvents >= r.framing.BreakAfter {
		r.breakOff(ctx, event)

		return false
	}

	r.sentEvents++

	if _, err := r.writer.Write([]byte(event)); err != nil {
		return false
	}

	r.flush()

	return true
}

// breakOff writes half of an event and ends the stream.
func (r *run) breakOff(ctx context.Context, event string) {
	r.brokenOff = true
	_, _ = r.writer.Write([]byte(event[:len(event)/2]))
	r.flush()

	if r.framing.Resets {
		standin.ResetOnClose(ctx)
	}

	if r.framing.Resets || !r.framing.Unframed {
		panic(http.ErrAbortHandler)
	}
}

// Runs returns the started runs, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.runs)
}

// LastEventSeq returns the number of the newest cache event.
func (s *Server) LastEventSeq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.lastSeq
}

// Running returns how many requests hold a batch slot.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running
}

func (s *Server) listRuns(_ *restful.Request, w *restful.Response) {
	standin.WriteJSON(w, http.StatusOK, s.Runs())
}
