package entry

import (
	"context"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/link"
	"boragehub/message"
	"boragehub/prompt"
	"boragehub/quarantine"
	"boragehub/setting"
	"boragehub/target"
)

// tryTarget runs j at one target. sent reports whether the run may have started there.
func (j *job) tryTarget(ctx context.Context, r routeChoice) (d message.Done, sent bool, err error) {
	start := time.Now()
	attempt := j.e.targets.Sent(start, r.target.VM, r.tokensToPrefill(prompt.Tokens(j.rendered)))
	j.reservation = j.reserveLink(start, r)
	j.e.serviceTimes.begin(r.target.VM)

	d, sent, err = j.execute(ctx, r)

	j.releaseLink(0)

	now := time.Now()
	j.e.serviceTimes.end(j.service, r.target.VM, now.Sub(start), err == nil)
	j.e.logChanges(j.e.targets.Done(now, attempt, targetOutcome(err, sent)))
	j.e.observeThrottled(now, r.target, err)

	kind := "done"
	if err != nil {
		kind = failure.KindOf(err).String()
		j.checkTargetLost(ctx, r, sent, err)
	} else {
		j.e.crashes.RecordCompletion(now, j.fingerprint)
	}

	event.Log(j.e.cfg.Log, event.AttemptEnded, "request_id", j.id, "attempt", j.attempt, "vm", r.target.VM, "outcome", kind,
		"tokens", j.delivered, "took_ms", now.Sub(start).Milliseconds())

	return d, sent, err
}

// reserveLink reserves time on the link for the import chosen by r, if any, so that
// later routing decisions account for it.
func (j *job) reserveLink(now time.Time, r routeChoice) reservation {
	i := r.decision.Source()
	if i < 0 || len(r.copies) == 0 {
		return reservation{}
	}

	// The chosen copy comes first in r.copies.
	c := r.copies[0]

	event.Log(j.e.cfg.Log.V(1), event.LinkPromised, "request_id", j.id, "from", c.DataCentre, "to", r.target.DataCentre, "bytes", c.Bytes)

	return j.e.links.reserve(now, c.DataCentre, r.target.DataCentre, link.Request{
		Bytes:        c.Bytes,
		Class:        link.Import,
		Rank:         enginePriority(j.values.Class),
		Organisation: j.organisation,
		Share:        j.values.Share,
	})
}

// releaseLink ends j's link reservation, if any, after bytes were transferred.
func (j *job) releaseLink(bytes int64) {
	j.e.links.release(time.Now(), j.reservation, bytes)
	j.reservation = reservation{}
}

// targetOutcome returns what the result of an attempt says about its target.
func targetOutcome(err error, sent bool) target.Outcome {
	if err == nil {
		return target.Succeeded
	}

	switch failure.KindOf(err) {
	case failure.TargetLost, failure.BadMessage, failure.ProtocolMismatch:
		return target.Failed
	case failure.Draining:
		return target.RefusedDraining
	case failure.NotReady:
		if !sent {
			return target.Failed
		}

		return target.Neutral
	default:
		return target.Neutral
	}
}

// checkTargetLost calls reportCrash if the target was lost after j was sent to it. This
// covers crashes that no side process is left to report.
func (j *job) checkTargetLost(ctx context.Context, r routeChoice, sent bool, err error) {
	if sent && failure.KindOf(err) == failure.TargetLost {
		j.e.reportIfCrashed(ctx, r.target, j.fingerprint)
	}
}

// reportIfCrashed checks on a new connection whether a target that was lost while it ran
// request f has crashed, and reports the crash if so. Without the check a broken
// connection would count as a crash, and two of them would quarantine a harmless
// request. No response counts as a crash until the target reports the same boot again:
// protecting the next target is worth more than this request. If the side process
// responds that its target is gone, it has already determined and reported the crash,
// so nothing is reported here.
func (e *Entry) reportIfCrashed(ctx context.Context, t target.Target, f quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()

	if s, err := e.queryState(ctx, t); err == nil && (s.Ready || s.TargetGone) && s.Boot == t.BootID {
		return
	}

	now := time.Now()
	c := quarantine.Crash{Target: t.VM, Boot: t.BootID, At: now, Running: []quarantine.Fingerprint{f}}
	e.AddCrash(now, c)

	if e.cfg.ReportCrash != nil {
		e.cfg.ReportCrash(c)
	}
}

// execute sends j to the target's side process and receives the response. sent reports
// whether the run may have started there.
func (j *job) execute(ctx context.Context, r routeChoice) (d message.Done, sent bool, err error) {
	if r.target.SideAddress == "" {
		return j.executeDirect(ctx, r)
	}

	s, err := j.e.cfg.Peers.Open(ctx, sideAddress(r.target))
	if err != nil {
		return d, false, err
	}

	defer s.Close()

	// When the caller disconnects, the run at the engine is cancelled and its slot freed.
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := s.Send(j.runMessage(ctx, r)); err != nil {
		return d, true, err
	}

	d, err = j.receive(s)
	if err != nil && ctx.Err() != nil {
		err = failure.As(context.Cause(ctx))
	}

	sent = true

	if err != nil && failure.KindOf(err).Response().Ran == failure.NotRun {
		sent = false
	}

	if err == nil {
		j.recordCompletion(r, d)
	}

	return d, sent, err
}

// messageReceiver is the receiving side of a stream.
type messageReceiver interface {
	Receive() (message.Message, error)
}

// receive delivers tokens to the caller until the response is complete.
func (j *job) receive(s messageReceiver) (message.Done, error) {
	for {
		m, err := s.Receive()
		if err != nil {
			return message.Done{}, err
		}

		switch m := m.(type) {
		case message.Token:
			if err := j.deliverToken(m); err != nil {
				return message.Done{}, err
			}
		case message.Imported:
			j.releaseLink(m.Bytes)
		case message.CrashReport:
			j.e.AddCrash(time.Now(), m.Crash)
		case message.Done:
			return m, j.checkTokenCount(m)
		default:
			_, err := message.Expect[message.Done](m)

			return message.Done{}, err
		}
	}
}

// deliverToken sends one token to the caller. Its index must follow that of the last
// token delivered: after a resume, or with a response delivered for another request, a
// token could otherwise be duplicated or missing, which the caller can't detect.
func (j *job) deliverToken(t message.Token) error {
	if t.Index != j.delivered {
		event.Log(j.e.cfg.Log, event.AnswerCrossed, "request_id", j.id, "index", t.Index, "want", j.delivered)

		return failure.New(failure.TargetLost, "received token %d, want token %d", t.Index, j.delivered)
	}

	if j.delivered == 0 {
		j.firstTokenTime = time.Since(j.arrived)
		j.e.metrics.firstToken(j, j.firstTokenTime)
	}

	if err := j.sink.writeToken(t.Text); err != nil {
		return failure.Wrap(failure.Cancelled, err, "the caller disconnected")
	}

	j.delivered++
	j.deliveredText = append(j.deliveredText, t.Text...)

	return nil
}

// checkTokenCount checks that every token of the complete response was delivered.
func (j *job) checkTokenCount(d message.Done) error {
	if d.Tokens != j.delivered {
		return failure.New(failure.TargetLost, "received %d of %d response tokens", j.delivered, d.Tokens)
	}

	return nil
}

// runMessage returns the request to the target's side process.
func (j *job) runMessage(ctx context.Context, r routeChoice) message.Run {
	timeLeft := j.values.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft = time.Until(deadline)
	}

	return message.Run{
		RequestID:     j.id,
		Organisation:  j.organisation,
		Workload:      j.workload,
		Fingerprint:   j.fingerprint,
		Suspect:       j.status == quarantine.Suspect,
		Model:         j.model,
		Version:       r.lookup.version,
		Salt:          j.salt(),
		Prompt:        j.rendered,
		ResumeText:    string(j.deliveredText),
		ResumeTokens:  j.delivered,
		MaxTokens:     j.maxTokens,
		Sampling:      j.sampling,
		Priority:      enginePriority(j.values.Class),
		TimeoutMS:     timeLeft.Milliseconds(),
		Anchor:        r.lookup.anchor,
		Copies:        r.copies,
		ParkMinTokens: j.values.ParkMinTokens,

		FirstTokenWeight: j.values.FirstTokenWeight,
		RecomputedWeight: j.values.RecomputedWeight,
		UsualGapMS:       j.values.UsualGap.Milliseconds(),
	}
}

// enginePriority returns the engine's priority number for a class; the lowest runs
// first.
func enginePriority(c setting.Class) int {
	switch c {
	case setting.Urgent:
		return 0
	case setting.Interactive:
		return 1
	case setting.Background:
		return 3
	default:
		return 2
	}
}

// recordCompletion records the results of a completed run: the target's load, the
// token metrics, and a directory update that the engine now holds the context up to
// the end of the response.
func (j *job) recordCompletion(r routeChoice, d message.Done) {
	now := time.Now()
	j.e.observeLoad(now, r.target, d.Load)
	j.e.metrics.completed(j, d)

	scope := j.scopeOf(r.lookup.version)
	chain := scope.Chain(j.rendered+string(j.deliveredText), blockTokensOf(j.e.engines.get(r.target.VM)))

	if len(chain) == 0 {
		return
	}

	j.e.updates.Offer(directoryUpdate{holding: message.HoldingUpdate{
		Anchor: r.lookup.anchor,
		Chain:  chain,
		Holding: message.Holding{
			Holder:     r.target.VM,
			DataCentre: r.target.DataCentre,
			Blocks:     len(chain),
			Version:    r.lookup.version,
		},
	}})
}
