package side

import (
	"context"
	"errors"
	"net/http/httptrace"
	"syscall"
	"time"

	"boragehub/failure"
)

// giving returns a context under which an HTTP call puts the request on the books
// as given to the target once it has a connection. Before that it is not: a
// request that waited for its turn while the target died, and was then refused
// the connection, would be blamed for a death that it had no part in.
func (s *Side) giving(ctx context.Context, id uint64) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.guard.give(id, info.Conn) },
	})
}

// notGiven turns the error of a call that found nobody listening into a refusal
// that says so: nothing ran.
func notGiven(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return failure.Wrap(failure.NotReady, err, "the target is down").After(time.Second)
	}

	return err
}
