package side

import (
	"context"
	"errors"
	"net/http/httptrace"
	"syscall"
	"time"

	"boragehub/failure"
)

// traceSent returns a context under which an HTTP call marks the request as sent once it
// has a connection. If requests were marked earlier, one that was queued while the target
// crashed and was then refused a connection would be held responsible for the crash.
func (s *Side) traceSent(ctx context.Context, id uint64) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.target.markSent(id, info.Conn) },
	})
}

// notReadyIfRefused turns a refused connection into the error failure.NotReady, which
// states that nothing ran.
func notReadyIfRefused(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.Wrap(failure.NotReady, err, "the target is down").WithRetryAfter(time.Second)
	}

	return err
}
