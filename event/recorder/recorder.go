// Package recorder remembers the last lines that a process logged about each
// request, so that an operator can ask why a request went where it went without
// searching the logs of every VM.
//
// A Sink stands between logr and the real sink: it passes every line on and
// keeps a copy of those that name a request. Memory is bounded by the number of
// requests and of lines each.
//
//	r := recorder.New(4096)
//	log := logr.New(r.Sink(zerologr.NewLogSink(&z)))
//	lines := r.Lines("request id")
package recorder

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// requestKey is the key of a line that names its request.
const requestKey = "request_id"

// maxLines bounds the lines kept of one request.
const maxLines = 64

// Line is one line about a request.
type Line struct {
	// At is when it was logged.
	At time.Time `json:"at"`
	// Self is the VM that logged it.
	Self string `json:"self"`
	// Name is the event's name.
	Name string `json:"name"`
	// Error is the error of the line, if any.
	Error string `json:"error,omitempty"`
	// Fields are the line's keys and values.
	Fields map[string]any `json:"fields"`
}

// Recorder holds lines by request. Use New.
type Recorder struct {
	self string

	mu       sync.Mutex
	requests *lru.LRU[string, []kept]
}

// kept is a line as it was logged; what operators read is made when they ask,
// since most lines are never read.
type kept struct {
	at    time.Time
	name  string
	err   string
	pairs []any
}

// New returns a Recorder for the VM self that remembers so many requests.
func New(self string, requests int) *Recorder {
	// NewLRU fails only for a size under one.
	l, _ := lru.NewLRU[string, []kept](max(requests, 1), nil)

	return &Recorder{self: self, requests: l}
}

// Lines returns what was logged about a request, in order.
func (r *Recorder) Lines(request string) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()

	all, _ := r.requests.Peek(request)
	lines := make([]Line, len(all))

	for i, k := range all {
		lines[i] = Line{At: k.at, Self: r.self, Name: k.name, Error: k.err, Fields: fields(k.pairs)}
	}

	return lines
}

// Len returns the number of requests remembered.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.requests.Len()
}

func (r *Recorder) keep(name, failed string, pairs []any) {
	request := requestOf(pairs)
	if request == "" {
		return
	}

	line := kept{at: time.Now(), name: name, err: failed, pairs: pairs}

	r.mu.Lock()
	defer r.mu.Unlock()

	lines, _ := r.requests.Get(request)
	if len(lines) < maxLines {
		r.requests.Add(request, append(lines, line))
	}
}

// requestOf returns the request that a line names, empty for none.
func requestOf(pairs []any) string {
	for i := 0; i+1 < len(pairs); i += 2 {
		if pairs[i] == requestKey {
			request, _ := pairs[i+1].(string)

			return request
		}
	}

	return ""
}

// fields returns a line's other keys and values.
func fields(pairs []any) map[string]any {
	m := make(map[string]any, len(pairs)/2)

	for i := 0; i+1 < len(pairs); i += 2 {
		if key, ok := pairs[i].(string); ok && key != requestKey {
			m[key] = pairs[i+1]
		}
	}

	return m
}

// Sink returns a sink that records and passes every line on to next.
func (r *Recorder) Sink(next logr.LogSink) logr.LogSink {
	return sink{recorder: r, next: next}
}

type sink struct {
	recorder *Recorder
	next     logr.LogSink
}

// Init implements logr.LogSink.
func (s sink) Init(info logr.RuntimeInfo) { s.next.Init(info) }

// Enabled implements logr.LogSink: lines for debugging are recorded though the
// real sink drops them.
func (s sink) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (s sink) Info(level int, msg string, pairs ...any) {
	s.recorder.keep(msg, "", pairs)

	if s.next.Enabled(level) {
		s.next.Info(level, msg, pairs...)
	}
}

// Error implements logr.LogSink.
func (s sink) Error(err error, msg string, pairs ...any) {
	text := ""
	if err != nil {
		text = err.Error()
	}

	s.recorder.keep(msg, text, pairs)
	s.next.Error(err, msg, pairs...)
}

// WithValues implements logr.LogSink.
func (s sink) WithValues(pairs ...any) logr.LogSink {
	return sink{recorder: s.recorder, next: s.next.WithValues(pairs...)}
}

// WithName implements logr.LogSink.
func (s sink) WithName(name string) logr.LogSink {
	return sink{recorder: s.recorder, next: s.next.WithName(name)}
}
