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

// reply is an answer as a caller without a library sees it.
type reply struct {
	status int
	header http.Header
	body   string
	kind   string
	ran    string
}

// ask makes a call of an entry with the headers given in pairs.
func (w *world) ask(n *entryNode, method, path, body string, headers ...string) reply {
	w.t.Helper()

	r, err := http.NewRequestWithContext(w.t.Context(), method, n.url+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}

	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}

	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		w.t.Errorf("%s %s: %v", method, path, err)
		return reply{}
	}
	defer func() { _ = answer.Body.Close() }()

	b, err := io.ReadAll(answer.Body)
	if err != nil {
		w.t.Errorf("%s %s: %v", method, path, err)
	}

	var shape struct {
		Error struct{ Message, Type, Code, Ran string }
	}

	// What is no error has no such shape.
	_ = json.Unmarshal(b, &shape)

	return reply{status: answer.StatusCode, header: answer.Header, body: string(b), kind: shape.Error.Code, ran: shape.Error.Ran}
}

// A caller gets something wrong. It has to learn what, in words and in a code
// that its program can act on, and nothing may have run.
func TestBadInputIsRefusedWithItsKind(t *testing.T) {
	const (
		text = "/v1/completions"
		chat = "/v1/chat/completions"
		book = "/v1/services/booking-api/bookings"
		good = `{"model":"shuttle-8b","prompt":"a seat?"}`
	)

	w := start(t, shape{engines: 1, plains: 1})
	long := strings.Repeat("x", 256)
	cases := []struct {
		name, method, path, body string
		key                      string
		headers                  []string
		want                     failure.Kind
	}{
		{"no credential", "POST", text, good, "", nil, failure.Unauthenticated},
		{"wrong credential", "POST", text, good, "nobody", nil, failure.Unauthenticated},
		{"credential of another scheme", "POST", text, good, "", []string{"Authorization", "Basic " + desk}, failure.Unauthenticated},
		{"not JSON", "POST", text, "a seat?", desk, nil, failure.BadRequest},
		{"cut JSON", "POST", text, good[:20], desk, nil, failure.BadRequest},
		{"empty body", "POST", text, "", desk, nil, failure.BadRequest},
		{"wrong type", "POST", text, `{"model":7,"prompt":"a"}`, desk, nil, failure.BadRequest},
		{"no model", "POST", text, `{"prompt":"a"}`, desk, nil, failure.BadRequest},
		{"no prompt", "POST", text, `{"model":"shuttle-8b"}`, desk, nil, failure.BadRequest},
		{"no messages", "POST", chat, `{"model":"shuttle-8b"}`, desk, nil, failure.BadRequest},
		{"two prompts", "POST", text, `{"model":"shuttle-8b","prompt":["a","b"]}`, desk, nil, failure.BadRequest},
		{"two answers", "POST", text, `{"model":"shuttle-8b","prompt":"a","n":2}`, desk, nil, failure.BadRequest},
		{"no tokens", "POST", text, `{"model":"shuttle-8b","prompt":"a","max_tokens":0}`, desk, nil, failure.BadRequest},
		{"negative tokens", "POST", text, `{"model":"shuttle-8b","prompt":"a","max_tokens":-1}`, desk, nil, failure.BadRequest},
		{"an image", "POST", chat, `{"model":"shuttle-8b","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, desk, nil, failure.BadRequest},
		{"oversized", "POST", text, `{"model":"shuttle-8b","prompt":"` + strings.Repeat("x", 1<<16) + `"}`, desk, nil, failure.TooLarge},
		{"oversized call", "POST", book, strings.Repeat("x", 1<<17), desk, []string{"Idempotency-Key", "k"}, failure.TooLarge},
		{"unknown model", "POST", text, `{"model":"gpt","prompt":"a"}`, desk, nil, failure.UnknownModel},
		{"unknown service", "POST", "/v1/services/no-such/bookings", "", desk, []string{"Idempotency-Key", "k"}, failure.UnknownService},
		{"engines are no plain service", "POST", "/v1/services/boragehub-llm/info", "", desk, []string{"Idempotency-Key", "k"}, failure.UnknownService},
		{"service not allowed", "POST", book, "", bureau, []string{"Idempotency-Key", "k"}, failure.Forbidden},
		{"no key", "POST", book, "", desk, nil, failure.KeyRequired},
		{"key too long", "POST", book, "", desk, []string{"Idempotency-Key", long}, failure.BadRequest},
		{"workload too long", "POST", text, good, desk, []string{"X-Workload", long}, failure.BadRequest},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			headers := c.headers
			if c.key != "" {
				headers = append([]string{"Authorization", "Bearer " + c.key}, headers...)
			}

			r := w.ask(w.entries[0], c.method, c.path, c.body, headers...)
			if r.kind != c.want.String() || r.status != c.want.Answer().Status || r.ran != "not_run" {
				t.Errorf("got %d %q %q %s, want %d %q not_run", r.status, r.kind, r.ran, r.body, c.want.Answer().Status, c.want)
			}

			if r.header.Get("X-Request-Id") == "" {
				t.Error("got no X-Request-Id")
			}
		})
	}

	if got, want := len(w.engines[0].engine.Runs())+len(w.plains[0].plain.Runs()), 0; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// A caller's id and trace go with the request, so that the caller finds it again
// in the operators' logs; an id that can't be logged is replaced.
func TestRequestIDComesBack(t *testing.T) {
	w := start(t, shape{engines: 1})
	cases := []struct{ name, id, want string }{
		{"own", "order-4711", "order-4711"},
		{"too long", strings.Repeat("x", 129), ""},
		{"with a space", "a b", ""},
		{"none", "", ""},
	}

	for _, c := range cases {
		headers := []string{"Authorization", "Bearer " + desk, "Traceparent", "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}
		if c.id != "" {
			headers = append(headers, "X-Request-Id", c.id)
		}

		r := w.ask(w.entries[0], "POST", "/v1/completions", `{"model":"shuttle-8b","prompt":"a seat?","max_tokens":2}`, headers...)

		got := r.header.Get("X-Request-Id")
		if c.want != "" && got != c.want || c.want == "" && (got == "" || got == c.id) {
			t.Errorf("%s: got id %q, want %q", c.name, got, c.want)
		}

		if !strings.Contains(r.body, engine.Answer("a seat?", 2)) || r.header.Get("Traceparent") == "" {
			t.Errorf("%s: got %d %s, want the answer and the trace", c.name, r.status, r.body)
		}

		if got := w.lines.count(`"request_id"="` + r.header.Get("X-Request-Id") + `"`); got == 0 {
			t.Errorf("%s: no log line bears the id", c.name)
		}
	}
}
