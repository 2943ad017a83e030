// Package recorder keeps the log lines of recent requests in memory, so that an
// operator can look up why a request was routed to a target without searching the
// logs of every VM.
//
// The sink that Sink returns sits between logr and the real sink: it passes every
// line on and records those with a request ID. Memory is bounded by a maximum
// number of requests and of lines per request; the requests logged about least recently
// are evicted.
//
//	r := recorder.New("e1", 4096)
//	log := logr.New(r.Sink(zerologr.NewLogSink(&z)))
//	lines := r.Lines("request id")
package recorder

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// requestKey is the key of the request ID in a line.
const requestKey = "request_id"

// maxLinesPerRequest is the maximum number of lines recorded for one request; later
// lines are dropped.
const maxLinesPerRequest = 64

// bytesPerRequest is how many bytes are kept for each request on average, lineBytes what a line takes besides its
// texts.
const (
	bytesPerRequest = 8 << 10
	lineBytes       = 512
	minBytes        = 1 << 20
)

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
	// Fields are the line's other keys and values.
	Fields map[string]any `json:"fields"`
}

// Recorder holds lines by request ID. It is safe for concurrent use. Use New.
type Recorder struct {
	self string

	mu       sync.Mutex
	requests *lru.LRU[string, []recordedLine]
	bytes    int // of all lines
	maxBytes int
}

// recordedLine is a line as it was logged. It is converted to a Line only when it is
// requested, since most lines are never read.
type recordedLine struct {
	at            time.Time
	name          string
	err           string
	keysAndValues []any
	bytes         int
}

// New returns a Recorder for the VM self that holds the lines of at most requests
// requests, and of one if requests is less than 1.
func New(self string, requests int) *Recorder {
	r := &Recorder{self: self, maxBytes: max(requests*bytesPerRequest, minBytes)}

	// NewLRU fails only for a size under one.
	r.requests, _ = lru.NewLRU(max(requests, 1), func(_ string, lines []recordedLine) {
		for _, l := range lines {
			r.bytes -= l.bytes
		}
	})

	return r
}

// Lines returns the recorded lines of a request in the order in which they were
// logged; none for an unknown request.
func (r *Recorder) Lines(request string) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()

	all, _ := r.requests.Peek(request)
	lines := make([]Line, len(all))

	for i, k := range all {
		lines[i] = Line{At: k.at, Self: r.self, Name: k.name, Error: k.err, Fields: fields(k.keysAndValues)}
	}

	return lines
}

// Len returns the number of requests with recorded lines.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.requests.Len()
}

func (r *Recorder) record(name, errText string, keysAndValues []any) {
	request := requestID(keysAndValues)
	if request == "" {
		return
	}

	line := recordedLine{at: time.Now(), name: name, err: shorten(errText)}
	line.keysAndValues, line.bytes = shortenAll(keysAndValues)
	line.bytes += len(line.err) + lineBytes

	r.mu.Lock()
	defer r.mu.Unlock()

	lines, _ := r.requests.Get(request)
	if len(lines) < maxLinesPerRequest {
		r.requests.Add(request, append(lines, line))
		r.bytes += line.bytes
	}

	for r.bytes > r.maxBytes && r.requests.Len() > 1 {
		r.requests.RemoveOldest()
	}
}

// maxTextBytes is how much of a text in a line is kept.
const maxTextBytes = 1 << 10

// shorten returns the beginning of a text, without keeping the rest of it in memory.
func shorten(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}

	return strings.Clone(text[:maxTextBytes])
}

// shortenAll returns keys and values with shortened texts, and the length of these.
func shortenAll(all []any) (short []any, bytes int) {
	for i, v := range all {
		text, ok := v.(string)
		if !ok {
			continue
		}

		if len(text) > maxTextBytes && short == nil {
			short = slices.Clone(all)
		}

		if short != nil {
			short[i] = shorten(text)
		}

		bytes += min(len(text), maxTextBytes)
	}

	if short == nil {
		short = all
	}

	return short, bytes
}

// requestID returns the request ID in a line, empty if there is none.
func requestID(keysAndValues []any) string {
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if keysAndValues[i] == requestKey {
			request, _ := keysAndValues[i+1].(string)

			return request
		}
	}

	return ""
}

// fields returns a line's keys and values other than the request ID.
func fields(keysAndValues []any) map[string]any {
	m := make(map[string]any, len(keysAndValues)/2)

	for i := 0; i+1 < len(keysAndValues); i += 2 {
		if key, ok := keysAndValues[i].(string); ok && key != requestKey {
			m[key] = keysAndValues[i+1]
		}
	}

	return m
}

// Sink returns a sink that records the lines with a request ID and passes every line
// on to next.
func (r *Recorder) Sink(next logr.LogSink) logr.LogSink {
	return recordingSink{recorder: r, next: next}
}

type recordingSink struct {
	recorder *Recorder
	next     logr.LogSink
}

// Init implements logr.LogSink.
func (s recordingSink) Init(info logr.RuntimeInfo) { s.next.Init(info) }

// Enabled implements logr.LogSink. It returns true for every level, since debug lines
// are recorded even if the real sink drops them.
func (s recordingSink) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (s recordingSink) Info(level int, msg string, keysAndValues ...any) {
	s.recorder.record(msg, "", keysAndValues)

	if s.next.Enabled(level) {
		s.next.Info(level, msg, keysAndValues...)
	}
}

// Error implements logr.LogSink.
func (s recordingSink) Error(err error, msg string, keysAndValues ...any) {
	text := ""
	if err != nil {
		text = err.Error()
	}

	s.recorder.record(msg, text, keysAndValues)
	s.next.Error(err, msg, keysAndValues...)
}

// WithValues implements logr.LogSink.
func (s recordingSink) WithValues(keysAndValues ...any) logr.LogSink {
	return recordingSink{recorder: s.recorder, next: s.next.WithValues(keysAndValues...)}
}

// WithName implements logr.LogSink.
func (s recordingSink) WithName(name string) logr.LogSink {
	return recordingSink{recorder: s.recorder, next: s.next.WithName(name)}
}
