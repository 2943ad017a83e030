package gateway

import (
	"context"
	"errors"
	"time"

	"boragehub/admission"
	"boragehub/event"
	"boragehub/failure"
)

// errContended is returned by awaitCapacity if the service has become contended meanwhile.
var errContended = errors.New("the prompt waits in the admission queue from now on")

// tooLate is why a prompt is not sent if its first event can't be on time: engines have others to
// prefill until then.
type tooLate struct {
	over time.Duration // by how much the wait for them exceeds the latency target
}

// Error returns why the prompt is not sent.
func (tooLate) Error() string {
	return "engines have other prompts to prefill for longer than the latency target"
}

// Unwrap returns errNoCapacity: a prompt waits for such engines as for capacity.
func (tooLate) Unwrap() error { return errNoCapacity }

// usesAdmission reports whether the prompt waits in an admission queue if no engine has capacity.
func (t *task) usesAdmission() bool {
	return t.service.Engines != nil && t.arrival.Prompt != nil && t.g.cfg.Roster.Contended(t.service.Name)
}

// findTarget returns the target of the next attempt. A prompt for which no engine has capacity
// waits for it.
func (t *task) findTarget(ctx context.Context) (choice, error) {
	if t.usesAdmission() {
		return t.admit(ctx)
	}

	c, err := t.choose(ctx, time.Now())
	if errors.Is(err, errNoCapacity) {
		c, err = t.awaitUnlessQuarantined(ctx, func(ctx context.Context) (choice, error) { return t.awaitCapacity(ctx, err) })
	}

	if errors.Is(err, errContended) {
		return t.admit(ctx)
	}

	return c, err
}

// admit returns an engine for a prompt of a contended service, at once if one has capacity and no
// other prompt is overtaken, and otherwise after it has waited in the admission queue.
func (t *task) admit(ctx context.Context) (choice, error) {
	now := time.Now()
	q := t.g.admission.forService(t.g, t.service.Name)
	p := t.admissionPrompt(now, q)

	var lastErr error = errNoCapacity

	if q.mayPass(p) {
		c, err := t.choose(ctx, now)
		if !errors.Is(err, errNoCapacity) {
			return c, err
		}

		lastErr = err
	}

	return t.awaitUnlessQuarantined(ctx, func(ctx context.Context) (choice, error) { return t.awaitAdmission(ctx, q, p, lastErr) })
}

// admissionPrompt describes the prompt to its admission queue.
func (t *task) admissionPrompt(now time.Time, q *admissionQueue) admission.Prompt {
	p := admission.Prompt{
		Organisation: t.organisationName(), Rank: t.priority(), Started: t.stream.started,
		Short: t.profile().IsShort(t.arrival.Prompt.Tokens), MemoryTokens: t.arrival.Prompt.Tokens + t.arrival.Prompt.Output,
		LatencyTarget: t.route.LatencyTarget, Deadline: t.deadline,
	}

	if p.LatencyTarget <= 0 {
		p.LatencyTarget = defaultMaxWait
	}

	p.Target = t.began.Add(p.LatencyTarget - q.leadTime(p.Short, p.LatencyTarget))

	if t.streaming() && t.route.EventTimeout > 0 {
		p.LeavesAt = now.Add(t.untilCallerTimeout(now))
	}

	return p
}

// observeFirstEvent records when the first event of a complete response was sent to the caller.
func (t *task) observeFirstEvent(first time.Time) {
	if t.arrival.Prompt != nil && !first.Before(t.sentAt) {
		short := t.profile().IsShort(t.arrival.Prompt.Tokens)
		t.g.admission.forService(t.g, t.service.Name).firstEvents(short).Observe(millis(first.Sub(t.sentAt)))
	}
}

func (t *task) organisationName() string {
	if t.organisation == nil {
		return ""
	}

	return t.organisation.Name
}

// obstacle describes an error that wraps errNoCapacity to the admission queue, in which a number of
// other prompts wait.
func obstacle(now time.Time, err error, waiting int) admission.Obstacle {
	var late tooLate

	if errors.As(err, &late) {
		return admission.Obstacle{Late: true, NotBefore: now.Add(late.over)}
	}

	if l, ok := asThrottled(err); ok {
		return admission.Obstacle{NotBefore: now.Add(l.waitBehind(waiting))}
	}

	return admission.Obstacle{}
}

// awaitAdmission waits in the admission queue until the prompt is sent or refused. Each prompt is
// tried by its own goroutine when it has the turn.
func (t *task) awaitAdmission(ctx context.Context, q *admissionQueue, p admission.Prompt, lastErr error) (choice, error) {
	w := q.enter(time.Now(), t, p, lastErr)
	defer func() { q.withdraw(time.Now(), w, "the handling ended") }()

	for {
		select {
		case r := <-w.refused:
			return choice{}, t.refuseAdmission(time.Now(), r, lastErr)
		case <-t.g.drain.endReached:
			// The end of the process would cut the prompt off, although it has certainly not run.
			q.refuse(time.Now(), w, admission.Stopping)
		case <-ctx.Done():
			if t.r.Context().Err() != nil {
				q.withdraw(time.Now(), w, "the caller left")

				return choice{}, failure.New(failure.Cancelled, "the caller closed its connection")
			}

			q.refuse(time.Now(), w, admission.Expired)
		case <-w.turn:
			c, err := t.choose(ctx, time.Now())

			switch {
			case err == nil:
				q.admitted(time.Now(), w)
				t.admission = &admissionTurn{q, w}

				return c, nil
			case !errors.Is(err, errNoCapacity):
				q.withdraw(time.Now(), w, err.Error())

				return choice{}, err
			}

			lastErr = err
			q.failed(time.Now(), w, err)
		}
	}
}

// refuseAdmission logs a refusal and returns the error for the caller.
func (t *task) refuseAdmission(now time.Time, r admission.Refusal, lastErr error) error {
	kind, after := failure.QueueFull, r.RetryAfter

	// What targets asked for holds for as long as they asked.
	if l, ok := asThrottled(lastErr); ok {
		after = max(after, t.g.throttledCallers.next(now, t.service.Name, l, r.Waiting))
	} else if errors.Is(lastErr, errSlowStart) {
		after = max(after, failure.As(lastErr).RetryAfter())
	}

	if r.Reason == admission.Stopping {
		kind = failure.Draining
	}

	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.NotAdmitted(r.Reason.String())
	}

	event.Log(t.g.cfg.Log, event.PromptRefused, "request_id", t.logID(), "route", t.route.Name, "reason", r.Reason.String(),
		"waited_ms", r.Ticket.Waited(now).Milliseconds(), "ahead", r.Ahead, "waiting", r.Waiting, "expected_wait_ms", r.ExpectedWait.Milliseconds(),
		"per_second", r.Rate.PerSecond, "rate_age_ms", r.Rate.Age.Milliseconds(), "due_ms", r.Ticket.Due().Sub(now).Milliseconds(),
		"deadline_ms", t.deadline.Sub(now).Milliseconds(), "retry_after_ms", after.Milliseconds(), "cause", lastErr.Error())

	return failure.New(kind, "the prompt is not admitted (%s, %d ahead of it): %v", r.Reason, r.Ahead, lastErr).WithRetryAfter(after)
}

// admissionTurn is the turn of a prompt that has found an engine. It ends when the roster knows that
// the prompt was sent there: others would be sent to the same memory otherwise.
type admissionTurn struct {
	queue  *admissionQueue
	waiter *admissionWaiter
}

// endTurn passes the turn on, if the prompt has it.
func (t *task) endTurn() {
	if t.admission == nil {
		return
	}

	q := t.admission.queue

	q.mu.Lock()
	defer q.mu.Unlock()

	q.endTurn(time.Now(), t.admission.waiter)
	t.admission = nil
}

// occupy counts the prompt's memory as in use by its organisation until the returned function is
// called, which then lets the waiting prompts try again. It is called when the roster knows that the
// prompt is sent.
func (t *task) occupy(tokens int) (release func()) {
	t.endTurn()

	if t.arrival.Prompt == nil {
		return func() {}
	}

	q := t.g.admission.forService(t.g, t.service.Name)
	name := t.organisationName()
	q.use(name, tokens)

	return func() { q.release(time.Now(), name, tokens) }
}
