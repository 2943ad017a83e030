package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestCompleteEvents(t *testing.T) {
	tests := []struct {
		name, text string
		complete   int
		mayEnd     bool
	}{
		{"nothing", "", 0, true},
		{"LF", "id: 1\n\n", 7, true},
		{"CRLF", "id: 1\r\n\r\n", 9, true},
		{"CR", "id: 1\r\r", 7, true},
		{"mixed", "id: 1\r\ndata\r\n", 0, false},
		{"mixed, empty line", "id: 1\r\ndata\n\r", 13, true},
		{"CRLF whose LF has not come", "id: 1\r\n\r", 8, true},
		{"LF of a CRLF", "\nid: 2\n\n", 8, true},
		{"half a line", "id: 1\n\nid", 7, false},
		{"a line", "id: 1\n\nid: 2\n", 7, false},
		{"a line with CR", "id: 1\r\rid: 2\r", 7, false},
		{"comment", "id: 1\n\n: a\n", 7, true},
		{"comments", "id: 1\n\n: a\r: b\r\n", 7, true},
		{"half a comment", "id: 1\n\n: a", 7, false},
		{"comment in an event", "id: 1\n\n: a\nid: 2\n", 7, false},
		{"event behind a comment", ": a\nid: 1\n\n", 11, true},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Complete([]byte(tt.text)); got != tt.complete {
				t.Errorf("got %d bytes of complete events, want %d", got, tt.complete)
			}

			if got := MayEnd([]byte(tt.text[tt.complete:])); got != tt.mayEnd {
				t.Errorf("got may end %v, want %v", got, tt.mayEnd)
			}
		})
	}
}

func TestFields(t *testing.T) {
	tests := []struct {
		name, event string
		id          int64
		hasID       bool
		data        string
	}{
		{"LF", "id: 7\ndata: a\n\n", 7, true, "a"},
		{"CRLF", "id:7\r\ndata:a\r\n\r\n", 7, true, "a"},
		{"CR", "data: a\rid: 7\r\r", 7, true, "a"},
		{"several lines", "data: a\ndata:  b\ndata\n\n", 0, false, "a\n b\n"},
		{"the last id counts", "id: 7\nid: 8\n\n", 8, true, ""},
		{"another field", "x-weight-versions: 2\nid: 9\n\n", 9, true, ""},
		{"not a number", "id: x\n\n", 0, false, ""},
		{"comment", ":id: 7\n\n", 0, false, ""},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id, ok := ID([]byte(tt.event))
			if id != tt.id || ok != tt.hasID {
				t.Errorf("got id %d, %v, want %d, %v", id, ok, tt.id, tt.hasID)
			}

			if got := string(Data([]byte(tt.event))); got != tt.data {
				t.Errorf("got data %q, want %q", got, tt.data)
			}
		})
	}
}

// Guards against a stream whose events depend on how it was divided into reads, and against a broken one
// that is read as complete.
func TestSplitFindsTheSameEventsInReadsOfAnySize(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\rdata: c\r\r: kept alive\n"

	for _, tt := range []struct {
		name, text string
		want       error
	}{
		{"whole", whole, nil},
		{"broken off", whole + "id: 4\ndata: d\n", io.ErrUnexpectedEOF},
	} {
		for _, size := range []struct {
			name   string
			reader func(io.Reader) io.Reader
		}{
			{"at once", func(r io.Reader) io.Reader { return r }},
			{"a byte each", iotest.OneByteReader},
			{"error with the last bytes", iotest.DataErrReader},
		} {
			t.Run(tt.name+" "+size.name, func(t *testing.T) {
				s := bufio.NewScanner(size.reader(strings.NewReader(tt.text)))
				s.Split(Split)

				var got []string

				for s.Scan() {
					if data := Data(s.Bytes()); len(data) > 0 {
						got = append(got, string(data))
					}
				}

				if want := "a b c"; strings.Join(got, " ") != want || !errors.Is(s.Err(), tt.want) {
					t.Errorf("got %q, %v, want %q, %v", got, s.Err(), want, tt.want)
				}
			})
		}
	}
}
