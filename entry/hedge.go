package entry

import (
	"context"
	"time"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/target"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	reply message.Reply
	sent  bool
	err   error
}

// tryHedged makes the call to t. If the call is idempotent and takes longer than the
// setting hedge_after, it makes a second call to another target, returns the first
// successful response and cancels the other attempt.
func (c *call) tryHedged(ctx context.Context, t target.Target) (message.Reply, bool, error) {
	after := c.values.HedgeAfter
	if c.message.AtMostOnce || after <= 0 {
		ctx, cancel := c.withAttemptTimeout(ctx)
		defer cancel()

		return c.tryTarget(ctx, t)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	results := make(chan attemptResult, 2)
	attempt := func(t target.Target) {
		reply, sent, err := c.tryTarget(ctx, t)
		results <- attemptResult{reply, sent, err}
	}

	go attempt(t)

	start := time.Now()

	wait := time.NewTimer(after)
	defer wait.Stop()

	for running := 1; ; {
		select {
		case result := <-results:
			running--

			if result.err == nil || running == 0 {
				return result.reply, result.sent, result.err
			}
		case <-wait.C:
			if other, ok := c.hedgeTarget(ctx, time.Since(start), t); ok {
				running++

				go attempt(other)
			}
		}
	}
}

// hedgeTarget returns a target for the hedge, if the retry rules and the budget allow
// one and a target is available.
func (c *call) hedgeTarget(ctx context.Context, waited time.Duration, first target.Target) (target.Target, bool) {
	now := time.Now()
	status, _ := c.e.crashes.Check(now, c.message.Fingerprint)
	allowed := retry.MayHedge(retry.Hedge{
		Idempotent:  true,
		Suspect:     status != quarantine.Clear,
		Waited:      waited,
		TypicalWait: c.values.HedgeAfter,
		TimeLeft:    time.Until(c.request.arrived.Add(c.values.Timeout)),
	})

	if !allowed || !c.budget.Allow(now) {
		return target.Target{}, false
	}

	c.tried[first.VM] = true

	return c.route(ctx, now)
}

// withAttemptTimeout limits one attempt of an idempotent call to its share of the
// timeout, so that an unresponsive target leaves time for attempts at others.
func (c *call) withAttemptTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.message.AtMostOnce {
		return context.WithCancel(ctx)
	}

	timeout := c.values.Timeout / time.Duration(max(1, c.values.MaxAttempts))

	return context.WithTimeoutCause(ctx, timeout, failure.New(failure.TargetLost, "the target exceeded its share of the timeout"))
}
