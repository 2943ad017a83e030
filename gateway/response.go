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
	"boragehub/wholebody"
)

// Limits on responses that are read completely.
const (
	// maxResponseBytes is the size of the largest response that isn't a stream.
	maxResponseBytes = 16 << 20
	// maxRefusalBytes limits how much of a refusal is read, so that its connection can be
	// reused.
	maxRefusalBytes = 64 << 10
)

// fullResponse is a complete response of a target.
type fullResponse struct {
	status int
	header http.Header
	body   []byte
}

var errNotGenuine = errors.New("the response is unsigned or encoded")

// discardRest reads the rest of a refusal so that the connection can be reused. If reading fails,
// only the connection is lost.
func discardRest(x *upstream.Exchange) {
	//nolint:errcheck,gosec // see above
	io.Copy(io.Discard, io.LimitReader(x, maxRefusalBytes))
}

// readResponse reads a response to its end before any of it goes to the caller.
func (t *task) readResponse(ctx context.Context, c choice, x *upstream.Exchange, a ResponseHead) outcome {
	held := heldResponse{memory: t.g.responseMemory, account: t.account}
	defer held.release()

	body, err := wholebody.ReadAll(&heldReader{src: x, held: &held}, maxResponseBytes)
	t.received.bytes = len(body)

	if err != nil {
		return t.failedExchange(ctx, c, err)
	}

	ok := x.Status() >= 200 && x.Status() < 300

	switch {
	case ok && (!a.Signed || a.Encoded):
		return outcome{mayHaveRun: true, kind: failure.TargetLost, cause: errNotGenuine, targetOutcome: target.Failed}
	case ok:
		t.observeCallTime(time.Now(), c)
		t.recordCompletion(time.Now())
		t.deliver(&fullResponse{x.Status(), x.Header(), body})
		t.served(c, x.Status(), time.Now())

		return outcome{done: true, mayHaveRun: true, targetOutcome: target.Succeeded}
	}

	return t.errorResponse(x, a, body)
}

// errorResponse returns the outcome of a response that reports a failure at the target.
func (t *task) errorResponse(x *upstream.Exchange, a ResponseHead, body []byte) outcome {
	o := outcome{mayHaveRun: true, kind: failure.TargetLost, targetOutcome: target.Failed}
	o.cause = errors.New("the target responded with status " + strconv.Itoa(x.Status()))

	switch {
	case impliesNotRun(x.Status()) || !a.Signed:
		// The target doesn't say that the request has not run, but the caller would conclude
		// it from the status.
	case x.Status() < http.StatusInternalServerError:
		o.response = &fullResponse{x.Status(), x.Header(), body}
		o.targetOutcome = target.Succeeded
		o.kind = failure.BadRequest
	default:
		o.response = &fullResponse{x.Status(), x.Header(), body}
	}

	return o
}

// impliesNotRun reports whether a status tells callers that their request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// hopHeaders apply to one connection only and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
}

// copyHeader copies a target's headers to the caller's response.
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
		h["Content-Type"] = nil // otherwise net/http would guess a type from the body
	}

	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
}

// deliver writes a complete response to the caller.
func (t *task) deliver(a *fullResponse) {
	t.copyHeader(a.header)
	t.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	t.w.WriteHeader(a.status)

	if err := t.g.slowReaders.write(t.w, a.body); err != nil {
		event.Log(t.g.cfg.Log, event.CallerLeft, "request_id", t.logID(), "attempts", t.attempts, "cause", err.Error())
	}
}

// served logs and counts a request that got its complete response.
func (t *task) served(c choice, status int, first time.Time) {
	now := time.Now()
	total := now.Sub(t.began)
	t.g.drain.observeTarget(now, t.route.Name, c.engine.ID, now.Sub(t.sentAt))
	t.g.drain.observe(t.route.Name, total)
	t.observeFirstEvent(first)

	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.Served(t.route.Kind.String(), first.Sub(t.began), total, t.attempts)
	}

	event.Log(t.g.cfg.Log, event.RequestServed, "request_id", t.logID(), "route", t.route.Name, "target", c.engine.ID,
		"status", status, "first_ms", first.Sub(t.began).Milliseconds(), "total_ms", total.Milliseconds(), "attempts", t.attempts,
		"target_ms", t.route.LatencyTarget.Milliseconds(), "framing", t.received.framing.String(), "bytes", t.received.bytes, "unfinished_bytes", t.received.unfinished)
}
