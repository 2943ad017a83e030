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

// try runs j at one target. sent says that the run may have begun there.
func (j *job) try(ctx context.Context, r routed) (d message.Done, sent bool, err error) {
	began := time.Now()
	s := j.e.targets.Sent(began, r.target.VM, r.toCompute(prompt.Tokens(j.text)))
	j.window = j.reserve(began, r)
	j.e.pace.begin(r.target.VM)

	d, sent, err = j.converse(ctx, r)

	j.imported(0)

	now := time.Now()
	j.e.pace.end(j.service, r.target.VM, now.Sub(began), err == nil)
	j.e.note(j.e.targets.Done(now, s, standing(err, sent)))

	kind := "done"
	if err != nil {
		kind = failure.KindOf(err).String()
		j.suspect(ctx, r, sent, err)
	} else {
		j.e.crashes.Completed(now, j.fingerprint)
	}

	event.Log(j.e.cfg.Log, event.AttemptEnded, "request_id", j.id, "attempt", j.attempt, "vm", r.target.VM, "outcome", kind,
		"tokens", j.index, "took_ms", now.Sub(began).Milliseconds())

	return d, sent, err
}

// reserve promises the link's time to the import that was decided, so that the
// next decisions see it.
func (j *job) reserve(now time.Time, r routed) promised {
	i := r.decision.Source()
	if i < 0 || len(r.copies) == 0 {
		return promised{}
	}

	// The chosen copy stands first.
	c := r.copies[0]

	event.Log(j.e.cfg.Log.V(1), event.LinkPromised, "request_id", j.id, "from", c.DataCentre, "to", r.target.DataCentre, "bytes", c.Bytes)

	return j.e.links.reserve(now, c.DataCentre, r.target.DataCentre, link.Request{
		Bytes:        c.Bytes,
		Class:        link.Import,
		Rank:         priority(j.values.Class),
		Organisation: j.organisation,
		Share:        j.values.Share,
	})
}

// imported gives the link's time back after so many bytes came over it.
func (j *job) imported(bytes int64) {
	j.e.links.done(time.Now(), j.window, bytes)
	j.window = promised{}
}

// standing tells the table of targets what an attempt says of its target.
func standing(err error, sent bool) target.Outcome {
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

// suspect counts a target that was lost under j as possibly crashed by it, also
// when no side process is left to say so.
func (j *job) suspect(ctx context.Context, r routed, sent bool, err error) {
	if sent && failure.KindOf(err) == failure.TargetLost {
		j.e.lost(ctx, r.target, j.fingerprint)
	}
}

// lost finds out whether a target that was lost while it ran a request has died,
// by a question on a new connection. Without the question a cut line would be
// taken for a crash, and two of them would quarantine a request that harmed
// nobody. No answer counts as a crash until the target is heard with the same
// boot: to spare the next target is worth more than this request. A side process that
// knows its target to be gone has judged what the target died of, and told so.
func (e *Entry) lost(ctx context.Context, t target.Target, f quarantine.Fingerprint) {
	ctx, cancel := context.WithTimeout(ctx, lostTimeout)
	defer cancel()

	if s, err := e.state(ctx, t); err == nil && (s.Ready || s.Gone) && s.Boot == t.BootID {
		return
	}

	now := time.Now()
	c := quarantine.Crash{Target: t.VM, Boot: t.BootID, At: now, Running: []quarantine.Fingerprint{f}}
	e.Crashed(now, c)

	if e.cfg.Post != nil {
		e.cfg.Post(c)
	}
}

// converse is the conversation of one attempt.
func (j *job) converse(ctx context.Context, r routed) (d message.Done, sent bool, err error) {
	if r.target.SideAddress == "" {
		return j.direct(ctx, r)
	}

	s, err := j.e.cfg.Peers.Open(ctx, sideOf(r.target))
	if err != nil {
		return d, false, err
	}

	defer s.Close()

	// The caller's going away ends the run at the engine and frees its place.
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	if err := s.Send(j.message(ctx, r)); err != nil {
		return d, true, err
	}

	d, err = j.receive(s)
	if err != nil && ctx.Err() != nil {
		err = failure.As(context.Cause(ctx))
	}

	sent = true

	if err != nil && failure.KindOf(err).Answer().Ran == failure.NotRun {
		sent = false
	}

	if err == nil {
		j.record(r, d)
	}

	return d, sent, err
}

// receiver is the part of a conversation that answers come from.
type receiver interface {
	Receive() (message.Message, error)
}

// receive passes the tokens on until the answer is whole.
func (j *job) receive(s receiver) (message.Done, error) {
	for {
		m, err := s.Receive()
		if err != nil {
			return message.Done{}, err
		}

		switch m := m.(type) {
		case message.Token:
			if err := j.take(m); err != nil {
				return message.Done{}, err
			}
		case message.Imported:
			j.imported(m.Bytes)
		case message.Crashed:
			j.e.Crashed(time.Now(), m.Crash)
		case message.Done:
			return m, j.complete(m)
		default:
			_, err := message.Expect[message.Done](m)

			return message.Done{}, err
		}
	}
}

// take passes one token on. Its index must follow the last one that the caller
// has: after a resume, or when answers cross, a token could otherwise come twice
// or be left out, and the caller would have no way to notice.
func (j *job) take(t message.Token) error {
	if t.Index != j.index {
		event.Log(j.e.cfg.Log, event.AnswerCrossed, "request_id", j.id, "index", t.Index, "want", j.index)

		return failure.New(failure.TargetLost, "token %d came where %d was due", t.Index, j.index)
	}

	if j.index == 0 {
		j.first = time.Since(j.arrived)
		j.e.metrics.firstToken(j, j.first)
	}

	if err := j.to.token(t.Text); err != nil {
		return failure.Wrap(failure.Cancelled, err, "the caller is gone")
	}

	j.index++
	j.answer = append(j.answer, t.Text...)

	return nil
}

// complete checks that the caller has as many tokens as the target gave.
func (j *job) complete(d message.Done) error {
	if d.Tokens != j.index {
		return failure.New(failure.TargetLost, "the answer has %d tokens of %d", j.index, d.Tokens)
	}

	return nil
}

// message is what the target's side process is asked to run.
func (j *job) message(ctx context.Context, r routed) message.Run {
	left := j.values.Timeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}

	return message.Run{
		RequestID:     j.id,
		Organisation:  j.organisation,
		Workload:      j.workload,
		Fingerprint:   j.fingerprint,
		Suspect:       j.standing == quarantine.Suspect,
		Model:         j.model,
		Version:       r.view.version,
		Salt:          j.salt(),
		Prompt:        j.text,
		Resume:        string(j.answer),
		ResumeTokens:  j.index,
		MaxTokens:     j.maxTokens,
		Sampling:      j.sampling,
		Priority:      priority(j.values.Class),
		TimeoutMS:     left.Milliseconds(),
		Anchor:        r.view.anchor,
		Copies:        r.copies,
		ParkMinTokens: j.values.ParkMinTokens,

		FirstTokenWeight: j.values.FirstTokenWeight,
		RecomputedWeight: j.values.RecomputedWeight,
		UsualGapMS:       j.values.UsualGap.Milliseconds(),
	}
}

// priority is the engine's number for a class; lower is sooner.
func priority(c setting.Class) int {
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

// record notes what a finished run tells: the target's load, and that its engine
// now holds the context up to the end of the answer.
func (j *job) record(r routed, d message.Done) {
	now := time.Now()
	j.e.heardLoad(now, r.target, d.Load)
	j.e.metrics.computed(j, d)

	scope := j.scopeOf(r.view.version)
	chain := scope.Chain(j.text+string(j.answer), blockTokens(j.e.speeds.get(r.target.VM)))

	if len(chain) == 0 {
		return
	}

	j.e.learns.Offer(learning{m: message.Learn{
		Anchor: r.view.anchor,
		Chain:  chain,
		Holding: message.Holding{
			Holder:     r.target.VM,
			DataCentre: r.target.DataCentre,
			Blocks:     len(chain),
			Version:    r.view.version,
		},
	}})
}
