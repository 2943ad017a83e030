package engine

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"boragehub/failure"
)

// responseTracker records whether the engine has started to respond to a request.
type responseTracker struct{ started atomic.Bool }

// withTrace returns a context for the request that records the first response byte.
func (t *responseTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { t.started.Store(true) },
	})
}

// asRefusal turns the error of a request into a refusal if the engine can't have run it:
// the connection was reset before the first byte of the response. The operating system
// resets a connection that was not accepted before its port was closed, and one that is
// closed with unread data; an engine that crashes on a prompt has read it completely.
// Without this, a request that arrives while an engine shuts down gracefully would be
// suspected of having crashed it.
func (t *responseTracker) asRefusal(err error) error {
	if t.started.Load() || !errors.Is(err, syscall.ECONNRESET) {
		return err
	}

	return failure.Wrap(failure.NotReady, err, "the engine closed the connection without reading the request").WithRetryAfter(time.Second)
}
