// Package eventstream finds the events in a text/event-stream (HTML standard, section 9.2).
//
// # Model
//
// A stream consists of lines, each of which ends with LF, CRLF or CR. An event is a series of lines that ends
// with an empty line. A line that begins with a colon is a comment. A stream that ends inside an event was
// broken off: readers discard such an event.
//
// Functions take bytes that begin where an event may begin. If a CR is the last byte that has been received,
// it ends its line at once, so that no event waits for the next one; an LF that follows then is an event without
// lines, which readers ignore.
//
// # Example
//
//	s := bufio.NewScanner(r)
//	s.Split(eventstream.Split)
//
//	for s.Scan() {
//		handle(eventstream.Data(s.Bytes()))
//	}
//
//	return s.Err() // io.ErrUnexpectedEOF if the stream was broken off
package eventstream

import (
	"bytes"
	"io"
	"iter"
	"strconv"
)

// First returns the length in bytes of the first event of b, with the empty line that ends it; zero if the
// event is incomplete.
func First(b []byte) int {
	for at := 0; ; {
		content, length := firstLine(b[at:])
		if length == 0 {
			return 0
		}

		at += length

		if content == 0 {
			return at
		}
	}
}

// Complete returns the length in bytes of the complete events at the beginning of b.
func Complete(b []byte) int {
	for at := 0; ; {
		n := First(b[at:])
		if n == 0 {
			return at
		}

		at += n
	}
}

// MayEnd reports whether a stream may end behind rest, which follows its last complete event: it may if rest
// has no bytes of an event, but complete comments at most.
func MayEnd(rest []byte) bool {
	for len(rest) > 0 {
		_, length := firstLine(rest)
		if length == 0 || rest[0] != ':' {
			return false
		}

		rest = rest[length:]
	}

	return true
}

// Split is a bufio.SplitFunc that yields events, each with the empty line that ends it. Its error is
// io.ErrUnexpectedEOF if the stream ends inside an event.
func Split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if n := First(data); n > 0 {
		return n, data[:n], nil
	}

	if atEOF && !MayEnd(data) {
		return 0, nil, io.ErrUnexpectedEOF
	}

	return 0, nil, nil
}

// ID returns the number in the last id field of an event.
func ID(event []byte) (id int64, ok bool) {
	for value := range values(event, "id") {
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		id, ok = n, err == nil
	}

	return id, ok
}

// Data returns the data of an event, whose lines are joined by LF.
func Data(event []byte) []byte {
	var lines [][]byte
	for value := range values(event, "data") {
		lines = append(lines, value)
	}

	if len(lines) == 1 {
		return lines[0]
	}

	return bytes.Join(lines, []byte("\n"))
}

// values yields the values of the fields of an event that have a name.
func values(event []byte, name string) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(event) > 0 {
			content, length := firstLine(event)
			if length == 0 {
				return
			}

			field, value, _ := bytes.Cut(event[:content], []byte(":"))
			event = event[length:]

			if string(field) == name && !yield(bytes.TrimPrefix(value, []byte(" "))) {
				return
			}
		}
	}
}

// firstLine returns the length of the first line of b without and with the bytes that end it; zero twice if
// the line is incomplete.
func firstLine(b []byte) (content, length int) {
	lf := bytes.IndexByte(b, '\n')
	if lf >= 0 {
		b = b[:lf+1]
	}

	cr := bytes.IndexByte(b, '\r')

	switch {
	case cr >= 0 && cr+1 == lf:
		return cr, lf + 1
	case cr >= 0:
		return cr, cr + 1
	case lf >= 0:
		return lf, lf + 1
	default:
		return 0, 0
	}
}
