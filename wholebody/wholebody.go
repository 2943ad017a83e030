// Package wholebody reads the bodies of HTTP messages.
//
// A body that is cut off at a limit must not be taken for a whole one, so ReadAll returns an error where
// io.LimitReader returns the end of the file.
package wholebody

import (
	"errors"
	"io"
)

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = errors.New("the body is longer than its limit")

// ReadAll returns the whole body, of at most limit bytes. It returns ErrTooLong for a longer one, and the bytes
// read with any error.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b[:limit], ErrTooLong
	}

	return b, err
}
