package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"boragehub/engine"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/target"
	"boragehub/vm"
)

// This file serves targets that have no side process beside them. What is lost
// without one: admission at first hand, so a full target queues instead of
// refusing; parking and imports, so a context that was evicted is computed anew;
// the report of a crash, which only the entry that was cut off suspects; the
// fence before orders; and calls that may run at most once, which are refused
// since nobody is the home of their keys.

// directBytes bounds a plain service's answer.
const directBytes = 4 << 20

// directState asks a target itself how it is.
func (e *Entry) directState(ctx context.Context, t target.Target) (message.State, error) {
	c := engine.Client{Address: t.Address, HTTP: e.direct}

	load, err := c.Load(ctx)
	if err != nil {
		return message.State{}, err
	}

	s := message.State{
		VM: t.VM, Service: t.Service, Ready: true, MaxRunning: directRunning, Sequence: uint64(time.Now().UnixNano()),
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

// directRunning is how many calls a plain service is taken to run at once.
const directRunning = 64

// direct runs j at an engine that has no side process.
func (j *job) direct(ctx context.Context, r routed) (d message.Done, sent bool, err error) {
	m := j.message(ctx, r)
	c := engine.Client{Address: r.target.Address, HTTP: j.e.direct}
	came := 0

	err = c.Complete(ctx, engine.Completion{
		Sampling:      m.Sampling,
		Model:         m.Model,
		Prompt:        m.Prompt,
		MaxTokens:     m.MaxTokens,
		Priority:      m.Priority,
		CacheSalt:     m.Salt,
		WeightVersion: m.Version,
		RequestID:     m.RequestID + "." + uuid.NewString()[:8],
		ResumeText:    m.Resume,
	}, func(p engine.Piece) error {
		if p.Finish != "" {
			came = p.Usage.CompletionTokens
			d = message.Done{
				Finish:       p.Finish,
				PromptTokens: p.Usage.PromptTokens,
				CachedTokens: p.Usage.Details.CachedTokens,
			}
		}

		if p.Text == "" {
			return nil
		}

		return j.take(message.Token{Index: j.index, Text: p.Text})
	})
	d.Tokens = j.index

	if err == nil && came != j.index {
		err = failure.New(failure.Internal, "the engine's answer has %d tokens, and %d came", came, j.index)
	}

	if err != nil {
		return d, failure.KindOf(err).Answer().Ran != failure.NotRun, err
	}

	j.record(r, d)

	return d, true, nil
}

// direct makes a call at a plain service that has no side process.
func (c *call) direct(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	if c.message.Once {
		return reply, false, failure.New(failure.Unavailable, "%s has no side process, so nobody can see to it that the call runs once", t.VM).After(c.e.retryAfter())
	}

	req, err := http.NewRequestWithContext(ctx, c.message.Method, "http://"+t.Address+c.message.Path, bytes.NewReader(c.message.Body))
	if err != nil {
		return reply, false, failure.Wrap(failure.BadRequest, err, "path %q", c.message.Path)
	}

	req.Header.Set("Content-Type", c.message.ContentType)
	req.Header.Set(headerRequestID, c.message.RequestID)
	req.Header.Set("X-Organisation", c.message.Organisation)

	resp, err := c.e.direct.Do(req)
	if err != nil {
		return reply, true, failure.Wrap(failure.TargetLost, err, "the service does not answer")
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(io.LimitReader(resp.Body, directBytes))
	if err != nil {
		return reply, true, failure.Wrap(failure.TargetLost, err, "the service's answer was cut")
	}

	return message.Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, true, nil
}
