package entry

import (
	"context"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/target"
)

// try makes the call at one target. sent says that it may have run there.
func (c *call) try(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	began := time.Now()
	s := c.e.targets.Sent(began, t.VM, 1)
	c.e.pace.begin(t.VM)

	reply, sent, err = c.converse(ctx, t)
	now := time.Now()
	c.e.pace.end(c.service.Name, t.VM, now.Sub(began), err == nil)
	c.e.note(c.e.targets.Done(now, s, standing(err, sent)))

	kind := "done"
	if err != nil {
		kind = failure.KindOf(err).String()

		if sent && failure.KindOf(err) == failure.TargetLost {
			c.e.lost(ctx, t, c.message.Fingerprint)
		}
	} else {
		c.e.crashes.Completed(now, c.message.Fingerprint)
		c.e.heardLoad(now, t, reply.Load)
	}

	event.Log(c.e.cfg.Log, event.AttemptEnded, "request_id", c.request.id, "attempt", c.attempt, "vm", t.VM, "outcome", kind, "took_ms", now.Sub(began).Milliseconds())

	return reply, sent, err
}

func (c *call) converse(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	if t.SideAddress == "" {
		return c.direct(ctx, t)
	}

	s, err := c.e.cfg.Peers.Open(ctx, sideOf(t))
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
	if err != nil && ctx.Err() != nil && failure.KindOf(err).Answer().Ran != failure.NotRun {
		err = failure.As(context.Cause(ctx))
	}

	sent = err == nil || failure.KindOf(err).Answer().Ran != failure.NotRun

	return reply, sent, err
}

func (c *call) receive(s *peer.Stream) (message.Reply, error) {
	for {
		m, err := s.Receive()
		if err != nil {
			return message.Reply{}, err
		}

		if crashed, ok := m.(message.Crashed); ok {
			c.e.Crashed(time.Now(), crashed.Crash)

			continue
		}

		return message.Expect[message.Reply](m)
	}
}
