package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"boragehub/failure"
)

// framings are the ways in which an engine tells that a body has ended.
var framings = []struct {
	name  string
	frame func(body string) string
}{
	{"close", func(body string) string { return "\r\n" + body }},
	{"chunked", func(body string) string {
		return "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n\r\n"
	}},
	{"length", func(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body }},
}

// serveOnce responds to the first request with a header and a framed body, closes the connection and
// returns the address.
func serveOnce(t *testing.T, header, framed string) string {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()

		if _, err := c.Read(make([]byte, 64<<10)); err != nil {
			return
		}

		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+header+framed)
	}()

	return l.Addr().String()
}

// Guards against a completion that lacks what its engine sent in other lines than those that end with LF, and
// against one that was broken off inside an event and looks complete.
func TestCompletionIsReadFromAnyFramingAndLines(t *testing.T) {
	const (
		first = `data: {"id":"r1","choices":[{"text":"a "}]}` + "\n\n"
		last  = `data:{"id":"r1","choices":[{"text":"b","finish_reason":"stop"}]}` + "\n\n"
		done  = "data: [DONE]\n\n"
	)

	tests := []struct {
		name, body string
		complete   bool
		want       string
	}{
		{"whole", first + last + done, true, "a b"},
		{"comment between", first + ": alive\n\n" + last + done, true, "a b"},
		{"without its end", first + last, false, "a b"},
		{"broken off in an event", first + last[:20], false, "a "},
		{"broken off behind a line", first + strings.TrimSuffix(last, "\n"), false, "a "},
		{"broken off in its end", first + last + strings.TrimSuffix(done, "\n\n"), false, "a b"},
		{"empty", "", false, ""},
	}

	for _, f := range framings {
		for _, end := range []string{"\n", "\r\n", "\r"} {
			for _, tt := range tests {
				t.Run(f.name+" "+strconv.Quote(end)+" "+tt.name, func(t *testing.T) {
					address := serveOnce(t, "Content-Type: text/event-stream\r\n", f.frame(strings.ReplaceAll(tt.body, "\n", end)))

					got := ""
					err := Client{Address: address, HTTP: &http.Client{}}.Complete(context.Background(), Completion{RequestID: "r1"}, func(p Piece) error {
						got += p.Text

						return nil
					})

					if got != tt.want || (err == nil) != tt.complete {
						t.Errorf("got %q, %v, want %q, complete %v", got, err, tt.want, tt.complete)
					}

					if err != nil && failure.KindOf(err) != failure.TargetLost {
						t.Errorf("got kind %v, want %v", failure.KindOf(err), failure.TargetLost)
					}
				})
			}
		}
	}
}
