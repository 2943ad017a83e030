package gateway

import (
	"fmt"
	"net/http"
	"testing"
)

// improperHeads are responses with the engine's seal, whose heads, or a trailer, aren't HTTP.
func improperHeads() []struct{ name, text string } {
	const (
		sealed = "Id: ID\r\nSeal: s\r\n"
		length = "Content-Length: 2\r\n"
	)

	all := []struct{ name, text string }{
		{"folded line", "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n X-A: x\r\n" + length + "\r\nok"},
		{"trailer", "HTTP/1.1 200 OK\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A : x\r\n\r\n"},
		{"informational response", "HTTP/1.1 103 Early Hints\r\nX-A : x\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + length + "\r\nok"},
		{"length beside chunks", "HTTP/1.1 200 OK\r\n" + sealed + length + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
		{"other protocol", "HTTP/1.1 101 Switching Protocols\r\n" + sealed + "\r\n"},
	}

	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "600", "777", "999"} {
		all = append(all, struct{ name, text string }{"status " + status, "HTTP/1.1 " + status + " Odd\r\n" + sealed + length + "\r\nok"})
	}

	for _, line := range []string{"Se al: x", "X-A : x", "Content-Length : 1", "Transfer-Encoding : chunked", "Id : other", "Seal : y", "X\x01A: x", "X\x7fA: x"} {
		all = append(all,
			struct{ name, text string }{"line " + line, "HTTP/1.1 200 OK\r\n" + sealed + line + "\r\n" + length + "\r\nok"},
			struct{ name, text string }{"open body, line " + line, "HTTP/1.1 200 OK\r\n" + sealed + line + "\r\n\r\nok"},
			struct{ name, text string }{"failure, line " + line, "HTTP/1.1 404 Not Found\r\n" + sealed + line + "\r\n" + length + "\r\nno"})
	}

	return all
}

// Guards against a broken answer that a caller gets as one, whatever the kind of its request; against a request that runs
// again although it may have run, and one that is blamed for crashing its engine.
func TestImproperHeadIsAFaultOfItsTarget(t *testing.T) {
	for _, tt := range improperHeads() {
		t.Run(tt.name, func(t *testing.T) {
			for _, path := range []string{"/once/1", "/idem/1", "/stream/1", "/resume/1", "/llm/1"} {
				headers := []string{}
				if path == "/llm/1" {
					headers = []string{"Tokens", "5000"}
				}

				a := newFakeEngine(t, "a", respondAndClose(tt.text))
				env := newTestEnv(t, a)

				got := env.request(t, "POST", path, "x", headers...)
				if got.err != nil || got.status != http.StatusBadGateway || got.header.Get("Seal") != "" {
					t.Errorf("%s: got %d %q, %v, want 502 of the entry", path, got.status, got.body, got.err)
				}

				if path == "/once/1" && a.count() != 1 {
					t.Errorf("%s: got %d requests at the target, want 1", path, a.count())
				}
			}

			env := newTestEnv(t, newFakeEngine(t, "a", respondAndClose(tt.text)), newFakeEngine(t, "b", respond(ok200)))

			for i := range 4 {
				if got := env.request(t, "GET", "/idem/1", "", "Id", fmt.Sprint(i)); got.status != http.StatusOK || got.body != "ok" {
					t.Errorf("idempotent: got %d %q, want 200 of the other target", got.status, got.body)
				}
			}
		})
	}
}
