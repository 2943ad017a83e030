// Command trial is the caller in the trial run of scripts/run.sh. On a system that the script
// has started, it checks the main steps: a prompt is answered, its context is stored and
// fetched for a continuation, and a repeated booking runs once. It exits with status 1 when a
// step fails.
//
//	trial --entry http://127.0.0.1:9101 --entry http://127.0.0.1:9102 --key KEY \
//	      --engine http://127.0.0.1:8001 --engine http://127.0.0.1:8002
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"boragehub/failure"
	"boragehub/upstream"
	"boragehub/wholebody"
)

// Timeouts and retry interval.
const (
	callTimeout   = 20 * time.Second
	retryTimeout  = 20 * time.Second
	retryInterval = 100 * time.Millisecond
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 64 << 20

// trial is one run against a system: its parameters and its HTTP client.
type trial struct {
	entries  []string
	engines  []string
	stores   []string
	key      string
	model    string
	service  string
	workload string
	http     *http.Client
}

func main() {
	t := &trial{http: &http.Client{Timeout: callTimeout, Transport: upstream.NewTransport(upstream.TransportConfig{})}, model: "shuttle-8b", service: "booking-api"}

	flaggy.SetName("trial")
	flaggy.SetDescription("Checks the main steps on a running system.")
	flaggy.StringSlice(&t.entries, "e", "entry", "callers' URL of an entry; may be repeated")
	flaggy.StringSlice(&t.engines, "g", "engine", "URL of an engine stand-in; may be repeated")
	flaggy.StringSlice(&t.stores, "s", "store", "URL of a store stand-in; may be repeated")
	flaggy.String(&t.key, "k", "key", "API key of an organisation")
	flaggy.String(&t.workload, "w", "workload", "workload that requests name")
	flaggy.Parse()

	if err := t.run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		os.Exit(1)
	}
}

// step is one check; do returns a line that describes what was observed.
type step struct {
	name string
	do   func(ctx context.Context) (seen string, err error)
}

func (t *trial) run(ctx context.Context) error {
	var original, continuation completion

	key := uuid.Must(uuid.NewV7()).String()
	conversation := []message{
		{"system", "You answer riders of the airport shuttle."},
		{"user", "Fare rules: " + strings.Repeat("a child under five rides free with an adult; ", 60) + "Is there a seat at noon?"},
	}

	steps := []step{
		{"a prompt is answered", func(ctx context.Context) (string, error) {
			var err error
			original, err = t.chat(ctx, t.entries[0], conversation)

			return original.summary(), err
		}},
		{"its context is copied to a store", func(ctx context.Context) (string, error) {
			return t.retry(ctx, func() (string, error) { return t.countCopies(ctx) })
		}},
		{"its context leaves the engines' memory", t.evictCaches},
		{"its continuation, by the other entry, gets the context from a store", func(ctx context.Context) (string, error) {
			next := append(append([]message{}, conversation...), message{"assistant", original.text}, message{"user", "And at one?"})

			// On a busy machine the owner of the context may respond too late, and
			// the prompt is then correctly recomputed. In that case the engines'
			// caches are evicted again and the continuation is retried.
			return t.retry(ctx, func() (string, error) {
				if _, err := t.evictCaches(ctx); err != nil {
					return "", err
				}

				var err error

				continuation, err = t.chat(ctx, t.entries[len(t.entries)-1], next)
				if err == nil && continuation.usage.Details.CachedTokens < original.usage.PromptTokens {
					err = failure.New(failure.Internal, "only %d of %d prompt tokens were cached", continuation.usage.Details.CachedTokens, continuation.usage.PromptTokens)
				}

				return continuation.summary(), err
			})
		}},
		{"a booking is made", func(ctx context.Context) (string, error) {
			return t.retry(ctx, func() (string, error) { return t.book(ctx, t.entries[0], key) })
		}},
		{"the same booking, sent again to the other entry, runs no second time", func(ctx context.Context) (string, error) {
			return t.retry(ctx, func() (string, error) { return t.book(ctx, t.entries[len(t.entries)-1], key) })
		}},
	}

	for i, s := range steps {
		began := time.Now()

		seen, err := s.do(ctx)
		if err != nil {
			return failure.Wrap(failure.Internal, err, "step %d, %s", i+1, s.name)
		}

		fmt.Printf("%d. %s (%d ms)\n   %s\n", i+1, s.name, time.Since(began).Milliseconds(), seen)
	}

	return nil
}

// retry calls attempt until it succeeds, retryTimeout has passed or ctx has ended, and returns
// the last result.
func (t *trial) retry(ctx context.Context, attempt func() (string, error)) (string, error) {
	deadline := time.Now().Add(retryTimeout)

	for {
		seen, err := attempt()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return seen, err
		}

		time.Sleep(retryInterval)
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the response to one prompt.
type completion struct {
	id    string
	text  string
	usage usage
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func (t completion) summary() string {
	return fmt.Sprintf("request %s: %d of %d prompt tokens not computed; answer %q", t.id, t.usage.Details.CachedTokens, t.usage.PromptTokens, shorten(t.text))
}

const maxTextBytes = 60

func shorten(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}

	return s[:maxTextBytes] + "…"
}

func (t *trial) chat(ctx context.Context, entry string, messages []message) (completion, error) {
	var got struct {
		Choices []struct {
			Message message `json:"message"`
		} `json:"choices"`
		Usage usage `json:"usage"`
	}

	header, err := t.post(ctx, entry+"/v1/chat/completions", "", struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
	}{t.model, messages, 32}, &got)
	if err != nil {
		return completion{}, err
	}

	if len(got.Choices) != 1 || got.Usage.CompletionTokens == 0 {
		return completion{}, failure.New(failure.Internal, "the response has no completion")
	}

	return completion{id: header.Get("X-Request-Id"), text: got.Choices[0].Message.Content, usage: got.Usage}, nil
}

// countCopies counts the copies in all stores; none is an error.
func (t *trial) countCopies(ctx context.Context) (string, error) {
	copies := 0

	for _, s := range t.stores {
		var got struct {
			Objects []struct {
				ID string `json:"id"`
			} `json:"objects"`
		}

		if _, err := t.send(ctx, http.MethodGet, s+"/objects", "", nil, &got); err != nil {
			return "", err
		}

		copies += len(got.Objects)
	}

	if copies == 0 {
		return "", failure.New(failure.Internal, "no copy in %d stores", len(t.stores))
	}

	return fmt.Sprintf("%d copies in %d stores", copies, len(t.stores)), nil
}

// evictCaches makes the engines drop their caches, as other prompts would do in time.
func (t *trial) evictCaches(ctx context.Context) (string, error) {
	for _, e := range t.engines {
		if _, err := t.post(ctx, e+"/faults", "", map[string]bool{"evict_all": true}, nil); err != nil {
			return "", err
		}
	}

	return fmt.Sprintf("%d engines dropped their caches", len(t.engines)), nil
}

func (t *trial) book(ctx context.Context, entry, key string) (string, error) {
	var got struct {
		VM  string `json:"vm"`
		Run int    `json:"run"`
	}

	header, err := t.post(ctx, entry+"/v1/services/"+t.service+"/bookings", key, map[string]any{"seats": 2}, &got)
	if err != nil {
		return "", err
	}

	if got.Run != 1 {
		return "", failure.New(failure.Internal, "the booking is run %d of its service, not the first", got.Run)
	}

	return fmt.Sprintf("request %s: run %d at %s, replayed %q", header.Get("X-Request-Id"), got.Run, got.VM, header.Get("Idempotency-Replayed")), nil
}

// post sends q as JSON and decodes the response into got, unless that is nil.
func (t *trial) post(ctx context.Context, url, key string, q, got any) (http.Header, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}

	return t.send(ctx, http.MethodPost, url, key, b, got)
}

func (t *trial) send(ctx context.Context, method, url, key string, body []byte, got any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.key)

	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}

	if t.workload != "" {
		req.Header.Set("X-Workload", t.workload)
	}

	resp, err := t.http.Do(req)
	if err != nil {
		return nil, err
	}

	defer func() { _ = resp.Body.Close() }()

	text, err := wholebody.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, err
	}

	if resp.StatusCode >= http.StatusBadRequest {
		var failed struct {
			Error struct {
				Message string `json:"message"`
				Code    string `json:"code"`
			} `json:"error"`
		}

		_ = json.Unmarshal(text, &failed)

		return nil, failure.New(failure.Internal, "%s: %s: %s", resp.Status, failed.Error.Code, failed.Error.Message)
	}

	if got == nil {
		return resp.Header, nil
	}

	return resp.Header, json.Unmarshal(text, got)
}
