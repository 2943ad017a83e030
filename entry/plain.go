package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/route"
	"boragehub/setting"
	"boragehub/target"
)

// call is a call to a plain service that this entry serves.
type call struct {
	e       *Entry
	request callerRequest
	service setting.Service
	values  setting.Values
	message message.Call
	seed    uint64
	tried   map[string]bool
	attempt int
	budget  *retry.Budget
}

// serveCall serves one call to a plain service.
func (e *Entry) serveCall(ctx context.Context, q callerRequest, r *http.Request, w http.ResponseWriter) error {
	c, err := e.newCall(q, r, w)
	if err != nil {
		return err
	}

	release, err := e.admit(q, c.service.Name, c.values, 0)
	if err != nil {
		return err
	}

	defer release()

	ctx, cancel := context.WithTimeout(ctx, c.values.Timeout)
	defer cancel()

	reply, err := c.run(ctx)
	if err != nil {
		return err
	}

	event.Log(e.cfg.Log, event.RequestAnswered, "request_id", q.id, "organisation", q.organisation, "service", c.service.Name,
		"status", reply.Status, "replayed", reply.Replayed, "attempts", c.attempt, "took_ms", time.Since(q.arrived).Milliseconds())

	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}

	if reply.Replayed {
		w.Header().Set(headerReplayed, "true")
	}

	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)

	return nil
}

func (e *Entry) newCall(q callerRequest, r *http.Request, w http.ResponseWriter) (*call, error) {
	name, path, err := splitPath(r.URL)
	if err != nil {
		return nil, err
	}

	service, ok := q.policy.tree.Service(name)
	if !ok || service.Kind != setting.PlainService {
		return nil, failure.New(failure.UnknownService, "service %q is not served", name)
	}

	if err := q.policy.register.Authorise(q.organisation, name); err != nil {
		return nil, err
	}

	c := &call{e: e, request: q, service: service, values: e.settingValues(q, name), seed: e.nextSeed(), tried: map[string]bool{}}

	b, err := readBody(w, r, q.arrived, c.values)
	if err != nil {
		return nil, err
	}

	key := r.Header.Get(headerIdempotencyKey)
	once := !idempotent(service, c.values, r.Method, path)

	switch {
	case once && key == "":
		return nil, failure.New(failure.KeyRequired, "%s %s is not idempotent: it needs the header %s", r.Method, path, headerIdempotencyKey)
	case len(key) > maxIdempotencyKey:
		return nil, failure.New(failure.BadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKey)
	}

	identity := quarantine.Request{Organisation: q.organisation, Service: name, Method: r.Method, Target: path, Body: b}
	c.message = message.Call{
		RequestID:    q.id,
		Organisation: q.organisation,
		Fingerprint:  identity.Fingerprint(),
		Service:      name,
		Method:       r.Method,
		Path:         path,
		ContentType:  r.Header.Get("Content-Type"),
		Body:         b,
		Key:          key,
		AtMostOnce:   once,
	}

	return c, nil
}

// splitPath splits /v1/services/{service}/{path}. The returned path includes the query.
func splitPath(u *url.URL) (service, path string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), "/v1/services/")
	if !ok {
		return "", "", failure.New(failure.UnknownPath, "unknown path %q", u.Path)
	}

	service, path, _ = strings.Cut(rest, "/")
	path = "/" + path

	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}

	return service, path, nil
}

// idempotent reports whether a call may run more than once.
func idempotent(s setting.Service, v setting.Values, method, path string) bool {
	if slices.Contains(v.IdempotentMethods, method) {
		return true
	}

	for _, p := range s.IdempotentPaths {
		if strings.HasPrefix(path, p) {
			return true
		}
	}

	return false
}

// run serves c until it gets a response or fails.
func (c *call) run(ctx context.Context) (message.Reply, error) {
	c.budget = c.e.budgets.forService(time.Now(), c.service.Name, c.values.RetryRatio)
	c.budget.CountRequest(time.Now())

	var lastErr error

	for c.attempt = 1; ; c.attempt++ {
		now := time.Now()

		if _, err := c.e.crashes.Check(now, c.message.Fingerprint); err != nil {
			return message.Reply{}, err
		}

		t, found := c.route(ctx, now)
		if !found {
			if lastErr == nil {
				lastErr = failure.New(failure.Unavailable, "no target of service %s can accept the call", c.service.Name).WithRetryAfter(c.e.targetRetryAfter(c.service.Name))
			}

			return message.Reply{}, lastErr
		}

		reply, sent, err := c.tryHedged(ctx, t)
		if err == nil {
			return reply, nil
		}

		// Also the result if no other target is found for the next attempt.
		lastErr = c.callerError(sent, err)
		c.tried[t.VM] = true

		if !c.shouldRetry(ctx, sent, err) {
			return message.Reply{}, lastErr
		}
	}
}

// callerError returns the error for the caller of a failed attempt, which must not claim
// more than is known: a non-idempotent call that was sent without a definite refusal may
// have run.
func (c *call) callerError(sent bool, err error) error {
	if !sent && failure.KindOf(err) == failure.TargetLost {
		return failure.Wrap(failure.Unavailable, err, "the service is unreachable").WithRetryAfter(c.e.retryAfter())
	}

	if !c.message.AtMostOnce || !sent || failure.KindOf(err).Response().Ran == failure.NotRun {
		return err
	}

	if failure.KindOf(err) == failure.KeyBusy {
		return err
	}

	return failure.Wrap(failure.OutcomeUnknown, err, "the call may have run and is not retried")
}

func (c *call) shouldRetry(ctx context.Context, sent bool, err error) bool {
	kind := failure.KindOf(err)
	allowed := ctx.Err() == nil && retry.MayRetry(retry.Attempt{
		Idempotent:  !c.message.AtMostOnce,
		Sent:        sent,
		Kind:        kind,
		Number:      c.attempt,
		MaxAttempts: c.values.MaxAttempts,
	})

	repeat := allowed && c.budget.Allow(time.Now())
	used, limit := c.budget.Usage(time.Now())

	if !repeat {
		event.Log(c.e.cfg.Log, event.RepeatRefused, "request_id", c.request.id, "attempt", c.attempt, "kind", kind.String(), "reason", refusalReason(allowed), "budget_used", used, "budget", limit)

		return false
	}

	event.Log(c.e.cfg.Log, event.RequestRepeated, "request_id", c.request.id, "attempt", c.attempt, "kind", kind.String(), "wait_ms", 0, "budget_used", used, "budget", limit)
	c.e.metrics.retries.Inc()

	return true
}

func refusalReason(allowed bool) string {
	if allowed {
		return "budget"
	}

	return "not_allowed"
}

// route chooses the target. A non-idempotent call goes to the owner of its key's shard,
// the only side process that knows whether it has run.
func (c *call) route(ctx context.Context, now time.Time) (target.Target, bool) {
	targets := c.e.targets.Candidates(now, c.service.Name)

	if c.message.AtMostOnce {
		return c.shardOwner(ctx, targets)
	}

	candidates := make([]route.CallCandidate, len(targets))

	for i, t := range targets {
		mean, inFlight := c.e.serviceTimes.get(c.service.Name, t.VM)
		candidates[i] = route.CallCandidate{
			Name:          t.VM,
			Draining:      t.State == target.Draining,
			Suspected:     t.Suspected,
			Tried:         c.tried[t.VM],
			RoundTrip:     c.e.roundTrip(t.DataCentre),
			LoadAt:        now.Add(-t.Load.Age),
			Running:       t.Load.Running,
			Waiting:       t.Load.Waiting,
			SentRequests:  t.SentRequests,
			InFlight:      inFlight,
			CallTime:      mean,
			MaxConcurrent: c.e.engines.get(t.VM).maxRunning,
		}
	}

	d := route.DecideCall(now, route.Config{}, c.seed, candidates)
	if !d.Found() {
		event.Log(c.e.cfg.Log, event.CallRefused, "request_id", c.request.id, "service", c.service.Name, "targets", len(targets))

		return target.Target{}, false
	}

	t := targets[d.Target()]
	event.Log(c.e.cfg.Log, event.CallDecided, "request_id", c.request.id, "service", c.service.Name, "vm", t.VM, "targets", len(targets), "attempt", c.attempt)

	return t, true
}
