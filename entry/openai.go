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

// promptText is the prompt of a completion: a JSON string or a list of one string.
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
		return failure.New(failure.BadRequest, "prompt must be a single string")
	}

	*p = promptText(list[0])

	return nil
}

// chatMessage is a chat message whose content is a string or a list of text parts.
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

	var joined strings.Builder

	for _, p := range parts {
		if p.Type != "text" {
			return failure.New(failure.BadRequest, "content parts of type %q are not supported", p.Type)
		}

		joined.WriteString(p.Text)
	}

	*c = content(joined.String())

	return nil
}

// apiKind distinguishes the two completion APIs.
type apiKind uint8

const (
	textAPI apiKind = iota
	chatAPI
)

// defaultMaxTokens is the maximum length of a response, in tokens, if the caller sets
// none.
const defaultMaxTokens = 256

// parseCompletion decodes and validates a request body.
func parseCompletion(api apiKind, body []byte) (completionRequest, error) {
	var q completionRequest

	if err := json.Unmarshal(body, &q); err != nil {
		return q, failure.Wrap(failure.BadRequest, err, "the request body is not a valid completion request: %s", err)
	}

	switch {
	case q.Model == "":
		return q, failure.New(failure.BadRequest, "model is missing")
	case api == chatAPI && len(q.Messages) == 0:
		return q, failure.New(failure.BadRequest, "messages is missing")
	case api == textAPI && q.Prompt == "":
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

// render returns the prompt as the engine runs it, and its shared prefix, which
// identifies the context: for a chat, all up to and including the first user message.
func (q *completionRequest) render(api apiKind) (rendered, sharedPrefix string) {
	if api == textAPI {
		return string(q.Prompt), sharedPrefixOf(string(q.Prompt))
	}

	messages := make([]prompt.Message, len(q.Messages))
	first := len(q.Messages)

	for i, m := range q.Messages {
		messages[i] = prompt.Message{Role: m.Role, Content: string(m.Content)}

		if m.Role == "user" && first == len(q.Messages) {
			first = i + 1
		}
	}

	return prompt.Render(messages), prompt.Render(messages[:first])
}

// sharedPrefixBytes is the length of the shared prefix of a plain text prompt, in bytes.
const sharedPrefixBytes = 1024

func sharedPrefixOf(text string) string {
	return text[:min(len(text), sharedPrefixBytes)]
}

// The types below are the JSON objects in responses.

// usage is the token usage in a response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type choice struct {
	Index        int              `json:"index"`
	Text         *string          `json:"text,omitempty"`
	Message      *responseMessage `json:"message,omitempty"`
	Delta        *responseMessage `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type responseMessage struct {
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

func (k apiKind) id(requestID string) string {
	if k == chatAPI {
		return "chatcmpl-" + requestID
	}

	return "cmpl-" + requestID
}

func (k apiKind) object(stream bool) string {
	switch {
	case k == chatAPI && stream:
		return "chat.completion.chunk"
	case k == chatAPI:
		return "chat.completion"
	default:
		return "text_completion"
	}
}

// chunkChoice returns the choice for one chunk of a stream.
func (k apiKind) chunkChoice(text string, first bool, finish *string) choice {
	if k == textAPI {
		return choice{Text: &text, FinishReason: finish}
	}

	d := &responseMessage{Content: text}
	if first {
		d.Role = "assistant"
	}

	return choice{Delta: d, FinishReason: finish}
}

// fullChoice returns the choice for a complete response.
func (k apiKind) fullChoice(text, finish string) choice {
	if k == textAPI {
		return choice{Text: &text, FinishReason: &finish}
	}

	return choice{Message: &responseMessage{Role: "assistant", Content: text}, FinishReason: &finish}
}
