package upstream

import "net/http"

// Framing is how a response tells where its body ends (RFC 9112, section 6.3).
type Framing uint8

// The values of Framing.
const (
	// NoFraming means that there is no response.
	NoFraming Framing = iota
	// LengthFraming means that the length is known from the header, or that there is no body.
	LengthFraming
	// ChunkedFraming means that the body ends with its last chunk.
	ChunkedFraming
	// CloseFraming means that the body ends with its connection. A target that breaks off and closes
	// its connection in order can't be told from one whose body is complete.
	CloseFraming
)

// String returns the snake-case name of f.
func (f Framing) String() string {
	switch f {
	case LengthFraming:
		return "length"
	case ChunkedFraming:
		return "chunked"
	case CloseFraming:
		return "close"
	default:
		return "none"
	}
}

// framingOf returns the framing of a response's body.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return ChunkedFraming
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return LengthFraming
	default:
		return CloseFraming
	}
}
