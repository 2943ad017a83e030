package failure

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// errorClass prefixes the cause of every wrapped error with the project's name.
var errorClass = errs.Class("boragehub")

// Error is an error with a Kind, a message for the caller and, if known, the time
// after which the caller should retry.
type Error struct {
	kind       Kind
	message    string
	retryAfter time.Duration
	cause      error
}

// New returns an Error of kind k with a message for the caller.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error of kind k whose cause is err; the cause appears in logs
// and not in responses.
func Wrap(k Kind, err error, format string, args ...any) *Error {
	e := New(k, format, args...)
	e.cause = errorClass.Wrap(err)

	return e
}

// WithRetryAfter returns a copy of e that tells the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d

	return &c
}

// Error returns the kind, the message and, if there is one, the cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.kind.String() + ": " + e.message
	}

	return e.kind.String() + ": " + e.message + ": " + e.cause.Error()
}

// Kind returns the kind of e.
func (e *Error) Kind() Kind { return e.kind }

// Message returns the text for the caller.
func (e *Error) Message() string { return e.message }

// RetryAfter returns the time after which the caller should retry; zero if none is
// known.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// As returns err, or the first *Error that it wraps, as an *Error. Otherwise it wraps
// err: as Cancelled or Timeout for a cancelled or expired context, as Internal for
// any other error. A nil err returns nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}

	var e *Error
	if errors.As(err, &e) {
		return e
	}

	switch {
	case errors.Is(err, context.Canceled):
		return Wrap(Cancelled, err, "the request was cancelled")
	case errors.Is(err, context.DeadlineExceeded):
		return Wrap(Timeout, err, "the deadline passed")
	default:
		return Wrap(Internal, err, "internal error")
	}
}

// KindOf returns the kind of err as defined by As; Internal for nil.
func KindOf(err error) Kind {
	if err == nil {
		return Internal
	}

	return As(err).kind
}
