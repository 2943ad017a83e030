package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"boragehub/eventstream"
	"boragehub/failure"
)

// Sampling holds the caller's sampling parameters, which only the engine evaluates.
type Sampling struct {
	// Temperature and TopP control the sampling of tokens; nil means the engine's default.
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	// PresencePenalty and FrequencyPenalty reduce repetition; nil as above.
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	// Seed makes the sampling reproducible.
	Seed *int64 `json:"seed,omitempty"`
	// Stop are texts that end the completion.
	Stop StopSequences `json:"stop,omitempty"`
}

// StopSequences are texts that end a completion. In JSON they may be one string or a
// list of strings.
type StopSequences []string

// UnmarshalJSON reads one string or a list of strings.
func (s *StopSequences) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*s = StopSequences{one}

		return nil
	}

	var list []string
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}

	*s = list

	return nil
}

// Completion is a completion request.
type Completion struct {
	Sampling
	// Model is the model's name.
	Model string `json:"model"`
	// Prompt is the rendered text.
	Prompt string `json:"prompt"`
	// MaxTokens is the maximum length of the completion, ResumeText included.
	MaxTokens int `json:"max_tokens"`
	// Stream is always set by Complete.
	Stream bool `json:"stream"`
	// Priority orders the wait queue; a lower value runs sooner.
	Priority int `json:"priority"`
	// CacheSalt separates the cache blocks of organisations.
	CacheSalt string `json:"cache_salt"`
	// WeightVersion is the version that must be loaded; empty means any.
	WeightVersion string `json:"weight_version,omitempty"`
	// Adapter is the adapter to use; empty means none.
	Adapter string `json:"adapter,omitempty"`
	// RequestID identifies the run in the engine's logs and in the response's ID. It must
	// be unique per run, since callers may use the same request ID twice.
	RequestID string `json:"request_id"`
	// ResumeText is the part of the completion generated earlier, which the engine
	// continues.
	ResumeText string `json:"resume_text,omitempty"`
}

// Usage is a run's token usage.
type Usage struct {
	// PromptTokens and CompletionTokens are the lengths of prompt and completion.
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// Details says how much of the prompt was cached.
	Details struct {
		// CachedTokens is the number of prompt tokens read from the KV cache.
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Piece is a part of a streamed completion; the last one has Finish and Usage.
type Piece struct {
	// Text is the generated text.
	Text string
	// Finish is the finish reason, empty before the end.
	Finish string
	// Usage is set with Finish.
	Usage Usage
}

type completionChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

var doneMark = []byte("[DONE]")

// maxEventBytes is the maximum length of one event of a stream.
const maxEventBytes = 1 << 20

// Complete runs q and passes each piece to handle, in order. It returns nil only after
// the engine's end marker: a response that ends earlier is an error, so that a truncated
// response is never taken for a complete one. An error of handle ends the run and is
// returned.
func (c Client) Complete(ctx context.Context, q Completion, handle func(Piece) error) error {
	q.Stream = true

	b, err := json.Marshal(q)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "a completion could not be encoded")
	}

	tracker := &responseTracker{}

	resp, err := c.send(tracker.withTrace(ctx), http.MethodPost, "/v1/completions", "application/json", b)
	if err != nil {
		return tracker.asRefusal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return refusalError(resp)
	}

	return readStream(resp.Body, q.RequestID, handle)
}

// refusalError returns the error for a response with a status other than 200. Each
// status with its own case is one that an engine sends before anything runs.
func refusalError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))

	switch resp.StatusCode {
	case http.StatusConflict:
		return failure.New(failure.WrongVersion, "the engine has other weights loaded")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return failure.New(failure.QueueFull, "the engine is full")
	case http.StatusBadRequest, http.StatusNotFound:
		return failure.New(failure.BadRequest, "the engine refused the request: %s", text)
	default:
		return failure.New(failure.TargetLost, "the engine responded with status %d", resp.StatusCode)
	}
}

func readStream(r io.Reader, requestID string, handle func(Piece) error) error {
	events := bufio.NewScanner(r)
	events.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	events.Split(eventstream.Split)

	finished := false

	for events.Scan() {
		data := eventstream.Data(events.Bytes())
		if len(data) == 0 {
			continue
		}

		if bytes.Equal(data, doneMark) {
			if !finished {
				return failure.New(failure.TargetLost, "the engine ended a response without a finish reason")
			}

			return nil
		}

		p, err := decodePiece(data, requestID)
		if err != nil {
			return err
		}

		finished = finished || p.Finish != ""

		if err := handle(p); err != nil {
			return err
		}
	}

	return failure.Wrap(failure.TargetLost, streamError(events.Err()), "the engine's response was incomplete")
}

func streamError(err error) error {
	if err == nil {
		return errors.New("the connection ended before the end marker")
	}

	return err
}

// decodePiece decodes one piece. Its ID must contain the request's: a response to
// another request looks complete in every other respect, and the caller would get
// another caller's completion.
func decodePiece(data []byte, requestID string) (Piece, error) {
	var k completionChunk
	if err := json.Unmarshal(data, &k); err != nil {
		return Piece{}, failure.Wrap(failure.TargetLost, err, "a piece of the engine's response could not be decoded")
	}

	if !strings.Contains(k.ID, requestID) {
		return Piece{}, failure.New(failure.BadMessage, "got a response to %q for request %q", k.ID, requestID)
	}

	var p Piece

	if len(k.Choices) > 0 {
		p.Text = k.Choices[0].Text

		if f := k.Choices[0].FinishReason; f != nil {
			p.Finish = *f
		}
	}

	if k.Usage != nil {
		p.Usage = *k.Usage
	}

	return p, nil
}
