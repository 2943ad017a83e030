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
	// shortest is the shortest wait that is worth a timer.
	shortest = 50 * time.Microsecond
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

// Run is one request that was started, for tests.
type Run struct {
	// RequestID is the request's id.
	RequestID string `json:"request_id"`
	// CacheSalt is the request's salt.
	CacheSalt string `json:"cache_salt"`
	// WeightVersion is what it ran on.
	WeightVersion string `json:"weight_version"`
	// PromptTokens is the length of its prompt and resumed text.
	PromptTokens int `json:"prompt_tokens"`
	// CachedTokens is how many of them were cached.
	CachedTokens int `json:"cached_tokens"`
	// AtMS is when it started.
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

// Answer returns the first tokens of the answer to a prompt.
func Answer(text string, tokens int) string {
	seed := xxh3.HashString(text)

	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(seed, i))
	}

	return b.String()
}

// token returns one token of an answer: three letters and a space.
func token(seed uint64, i int) string {
	n := rand.NewPCG(seed, uint64(i)).Uint64()
	letter := func(shift int) byte { return 'a' + byte(n>>shift)%26 }

	return string([]byte{letter(0), letter(8), letter(16), ' '})
}

// waiter is a request that waits for its place.
type waiter struct {
	priority int
	arrival  uint64
	place    chan struct{}
}

// queue orders waiters by priority, then arrival.
type queue []*waiter

// Len returns how many wait.
func (q queue) Len() int { return len(q) }

// Less reports whether i goes before j.
func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}

	return q[i].arrival < q[j].arrival
}

// Swap swaps i and j.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a *waiter at the end.
func (q *queue) Push(x any) { *q = append(*q, x.(*waiter)) }

// Pop takes the last.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return last
}

// start gives places to those that wait. The caller holds mu.
func (s *Server) start(now time.Time) {
	for s.state == stateReady && s.running < s.cfg.MaxRunning && len(s.queue) > 0 {
		s.running++
		close(heap.Pop(&s.queue).(*waiter).place)
	}

	s.report(now)
}

// enter waits for a place and reports whether it got one before ctx ended.
func (s *Server) enter(ctx context.Context, priority int) bool {
	s.mu.Lock()
	s.arrivals++
	me := &waiter{priority: priority, arrival: s.arrivals, place: make(chan struct{})}
	heap.Push(&s.queue, me)
	s.start(time.Now())
	s.mu.Unlock()

	select {
	case <-me.place:
		return true
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	if i := slices.Index(s.queue, me); i >= 0 {
		heap.Remove(&s.queue, i)
		s.report(time.Now())
	} else {
		s.release(time.Now())
	}

	return false
}

// release gives a place back. The caller holds mu.
func (s *Server) release(now time.Time) {
	s.running--
	s.start(now)
}

// run is one request that has its place.
type run struct {
	Request
	id     string
	seed   uint64
	sound  bool
	scope  prompt.Scope
	chain  prompt.Chain
	first  int
	usage  usage
	writer http.ResponseWriter
	flush  func()
}

// refuse answers a request that can't run on what is loaded. The caller holds mu.
func (s *Server) refuse(w http.ResponseWriter, r Request) bool {
	switch {
	case r.Model != s.cfg.Model:
		standin.Fail(w, http.StatusNotFound, "model_not_found", "the model is "+s.cfg.Model)
	case s.state != stateReady:
		w.Header().Set("Retry-After", "1")
		standin.Fail(w, http.StatusServiceUnavailable, stateLoading, "weights are being loaded")
	case r.WeightVersion != "" && r.WeightVersion != s.version:
		standin.Fail(w, http.StatusConflict, "wrong_version", "loaded is "+s.version)
	case r.Adapter != "" && !slices.Contains(s.adapters, r.Adapter):
		standin.Fail(w, http.StatusConflict, "wrong_adapter", r.Adapter+" is not loaded")
	default:
		return false
	}

	return true
}

// owe adds to the prefill that is waiting. The caller holds mu.
func (s *Server) owe(now time.Time, tokens int) {
	s.owed += tokens
	s.report(now)
}

func (s *Server) complete(q *restful.Request, w *restful.Response) {
	in, ok := standin.Decode[Request](w, q.Request)
	if !ok {
		return
	}

	if in.MaxTokens < 0 {
		standin.Fail(w, http.StatusBadRequest, "bad_request", "max_tokens is negative")
		return
	}

	def(&in.MaxTokens, defaultMaxTokens)
	def(&in.RequestID, uuid.NewString())

	s.mu.Lock()
	refused := s.refuse(w, in)
	s.mu.Unlock()

	if refused || !s.enter(q.Request.Context(), in.Priority) {
		return
	}

	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.release(time.Now())
	}()

	if f := s.Faults(); f.CrashPrompt != "" && strings.Contains(in.Prompt, f.CrashPrompt) {
		s.cfg.Crash()
		panic(http.ErrAbortHandler)
	}

	if r := s.begin(w, in); r != nil && s.fillCache(q.Request.Context(), r) {
		s.decode(q.Request.Context(), r)
	}
}

// begin prepares a run that has its place; nil when what is loaded has changed
// while it waited.
func (s *Server) begin(w *restful.Response, in Request) *run {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.refuse(w, in) {
		return nil
	}

	now := time.Now()
	text := in.Prompt + in.ResumeText
	r := &run{
		Request: in, id: in.RequestID, seed: xxh3.HashString(in.Prompt), writer: w, flush: w.Flush,
		scope: prompt.Scope{Salt: in.CacheSalt, Model: in.Model, Version: s.version, Adapter: in.Adapter},
		first: prompt.Tokens(in.ResumeText),
	}
	r.chain = r.scope.Chain(text, s.cfg.BlockTokens)

	n, sound := s.cached(r.chain)
	if r.sound = sound; !sound {
		r.seed = ^r.seed
	}

	r.usage = usage{
		PromptTokens:     prompt.Tokens(text),
		CompletionTokens: max(in.MaxTokens, r.first),
		Details:          details{CachedTokens: n * s.cfg.BlockTokens},
	}
	r.usage.TotalTokens = r.usage.PromptTokens + r.usage.CompletionTokens - r.first
	s.runs = append(s.runs, Run{
		RequestID: in.RequestID, CacheSalt: in.CacheSalt, WeightVersion: s.version,
		PromptTokens: r.usage.PromptTokens, CachedTokens: r.usage.Details.CachedTokens, AtMS: now.UnixMilli(),
	})
	s.keep(now, r.chain[:n], func(int) bool { return sound })
	s.owe(now, r.missing())

	return r
}

// missing returns how many tokens have to be computed before the first one.
func (r *run) missing() int { return r.usage.PromptTokens - r.usage.Details.CachedTokens }

// work returns how long so many tokens take at a speed.
func (s *Server) work(tokens int, speed float64) time.Duration {
	factor := s.Faults().SlowFactor
	def(&factor, 1)

	return time.Duration(float64(tokens) / speed * factor * float64(time.Second))
}

// fillCache computes what is not cached, one run at a time.
func (s *Server) fillCache(ctx context.Context, r *run) bool {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.owe(time.Now(), -r.missing())
	}()

	select {
	case s.prefill <- struct{}{}:
	case <-ctx.Done():
		return false
	}

	done := pause.For(ctx, s.work(r.missing(), s.cfg.PrefillTokensPerSecond))
	<-s.prefill

	if done {
		s.remember(time.Now(), r, r.chain)
	}

	return done
}

// remember caches the blocks of a run, unless its weights are no longer loaded.
func (s *Server) remember(now time.Time, r *run, chain prompt.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if r.scope.Version == s.version {
		s.keep(now, chain, func(int) bool { return r.sound })
	}
}

// decode gives out the answer at the engine's speed.
func (s *Server) decode(ctx context.Context, r *run) {
	var text strings.Builder

	due := time.Now()
	skip := len(r.ResumeText) % prompt.TokenBytes

	if r.Stream {
		r.writer.Header().Set("Content-Type", "text/event-stream")
	}

	for i := len(r.ResumeText) / prompt.TokenBytes; i < r.MaxTokens; i++ {
		due = due.Add(s.work(1, s.cfg.DecodeTokensPerSecond))
		if wait := time.Until(due); wait > shortest && !pause.For(ctx, wait) {
			break
		}

		t := token(r.seed, i)[skip:]
		skip = 0

		text.WriteString(t)

		if r.Stream && i < r.MaxTokens-1 && !r.send(t, false) {
			break
		}
	}

	answer := text.String()
	s.remember(time.Now(), r, r.scope.Chain(r.Prompt+r.ResumeText+answer, s.cfg.BlockTokens))

	if ctx.Err() != nil {
		return
	}

	if !r.Stream {
		standin.Reply(r.writer, http.StatusOK, r.chunk(answer, true))
		return
	}

	if r.send(answer[max(len(answer)-prompt.TokenBytes, 0):], true) {
		_, _ = r.writer.Write([]byte("data: [DONE]\n\n"))
		r.flush()
	}
}

// chunk returns a piece of the answer; the last one has the usage.
func (r *run) chunk(text string, last bool) completion {
	c := completion{ID: r.id, Object: objectName, Created: time.Now().Unix(), Model: r.Model}
	c.Choices = []choice{{Text: text}}

	if last {
		reason := finishLength
		c.Choices[0].FinishReason = &reason
		c.Usage = &r.usage
	}

	return c
}

// send writes one server-sent event and reports whether it could.
func (r *run) send(text string, last bool) bool {
	// A completion has nothing that can't be encoded.
	b, _ := json.Marshal(r.chunk(text, last))

	if _, err := r.writer.Write([]byte("data: " + string(b) + "\n\n")); err != nil {
		return false
	}

	r.flush()

	return true
}

// Runs returns the runs that began, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.runs)
}

// Seq returns the number of the newest cache event.
func (s *Server) Seq() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.seq
}

// Running returns how many requests have a place.
func (s *Server) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running
}

func (s *Server) listRuns(_ *restful.Request, w *restful.Response) {
	standin.Reply(w, http.StatusOK, s.Runs())
}
