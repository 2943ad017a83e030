// Package responsehead reads the heads of HTTP/1.1 responses, of a bounded size.
//
// # Model
//
// http.ReadResponse reads a status line or a header field to its end, however long it is. A target that
// sends bytes without end, in a head or in place of one, would take all memory of the process within a
// second. A Reader stops at MaxBytes.
//
// # Example
//
//	r := responsehead.NewReader(conn, 4<<10)
//	resp, err := r.Read(req)
package responsehead

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
)

// MaxBytes is the size of the largest head of a response, in bytes. It is also used as MaxResponseHeaderBytes
// of http.Transport.
const MaxBytes = 64 << 10

// ErrTooLong is returned for a head of more than MaxBytes.
var ErrTooLong = errors.New("the head of the response is longer than its limit")

// Reader reads the responses of a connection. Use NewReader.
type Reader struct {
	limited io.LimitedReader
	br      *bufio.Reader
}

// NewReader returns a Reader of a connection, with a buffer of a size in bytes.
func NewReader(conn io.Reader, bufferBytes int) *Reader {
	r := &Reader{limited: io.LimitedReader{R: conn, N: math.MaxInt64}}
	r.br = bufio.NewReaderSize(&r.limited, bufferBytes)

	return r
}

// Await waits for the first byte of a response.
func (r *Reader) Await() error {
	_, err := r.br.Peek(1)

	return err
}

// Read reads the head of a response to req. The body of the response is read from the connection. The
// error is ErrTooLong if the head has more than MaxBytes; nothing else is to be read from the connection then.
func (r *Reader) Read(req *http.Request) (*http.Response, error) {
	r.limited.N = MaxBytes

	resp, err := http.ReadResponse(r.br, req)
	if err != nil && r.limited.N <= 0 {
		return nil, ErrTooLong
	}

	r.limited.N = math.MaxInt64

	return resp, err
}

// Buffered returns the number of bytes that were received and not yet read.
func (r *Reader) Buffered() int { return r.br.Buffered() }
