package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"boragehub/engine"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/target"
	"boragehub/vm"
	"boragehub/wholebody"
)

// This file serves targets that have no side process. Without one, the following is
// missing:
//
//   - admission at the target: a full target queues requests instead of refusing them;
//   - parking and imports: an evicted context is recomputed;
//   - crash reports: only the entry whose connection broke suspects a crash;
//   - the fence that protects orders;
//   - calls that must run at most once: they are refused because no process owns the
//     shards of their idempotency keys.

// maxDirectResponseBytes is the maximum size of a plain service's response body.
const maxDirectResponseBytes = 4 << 20

// queryDirectState requests the state from the target itself.
func (e *Entry) queryDirectState(ctx context.Context, t target.Target) (message.State, error) {
	c := engine.Client{Address: t.Address, HTTP: e.directClient}

	load, err := c.Load(ctx)
	if err != nil {
		return message.State{}, err
	}

	s := message.State{
		VM: t.VM, Service: t.Service, Ready: true, MaxRunning: directMaxRunning, Sequence: uint64(time.Now().UnixNano()),
		Load: message.Load{Running: load.Running, Waiting: load.Waiting, WaitingTokens: load.WaitingTokens},
	}

	if m, ok := e.cfg.VMs.List().Get(t.VM); ok && m.Kind == vm.Plain {
		return s, nil
	}

	info, err := c.Info(ctx)
	if err != nil {
		return message.State{}, err
	}

	s.Boot = info.BootID
	s.Model = info.Model
	s.Version = info.WeightVersion
	s.BlockTokens = info.BlockTokens
	s.BytesPerToken = info.BytesPerToken
	s.PrefillRate = info.PrefillRate
	s.DecodeRate = info.DecodeRate
	s.MaxRunning = info.MaxRunning
	s.Ready = info.Ready()

	return s, nil
}

// directMaxRunning is how many calls a plain service is assumed to run at once.
const directMaxRunning = 64

// executeDirect runs j at an engine without a side process.
func (j *job) executeDirect(ctx context.Context, r routeChoice) (d message.Done, sent bool, err error) {
	if err := j.e.admitDirect(time.Now(), r.target); err != nil {
		return d, false, err
	}

	m := j.runMessage(ctx, r)
	c := engine.Client{Address: r.target.Address, HTTP: j.e.directClient}
	reported := 0

	err = c.Complete(ctx, engine.Completion{
		Sampling:      m.Sampling,
		Model:         m.Model,
		Prompt:        m.Prompt,
		MaxTokens:     m.MaxTokens,
		Priority:      m.Priority,
		CacheSalt:     m.Salt,
		WeightVersion: m.Version,
		RequestID:     m.RequestID + "." + uuid.NewString()[:8],
		ResumeText:    m.ResumeText,
	}, func(p engine.Piece) error {
		if p.Finish != "" {
			reported = p.Usage.CompletionTokens
			d = message.Done{
				FinishReason: p.Finish,
				PromptTokens: p.Usage.PromptTokens,
				CachedTokens: p.Usage.Details.CachedTokens,
			}
		}

		if p.Text == "" {
			return nil
		}

		return j.deliverToken(message.Token{Index: j.delivered, Text: p.Text})
	})
	d.Tokens = j.delivered

	if err == nil && reported != j.delivered {
		err = failure.New(failure.Internal, "the engine reported %d tokens but sent %d", reported, j.delivered)
	}

	if err != nil {
		return d, failure.KindOf(err).Response().Ran != failure.NotRun, err
	}

	j.recordCompletion(r, d)

	return d, true, nil
}

// executeDirect makes a call to a plain service without a side process.
func (c *call) executeDirect(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	if c.message.AtMostOnce {
		return reply, false, failure.New(failure.Unavailable, "%s has no side process, which is needed to run the call at most once", t.VM).WithRetryAfter(c.e.retryAfter())
	}

	if err := c.e.admitDirect(time.Now(), t); err != nil {
		return reply, false, err
	}

	req, err := http.NewRequestWithContext(ctx, c.message.Method, "http://"+t.Address+c.message.Path, bytes.NewReader(c.message.Body))
	if err != nil {
		return reply, false, failure.Wrap(failure.BadRequest, err, "invalid path %q", c.message.Path)
	}

	req.Header.Set("Content-Type", c.message.ContentType)
	req.Header.Set(headerRequestID, c.message.RequestID)
	req.Header.Set("X-Organisation", c.message.Organisation)

	resp, err := c.e.directClient.Do(req)
	if err != nil {
		return reply, true, failure.Wrap(failure.TargetLost, err, "the service did not respond")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := wholebody.ReadAll(resp.Body, maxDirectResponseBytes)
	if err != nil {
		return reply, true, failure.Wrap(failure.TargetLost, err, "the service's response was interrupted")
	}

	return message.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
