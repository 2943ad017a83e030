package responsehead

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// endless yields a text without end after a beginning, and counts what was read.
type endless struct {
	begin, repeated string
	read            int
}

func (e *endless) Read(b []byte) (int, error) {
	n := 0

	for n < len(b) {
		at := e.read + n
		if at < len(e.begin) {
			n += copy(b[n:], e.begin[at:])
		} else {
			n += copy(b[n:], e.repeated[(at-len(e.begin))%len(e.repeated):])
		}
	}

	e.read += n

	return n, nil
}

const bufferBytes = 4 << 10

// Guards against a process that runs out of memory, as a target sends bytes without end in a head or in place of one.
func TestHeadsWithoutEndAreGivenUp(t *testing.T) {
	tests := []struct{ name, begin, repeated string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no status line", "", "x"},
		{"no status line, zero bytes", "", "\x00"},
		{"empty lines", "", "\r\n"},
		{"header field", "HTTP/1.1 200 OK\r\nX-Id: ", "1"},
		{"name of a header field", "HTTP/1.1 200 OK\r\n", "X"},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-Id: 1\r\n"},
		{"folded header field", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", " 1\r\n"},
		{"informational response", "HTTP/1.1 103 Early Hints\r\n", "Link: 1\r\n"},
		{"behind a response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "x"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			source := &endless{begin: tt.begin, repeated: tt.repeated}
			r := NewReader(source, bufferBytes)

			var err error
			for range 3 {
				var resp *http.Response

				if resp, err = r.Read(&http.Request{Method: http.MethodGet}); err != nil {
					break
				}

				_ = resp.Body.Close()
			}

			if err == nil {
				t.Error("got a response, want an error")
			}

			if got, want := source.read, 2*(MaxBytes+bufferBytes); got > want {
				t.Errorf("got %d bytes read, want %d at most", got, want)
			}
		})
	}
}

// Guards against a bound that depends on what was read before: heads of the largest size pass, one after the other,
// and bodies aren't bounded.
func TestHeadsUpToTheLimitAreRead(t *testing.T) {
	body := strings.Repeat("b", 3*MaxBytes)
	start, end := "HTTP/1.1 200 OK\r\nContent-Length: 196608\r\nX-Long: ", "\r\n\r\n"

	for _, tt := range []struct {
		head int
		want error
	}{{MaxBytes - 1, nil}, {2 * MaxBytes, ErrTooLong}} {
		response := start + strings.Repeat("1", tt.head-len(start)-len(end)) + end + body
		r := NewReader(strings.NewReader(strings.Repeat(response, 3)), bufferBytes)

		for i := range 3 {
			resp, err := r.Read(&http.Request{Method: http.MethodGet})
			if !errors.Is(err, tt.want) {
				t.Fatalf("head of %d bytes, response %d: got %v, want %v", tt.head, i+1, err, tt.want)
			}

			if err != nil {
				break
			}

			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != body {
				t.Errorf("head of %d bytes, response %d: got %d bytes of a body and %v, want all %d", tt.head, i+1, len(got), err, len(body))
			}

			_ = resp.Body.Close()
		}
	}
}
