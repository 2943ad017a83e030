package responsehead

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// improperResponses returns responses with a body, whose heads, or a trailer, no target may send.
func improperResponses(body string) []struct{ name, text string } {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)

	all := []struct{ name, text string }{
		{"folded line", "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 2\r\n" + length + "\r\n" + body},
		{"folded line by a tab", "HTTP/1.1 200 OK\r\nX-A: 1\r\n\t2\r\n" + length + "\r\n" + body},
		{"folded first line", "HTTP/1.1 200 OK\r\n X-A: 1\r\n" + length + "\r\n" + body},
		{"folded line in the trailer", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n" + chunks + "X-A: 1\r\n 2\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\n" + length + "Content-Length: 1\r\n\r\n" + body},
		{"a list of lengths", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d, %[1]d\r\n\r\n%s", len(body), body)},
		{"a length with a sign", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: +%d\r\n\r\n%s", len(body), body)},
		{"no length in its field", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n" + body},
		{"a length beside chunks", "HTTP/1.1 200 OK\r\n" + length + chunked + "\r\n" + chunks + "\r\n"},
		{"chunks twice", "HTTP/1.1 200 OK\r\n" + chunked + chunked + "\r\n" + chunks + "\r\n"},
		{"another transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n"},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunked + "\r\n" + chunks + "\r\n"},
		{"another version", "HTTP/2.0 200 OK\r\n" + length + "\r\n" + body},
		{"no version", "HTTP/ 200 OK\r\n" + length + "\r\n" + body},
		{"informational responses only", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", MaxInformational+1) + "HTTP/1.1 200 OK\r\n" + length + "\r\n" + body},
		{"an informational response with a body", "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n" + length + "\r\n" + body},
		{"an informational response with a bad name", "HTTP/1.1 103 Early Hints\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + body},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + body},
		{"no content, of a length", "HTTP/1.1 204 No Content\r\n" + length + "\r\n" + body},
		{"no content, in chunks", "HTTP/1.1 204 No Content\r\n" + chunked + "\r\n" + chunks + "\r\n"},
	}

	for _, status := range []string{"000", "001", "020", "099", "+20", "-00", "+00", "-20", "600", "777", "999", "2 0", "20", "2000", "2x0", "0x1", "２00", ""} {
		all = append(all, struct{ name, text string }{fmt.Sprintf("status %q", status), "HTTP/1.1 " + status + " OK\r\n" + length + "\r\n" + body})
	}

	for _, line := range []string{
		"Se al: x", "X-A : 1", "X-A\t: 1", " : 1", ": 1", "X-A", "Content-Length : 1", "Transfer-Encoding : chunked", "Connection : close",
		"X\x00A: 1", "X\x01A: 1", "X\x7fA: 1", "X\tA: 1", "X\rA: 1", "X\u00e9: 1", "X(A): 1", "X-A: a\x00b", "X-A: a\x01b", "X-A: a\x7fb", "X-A: a\rb",
	} {
		for _, x := range []struct{ place, text string }{
			{"first", "HTTP/1.1 200 OK\r\n" + line + "\r\n" + length + "\r\n" + body},
			{"last", "HTTP/1.1 200 OK\r\n" + length + line + "\r\n\r\n" + body},
			{"beside chunks", "HTTP/1.1 200 OK\r\n" + chunked + line + "\r\n\r\n" + chunks + "\r\n"},
			{"before an open body", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + line + "\r\n\r\n" + body},
			{"before an open body of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + line + "\r\n\r\n" + body},
			{"in the trailer", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n" + chunks + line + "\r\n\r\n"},
			{"behind a long line", "HTTP/1.1 200 OK\r\n" + length + "X-Long: " + strings.Repeat("1", 2*bufferBytes) + "\r\n" + line + "\r\n\r\n" + body},
		} {
			all = append(all, struct{ name, text string }{fmt.Sprintf("line %q %s", line, x.place), x.text})
		}
	}

	return all
}

// Guards against a head that isn't HTTP and is taken for a response, with another body than its target gave it or
// with header fields of which the target and the caller have different views.
func TestImproperHeadsAreNoResponses(t *testing.T) {
	for _, tt := range improperResponses("ok") {
		resp, err := NewReader(strings.NewReader(tt.text), bufferBytes).Read(&http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}

		if !errors.Is(err, ErrImproper) {
			t.Errorf("%s: got %v, want %v", tt.name, err, ErrImproper)
		}
	}
}

// Guards against a response that HTTP allows and that is refused, or that takes bytes of the one behind it.
func TestProperResponsesAreReadOneByOne(t *testing.T) {
	long := strings.Repeat("b", 3*bufferBytes)
	tests := []struct {
		name, text string
		status     int
		body       string
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"the same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\ncontent-length: 2\r\n\r\nok", 200, "ok"},
		{"LF alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", 200, "ok"},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"empty reason", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"reason in another language", "HTTP/1.1 404 Pas trouv\u00e9\r\nContent-Length: 2\r\n\r\nno", 404, "no"},
		{"unknown status", "HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok", 299, "ok"},
		{"highest status", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok", 599, "ok"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"no body, stated", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
		{"length of what is unchanged", "HTTP/1.1 304 Not Modified\r\nContent-Length: 20\r\n\r\n", 304, ""},
		{"odd names", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"values", "HTTP/1.1 200 OK\r\nA:\r\nB: \t \r\nC: a\tb \u00e9: \xff\r\nContent-Length:2 \r\n\r\nok", 200, "ok"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\no\r\n1;x=y\r\nk\r\n0\r\n\r\n", 200, "ok"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "ok"},
		{"long trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: " + long + "\r\n\r\n", 200, "ok"},
		{"long head", "HTTP/1.1 200 OK\r\nX-Long: " + long + "\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"many lines", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: 1\r\n", bufferBytes/4) + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"long head and body", fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%[1]s", long, len(long)), 200, long},
		{"informational responses first", strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n", MaxInformational) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
	}

	for _, tt := range tests {
		for _, pieces := range []int{1, 7, 1 << 20} {
			r := NewReader(inPieces{strings.NewReader(strings.Repeat(tt.text, 3)), pieces}, bufferBytes)

			for range 3 {
				resp, err := r.Read(&http.Request{Method: http.MethodGet})
				if err != nil {
					t.Errorf("%s: got %v, want a response", tt.name, err)

					break
				}

				body, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != tt.status || string(body) != tt.body {
					t.Errorf("%s, pieces of %d bytes: got %d with %d bytes, %v, want %d with %d", tt.name, pieces, resp.StatusCode, len(body), err, tt.status, len(tt.body))
				}

				_ = resp.Body.Close()
			}

			if got := r.Buffered(); got != 0 {
				t.Errorf("%s: got %d bytes behind the last response, want none", tt.name, got)
			}
		}
	}
}

// inPieces yields a text in reads of a size at most.
type inPieces struct {
	r    io.Reader
	size int
}

func (p inPieces) Read(b []byte) (int, error) { return p.r.Read(b[:min(len(b), p.size)]) }

// Guards against a process that reads on at the end of a response that nobody wants, which may have no end.
func TestClosingABodyReadsNothing(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n", "\r\n"} {
		source := &endless{begin: "HTTP/1.1 200 OK\r\n" + head, repeated: "x"}

		resp, err := NewReader(source, bufferBytes).Read(&http.Request{Method: http.MethodGet})
		if err != nil {
			t.Fatal(err)
		}

		_ = resp.Body.Close()

		if got, want := source.read, 2*bufferBytes; got > want {
			t.Errorf("%q: got %d bytes read, want %d at most", head, got, want)
		}
	}
}
