package side

import (
	"context"
	"time"

	"github.com/google/uuid"

	"boragehub/engine"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/pause"
	"boragehub/peer"
	"boragehub/prompt"
	"boragehub/quarantine"
	"boragehub/store"
)

// run is one run of a prompt, from admission to its last token.
type run struct {
	message.Run
	id       uint64 // on the guard's books
	s        *Side
	to       *peer.Stream
	chain    prompt.Chain
	imported int
	moved    int64
	index    int
	text     []byte
	began    time.Time
	first    time.Duration
	usage    engine.Usage
	finish   string
	dog      *watchdog
}

// run answers a Run. What it returns has not been told to the entry yet.
func (s *Side) run(ctx context.Context, to *peer.Stream, m message.Run) error {
	now := time.Now()

	if m.Version == "" {
		return failure.New(failure.BadMessage, "a run names no weight version")
	}

	id, err := s.guard.enter(m.Fingerprint, m.Version)
	if err != nil {
		event.Log(s.cfg.Log, event.RunRefused, "request_id", m.RequestID, "reason", err.Error())

		return err
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.TimeoutMS)*time.Millisecond)
	defer cancel()

	if m.Suspect {
		if err := s.isolate(ctx, m.Fingerprint); err != nil {
			s.guard.leave(time.Now(), id, false)

			return err
		}

		defer s.isolation.End(m.Fingerprint)
	}

	r := &run{Run: m, id: id, s: s, to: to, index: m.ResumeTokens, began: now}
	r.prepare(ctx)

	if len(m.Copies) > 0 {
		err = to.Send(message.Imported{Bytes: r.moved})
	}

	if err == nil {
		err = r.complete(ctx)
	}

	lost := failure.KindOf(err) == failure.TargetLost && err != nil
	s.guard.leave(time.Now(), id, lost)

	switch {
	case lost:
		s.checkCrash(ctx, id, to)
	case err != nil && stale(err):
		// The engine has moved on, or gone, since it was last asked. The entry
		// asks again when it gets this refusal, and must then hear of it.
		s.probe(ctx)
	}

	event.Log(s.cfg.Log, event.RunEnded, "request_id", m.RequestID, "tokens", r.index, "cached_tokens", r.usage.Details.CachedTokens,
		"imported_blocks", r.imported, "first_token_ms", r.first.Milliseconds(), "took_ms", time.Since(now).Milliseconds(), "outcome", outcome(err))

	if err != nil {
		return err
	}

	r.offerPark()

	return r.done()
}

// isolatePause is the time between two looks whether a suspect may run.
const isolatePause = 20 * time.Millisecond

// isolate waits until no other suspect runs on the target. When an engine dies,
// all that ran on it are suspects, and most of them are in the middle of an
// answer that somebody reads: they wait for their turn rather than fail.
func (s *Side) isolate(ctx context.Context, f quarantine.Fingerprint) error {
	for !s.isolation.Begin(f) {
		pause.For(ctx, isolatePause)

		if ctx.Err() != nil {
			return failure.New(failure.QueueFull, "other requests under suspicion are running").After(time.Second)
		}
	}

	return nil
}

// stale reports whether a refusal shows that this process was wrong about its
// target.
func stale(err error) bool {
	kind := failure.KindOf(err)

	return kind == failure.WrongVersion || kind == failure.NotReady
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}

	return failure.KindOf(err).String()
}

func (r *run) scope() prompt.Scope {
	return prompt.Scope{Salt: r.Salt, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
}

// prepare finds out what the engine holds of the prompt and imports a copy where
// that brings more. A copy that can't be used only costs the time of the attempt.
func (r *run) prepare(ctx context.Context) {
	r.chain = r.scope().Chain(r.Prompt, r.s.guard.engineInfo().BlockTokens)
	warm := r.s.held.prefix(r.chain)

	for _, c := range r.Copies {
		if c.Version != r.Version || min(c.Blocks, len(r.chain)) <= warm {
			continue
		}

		err := r.fetch(ctx, c, warm)
		if err == nil {
			break
		}

		event.Fail(r.s.cfg.Log, err, event.CopyRejected, "request_id", r.RequestID, "store", c.Holder, "copy", c.Copy)
		r.reportGone(c, err)
	}

	event.Log(r.s.cfg.Log, event.RunAdmitted, "request_id", r.RequestID, "organisation", r.Organisation, "blocks", len(r.chain),
		"warm_blocks", warm, "imported_blocks", r.imported, "weight_version", r.Version)
}

// reportGone tells the owner of a copy that can't be used, so that nobody is sent to
// it again. A store that only does not answer keeps its copies.
func (r *run) reportGone(c message.Holding, err error) {
	if failure.KindOf(err) == failure.TornCopy {
		r.s.tellOwner(r.Anchor, message.Learn{Anchor: r.Anchor, Holding: c, Gone: true})
	}
}

// header says what a copy of chain must be of.
func (r *run) header(id string, chain prompt.Chain) store.Header {
	return store.Header{
		ID:           id,
		Organisation: r.Organisation,
		Model:        r.Model,
		Version:      r.Version,
		Adapter:      r.Adapter,
		Chain:        chain,
	}
}

// complete runs the prompt and passes each token on. Each run has a connection of its own:
// an engine that stops in order closes those that it holds to be idle, also while the
// next run is on its way there, which looks as if the engine had died of it.
func (r *run) complete(ctx context.Context) error {
	q := engine.Completion{
		Sampling:      r.Sampling,
		Model:         r.Model,
		Prompt:        r.Prompt,
		MaxTokens:     r.MaxTokens,
		Priority:      r.Priority,
		CacheSalt:     r.Salt,
		WeightVersion: r.Version,
		Adapter:       r.Adapter,
		RequestID:     r.RequestID + "." + uuid.NewString()[:8],
		ResumeText:    r.Resume,
	}

	ctx, r.dog = newWatchdog(ctx, r.s.cfg.FirstSilence)
	defer r.dog.stop()

	err := notGiven(r.s.runs.Complete(r.s.giving(ctx, r.id), q, r.take))
	if err != nil && r.dog.barked() {
		return failure.Wrap(failure.TargetLost, err, "the engine's connection fell silent")
	}

	if err == nil {
		err = r.count()
	}

	return err
}

// count compares the engine's own number of tokens with those that were passed
// on. A piece that was lost or came twice on its way leaves an answer that looks
// whole, and a caller would read it with a hole. What was passed on can't be
// mended by going on elsewhere, so this is no kind that is repeated.
func (r *run) count() error {
	if n := r.usage.CompletionTokens; n != r.index {
		return failure.New(failure.Internal, "the engine's answer has %d tokens, and %d came", n, r.index)
	}

	return nil
}

func (r *run) take(p engine.Piece) error {
	r.dog.heard(r.s.cfg.TokenSilence)

	if p.Finish != "" {
		r.finish = p.Finish
		r.usage = p.Usage
	}

	if p.Text == "" {
		return nil
	}

	if r.first == 0 {
		r.first = time.Since(r.began)
	}

	t := message.Token{Index: r.index, Text: p.Text}
	r.index++
	r.text = append(r.text, p.Text...)

	return r.to.Send(t)
}

func (r *run) done() error {
	return r.to.Send(message.Done{
		Tokens:         r.index,
		Finish:         r.finish,
		PromptTokens:   r.usage.PromptTokens,
		CachedTokens:   r.usage.Details.CachedTokens,
		ImportedTokens: r.imported * r.s.guard.engineInfo().BlockTokens,
		Load:           r.s.guard.currentLoad(time.Now()),
	})
}
