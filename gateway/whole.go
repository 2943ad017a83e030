package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/target"
	"boragehub/upstream"
)

// Bounds of answers that are read whole.
const (
	// maxAnswer is the largest answer that isn't a stream.
	maxAnswer = 16 << 20
	// maxRefusal bounds what is read of a refusal, so that its connection can be
	// used again.
	maxRefusal = 64 << 10
)

// whole is a complete answer of a target.
type whole struct {
	status int
	header http.Header
	body   []byte
}

var (
	errForged  = errors.New("the answer is not the target's own")
	errTooLong = errors.New("the answer is too long")
)

// drain reads the rest of a refusal so that the connection can be kept. One that
// can't be read loses its connection, and nothing else.
func drain(x *upstream.Exchange) {
	//nolint:errcheck,gosec // see above
	io.Copy(io.Discard, io.LimitReader(x, maxRefusal))
}

// readWhole reads an answer to its end before any of it goes to the caller.
func (t *task) readWhole(ctx context.Context, c choice, x *upstream.Exchange, a Answer) outcome {
	body, err := io.ReadAll(io.LimitReader(x, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}

	if err != nil {
		return t.unanswered(ctx, c, err)
	}

	ok := x.Status() >= 200 && x.Status() < 300

	switch {
	case ok && (!a.Genuine || a.Encoded):
		return outcome{ran: true, kind: failure.TargetLost, cause: errForged, standing: target.Failed}
	case ok:
		t.g.cfg.Crashes.Completed(time.Now(), t.print)
		t.deliver(&whole{x.Status(), x.Header(), body})
		t.served(c, x.Status(), time.Now())

		return outcome{done: true, ran: true, standing: target.Succeeded}
	}

	return t.failure(x, a, body)
}

// failure is the outcome of an answer that tells of a failure at the target.
func (t *task) failure(x *upstream.Exchange, a Answer, body []byte) outcome {
	o := outcome{ran: true, kind: failure.TargetLost, standing: target.Failed}
	o.cause = errors.New("the target answered " + strconv.Itoa(x.Status()))

	switch {
	case promises(x.Status()) || !a.Genuine:
		// The target doesn't say that the request has not run, and its status
		// would promise just that.
	case x.Status() < http.StatusInternalServerError:
		o.answer = &whole{x.Status(), x.Header(), body}
		o.standing = target.Succeeded
		o.kind = failure.BadRequest
	default:
		o.answer = &whole{x.Status(), x.Header(), body}
	}

	return o
}

// promises reports whether a status tells callers that their request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// hopHeaders concern one connection alone and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
}

// copyHeader puts a target's headers on the caller's answer.
func (t *task) copyHeader(from http.Header) {
	h := t.w.Header()
	closing := h.Get("Connection")

	for name, values := range from {
		h[name] = values
	}

	for _, name := range hopHeaders {
		h.Del(name)
	}

	if closing != "" {
		h.Set("Connection", closing)
	}

	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or a type would be guessed from the body
	}

	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

// deliver writes a complete answer to the caller.
func (t *task) deliver(a *whole) {
	t.copyHeader(a.header)
	t.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	t.w.WriteHeader(a.status)

	if _, err := t.w.Write(a.body); err != nil {
		event.Log(t.g.cfg.Log, event.CallerLeft, "request_id", t.arrival.ID, "attempts", t.attempts)
	}
}

// served logs and counts a request that got its whole answer.
func (t *task) served(c choice, status int, first time.Time) {
	total := time.Since(t.began)
	t.g.work.took(t.route.Name, total)

	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.Served(t.route.Kind.String(), first.Sub(t.began), total, t.attempts)
	}

	event.Log(t.g.cfg.Log, event.RequestServed, "request_id", t.arrival.ID, "route", t.route.Name, "target", c.engine.ID,
		"status", status, "first_ms", first.Sub(t.began).Milliseconds(), "total_ms", total.Milliseconds(), "attempts", t.attempts)
}
