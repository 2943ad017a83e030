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

// client returns the official client of the OpenAI API for one entry, as its
// users get it but for retries of its own.
func (n *entryNode) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(n.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

// question is a chat with one question.
func question(text string) (openai.ChatCompletionNewParams, string) {
	q := openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage(text)},
	}

	return q, prompt.Render([]prompt.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: text}})
}

// text is a plain prompt.
func text(s string, tokens int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(s)},
	}
}

// complete asks for a whole completion and returns its text.
func (n *entryNode) complete(ctx context.Context, key, s string, tokens int64) (string, error) {
	c := n.client(key)

	answer, err := c.Completions.New(ctx, text(s, tokens))
	if err != nil {
		return "", err
	}

	return answer.Choices[0].Text, nil
}

// stream asks for a streamed completion and returns what came of its text.
func (n *entryNode) stream(ctx context.Context, key, s string, tokens int64) (string, error) {
	return n.read(ctx, key, s, tokens, func() {})
}

// read is stream that calls piece after each piece.
func (n *entryNode) read(ctx context.Context, key, s string, tokens int64, piece func()) (string, error) {
	c := n.client(key)
	answer := c.Completions.NewStreaming(ctx, text(s, tokens))

	var got strings.Builder

	finished := false

	for answer.Next() {
		for _, choice := range answer.Current().Choices {
			got.WriteString(choice.Text)
			piece()

			finished = finished || choice.FinishReason != ""
		}
	}

	if answer.Err() == nil && !finished {
		return got.String(), errors.New("the stream ended without a finish reason")
	}

	return got.String(), answer.Err()
}

func TestOfficialClient(t *testing.T) {
	w := start(t, shape{engines: 1})
	cases := []struct {
		name string
		test func(t *testing.T, n *entryNode)
	}{
		{"whole chat", wholeChat},
		{"streamed chat", streamedChat},
		{"text", plainText},
		{"models", listOfModels},
		{"error", errorShape},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.test(t, w.entries[0]) })
	}
}

func wholeChat(t *testing.T, n *entryNode) {
	q, rendered := question("is there a seat at six?")
	c := n.client(desk)

	answer, err := c.Chat.Completions.New(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}

	if got, want := answer.Choices[0].Message.Content, engine.Answer(rendered, 12); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := answer.Usage.CompletionTokens, int64(12); got != want {
		t.Errorf("got %d completion tokens, want %d", got, want)
	}

	if got, want := answer.Choices[0].FinishReason, "length"; got != want {
		t.Errorf("got finish reason %q, want %q", got, want)
	}
}

func streamedChat(t *testing.T, n *entryNode) {
	q, rendered := question("and at seven?")
	q.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	c := n.client(desk)
	answer := c.Chat.Completions.NewStreaming(t.Context(), q)
	whole := openai.ChatCompletionAccumulator{}

	for answer.Next() {
		if !whole.AddChunk(answer.Current()) {
			t.Fatal("a chunk does not belong to the answer")
		}
	}

	if err := answer.Err(); err != nil {
		t.Fatal(err)
	}

	if got, want := whole.Choices[0].Message.Content, engine.Answer(rendered, 12); got != want {
		t.Errorf("got %q, want %q", got, want)
	}

	if got, want := whole.Usage.CompletionTokens, int64(12); got != want {
		t.Errorf("got %d completion tokens, want %d", got, want)
	}
}

func plainText(t *testing.T, n *entryNode) {
	for _, ask := range []func(context.Context, string, string, int64) (string, error){n.complete, n.stream} {
		got, err := ask(t.Context(), desk, "an airport shuttle", 9)
		if want := engine.Answer("an airport shuttle", 9); got != want || err != nil {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
}

func listOfModels(t *testing.T, n *entryNode) {
	c := n.client(desk)

	page, err := c.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if got, want := len(page.Data), 1; got != want || page.Data[0].ID != model {
		t.Errorf("got %d models %+v, want %s", got, page.Data, model)
	}
}

func errorShape(t *testing.T, n *entryNode) {
	_, err := n.complete(t.Context(), "wrong", "an airport shuttle", 9)

	var got *openai.Error
	if !errors.As(err, &got) {
		t.Fatalf("got %v, want an error of the API", err)
	}

	if got.StatusCode != http.StatusUnauthorized || got.Code != "invalid_api_key" || got.Type != "authentication_error" || got.Message == "" {
		t.Errorf("got %d %q %q %q, want 401 invalid_api_key authentication_error and a message", got.StatusCode, got.Code, got.Type, got.Message)
	}
}

// A rider closes the page while a long answer is streaming. If the run went on,
// the engine's places would fill up with answers that nobody reads, and the next
// rider would wait for them.
func TestCancelFreesTheEnginesPlace(t *testing.T) {
	slow := func(_ int, cfg *engine.Config) { cfg.MaxRunning, cfg.DecodeTokensPerSecond = 1, 20 }
	w := start(t, shape{engines: 1, engine: slow})

	for _, ask := range []struct {
		name string
		call func(context.Context, string, string, int64) (string, error)
	}{{"stream", w.entries[0].stream}, {"whole", w.entries[0].complete}} {
		ctx, cancel := context.WithCancel(t.Context())
		before := len(w.engines[0].engine.Runs())
		ended := make(chan error, 1)

		go func() {
			_, err := ask.call(ctx, desk, "tell me everything about "+ask.name, 10_000)
			ended <- err
		}()

		w.eventually("the run never began", func() bool { return len(w.engines[0].engine.Runs()) > before })
		cancel()

		if got, want := <-ended, context.Canceled; !errors.Is(got, want) {
			t.Errorf("%s: got %v, want %v", ask.name, got, want)
		}

		w.eventually(ask.name+": the place was not freed", func() bool { return w.engines[0].engine.Running() == 0 })
	}

	if got, err := w.entries[0].complete(t.Context(), desk, "a seat?", 2); got != engine.Answer("a seat?", 2) {
		t.Errorf("the next rider: got %q, %v, want %q", got, err, engine.Answer("a seat?", 2))
	}
}
