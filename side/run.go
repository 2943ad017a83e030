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
	id             uint64 // from targetState.admit
	side           *Side
	stream         *peer.Stream
	chain          prompt.Chain
	importedBlocks int
	importedBytes  int64
	nextIndex      int
	text           []byte
	startedAt      time.Time
	firstTokenTime time.Duration
	usage          engine.Usage
	finishReason   string
	watchdog       *watchdog
}

// handleRun answers a Run. An error that it returns has not been sent to the entry yet.
func (s *Side) handleRun(ctx context.Context, to *peer.Stream, m message.Run) error {
	now := time.Now()

	if m.Version == "" {
		return failure.New(failure.BadMessage, "the run has no weight version")
	}

	id, err := s.target.admit(now, m.Fingerprint, m.Version)
	if err != nil {
		event.Log(s.cfg.Log, event.RunRefused, "request_id", m.RequestID, "reason", err.Error())

		return err
	}

	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.TimeoutMS)*time.Millisecond)
	defer cancel()

	if m.Suspect {
		if err := s.isolate(ctx, m.Fingerprint); err != nil {
			s.target.finish(time.Now(), id, false)

			return err
		}

		defer s.isolation.End(m.Fingerprint)
	}

	r := &run{Run: m, id: id, side: s, stream: to, nextIndex: m.ResumeTokens, startedAt: now}
	r.importCopy(ctx)

	if len(m.Copies) > 0 {
		err = to.Send(message.Imported{Bytes: r.importedBytes})
	}

	if err == nil {
		err = r.complete(ctx)
	}

	lost := failure.KindOf(err) == failure.TargetLost && err != nil
	s.target.finish(time.Now(), id, lost)

	switch {
	case lost:
		s.reportCrashTo(ctx, id, to)
	case err != nil && targetChanged(err):
		// The engine has changed its state, or exited, since the last poll. The entry
		// queries the state again on this error and must then get the new one.
		s.probe(ctx)
	}

	event.Log(s.cfg.Log, event.RunEnded, "request_id", m.RequestID, "tokens", r.nextIndex, "cached_tokens", r.usage.Details.CachedTokens,
		"imported_blocks", r.importedBlocks, "first_token_ms", r.firstTokenTime.Milliseconds(), "took_ms", time.Since(now).Milliseconds(), "outcome", outcome(err))

	if err != nil {
		return err
	}

	r.offerPark()

	return r.sendDone()
}

// isolationPollInterval is the time between two checks whether a suspect may run.
const isolationPollInterval = 20 * time.Millisecond

// isolate waits until no other suspect runs on the target. After an engine has crashed,
// all requests that ran on it are suspects, and callers are reading most of their
// responses: suspects wait in turn rather than fail.
func (s *Side) isolate(ctx context.Context, f quarantine.Fingerprint) error {
	for !s.isolation.Begin(f) {
		pause.For(ctx, isolationPollInterval)

		if ctx.Err() != nil {
			return failure.New(failure.QueueFull, "another suspected request is running").WithRetryAfter(time.Second)
		}
	}

	return nil
}

// targetChanged reports whether an error shows that the recorded state of the target is
// out of date.
func targetChanged(err error) bool {
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

// importCopy looks up how much of the prompt is cached and imports a copy if one has more
// blocks. A copy that can't be used costs only the time of the attempt.
func (r *run) importCopy(ctx context.Context) {
	r.chain = r.scope().Chain(r.Prompt, r.side.target.engineInfo().BlockTokens)
	warmBlocks := r.side.cache.prefix(r.chain)

	for _, c := range r.Copies {
		if c.Version != r.Version || min(c.Blocks, len(r.chain)) <= warmBlocks {
			continue
		}

		err := r.fetch(ctx, c, warmBlocks)
		if err == nil {
			break
		}

		event.Fail(r.side.cfg.Log, err, event.CopyRejected, "request_id", r.RequestID, "store", c.Holder, "copy", c.Copy)
		r.reportTornCopy(c, err)
	}

	event.Log(r.side.cfg.Log, event.RunAdmitted, "request_id", r.RequestID, "organisation", r.Organisation, "blocks", len(r.chain),
		"warm_blocks", warmBlocks, "imported_blocks", r.importedBlocks, "weight_version", r.Version)
}

// reportTornCopy reports an unusable copy to the anchor's owner, so that it is not offered
// again. Copies in a store that only does not respond stay listed.
func (r *run) reportTornCopy(c message.Holding, err error) {
	if failure.KindOf(err) == failure.TornCopy {
		r.side.reportToOwner(r.Anchor, message.HoldingUpdate{Anchor: r.Anchor, Holding: c, Removed: true})
	}
}

// copyHeader returns the header that a copy of chain must have.
func (r *run) copyHeader(id string, chain prompt.Chain) store.Header {
	return store.Header{
		ID:           id,
		Organisation: r.Organisation,
		Model:        r.Model,
		Version:      r.Version,
		Adapter:      r.Adapter,
		Chain:        chain,
	}
}

// complete runs the prompt and passes each token on. Each run has its own connection: an
// engine that shuts down gracefully closes idle connections, also while the next run is
// being sent on one, which would look like a crash.
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
		ResumeText:    r.ResumeText,
	}

	ctx, r.watchdog = newWatchdog(ctx, r.side.cfg.FirstTokenTimeout)
	defer r.watchdog.stop()

	err := notReadyIfRefused(r.side.runEngine.Complete(r.side.traceSent(ctx, r.id), q, r.onPiece))
	if err != nil && r.watchdog.expired() {
		return failure.Wrap(failure.TargetLost, err, "the engine sent no token in time")
	}

	if err == nil {
		err = r.checkTokenCount()
	}

	return err
}

// checkTokenCount compares the engine's own token count with the tokens that were passed
// on. If a token is lost or duplicated in transit, the response looks complete but is
// wrong. Tokens that were passed on can't be corrected by resuming on another engine, so
// the failure kind is one that is not retried.
func (r *run) checkTokenCount() error {
	if n := r.usage.CompletionTokens; n != r.nextIndex {
		return failure.New(failure.Internal, "the engine's response has %d tokens, but %d were received", n, r.nextIndex)
	}

	return nil
}

func (r *run) onPiece(p engine.Piece) error {
	r.watchdog.reset(r.side.cfg.TokenTimeout)

	if p.Finish != "" {
		r.finishReason = p.Finish
		r.usage = p.Usage
	}

	if p.Text == "" {
		return nil
	}

	if r.firstTokenTime == 0 {
		r.firstTokenTime = time.Since(r.startedAt)
	}

	t := message.Token{Index: r.nextIndex, Text: p.Text}
	r.nextIndex++
	r.text = append(r.text, p.Text...)

	return r.stream.Send(t)
}

func (r *run) sendDone() error {
	return r.stream.Send(message.Done{
		Tokens:         r.nextIndex,
		FinishReason:   r.finishReason,
		PromptTokens:   r.usage.PromptTokens,
		CachedTokens:   r.usage.Details.CachedTokens,
		ImportedTokens: r.importedBlocks * r.side.target.engineInfo().BlockTokens,
		Load:           r.side.target.currentLoad(time.Now()),
	})
}
