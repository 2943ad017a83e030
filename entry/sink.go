package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"boragehub/message"
)

// sink writes a response to the caller.
type sink interface {
	// writeToken writes one token; an error means that the caller has disconnected.
	writeToken(text string) error
	// finish ends a complete response.
	finish(d message.Done) error
	// hasWritten reports whether any part of the response was written to the caller.
	hasWritten() bool
}

// responseMeta is what all chunks of a response have in common.
type responseMeta struct {
	api     apiKind
	id      string
	model   string
	created time.Time
}

func (m responseMeta) completion(stream bool, choices []choice, u *usage) completion {
	return completion{
		ID:      m.api.id(m.id),
		Object:  m.api.object(stream),
		Created: m.created.Unix(),
		Model:   m.model,
		Choices: choices,
		Usage:   u,
	}
}

func usageOf(d message.Done) *usage {
	u := &usage{PromptTokens: d.PromptTokens, CompletionTokens: d.Tokens, TotalTokens: d.PromptTokens + d.Tokens}
	u.Details.CachedTokens = d.CachedTokens

	return u
}

// bufferedSink buffers a response and writes it when it is complete.
type bufferedSink struct {
	responseMeta
	w    http.ResponseWriter
	text strings.Builder
}

func (s *bufferedSink) writeToken(text string) error {
	_, err := s.text.WriteString(text)

	return err
}

func (s *bufferedSink) hasWritten() bool { return false }

func (s *bufferedSink) finish(d message.Done) error {
	s.w.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(s.w).Encode(s.completion(false, []choice{s.api.fullChoice(s.text.String(), d.FinishReason)}, usageOf(d)))
}

// streamSink writes a response as server-sent events.
type streamSink struct {
	responseMeta
	w     http.ResponseWriter
	flush func() error
	// limitWrite sets the time until which a write may block.
	limitWrite func(time.Time) error
	withUsage  bool
	started    bool
}

func newStreamSink(meta responseMeta, w http.ResponseWriter, withUsage bool) *streamSink {
	c := http.NewResponseController(w)

	return &streamSink{responseMeta: meta, w: w, flush: c.Flush, limitWrite: c.SetWriteDeadline, withUsage: withUsage}
}

func (s *streamSink) hasWritten() bool { return s.started }

func (s *streamSink) writeToken(text string) error {
	first := !s.started
	s.writeHeader()

	return s.writeChunk(s.completion(true, []choice{s.api.chunkChoice(text, first, nil)}, nil))
}

func (s *streamSink) finish(d message.Done) error {
	s.writeHeader()

	if err := s.writeChunk(s.completion(true, []choice{s.api.chunkChoice("", false, &d.FinishReason)}, nil)); err != nil {
		return err
	}

	if s.withUsage {
		if err := s.writeChunk(s.completion(true, []choice{}, usageOf(d))); err != nil {
			return err
		}
	}

	return s.writeData("[DONE]")
}

func (s *streamSink) writeHeader() {
	if s.started {
		return
	}

	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeChunk(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}

	return s.writeData(string(b))
}

// eventWriteTimeout is how long a caller may take to read what it is sent of a stream. The run at the engine waits
// meanwhile.
const eventWriteTimeout = 30 * time.Second

func (s *streamSink) writeData(data string) error {
	if err := s.limitWrite(time.Now().Add(eventWriteTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}

	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}

	return s.flush()
}
