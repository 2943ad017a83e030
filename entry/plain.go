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

// call is a call of a plain service on its way through this entry.
type call struct {
	e       *Entry
	request request
	service setting.Service
	values  setting.Values
	message message.Call
	seed    uint64
	tried   map[string]bool
	attempt int
	budget  *retry.Budget
}

// plain serves one call of a plain service.
func (e *Entry) plain(ctx context.Context, q request, r *http.Request, w http.ResponseWriter) error {
	c, err := e.newCall(q, r)
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

func (e *Entry) newCall(q request, r *http.Request) (*call, error) {
	name, path, err := splitPath(r.URL)
	if err != nil {
		return nil, err
	}

	service, ok := q.policy.tree.Service(name)
	if !ok || service.Kind != setting.PlainService {
		return nil, failure.New(failure.UnknownService, "service %q is not served", name)
	}

	if err := q.policy.register.Permit(q.organisation, name); err != nil {
		return nil, err
	}

	c := &call{e: e, request: q, service: service, values: e.values(q, name), seed: e.seed(), tried: map[string]bool{}}

	b, err := body(r, c.values.MaxBodyBytes)
	if err != nil {
		return nil, err
	}

	key := r.Header.Get(headerKey)
	once := !idempotent(service, c.values, r.Method, path)

	switch {
	case once && key == "":
		return nil, failure.New(failure.KeyRequired, "%s %s may not be repeated: send %s", r.Method, path, headerKey)
	case len(key) > maxKey:
		return nil, failure.New(failure.BadRequest, "%s is longer than %d", headerKey, maxKey)
	}

	content := append([]byte(name+" "+r.Method+" "+path+"\x00"), b...)
	c.message = message.Call{
		RequestID:    q.id,
		Organisation: q.organisation,
		Fingerprint:  quarantine.Of(q.organisation, content),
		Service:      name,
		Method:       r.Method,
		Path:         path,
		ContentType:  r.Header.Get("Content-Type"),
		Body:         b,
		Key:          key,
		Once:         once,
	}

	return c, nil
}

// splitPath takes /v1/services/{service}/{path} apart.
func splitPath(u *url.URL) (service, path string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), "/v1/services/")
	if !ok {
		return "", "", failure.New(failure.UnknownPath, "path %q", u.Path)
	}

	service, path, _ = strings.Cut(rest, "/")
	path = "/" + path

	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}

	return service, path, nil
}

// idempotent reports whether a call may be repeated.
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

// run serves c until it is answered or given up.
func (c *call) run(ctx context.Context) (message.Reply, error) {
	c.budget = c.e.budgets.of(c.service.Name, c.values.RetryRatio)
	c.budget.First(time.Now())

	var last error

	for c.attempt = 1; ; c.attempt++ {
		now := time.Now()

		if _, err := c.e.crashes.Check(now, c.message.Fingerprint); err != nil {
			return message.Reply{}, err
		}

		t, found := c.route(ctx, now)
		if !found {
			if last == nil {
				last = failure.New(failure.Unavailable, "no target of %s can take the call", c.service.Name).After(c.e.retryAfter())
			}

			return message.Reply{}, last
		}

		reply, sent, err := c.hedged(ctx, t)
		if err == nil {
			return reply, nil
		}

		// This is the answer too when no other target is found.
		last = c.truthful(sent, err)
		c.tried[t.VM] = true

		if !c.shouldRetry(ctx, sent, err) {
			return message.Reply{}, last
		}
	}
}

// truthful makes sure that the answer to a call that may run once promises no more
// than is known: once it was sent and no refusal came back, it may have run.
func (c *call) truthful(sent bool, err error) error {
	if !sent && failure.KindOf(err) == failure.TargetLost {
		return failure.Wrap(failure.Unavailable, err, "the service can't be reached").After(c.e.retryAfter())
	}

	if !c.message.Once || !sent || failure.KindOf(err).Answer().Ran == failure.NotRun {
		return err
	}

	if failure.KindOf(err) == failure.KeyBusy {
		return err
	}

	return failure.Wrap(failure.OutcomeUnknown, err, "the call may have run; it will not be run again")
}

func (c *call) shouldRetry(ctx context.Context, sent bool, err error) bool {
	kind := failure.KindOf(err)
	may := ctx.Err() == nil && retry.May(retry.Attempt{
		Idempotent: !c.message.Once,
		Sent:       sent,
		Kind:       kind,
		Number:     c.attempt,
		Most:       c.values.MaxAttempts,
	})

	if !may || !c.budget.Allow(time.Now()) {
		event.Log(c.e.cfg.Log, event.RepeatRefused, "request_id", c.request.id, "attempt", c.attempt, "kind", kind.String(), "reason", refusedBecause(may))

		return false
	}

	event.Log(c.e.cfg.Log, event.RequestRepeated, "request_id", c.request.id, "attempt", c.attempt, "kind", kind.String(), "wait_ms", 0)
	c.e.metrics.retries.Inc()

	return true
}

func refusedBecause(may bool) string {
	if may {
		return "budget"
	}

	return "not_allowed"
}

// route picks the target. A call that may run once goes to the home of its key,
// the one side process that knows whether it ran.
func (c *call) route(ctx context.Context, now time.Time) (target.Target, bool) {
	targets := c.e.targets.Candidates(now, c.service.Name)

	if c.message.Once {
		return c.home(ctx, targets)
	}

	candidates := make([]route.CallCandidate, len(targets))

	for i, t := range targets {
		mean, flying := c.e.pace.of(c.service.Name, t.VM)
		candidates[i] = route.CallCandidate{
			Name:         t.VM,
			Draining:     t.State == target.Draining,
			Suspected:    t.Doubted,
			Tried:        c.tried[t.VM],
			Delay:        c.e.delay(t.DataCentre),
			LoadAt:       now.Add(-t.Load.Age),
			Running:      t.Load.Running,
			Waiting:      t.Load.Waiting,
			SentRequests: t.Ahead,
			InFlight:     flying,
			CallTime:     mean,
			AtOnce:       c.e.speeds.get(t.VM).maxRunning,
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
