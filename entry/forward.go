package entry

import (
	"context"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/responsehead"
	"boragehub/target"
)

// tryTarget makes the call to one target. sent reports whether it may have run there.
func (c *call) tryTarget(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	start := time.Now()
	attempt := c.e.targets.Sent(start, t.VM, 1)
	c.e.serviceTimes.begin(t.VM)

	reply, sent, err = c.execute(ctx, t)
	now := time.Now()
	c.e.serviceTimes.end(c.service.Name, t.VM, now.Sub(start), err == nil)
	c.e.logChanges(c.e.targets.Done(now, attempt, targetOutcome(err, sent)))
	c.e.observeThrottled(now, t, err)

	kind := "done"
	if err != nil {
		kind = failure.KindOf(err).String()

		if sent && failure.KindOf(err) == failure.TargetLost {
			c.e.reportIfCrashed(ctx, t, c.message.Fingerprint)
		}
	} else {
		c.e.crashes.RecordCompletion(now, c.message.Fingerprint)
		c.e.observeLoad(now, t, reply.Load)
	}

	event.Log(c.e.cfg.Log, event.AttemptEnded, "request_id", c.request.id, "attempt", c.attempt, "vm", t.VM, "outcome", kind, "took_ms", now.Sub(start).Milliseconds())

	return reply, sent, err
}

func (c *call) execute(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	if t.SideAddress == "" {
		return c.executeDirect(ctx, t)
	}

	s, err := c.e.cfg.Peers.Open(ctx, sideAddress(t))
	if err != nil {
		return reply, false, err
	}

	defer s.Close()

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	m := c.message
	m.TimeoutMS = c.values.Timeout.Milliseconds()

	if deadline, ok := ctx.Deadline(); ok {
		m.TimeoutMS = time.Until(deadline).Milliseconds()
	}

	if err := s.Send(m); err != nil {
		return reply, true, err
	}

	reply, err = c.receive(s)
	if err != nil && ctx.Err() != nil && failure.KindOf(err).Response().Ran != failure.NotRun {
		err = failure.As(context.Cause(ctx))
	}

	sent = err == nil || failure.KindOf(err).Response().Ran != failure.NotRun

	return reply, sent, err
}

func (c *call) receive(s *peer.Stream) (message.Reply, error) {
	for {
		m, err := s.Receive()
		if err != nil {
			return message.Reply{}, err
		}

		if crashed, ok := m.(message.CrashReport); ok {
			c.e.AddCrash(time.Now(), crashed.Crash)

			continue
		}

		reply, err := message.Expect[message.Reply](m)
		if err == nil {
			err = checkReply(reply)
		}

		return reply, err
	}
}

// checkReply returns an error if a reply has no status that a caller may get. A side process may pass on the recorded
// outcome of a call whose response was broken.
func checkReply(r message.Reply) error {
	if !responsehead.IsFinalStatus(r.Status) {
		return failure.New(failure.TargetLost, "the service responded with status %d", r.Status)
	}

	return nil
}
