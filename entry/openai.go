package entry

import (
	"encoding/json"
	"strings"

	"boragehub/engine"
	"boragehub/failure"
	"boragehub/prompt"
)

// completionRequest is the body of /v1/completions and /v1/chat/completions.
type completionRequest struct {
	engine.Sampling
	Model               string        `json:"model"`
	Prompt              promptText    `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N *int `json:"n"`
}

// promptText is a prompt: one text, or a list with one text.
type promptText string

func (p *promptText) UnmarshalJSON(b []byte) error {
	var one string
	if json.Unmarshal(b, &one) == nil {
		*p = promptText(one)

		return nil
	}

	var list []string
	if err := json.Unmarshal(b, &list); err != nil {
		return err
	}

	if len(list) != 1 {
		return failure.New(failure.BadRequest, "prompt must be one text")
	}

	*p = promptText(list[0])

	return nil
}

// chatMessage is a message whose content is a text or a list of text parts.
type chatMessage struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

type content string

func (c *content) UnmarshalJSON(b []byte) error {
	var text string
	if json.Unmarshal(b, &text) == nil {
		*c = content(text)

		return nil
	}

	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}

	if err := json.Unmarshal(b, &parts); err != nil {
		return err
	}

	var whole strings.Builder

	for _, p := range parts {
		if p.Type != "text" {
			return failure.New(failure.BadRequest, "content of type %q is not served", p.Type)
		}

		whole.WriteString(p.Text)
	}

	*c = content(whole.String())

	return nil
}

// shape tells the two kinds of completion apart.
type shape uint8

const (
	textShape shape = iota
	chatShape
)

// defaultMaxTokens bounds an answer where the caller says nothing.
const defaultMaxTokens = 256

// parseCompletion reads and checks a body.
func parseCompletion(s shape, body []byte) (completionRequest, error) {
	var q completionRequest

	if err := json.Unmarshal(body, &q); err != nil {
		return q, failure.Wrap(failure.BadRequest, err, "the body is not the JSON of a completion: %s", err)
	}

	switch {
	case q.Model == "":
		return q, failure.New(failure.BadRequest, "model is missing")
	case s == chatShape && len(q.Messages) == 0:
		return q, failure.New(failure.BadRequest, "messages is missing")
	case s == textShape && q.Prompt == "":
		return q, failure.New(failure.BadRequest, "prompt is missing")
	case q.N != nil && *q.N != 1:
		return q, failure.New(failure.BadRequest, "n must be 1")
	case q.maxTokens() < 1:
		return q, failure.New(failure.BadRequest, "max_tokens must be at least 1")
	}

	return q, nil
}

func (q *completionRequest) maxTokens() int {
	switch {
	case q.MaxCompletionTokens != nil:
		return *q.MaxCompletionTokens
	case q.MaxTokens != nil:
		return *q.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// text returns the prompt that the engine runs and its opening, which names the
// context: all up to and with the first user message.
func (q *completionRequest) text(s shape) (text, opening string) {
	if s == textShape {
		return string(q.Prompt), openingOf(string(q.Prompt))
	}

	all := make([]prompt.Message, len(q.Messages))
	first := len(q.Messages)

	for i, m := range q.Messages {
		all[i] = prompt.Message{Role: m.Role, Content: string(m.Content)}

		if m.Role == "user" && first == len(q.Messages) {
			first = i + 1
		}
	}

	return prompt.Render(all), prompt.Render(all[:first])
}

// openingBytes is how much of a plain text prompt names its context.
const openingBytes = 1024

func openingOf(text string) string {
	return text[:min(len(text), openingBytes)]
}

// The answers' shapes.

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (s shape) id(requestID string) string {
	if s == chatShape {
		return "chatcmpl-" + requestID
	}

	return "cmpl-" + requestID
}

func (s shape) object(stream bool) string {
	switch {
	case s == chatShape && stream:
		return "chat.completion.chunk"
	case s == chatShape:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// piece returns the choice for one piece of a stream.
func (s shape) piece(text string, first bool, finish *string) choice {
	if s == textShape {
		return choice{Text: &text, FinishReason: finish}
	}

	d := &answerMessage{Content: text}
	if first {
		d.Role = "assistant"
	}

	return choice{Delta: d, FinishReason: finish}
}

// whole returns the choice of a whole answer.
func (s shape) whole(text, finish string) choice {
	if s == textShape {
		return choice{Text: &text, FinishReason: &finish}
	}

	return choice{Message: &answerMessage{Role: "assistant", Content: text}, FinishReason: &finish}
}
