package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"boragehub/message"
)

// sink takes an answer on its way to the caller.
type sink interface {
	// token passes one token on; an error means that the caller is gone.
	token(text string) error
	// done ends a whole answer.
	done(d message.Done) error
	// begun reports whether the caller has got anything yet.
	begun() bool
}

// head is what all pieces of an answer share.
type head struct {
	shape   shape
	id      string
	model   string
	created time.Time
}

func (h head) completion(stream bool, choices []choice, u *usage) completion {
	return completion{
		ID:      h.shape.id(h.id),
		Object:  h.shape.object(stream),
		Created: h.created.Unix(),
		Model:   h.model,
		Choices: choices,
		Usage:   u,
	}
}

func usageOf(d message.Done) *usage {
	u := &usage{PromptTokens: d.PromptTokens, CompletionTokens: d.Tokens, TotalTokens: d.PromptTokens + d.Tokens}
	u.Details.CachedTokens = d.CachedTokens

	return u
}

// wholeSink collects an answer and writes it only when it is whole.
type wholeSink struct {
	head
	w    http.ResponseWriter
	text strings.Builder
}

func (s *wholeSink) token(text string) error {
	_, err := s.text.WriteString(text)

	return err
}

func (s *wholeSink) begun() bool { return false }

func (s *wholeSink) done(d message.Done) error {
	s.w.Header().Set("Content-Type", "application/json")

	return json.NewEncoder(s.w).Encode(s.completion(false, []choice{s.shape.whole(s.text.String(), d.Finish)}, usageOf(d)))
}

// streamSink writes an answer as server-sent events.
type streamSink struct {
	head
	w         http.ResponseWriter
	flush     func() error
	withUsage bool
	started   bool
}

func newStreamSink(h head, w http.ResponseWriter, withUsage bool) *streamSink {
	return &streamSink{head: h, w: w, flush: http.NewResponseController(w).Flush, withUsage: withUsage}
}

func (s *streamSink) begun() bool { return s.started }

func (s *streamSink) token(text string) error {
	first := !s.started
	s.start()

	return s.write(s.completion(true, []choice{s.shape.piece(text, first, nil)}, nil))
}

func (s *streamSink) done(d message.Done) error {
	s.start()

	if err := s.write(s.completion(true, []choice{s.shape.piece("", false, &d.Finish)}, nil)); err != nil {
		return err
	}

	if s.withUsage {
		if err := s.write(s.completion(true, []choice{}, usageOf(d))); err != nil {
			return err
		}
	}

	return s.raw("[DONE]")
}

func (s *streamSink) start() {
	if s.started {
		return
	}

	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) write(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}

	return s.raw(string(b))
}

func (s *streamSink) raw(data string) error {
	if _, err := s.w.Write([]byte("data: " + data + "\n\n")); err != nil {
		return err
	}

	return s.flush()
}
