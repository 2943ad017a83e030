package side

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"boragehub/claim"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/wholebody"
)

// Request headers sent to a plain service besides the caller's content type.
const (
	headerRequestID    = "X-Request-Id"
	headerOrganisation = "X-Organisation"
	headerKey          = "Idempotency-Key"
)

// maxReplyBytes bounds the body of a plain service's response.
const maxReplyBytes = 4 << 20

// handleCall answers a Call. An error that it returns has not been sent to the
// entry yet.
func (s *Side) handleCall(ctx context.Context, to *peer.Stream, m message.Call) error {
	now := time.Now()

	id, err := s.target.admit(now, m.Fingerprint, "")
	if err != nil {
		event.Log(s.cfg.Log, event.RunRefused, "request_id", m.RequestID, "reason", err.Error())

		return err
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.TimeoutMS)*time.Millisecond)
	defer cancel()

	var reply message.Reply

	if m.AtMostOnce {
		reply, err = s.callOnce(ctx, now, id, m)
	} else {
		reply, err = s.forward(s.traceSent(ctx, id), m)
		err = notReadyIfRefused(err)
	}

	lost := err != nil && failure.KindOf(err) == failure.TargetLost
	s.target.finish(time.Now(), id, lost)

	if lost {
		s.reportCrashTo(ctx, id, to)
	}

	event.Log(s.cfg.Log, event.CallEnded, "request_id", m.RequestID, "organisation", m.Organisation, "once", m.AtMostOnce,
		"replayed", reply.Replayed, "status", reply.Status, "outcome", outcome(err), "took_ms", time.Since(now).Milliseconds())

	if err != nil {
		return err
	}

	reply.Load = s.target.currentLoad(time.Now())

	return to.Send(reply)
}

// callOnce runs a call that may run at most once: it starts only after its claim
// was read back from the log as the first for its key. From then on the call is
// not cancelled with the stream, since no other process may run it.
func (s *Side) callOnce(ctx context.Context, now time.Time, id uint64, m message.Call) (message.Reply, error) {
	if s.cfg.Claims == nil {
		return message.Reply{}, failure.New(failure.LogUnavailable, "this side process has no claim log")
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

	reply, err := s.forward(s.traceSent(ctx, id), m)

	switch {
	case err == nil:
		settleErr := s.cfg.Claims.Complete(ctx, ticket, claim.Outcome{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body})
		if settleErr != nil {
			event.Fail(s.cfg.Log, settleErr, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		// The connection was refused, so nothing ran: the claim is withdrawn and the
		// key may be used for a retry.
		if withdrawErr := s.cfg.Claims.Withdraw(ctx, ticket); withdrawErr != nil {
			event.Fail(s.cfg.Log, withdrawErr, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, failure.Wrap(failure.Unavailable, err, "the service is down").WithRetryAfter(time.Second)
	default:
		if loseErr := s.cfg.Claims.MarkUnknown(ctx, ticket); loseErr != nil {
			event.Fail(s.cfg.Log, loseErr, event.ReportLost, "request_id", m.RequestID)
		}

		return reply, failure.Wrap(failure.OutcomeUnknown, err, "the call may have run; it will not be retried")
	}
}

// forward sends the call to the plain service over HTTP.
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

	resp, err := s.plainHTTP.Do(req)
	if err != nil {
		return message.Reply{}, failure.Wrap(failure.TargetLost, err, "the service does not respond")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := wholebody.ReadAll(resp.Body, maxReplyBytes)
	if err != nil {
		return message.Reply{}, failure.Wrap(failure.TargetLost, err, "the service's response ended early")
	}

	return message.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
