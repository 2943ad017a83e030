package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

			env := newTestEnv(t, newFakeEngine(t, "a", respondAndClose(tt.text)))

			for i := range 5 {
				if got := env.request(t, "POST", "/once/1", "the same", "Id", fmt.Sprint(i)); got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable {
					t.Errorf("request %d of a kind: got %d %q, want no blame for a crash", i, got.status, got.body)
				}
			}

			env = newTestEnv(t, newFakeEngine(t, "a", respondAndClose(tt.text)), newFakeEngine(t, "b", respond(ok200)))

			for i := range 4 {
				if got := env.request(t, "GET", "/idem/1", "", "Id", fmt.Sprint(i)); got.status != http.StatusOK || got.body != "ok" {
					t.Errorf("idempotent: got %d %q, want 200 of the other target", got.status, got.body)
				}
			}
		})
	}
}

// newEarlyEngine returns a target that responds with a text once it has read the head of a request, and then ends the
// connection.
func newEarlyEngine(t *testing.T, text string, end func(c net.Conn)) *fakeEngine {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
			}

			end(c)

			_ = c.Close()
		}
	}()

	return &fakeEngine{id: "a", address: l.Addr().String(), llmAddress: l.Addr().String()}
}

// Guards against a part of an answer that a caller gets as all of it: the engine answers a long upload at once, without
// a length, and its connection is reset while the upload is being written.
func TestPartOfAnAnswerToAnUploadIsNoAnswer(t *testing.T) {
	ends := []struct {
		name string
		end  func(c net.Conn)
	}{
		{"reset", func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) }},
		{"closed", func(net.Conn) {}},
	}

	texts := []struct{ name, text string }{
		{"open body", "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\npart"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: ID\r\nSeal: s\r\n\r\npart"},
		{"failure", "HTTP/1.1 404 Not Found\r\nId: ID\r\nSeal: s\r\n\r\npart"},
		{"events", closeHead + eventText(1)},
	}

	const tries = 8

	for _, end := range ends {
		for _, tt := range texts {
			env := newTestEnv(t, newEarlyEngine(t, tt.text, end.end))

			for _, path := range []string{"/once/1", "/stream/1", "/resume/1"} {
				for _, size := range []int{9 << 10, 60 << 10} {
					for i := range tries {
						got := env.request(t, "POST", path, strings.Repeat("x", size), "Id", fmt.Sprint(path, size, i))
						if got.err == nil && got.status < http.StatusInternalServerError {
							t.Errorf("%s, %s, %s, %d bytes: got %d %q, want 502 or a broken connection", end.name, tt.name, path, size, got.status, got.body)
						}
					}
				}
			}
		}
	}
}
