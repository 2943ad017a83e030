package wholepath

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Every engine breaks its responses off, so that a stream has to be given up after its first tokens. Guards
// against a stream with an error event at its end that is framed as complete: callers that don't know such
// events would take it for the whole response.
func TestStreamThatIsGivenUpBreaksItsConnection(t *testing.T) {
	const tokens = 500

	env := start(t, envConfig{engines: 2, wrapEngine: func(_ int, h http.Handler) http.Handler {
		tampered := &tamperHandler{engine: h, tamper: abortAfter(4)}
		tampered.remaining.Store(tokens)

		return tampered
	}})

	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, env.entries[0].url+"/v1/completions",
		strings.NewReader(`{"model":"`+model+`","prompt":"fare rules","max_tokens":500,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}

	r.Header.Set("Authorization", "Bearer "+deskKey)

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(body), `"error"`) || strings.Contains(string(body), "[DONE]") {
		t.Fatalf("got %d %q, want the beginning of a stream with an error event", resp.StatusCode, body)
	}

	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v at the end of the stream, want %v", err, io.ErrUnexpectedEOF)
	}
}
