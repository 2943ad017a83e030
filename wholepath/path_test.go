package wholepath

import (
	"testing"

	"boragehub/failure"
)

// A program calls a path or method that does not exist. Its client library reads
// errors in one shape only, and whoever looks for the cause needs the request's
// id, as with every other refusal.
func TestUnknownPathIsRefusedLikeAllElse(t *testing.T) {
	w := start(t, shape{engines: 1})
	cases := []struct{ name, method, path string }{
		{"unknown path", "GET", "/v1/no-such"},
		{"wrong method", "GET", "/v1/completions"},
		{"outside", "GET", "/no-such"},
		{"root", "GET", "/"},
	}

	for _, c := range cases {
		r := w.ask(w.entries[0], c.method, c.path, "", "Authorization", "Bearer "+desk)
		if got, want := r.kind, failure.UnknownPath.String(); got != want || r.status != failure.UnknownPath.Answer().Status {
			t.Errorf("%s: got %d %q %q, want 404 %q", c.name, r.status, got, r.body, want)
		}

		if r.header.Get("X-Request-Id") == "" {
			t.Errorf("%s: got no X-Request-Id", c.name)
		}
	}
}
