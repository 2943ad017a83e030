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

// answering notes whether the engine has begun to answer a call.
type answering struct{ begun atomic.Bool }

// watch returns a context for the call.
func (a *answering) watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { a.begun.Store(true) },
	})
}

// unread turns the error of a call into a refusal where the engine can't have run it: its
// connection was reset before a byte of the answer. The system resets a connection whose
// port is closed before anybody accepted it, and one that is closed over bytes which nobody
// read; an engine that dies of a prompt has read it to its end. Without this, whoever
// comes just as an engine stops in order counts as one that may have brought it down.
func (a *answering) unread(err error) error {
	if a.begun.Load() || !errors.Is(err, syscall.ECONNRESET) {
		return err
	}

	return failure.Wrap(failure.NotReady, err, "the engine closed the connection without reading the run").After(time.Second)
}
