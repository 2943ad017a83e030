package wholepath

import (
	"testing"

	"boragehub/failure"
)

// A program calls a path or method that does not exist. Client libraries parse errors in
// one format only, and finding the cause needs the request id, so this refusal must
// have the same form as every other.
func TestUnknownPathErrorFormat(t *testing.T) {
	env := start(t, envConfig{engines: 1})
	cases := []struct{ name, method, path string }{
		{"unknown path", "GET", "/v1/no-such"},
		{"wrong method", "GET", "/v1/completions"},
		{"outside", "GET", "/no-such"},
		{"root", "GET", "/"},
	}

	for _, c := range cases {
		r := env.request(env.entries[0], c.method, c.path, "", "Authorization", "Bearer "+deskKey)
		if got, want := r.code, failure.UnknownPath.String(); got != want || r.status != failure.UnknownPath.Response().Status {
			t.Errorf("%s: got %d %q %q, want 404 %q", c.name, r.status, got, r.body, want)
		}

		if r.header.Get("X-Request-Id") == "" {
			t.Errorf("%s: got no X-Request-Id", c.name)
		}
	}
}
