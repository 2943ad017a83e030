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

	"boragehub/failure"
)

// Sampling holds the caller's wishes that only the engine reads.
type Sampling struct {
	// Temperature and TopP shape the draw of tokens; nil leaves it to the engine.
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	// PresencePenalty and FrequencyPenalty discourage repetition.
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	// Seed makes the draw repeatable.
	Seed *int64 `json:"seed,omitempty"`
	// Stop are texts that end the answer.
	Stop Stops `json:"stop,omitempty"`
}

// Stops are texts that end an answer. In JSON it may be one text or a list.
type Stops []string

// UnmarshalJSON reads one text or a list.
func (s *Stops) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*s = Stops{one}

		return nil
	}

	var list []string
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}

	*s = list

	return nil
}

// Completion is a prompt to run.
type Completion struct {
	Sampling
	// Model is the model's name.
	Model string `json:"model"`
	// Prompt is the rendered text.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the whole answer, ResumeText included.
	MaxTokens int `json:"max_tokens"`
	// Stream is always set by Complete.
	Stream bool `json:"stream"`
	// Priority orders those that wait; lower is sooner.
	Priority int `json:"priority"`
	// CacheSalt keeps organisations' blocks apart.
	CacheSalt string `json:"cache_salt"`
	// WeightVersion is the version that must be loaded.
	WeightVersion string `json:"weight_version,omitempty"`
	// Adapter is the adapter to use.
	Adapter string `json:"adapter,omitempty"`
	// RequestID names the run in the engine's logs and in the answer's id, so it
	// must be unique: callers may use one request id twice.
	RequestID string `json:"request_id"`
	// ResumeText is the part of the answer that is there already.
	ResumeText string `json:"resume_text,omitempty"`
}

// Usage counts a run's tokens.
type Usage struct {
	// PromptTokens and CompletionTokens are the lengths of prompt and answer.
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	// Details tells how much of the prompt came from the cache.
	Details struct {
		// CachedTokens were not computed.
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Piece is a part of an answer; the last one has Finish and Usage.
type Piece struct {
	// Text is what came.
	Text string
	// Finish is the finish reason, empty before the end.
	Finish string
	// Usage is set with Finish.
	Usage Usage
}

type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage `json:"usage"`
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// maxLine bounds one line of the stream.
const maxLine = 1 << 20

// Complete runs q and hands each piece to take, in order. It returns nil only
// after the engine's own end mark: an answer that stops earlier is an error, so
// that a cut answer never passes for a whole one. An error of take ends the run.
func (c Client) Complete(ctx context.Context, q Completion, take func(Piece) error) error {
	q.Stream = true

	b, err := json.Marshal(q)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "a completion could not be encoded")
	}

	a := &answering{}

	resp, err := c.send(a.watch(ctx), http.MethodPost, "/v1/completions", "application/json", b)
	if err != nil {
		return a.unread(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}

	return read(resp.Body, q.RequestID, take)
}

// refusal maps an engine's refusal, which it gives before anything runs.
func refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))

	switch resp.StatusCode {
	case http.StatusConflict:
		return failure.New(failure.WrongVersion, "the engine has other weights loaded")
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return failure.New(failure.QueueFull, "the engine is full")
	case http.StatusBadRequest, http.StatusNotFound:
		return failure.New(failure.BadRequest, "the engine refused the request: %s", text)
	default:
		return failure.New(failure.TargetLost, "the engine answered %d", resp.StatusCode)
	}
}

func read(r io.Reader, requestID string, take func(Piece) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)

	finished := false

	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}

		if bytes.Equal(data, doneMark) {
			if !finished {
				return failure.New(failure.TargetLost, "the engine ended an answer without a finish reason")
			}

			return nil
		}

		p, err := decode(data, requestID)
		if err != nil {
			return err
		}

		finished = finished || p.Finish != ""

		if err := take(p); err != nil {
			return err
		}
	}

	return failure.Wrap(failure.TargetLost, cause(lines.Err()), "the engine's answer was cut")
}

func cause(err error) error {
	if err == nil {
		return errors.New("the connection ended before the end mark")
	}

	return err
}

// decode reads one piece. Its id must bear the request's: an answer that crossed
// another one on its way looks whole in every other respect, and a caller would
// read somebody else's.
func decode(data []byte, requestID string) (Piece, error) {
	var k chunk
	if err := json.Unmarshal(data, &k); err != nil {
		return Piece{}, failure.Wrap(failure.TargetLost, err, "a piece of the engine's answer could not be read")
	}

	if !strings.Contains(k.ID, requestID) {
		return Piece{}, failure.New(failure.BadMessage, "an answer to %q came for %q", k.ID, requestID)
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
