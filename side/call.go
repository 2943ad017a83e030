package side

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"boragehub/claim"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
)

// Headers that a plain service gets besides the caller's content type.
const (
	headerRequestID    = "X-Request-Id"
	headerOrganisation = "X-Organisation"
	headerKey          = "Idempotency-Key"
)

// maxReply bounds a plain service's answer, in bytes.
const maxReply = 4 << 20

// call answers a Call. What it returns has not been told to the entry yet.
func (s *Side) call(ctx context.Context, to *peer.Stream, m message.Call) error {
	now := time.Now()

	id, err := s.guard.enter(m.Fingerprint, "")
	if err != nil {
		event.Log(s.cfg.Log, event.RunRefused, "request_id", m.RequestID, "reason", err.Error())

		return err
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.TimeoutMS)*time.Millisecond)
	defer cancel()

	var reply message.Reply

	if m.Once {
		reply, err = s.callOnce(ctx, now, id, m)
	} else {
		reply, err = s.forward(s.giving(ctx, id), m)
		err = notGiven(err)
	}

	lost := err != nil && failure.KindOf(err) == failure.TargetLost
	s.guard.leave(time.Now(), id, lost)

	if lost {
		s.checkCrash(ctx, id, to)
	}

	event.Log(s.cfg.Log, event.CallEnded, "request_id", m.RequestID, "organisation", m.Organisation, "once", m.Once,
		"replayed", reply.Replayed, "status", reply.Status, "outcome", outcome(err), "took_ms", time.Since(now).Milliseconds())

	if err != nil {
		return err
	}

	reply.Load = s.guard.currentLoad(time.Now())

	return to.Send(reply)
}

// callOnce runs a call that may run at most once: only after its claim was read
// back as the first for its key. From then on the call no longer ends with the
// conversation, since nobody else may run it.
func (s *Side) callOnce(ctx context.Context, now time.Time, id uint64, m message.Call) (message.Reply, error) {
	if s.cfg.Claims == nil {
		return message.Reply{}, failure.New(failure.LogUnavailable, "this target records no claims")
	}

	deadline, _ := ctx.Deadline()

	ticket, err := s.cfg.Claims.Claim(ctx, now, claim.Request{
		Organisation: m.Organisation,
		Key:          m.Key,
		Fingerprint:  string(m.Fingerprint[:]),
		Deadline:     deadline,
	})
	if err != nil {
		return message.Reply{}, err
	}

	if o := ticket.Outcome; o != nil {
		return message.Reply{Status: o.Status, ContentType: o.ContentType, Body: o.Body, Replayed: true}, nil
	}

	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()

	reply, err := s.forward(s.giving(ctx, id), m)

	switch {
	case err == nil:
		settled := s.cfg.Claims.Settle(ctx, ticket, claim.Outcome{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
		if settled != nil {
			event.Fail(s.cfg.Log, settled, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		// Nothing listened, so nothing ran: the key is free for another try.
		if withdrawn := s.cfg.Claims.Withdraw(ctx, ticket); withdrawn != nil {
			event.Fail(s.cfg.Log, withdrawn, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, failure.Wrap(failure.Unavailable, err, "the service is down").After(time.Second)
	default:
		if lost := s.cfg.Claims.Lose(ctx, ticket); lost != nil {
			event.Fail(s.cfg.Log, lost, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, failure.Wrap(failure.OutcomeUnknown, err, "the call may have run; it will not be run again")
	}
}

// forward makes the HTTP call.
func (s *Side) forward(ctx context.Context, m message.Call) (message.Reply, error) {
	req, err := http.NewRequestWithContext(ctx, m.Method, "http://"+s.cfg.Address+m.Path, bytes.NewReader(m.Body))
	if err != nil {
		return message.Reply{}, failure.Wrap(failure.BadRequest, err, "path %q", m.Path)
	}

	for name, value := range map[string]string{
		"Content-Type":     m.ContentType,
		headerRequestID:    m.RequestID,
		headerOrganisation: m.Organisation,
		headerKey:          m.Key,
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}

	resp, err := s.plain.Do(req)
	if err != nil {
		return message.Reply{}, failure.Wrap(failure.TargetLost, err, "the service does not answer")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return message.Reply{}, failure.Wrap(failure.TargetLost, err, "the service's answer was cut")
	}

	return message.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
