package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// ErrTooLarge is returned for a body that is larger than its limit, ErrTimeout for one that isn't complete in
// time.
var (
	ErrTooLarge = errors.New("the body exceeds its limit")
	ErrTimeout  = errors.New("the body was not complete in time")
)

// lingerTime is how long the rest of a body is read behind a refusal, so that the refusal reaches its client.
const lingerTime = 500 * time.Millisecond

// firstPart is how much memory is taken for a body before any of it has been read.
const firstPart = 4 << 10

// accountKey is the context key of a connection's account.
type accountKey struct{}

// NewContext returns a context with the account of a connection.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account of a request's connection; nil for none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)

	return a
}

// ReadBody returns the body of a request, of at most limit bytes. Memory is taken as the body arrives, however
// long the request says it is. The error is ErrTooLarge, ErrTimeout if the body isn't complete until the deadline, ErrFull
// if it had to give way to others, or that of the connection. After an error the response closes the connection,
// and doesn't wait for the rest of the body.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}

	b, err := readBody(w, r, limit, deadline)
	if err != nil {
		w.Header().Set("Connection", "close")
		Refuse(w, r)
	}

	return b, err
}

// Refuse bounds the time in which the rest of a request's body may come, if its response is written before the
// body was read. A server waits for the rest before it writes a response that keeps the connection open.
func Refuse(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 || FromContext(r.Context()).bodyWasRead() {
		return
	}

	//nolint:errcheck,gosec // without a connection there is nothing to wait for
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}

	account := FromContext(r.Context())
	c := http.NewResponseController(w)

	//nolint:errcheck,gosec // fails only for a connection that has failed
	c.SetReadDeadline(deadline)

	account.beginBody(func() {
		//nolint:errcheck,gosec // see above
		c.SetReadDeadline(time.Unix(1, 0))
	})

	b, err := readAll(r.Context(), r.Body, size{length: r.ContentLength, limit: limit}, account)

	yielded := account.endBody(err == nil)
	if err == nil {
		// Otherwise a deadline that has passed would look like the end of the connection.
		//nolint:errcheck,gosec // see above
		c.SetReadDeadline(time.Time{})

		return b, nil
	}

	account.DropBody()

	switch {
	case yielded:
		return nil, ErrFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrTimeout
	default:
		return nil, err
	}
}

// ReadExpanded returns what a decompressor makes of the body of a request, of which held bytes are kept, of at most
// limit bytes. The error is ErrTooLarge, ErrFull or that of src.
func ReadExpanded(r *http.Request, src io.Reader, held, limit int64) ([]byte, error) {
	return readAll(r.Context(), src, size{length: -1, limit: limit, held: held}, FromContext(r.Context()))
}

// size is how much is read and what is held besides.
type size struct {
	length int64 // negative if it isn't known
	limit  int64
	held   int64
}

// readAll reads a body.
func readAll(ctx context.Context, src io.Reader, want size, account *Account) ([]byte, error) {
	length, limit := want.length, want.limit

	most := limit + 1 // to tell a body that is longer
	if length >= 0 {
		most = length
	}

	var b []byte

	for {
		if len(b) == cap(b) {
			next := max(2*int64(cap(b)), firstPart)
			if 2*next > most {
				next = most
			}

			// The old buffer is held while it is copied.
			if err := account.growBody(ctx, want.held+next+int64(cap(b))); err != nil {
				return nil, err
			}

			b = append(make([]byte, 0, next), b...)

			if err := account.growBody(ctx, want.held+next); err != nil {
				return nil, err
			}
		}

		n, err := src.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]

		switch {
		case length < 0 && int64(len(b)) > limit:
			return nil, ErrTooLarge
		case int64(len(b)) == length:
			return b, nil
		case errors.Is(err, io.EOF) && length < 0:
			return b, nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
