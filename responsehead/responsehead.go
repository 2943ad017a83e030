// Package responsehead reads HTTP/1.1 responses, whose heads are proper and of a bounded size.
//
// # Model
//
// http.ReadResponse takes what RFC 9112 doesn't allow: any three characters that are a number for a status,
// names of header fields with blanks, lines that continue the one before. It then ignores a field whose name
// it doesn't know, such as "Content-Length ", so that the response gets another body than its target gave it.
// It also reads a status line or a header field to its end, however long it is. A Reader reads a head as
// bytes first: it stops at MaxBytes, and a head that isn't proper (ErrImproper) is no response. The trailer
// behind a chunked body is read in the same way.
//
// A head is proper if
//
//   - its status line is that of HTTP/1.x, with a status of three digits from 100 to 599 other than 101, which
//     answers a request for another protocol, and there are never more than a few informational responses;
//   - each further line is a header field: a token, a colon right behind it, and a value without control
//     characters;
//   - it tells one length of its body at most: by Content-Length, the same one each time, or by
//     Transfer-Encoding, which is "chunked" and of HTTP/1.1. An informational response and one of status 204
//     tell none but zero.
//
// Lines end with CRLF or with LF alone.
//
// # Example
//
//	r := responsehead.NewReader(conn, 4<<10)
//	resp, err := r.Read(req)
package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"slices"
)

// MaxBytes is the size of the largest head of a response, in bytes.
const MaxBytes = 64 << 10

// MaxInformational is how many informational responses (1xx) are skipped before one response.
const MaxInformational = 5

// ErrTooLong is returned for a head of more than MaxBytes.
var ErrTooLong = errors.New("the head of the response is longer than its limit")

// Reader reads the responses of a connection. Use NewReader.
type Reader struct {
	src source
	br  *bufio.Reader
}

// source is what the buffer of a Reader is filled from: bytes that were returned to it, and then a connection.
type source struct {
	conn     io.Reader
	left     int64 // bytes that may be read from conn
	returned []byte
}

// Read implements io.Reader.
func (s *source) Read(b []byte) (int, error) {
	if len(s.returned) > 0 {
		n := copy(b, s.returned)
		if s.returned = s.returned[n:]; len(s.returned) == 0 {
			s.returned = nil
		}

		return n, nil
	}

	if s.left <= 0 {
		return 0, io.EOF
	}

	n, err := s.conn.Read(b[:min(int64(len(b)), s.left)])
	s.left -= int64(n)

	return n, err
}

// NewReader returns a Reader of a connection, with a buffer of a size in bytes.
func NewReader(conn io.Reader, bufferBytes int) *Reader {
	r := &Reader{src: source{conn: conn, left: math.MaxInt64}}
	r.br = bufio.NewReaderSize(&r.src, bufferBytes)

	return r
}

// Await waits for the first byte of a response. The error is io.ErrUnexpectedEOF if the connection ends before it.
func (r *Reader) Await() error {
	if _, err := r.br.Peek(1); err != nil {
		return r.sectionError(err)
	}

	return nil
}

// Read reads the head of the final response to req, behind informational ones. The body of the response is read
// from the connection; closing it does nothing. Errors are ErrTooLong if a head has more than MaxBytes, ErrImproper
// if it isn't proper, and io.ErrUnexpectedEOF if it ends midway; nothing else is to be read from the connection then.
// Reading the body of a chunked response returns the same errors for its trailer.
func (r *Reader) Read(req *http.Request) (*http.Response, error) {
	for range MaxInformational + 1 {
		resp, err := r.readOne(req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}

	return nil, improper("more than %d informational responses", MaxInformational)
}

// readOne reads the head of the next response, which may be informational.
func (r *Reader) readOne(req *http.Request) (*http.Response, error) {
	head, err := r.peekSection()
	if err != nil {
		return nil, err
	}

	if err := checkHead(head); err != nil {
		return nil, err
	}

	resp, err := http.ReadResponse(r.br, req)
	if err != nil {
		return nil, err
	}

	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r.br)}
	} else if resp.Body != http.NoBody {
		// Closing a body of net/http reads it to its end, which may never come.
		resp.Body = io.NopCloser(resp.Body)
	}

	return resp, nil
}

// peekSection returns the next section, a head or a trailer with the empty line that ends it, without reading it.
// The result is valid until the next read.
func (r *Reader) peekSection() ([]byte, error) {
	r.src.left = MaxBytes
	defer func() { r.src.left = math.MaxInt64 }()

	for line, need := 0, 1; ; {
		b, err := r.br.Peek(need)
		if err == nil {
			b, err = r.br.Peek(r.br.Buffered())
		}

		end, next := sectionEnd(b, line)

		switch {
		case end > 0:
			return b[:end], nil
		case errors.Is(err, bufio.ErrBufferFull):
			return r.peekLongSection()
		case err != nil:
			return nil, r.sectionError(err)
		}

		line, need = next, len(b)+1
	}
}

// peekLongSection is peekSection for a section that is longer than the buffer.
func (r *Reader) peekLongSection() ([]byte, error) {
	var section []byte

	for line := 0; ; {
		piece, err := r.br.ReadSlice('\n')
		section = append(section, piece...)

		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, r.sectionError(err)
		}

		end, next := sectionEnd(section, line)
		if end > 0 {
			break
		}

		line = next
	}

	buffered, err := r.br.Peek(r.br.Buffered())
	if err != nil {
		return nil, err
	}

	// What was returned before has been read into the buffer or comes behind it.
	r.src.returned = slices.Concat(section, buffered, r.src.returned)
	r.br.Reset(&r.src)

	return section, nil
}

// sectionError returns the error for a section that ended with err before its empty line.
func (r *Reader) sectionError(err error) error {
	switch {
	case r.src.left <= 0:
		return ErrTooLong
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// sectionEnd returns the length of the section that b begins with, up to and with its empty line, given where a line
// of b begins that may be the last one. The length is zero if the section is incomplete; next is then where its
// last line begins.
func sectionEnd(b []byte, line int) (end, next int) {
	for {
		n := bytes.IndexByte(b[line:], '\n')
		if n < 0 {
			return 0, line
		}

		empty := n == 0 || n == 1 && b[line] == '\r'

		if line += n + 1; empty {
			return line, line
		}
	}
}

// Buffered returns the number of bytes that were received and not yet read.
func (r *Reader) Buffered() int { return r.br.Buffered() + len(r.src.returned) }

// chunkedBody is a chunked body with its trailer, whose fields are checked and dropped.
type chunkedBody struct {
	r      *Reader
	chunks io.Reader
	err    error // sticky
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}

	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.r.readTrailer()
		if err == nil {
			err = io.EOF
		}
	}

	b.err = err

	return n, err
}

// Close does nothing; the connection is its owner's to close.
func (b *chunkedBody) Close() error { return nil }

// readTrailer reads a trailer.
func (r *Reader) readTrailer() error {
	trailer, err := r.peekSection()
	if err != nil {
		return err
	}

	if err := checkFields(trailer, &framing{}); err != nil {
		return err
	}

	_, err = r.br.Discard(len(trailer))

	return err
}
