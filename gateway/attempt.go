package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/retry"
	"boragehub/target"
	"boragehub/upstream"
)

// outcome is the result of an attempt.
type outcome struct {
	// done is true if the caller has its response or closed its connection.
	done bool
	// mayHaveRun is true if the target may have run the request.
	mayHaveRun bool
	// kind is the failure reported to the caller if no other attempt is made.
	kind failure.Kind
	// cause is the underlying error, for the log.
	cause error
	// response is the target's own error response, forwarded if no other attempt is made.
	response *fullResponse
	// targetOutcome is how the attempt counts for the target.
	targetOutcome target.Outcome
	// retryAfter is the Retry-After time of a target that refused the request; zero for none.
	retryAfter time.Duration
}

// refusedBackoff is how long an engine that refused a request gets no others: it is full
// or loads weights, and a queue of short prompts advances in that time.
const refusedBackoff = 60 * time.Millisecond

// run sends the request to targets until it is answered or given up.
func (t *task) run(ctx context.Context) {
	defer t.endTurn()
	defer t.settleRepeat()

	var last outcome

	for {
		c, err := t.findTarget(ctx)
		if err == nil {
			last = t.attempt(ctx, time.Now(), c)
			if last.done {
				return
			}

			err = t.mayRetry(time.Now(), last)
		}

		if err != nil {
			t.giveUp(last, err)

			return
		}
	}
}

// mayRetry returns nil if the request may go to another target, and otherwise the error
// for the caller.
func (t *task) mayRetry(now time.Time, o outcome) error {
	left := t.deadline.Sub(now)

	switch {
	case t.r.Context().Err() != nil:
		return failure.New(failure.Cancelled, "the caller closed its connection")
	case errors.Is(o.cause, errSlowReader):
		return failure.Wrap(failure.Cancelled, o.cause, "the caller did not read the stream")
	case left <= 0:
		return t.attemptError(o, failure.Timeout)
	case t.g.drain.ended():
		return t.attemptError(o, o.kind)
	case errors.Is(o.cause, errUnresponsive), errors.Is(o.cause, errCallerTimeout):
		// Another target would prefill the whole prompt again, and the callers of all paused
		// targets retry by themselves: with retries by the gateway as well, the other targets
		// are overloaded.
		return t.attemptError(o, failure.Timeout)
	case t.checkQuarantine(now) != nil:
		event.Log(t.g.cfg.Log, event.RepeatRefused, "request_id", t.logID(), "attempt", t.attempts, "kind", o.kind.String(), "reason", "quarantined")

		return t.attemptError(o, o.kind)
	case !t.mayRepeatSuspect(now, o):
		event.Log(t.g.cfg.Log, event.RepeatRefused, "request_id", t.logID(), "attempt", t.attempts, "kind", o.kind.String(), "reason", "suspect")

		return t.attemptError(o, o.kind)
	case !retry.MayRetry(retry.Attempt{
		Idempotent: t.route.Retryable(), Sent: o.mayHaveRun, Kind: o.kind, Number: t.possibleRuns, MaxAttempts: max(t.route.MaxAttempts, 1),
	}):
		return t.attemptError(o, o.kind)
	}

	return t.drawOnBudget(now, o)
}

// drawOnBudget returns nil if the service's retry budget allows one more attempt, and otherwise the error for
// the caller.
func (t *task) drawOnBudget(now time.Time, o outcome) error {
	b := t.g.retryBudget(t.service.Name)
	allowed := b.Reserve(now)
	used, limit := b.Usage(now)

	if !allowed {
		event.Log(t.g.cfg.Log, event.RepeatRefused, "request_id", t.logID(), "attempt", t.attempts, "kind", o.kind.String(), "reason", "budget",
			"service", t.service.Name, "budget_used", used, "budget", limit)

		return t.attemptError(o, o.kind)
	}

	t.repeat = b

	event.Log(t.g.cfg.Log, event.RequestRepeated, "request_id", t.logID(), "attempt", t.attempts, "kind", o.kind.String(), "left_ms", t.deadline.Sub(now).Milliseconds(),
		"service", t.service.Name, "budget_used", used, "budget", limit)

	return nil
}

// settleRepeat records that the present attempt, if it is a repeat, has arrived at its target or never will.
func (t *task) settleRepeat() {
	if t.repeat != nil {
		t.repeat.Settle(time.Now())
		t.repeat = nil
	}
}

// attemptError returns the error for the caller. It says that the request has not run only
// if no target may have run it.
func (t *task) attemptError(o outcome, kind failure.Kind) error {
	if t.possibleRuns == 0 {
		return failure.Wrap(failure.Unavailable, o.cause, "no target accepted the request").WithRetryAfter(t.retryAfter(o))
	}

	if kind.Response().Ran == failure.NotRun {
		kind = failure.TargetLost
	}

	return failure.Wrap(kind, o.cause, "the target sent no complete response")
}

// retryAfter returns when the caller should retry a request that no target has run.
func (t *task) retryAfter(o outcome) time.Duration {
	if o.kind == failure.Draining || o.kind == failure.QueueFull {
		return loadingRetryAfter
	}

	return noTargetRetryAfter
}

// giveUp ends the request without a complete response.
func (t *task) giveUp(o outcome, err error) {
	if t.stream.started {
		// The caller has received part of the stream: only a broken connection tells it that the
		// rest is missing.
		event.Log(t.g.cfg.Log, event.RequestGivenUp, "request_id", t.logID(), "route", t.route.Name, "kind", "stream_cut",
			"status", 0, "ran", "may_have_run", "retry_after_ms", 0, "attempts", t.attempts, "cause", causeText(err), "after_ms", time.Since(t.began).Milliseconds())
		panic(http.ErrAbortHandler)
	}

	if o.response != nil && t.r.Context().Err() == nil {
		t.deliver(o.response)

		return
	}

	if t.possibleRuns > 0 && failure.KindOf(err).Response().Ran == failure.NotRun {
		err = t.attemptError(o, failure.TargetLost)
	}

	t.refuse(err)
}

// attempt sends the request to one target.
func (t *task) attempt(ctx context.Context, now time.Time, c choice) outcome {
	t.attempts++

	defer t.endRoom(c)
	defer t.endParts()

	if c.long != nil {
		now = time.Now() // the claim took a moment, which is no part of the time to the first event
	}

	if t.tried == nil {
		t.tried = make(map[string]bool)
	}

	t.tried[c.engine.ID] = true

	ctx, cancel := context.WithDeadline(ctx, now.Add(t.attemptTimeout(now)))
	defer cancel()

	ctx, cancelAttempt := context.WithCancelCause(ctx)
	t.inFlight = &inFlightAttempt{cancel: cancelAttempt, model: t.model(), version: c.params.Version}
	t.inFlight.begun.Store(t.stream.started)

	defer t.g.inFlight.add(c.engine.ID, t.inFlight)()

	if t.g.drain.ended() && !t.stream.started {
		cancelAttempt(errStopped)
	}

	if t.streaming() && t.route.EventTimeout > 0 {
		go t.watchCallerTimeout(ctx, c.engine.ID, cancelAttempt)
	}

	if t.arrival.Prompt != nil {
		t.profile().ObservePrompt(c.prefillTokens, c.memoryTokens, t.route.LatencyTarget)
	}

	t.sentAt, t.received = now, receivedBody{}
	t.g.drain.sent(now, t, c.engine.ID)

	recordSent := t.g.cfg.Roster.Sent
	if c.long != nil && c.long.leased {
		recordSent = t.g.cfg.Roster.SentLeased
	}

	sent := recordSent(now, c.engine.ID, c.prefillTokens, c.memoryTokens)

	defer t.occupy(c.memoryTokens)()

	o := t.exchange(ctx, c)

	if t.r.Context().Err() != nil {
		o.targetOutcome = target.Neutral
	}

	t.g.cfg.Roster.Done(time.Now(), sent, o.targetOutcome)

	if o.mayHaveRun {
		t.possibleRuns++
	}

	if !o.done {
		t.recordFailedAttempt(c, o)
	}

	return o
}

// attemptTimeout returns how long the attempt may take. A retryable call leaves time for
// another target: a target that hangs would otherwise use up all of it.
func (t *task) attemptTimeout(now time.Time) time.Duration {
	left := t.deadline.Sub(now) + deadlineGrace
	usual := 2*t.route.LatencyTarget + 50*time.Millisecond

	if !t.route.Retryable() || t.service.Engines != nil || t.possibleRuns+1 >= t.route.MaxAttempts || left < 2*usual {
		return left
	}

	return usual
}

func (t *task) recordFailedAttempt(c choice, o outcome) {
	text := ""
	if o.cause != nil {
		text = o.cause.Error()
	}

	event.Log(t.g.cfg.Log, event.AttemptFailed, "request_id", t.logID(), "route", t.route.Name, "target", c.engine.ID,
		"attempt", t.attempts, "outcome", o.kind.String(), "ran", o.mayHaveRun, "fingerprint", t.fingerprint.String(), "retry_after_ms", o.retryAfter.Milliseconds(),
		"framing", t.received.framing.String(), "bytes", t.received.bytes, "unfinished_bytes", t.received.unfinished, "cause", text, "after_ms", time.Since(t.began).Milliseconds())

	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.Failed(o.kind.String())
	}
}

// exchange sends the request of one attempt and handles the response.
func (t *task) exchange(ctx context.Context, c choice) outcome {
	d := t.g.cfg.Dialect

	x, err := t.g.cfg.Pool.Send(ctx, upstreamRequest(d, t.r, &t.arrival, &c.params, t.body))
	t.settleRepeat()

	if err != nil {
		return t.failedExchange(ctx, c, err)
	}
	defer x.Close()

	a := d.ParseResponse(x.Header())
	t.received.framing = x.Framing()
	t.recordHead(c, x.Status(), a)

	switch {
	case a.NotRun || x.Status() == http.StatusMisdirectedRequest:
		return t.refused(c, x, a)
	case x.Status() == http.StatusOK && t.streaming():
		return t.forwardStream(ctx, c, x, a)
	default:
		return t.readResponse(ctx, c, x, a)
	}
}

// recordHead records what the head of a response reports about its target.
func (t *task) recordHead(c choice, status int, a ResponseHead) {
	now := time.Now()
	t.inFlight.answered.Store(true)
	t.g.crashes.observeResponse(c.start(), t.sentAt)
	t.g.cfg.Roster.ObserveAnswer(now, c.engine.ID)

	// A misdirected request may have been answered by another target at the same address.
	if status != http.StatusMisdirectedRequest || a.Target == c.engine.ID {
		t.g.cfg.Roster.ObserveRateLimit(now, c.engine.ID, a.RateLimit)

		if a.Slowdown > 0 {
			t.g.cfg.Roster.ObserveSlowdown(now, c.engine.ID, a.Slowdown)
		}

		if a.Leaving {
			t.g.cfg.Roster.ObserveLeaving(now, c.engine.ID)
		}

		if a.RetryAfter > 0 && refuses(status) {
			t.g.cfg.Roster.ObserveRetryAfter(now, c.engine.ID, a.RetryAfter)
		}
	}

	if a.HasLoad {
		t.g.cfg.Roster.ObserveLoad(now, c.engine.ID, a.Running, a.Waiting)
	}

	if a.Version > 0 && t.arrival.Prompt != nil {
		t.g.cfg.Roster.ObserveVersion(c.engine.ID, t.arrival.Prompt.Model, a.Version, "answer")
	}
}

// refuses reports whether a target states with a status that it is overloaded.
func refuses(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// failedExchange returns the outcome of an exchange that failed before its response was complete.
func (t *task) failedExchange(ctx context.Context, c choice, err error) outcome {
	o := outcome{kind: failure.TargetLost, cause: err, targetOutcome: target.Failed}
	o.mayHaveRun = upstream.DeliveryOf(err) == upstream.MaybeSent

	why := context.Cause(ctx)

	switch {
	case errors.Is(why, errRestarted):
		// Failures of the previous process don't count against the restarted target. The request
		// may have caused the crash.
		o.cause, o.targetOutcome = why, target.Neutral
	case errors.Is(why, errUnresponsive), errors.Is(why, errVersionOverdue), errors.Is(why, errCallerTimeout), errors.Is(why, errStopped):
		// Not counted as a failure of the target: an unresponsive one is suspected until it reports
		// again, and then still has its requests and its memory.
		o.cause, o.targetOutcome = why, target.Neutral
	case ctx.Err() != nil:
		// The attempt's timeout may have expired before the caller's deadline.
		if !time.Now().Before(t.deadline) {
			o.kind = failure.Timeout
		}
	}

	t.recordBroken(ctx, c, o.mayHaveRun, err)

	if t.r.Context().Err() != nil {
		o.done = true

		t.abortCallerLeft(t.r.Context().Err())
	}

	return o
}

// recordBroken records the request of a failed exchange as one that may have been running when its
// target ended, and finds out whether it has.
func (t *task) recordBroken(ctx context.Context, c choice, mayHaveRun bool, err error) {
	now, s, d := time.Now(), c.start(), t.g.crashes

	switch {
	case !mayHaveRun:
		if upstream.Refused(err) {
			d.observeEnd(now, s, basisRefused)
		}
	case errors.Is(context.Cause(ctx), errRestarted):
		d.addAbandoned(now, s, t.crashCandidate())
		awaitReport(context.WithoutCancel(ctx), d.observeEnd(now, s, basisRestarted))
	case ctx.Err() != nil:
		d.addAbandoned(now, s, t.crashCandidate())
	default:
		reported, ended := d.add(now, s, t.crashCandidate())
		if !ended && t.refusesConnections(ctx, c) {
			reported = d.observeEnd(time.Now(), s, basisRefused)
		}

		awaitReport(ctx, reported)
	}
}

// refusesConnections reports whether nothing accepts connections at a target's address any more.
func (t *task) refusesConnections(ctx context.Context, c choice) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()

	return upstream.Refused(t.g.cfg.Pool.Connect(ctx, c.engine.Address))
}

// abortCallerLeft ends the request of a caller that closed its connection or reads nothing.
func (t *task) abortCallerLeft(cause error) {
	event.Log(t.g.cfg.Log, event.CallerLeft, "request_id", t.logID(), "attempts", t.attempts, "after_ms", time.Since(t.began).Milliseconds(), "cause", cause.Error())
	panic(http.ErrAbortHandler)
}

// misdirected handles a response which says that the target has another weight version than
// assumed, or that another target has its address.
func (t *task) misdirected(c choice, a ResponseHead) {
	now := time.Now()

	switch {
	case a.Target != "" && a.Target != c.engine.ID:
		t.g.cfg.Roster.ObserveReplaced(now, c.engine.ID)
	case a.Version > c.engine.Version:
		// The roster now has the reported version, so the same target may be tried with it.
		delete(t.tried, c.engine.ID)
	default:
		t.g.cfg.Roster.ObserveRefusal(now, c.engine.ID, refusedBackoff)
	}
}

// errRefused is the cause of an attempt that its target refused.
var errRefused = errors.New("the target refused the request")

// refused returns the outcome of a request that the target says has not run.
func (t *task) refused(c choice, x *upstream.Exchange, a ResponseHead) outcome {
	o := outcome{kind: failure.QueueFull, cause: fmt.Errorf("%w with status %d", errRefused, x.Status()), targetOutcome: target.Neutral, retryAfter: a.RetryAfter}

	discardRest(x)

	if x.Status() == http.StatusMisdirectedRequest {
		o.kind = failure.WrongVersion
		t.misdirected(c, a)

		return o
	}

	if a.RetryAfter > 0 && refuses(x.Status()) {
		return o // recordHead has recorded it
	}

	// A target that refuses although it has free slots is loading weights.
	pause := refusedBackoff
	if a.HasLoad && a.Running < a.Slots && a.Waiting == 0 {
		pause = loadingRetryAfter
	}

	t.g.cfg.Roster.ObserveRefusal(time.Now(), c.engine.ID, pause)

	return o
}
