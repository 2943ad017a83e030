package wholepath

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"boragehub/failure"
	"boragehub/standin/engine"
)

// response is an HTTP response as a caller without a client library sees it.
type response struct {
	status int
	header http.Header
	body   string
	code   string
	ran    string
}

// request sends an HTTP request to an entry, with headers as pairs of name and value.
func (e *testEnv) request(n *entryNode, method, path, body string, headers ...string) response {
	e.t.Helper()

	r, err := http.NewRequestWithContext(e.t.Context(), method, n.url+path, strings.NewReader(body))
	if err != nil {
		e.t.Fatal(err)
	}

	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		e.t.Errorf("%s %s: %v", method, path, err)
		return response{}
	}
	defer func() { _ = resp.Body.Close() }()

	b, err := io.ReadAll(resp.Body)
	if err != nil {
		e.t.Errorf("%s %s: %v", method, path, err)
	}

	var errorBody struct {
		Error struct{ Message, Type, Code, Ran string }
	}

	// Responses other than errors do not have this format.
	_ = json.Unmarshal(b, &errorBody)

	return response{status: resp.StatusCode, header: resp.Header, body: string(b), code: errorBody.Error.Code, ran: errorBody.Error.Ran}
}

// A caller sends an invalid request. The refusal must say what is wrong, in a message and
// in a code that a program can act on, and nothing may have run.
func TestInvalidInputErrorCodes(t *testing.T) {
	const (
		completionsPath = "/v1/completions"
		chatPath        = "/v1/chat/completions"
		bookingsPath    = "/v1/services/booking-api/bookings"
		validBody       = `{"model":"shuttle-8b","prompt":"a seat?"}`
	)

	env := start(t, envConfig{engines: 1, plainServices: 1})
	tooLong := strings.Repeat("x", 256)
	cases := []struct {
		name, method, path, body string
		key                      string
		headers                  []string
		want                     failure.Kind
	}{
		{"no credential", "POST", completionsPath, validBody, "", nil, failure.Unauthenticated},
		{"wrong credential", "POST", completionsPath, validBody, "nobody", nil, failure.Unauthenticated},
		{"credential of another scheme", "POST", completionsPath, validBody, "", []string{"Authorization", "Basic " + deskKey}, failure.Unauthenticated},
		{"not JSON", "POST", completionsPath, "a seat?", deskKey, nil, failure.BadRequest},
		{"cut JSON", "POST", completionsPath, validBody[:20], deskKey, nil, failure.BadRequest},
		{"empty body", "POST", completionsPath, "", deskKey, nil, failure.BadRequest},
		{"wrong type", "POST", completionsPath, `{"model":7,"prompt":"a"}`, deskKey, nil, failure.BadRequest},
		{"no model", "POST", completionsPath, `{"prompt":"a"}`, deskKey, nil, failure.BadRequest},
		{"no prompt", "POST", completionsPath, `{"model":"shuttle-8b"}`, deskKey, nil, failure.BadRequest},
		{"no messages", "POST", chatPath, `{"model":"shuttle-8b"}`, deskKey, nil, failure.BadRequest},
		{"two prompts", "POST", completionsPath, `{"model":"shuttle-8b","prompt":["a","b"]}`, deskKey, nil, failure.BadRequest},
		{"two answers", "POST", completionsPath, `{"model":"shuttle-8b","prompt":"a","n":2}`, deskKey, nil, failure.BadRequest},
		{"no tokens", "POST", completionsPath, `{"model":"shuttle-8b","prompt":"a","max_tokens":0}`, deskKey, nil, failure.BadRequest},
		{"negative tokens", "POST", completionsPath, `{"model":"shuttle-8b","prompt":"a","max_tokens":-1}`, deskKey, nil, failure.BadRequest},
		{"an image", "POST", chatPath, `{"model":"shuttle-8b","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, deskKey, nil, failure.BadRequest},
		{"oversized", "POST", completionsPath, `{"model":"shuttle-8b","prompt":"` + strings.Repeat("x", 1<<16) + `"}`, deskKey, nil, failure.TooLarge},
		{"oversized call", "POST", bookingsPath, strings.Repeat("x", 1<<17), deskKey, []string{"Idempotency-Key", "k"}, failure.TooLarge},
		{"unknown model", "POST", completionsPath, `{"model":"gpt","prompt":"a"}`, deskKey, nil, failure.UnknownModel},
		{"unknown service", "POST", "/v1/services/no-such/bookings", "", deskKey, []string{"Idempotency-Key", "k"}, failure.UnknownService},
		{"engines are no plain service", "POST", "/v1/services/boragehub-llm/info", "", deskKey, []string{"Idempotency-Key", "k"}, failure.UnknownService},
		{"service not allowed", "POST", bookingsPath, "", bureauKey, []string{"Idempotency-Key", "k"}, failure.Forbidden},
		{"no key", "POST", bookingsPath, "", deskKey, nil, failure.KeyRequired},
		{"key too long", "POST", bookingsPath, "", deskKey, []string{"Idempotency-Key", tooLong}, failure.BadRequest},
		{"workload too long", "POST", completionsPath, validBody, deskKey, []string{"X-Workload", tooLong}, failure.BadRequest},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			headers := c.headers
			if c.key != "" {
				headers = append([]string{"Authorization", "Bearer " + c.key}, headers...)
			}

			r := env.request(env.entries[0], c.method, c.path, c.body, headers...)
			if r.code != c.want.String() || r.status != c.want.Response().Status || r.ran != "not_run" {
				t.Errorf("got %d %q %q %s, want %d %q not_run", r.status, r.code, r.ran, r.body, c.want.Response().Status, c.want)
			}

			if r.header.Get("X-Request-Id") == "" {
				t.Error("got no X-Request-Id")
			}
		})
	}

	if got, want := len(env.engines[0].engine.Runs())+len(env.plainServices[0].plain.Runs()), 0; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// The request id and trace context of a caller are returned and logged, so that the request
// can be found in the operators' logs. An id that cannot be logged is replaced.
func TestRequestIDComesBack(t *testing.T) {
	env := start(t, envConfig{engines: 1})
	cases := []struct{ name, id, want string }{
		{"own", "order-4711", "order-4711"},
		{"too long", strings.Repeat("x", 129), ""},
		{"with a space", "a b", ""},
		{"none", "", ""},
	}

	for _, c := range cases {
		headers := []string{"Authorization", "Bearer " + deskKey, "Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
		if c.id != "" {
			headers = append(headers, "X-Request-Id", c.id)
		}

		r := env.request(env.entries[0], "POST", "/v1/completions", `{"model":"shuttle-8b","prompt":"a seat?","max_tokens":2}`, headers...)

		got := r.header.Get("X-Request-Id")
		if c.want != "" && got != c.want || c.want == "" && (got == "" || got == c.id) {
			t.Errorf("%s: got id %q, want %q", c.name, got, c.want)
		}

		if !strings.Contains(r.body, engine.CompletionText("a seat?", 2)) || r.header.Get("Traceparent") == "" {
			t.Errorf("%s: got %d %s, want the response and the trace context", c.name, r.status, r.body)
		}

		if got := env.logs.count(`"request_id"="` + r.header.Get("X-Request-Id") + `"`); got == 0 {
			t.Errorf("%s: no log line contains the id", c.name)
		}
	}
}
