package wholepath

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"boragehub/prompt"
	"boragehub/standin/engine"
)

// client returns the official client of the OpenAI API for one entry, with its
// own retries disabled.
func (n *entryNode) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(n.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// chatParams returns the parameters of a chat with one question, and the prompt
// that they are rendered to.
func chatParams(text string) (openai.ChatCompletionNewParams, string) {
	q := openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage(text)},
	}

	return q, prompt.Render([]prompt.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: text}})
}

// completionParams returns the parameters of a text completion.
func completionParams(s string, tokens int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(s)},
	}
}

// complete requests a completion without streaming and returns its text.
func (n *entryNode) complete(ctx context.Context, key, s string, tokens int64) (string, error) {
	c := n.client(key)

	resp, err := c.Completions.New(ctx, completionParams(s, tokens))
	if err != nil {
		return "", err
	}

	return resp.Choices[0].Text, nil
}

// stream requests a streamed completion and returns the text received, also when
// the stream ends with an error.
func (n *entryNode) stream(ctx context.Context, key, s string, tokens int64) (string, error) {
	return n.streamWithCallback(ctx, key, s, tokens, func() {})
}

// streamWithCallback is like stream and calls onChunk after each chunk.
func (n *entryNode) streamWithCallback(ctx context.Context, key, s string, tokens int64, onChunk func()) (string, error) {
	c := n.client(key)
	stream := c.Completions.NewStreaming(ctx, completionParams(s, tokens))

	var got strings.Builder

	finished := false

	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			got.WriteString(choice.Text)
			onChunk()

			finished = finished || choice.FinishReason != ""
		}
	}

	if stream.Err() == nil && !finished {
		return got.String(), errors.New("the stream ended without a finish reason")
	}

	return got.String(), stream.Err()
}

func TestOfficialClient(t *testing.T) {
	env := start(t, envConfig{engines: 1})
	cases := []struct {
		name string
		test func(t *testing.T, n *entryNode)
	}{
		{"complete chat", completeChat},
		{"streamed chat", streamedChat},
		{"text", textCompletion},
		{"models", listModels},
		{"error", errorResponse},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.test(t, env.entries[0]) })
	}
}

func completeChat(t *testing.T, n *entryNode) {
	q, rendered := chatParams("is there a seat at six?")
	c := n.client(deskKey)

	resp, err := c.Chat.Completions.New(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}

	if got, want := resp.Choices[0].Message.Content, engine.CompletionText(rendered, 12); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := resp.Usage.CompletionTokens, int64(12); got != want {
		t.Errorf("got %d completion tokens, want %d", got, want)
	}

	if got, want := resp.Choices[0].FinishReason, "length"; got != want {
		t.Errorf("got finish reason %q, want %q", got, want)
	}
}

func streamedChat(t *testing.T, n *entryNode) {
	q, rendered := chatParams("and at seven?")
	q.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	c := n.client(deskKey)
	stream := c.Chat.Completions.NewStreaming(t.Context(), q)
	accumulated := openai.ChatCompletionAccumulator{}

	for stream.Next() {
		if !accumulated.AddChunk(stream.Current()) {
			t.Fatal("a chunk does not belong to the response")
		}
	}

	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}

	if got, want := accumulated.Choices[0].Message.Content, engine.CompletionText(rendered, 12); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := accumulated.Usage.CompletionTokens, int64(12); got != want {
		t.Errorf("got %d completion tokens, want %d", got, want)
	}
}

func textCompletion(t *testing.T, n *entryNode) {
	for _, complete := range []func(context.Context, string, string, int64) (string, error){n.complete, n.stream} {
		got, err := complete(t.Context(), deskKey, "an airport shuttle", 9)
		if want := engine.CompletionText("an airport shuttle", 9); got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
}

func listModels(t *testing.T, n *entryNode) {
	c := n.client(deskKey)

	page, err := c.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if got, want := len(page.Data), 1; got != want || page.Data[0].ID != model {
		t.Errorf("got %d models %+v, want %s", got, page.Data, model)
	}
}

func errorResponse(t *testing.T, n *entryNode) {
	_, err := n.complete(t.Context(), "wrong", "an airport shuttle", 9)

	var got *openai.Error
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want an error of the API", err)
	}

	if got.StatusCode != http.StatusUnauthorized || got.Code != "invalid_api_key" || got.Type != "authentication_error" || got.Message == "" {
		t.Errorf("got %d %q %q %q, want 401 invalid_api_key authentication_error and a message", got.StatusCode, got.Code, got.Type, got.Message)
	}
}

// A caller disconnects during a long response. If the run were not cancelled, the
// engine's batch slots would fill up with abandoned responses, and later requests
// would wait for them.
func TestCancelReleasesBatchSlot(t *testing.T) {
	slow := func(_ int, cfg *engine.Config) { cfg.MaxRunning, cfg.DecodeTokensPerSecond = 1, 20 }
	env := start(t, envConfig{engines: 1, configureEngine: slow})

	for _, variant := range []struct {
		name string
		call func(context.Context, string, string, int64) (string, error)
	}{{"stream", env.entries[0].stream}, {"whole", env.entries[0].complete}} {
		ctx, cancel := context.WithCancel(t.Context())
		before := len(env.engines[0].engine.Runs())
		ended := make(chan error, 1)

		go func() {
			_, err := variant.call(ctx, deskKey, "tell me everything about "+variant.name, 10_000)
			ended <- err
		}()

		env.eventually("the run never started", func() bool { return len(env.engines[0].engine.Runs()) > before })
		cancel()

		if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
			t.Errorf("%s: got %v, want %v", variant.name, got, want)
		}

		env.eventually(variant.name+": the batch slot was not released", func() bool { return env.engines[0].engine.Running() == 0 })
	}

	if got, err := env.entries[0].complete(t.Context(), deskKey, "a seat?", 2); got != engine.CompletionText("a seat?", 2) {
		t.Errorf("the next request: got %q, %v, want %q", got, err, engine.CompletionText("a seat?", 2))
	}
}
