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

// outcome is how one attempt ended.
type outcome struct {
	reply message.Reply
	sent  bool
	err   error
}

// hedged makes the call at t and, when it may be repeated and takes longer than
// the settings say, a second time at another target; the first answer counts
// and the other attempt is cancelled.
func (c *call) hedged(ctx context.Context, t target.Target) (message.Reply, bool, error) {
	after := c.values.HedgeAfter
	if c.message.Once || after <= 0 {
		ctx, cancel := c.share(ctx)
		defer cancel()

		return c.try(ctx, t)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	answers := make(chan outcome, 2)
	attempt := func(t target.Target) {
		reply, sent, err := c.try(ctx, t)
		answers <- outcome{reply, sent, err}
	}

	go attempt(t)

	began := time.Now()

	wait := time.NewTimer(after)
	defer wait.Stop()

	for running := 1; ; {
		select {
		case o := <-answers:
			running--

			if o.err == nil || running == 0 {
				return o.reply, o.sent, o.err
			}
		case <-wait.C:
			if other, ok := c.second(ctx, time.Since(began), t); ok {
				running++

				go attempt(other)
			}
		}
	}
}

// second returns the target of a hedge, if there may be one.
func (c *call) second(ctx context.Context, waited time.Duration, first target.Target) (target.Target, bool) {
	now := time.Now()
	standing, _ := c.e.crashes.Check(now, c.message.Fingerprint)
	may := retry.MayHedge(retry.Hedge{
		Idempotent: true,
		Suspect:    standing != quarantine.Clear,
		Waited:     waited,
		Usual:      c.values.HedgeAfter,
		Left:       time.Until(c.request.arrived.Add(c.values.Timeout)),
	})

	if !may || !c.budget.Allow(now) {
		return target.Target{}, false
	}

	c.tried[first.VM] = true

	return c.route(ctx, now)
}

// share bounds one attempt of a call that may be repeated to its part of the
// timeout, so that a target that falls silent leaves time for the others.
func (c *call) share(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.message.Once {
		return context.WithCancel(ctx)
	}

	part := c.values.Timeout / time.Duration(max(1, c.values.MaxAttempts))

	return context.WithTimeoutCause(ctx, part, failure.New(failure.TargetLost, "the target took longer than its part of the timeout"))
}
