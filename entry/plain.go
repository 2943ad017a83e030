package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"boragehub/claim"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
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

	if err := q.allowed(name); err != nil {
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

		if _, err := c.e.ward.Check(now, c.message.Fingerprint); err != nil {
			return message.Reply{}, err
		}

		t, found := c.route(ctx, now)
		if !found {
			if last == nil {
				last = failure.New(failure.Unavailable, "no target of %s can take the call", c.service.Name).After(c.e.comeBack())
			}

			return message.Reply{}, last
		}

		reply, sent, err := c.hedged(ctx, t)
		if err == nil {
			return reply, nil
		}

		last = err
		c.tried[t.VM] = true

		if !c.again(ctx, sent, err) {
			return message.Reply{}, c.truth(sent, err)
		}
	}
}

// truth makes sure that the answer to a call that may run once promises no more
// than is known: once it was sent and no refusal came back, it may have run.
func (c *call) truth(sent bool, err error) error {
	if !sent && failure.KindOf(err) == failure.TargetLost {
		return failure.Wrap(failure.Unavailable, err, "the service can't be reached").After(c.e.comeBack())
	}

	if !c.message.Once || !sent || failure.KindOf(err).Answer().Ran == failure.NotRun {
		return err
	}

	if failure.KindOf(err) == failure.KeyBusy {
		return err
	}

	return failure.Wrap(failure.OutcomeUnknown, err, "the call may have run; it will not be run again")
}

func (c *call) again(ctx context.Context, sent bool, err error) bool {
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

// home returns the target beside which the key's home runs. Homes are told with
// a target's state, which is asked for only now and then; so when the home is not
// known, or was tried and isn't it any more, the service's targets are asked now.
func (c *call) home(ctx context.Context, targets []target.Target) (target.Target, bool) {
	shard := claim.Shard(c.request.organisation, c.message.Key, claim.DefaultShards)

	t, found := c.homeAmong(targets, shard)
	if !found && c.e.homes.mayAsk(time.Now(), c.service.Name) {
		ctx, cancel := context.WithTimeout(ctx, homesTimeout)
		defer cancel()

		c.e.askAll(ctx, targets)

		t, found = c.homeAmong(targets, shard)
	}

	if found {
		event.Log(c.e.cfg.Log, event.CallDecided, "request_id", c.request.id, "service", c.service.Name, "vm", t.VM, "shard", shard, "attempt", c.attempt)
	} else {
		event.Log(c.e.cfg.Log, event.CallRefused, "request_id", c.request.id, "service", c.service.Name, "targets", len(targets), "shard", shard)
	}

	return t, found
}

// homesTimeout bounds the question for homes, which a caller waits for.
const homesTimeout = 500 * time.Millisecond

func (c *call) homeAmong(targets []target.Target, shard int) (target.Target, bool) {
	vm, known := c.e.homes.get(c.service.Name, shard)

	for _, t := range targets {
		if known && t.VM == vm && !c.tried[t.VM] {
			return t, true
		}
	}

	return target.Target{}, false
}

// outcome is how one attempt ended.
type outcome struct {
	reply message.Reply
	sent  bool
	err   error
}

// hedged makes the call at t and, when it may be repeated and takes longer than
// the settings say, a second time at another target; the first answer counts
// and the other attempt is cancelled.
func (c *call) hedged(ctx context.Context, t target.Target) (message.Reply, bool, error) {
	after := c.values.HedgeAfter
	if c.message.Once || after <= 0 {
		ctx, cancel := c.share(ctx)
		defer cancel()

		return c.try(ctx, t)
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	answers := make(chan outcome, 2)
	attempt := func(t target.Target) {
		reply, sent, err := c.try(ctx, t)
		answers <- outcome{reply, sent, err}
	}

	go attempt(t)

	began := time.Now()

	wait := time.NewTimer(after)
	defer wait.Stop()

	for running := 1; ; {
		select {
		case o := <-answers:
			running--

			if o.err == nil || running == 0 {
				return o.reply, o.sent, o.err
			}
		case <-wait.C:
			if other, ok := c.second(ctx, time.Since(began), t); ok {
				running++

				go attempt(other)
			}
		}
	}
}

// second returns the target of a hedge, if there may be one.
func (c *call) second(ctx context.Context, waited time.Duration, first target.Target) (target.Target, bool) {
	now := time.Now()
	standing, _ := c.e.ward.Check(now, c.message.Fingerprint)
	may := retry.MayHedge(retry.Hedge{
		Idempotent: true,
		Suspect:    standing != quarantine.Clear,
		Waited:     waited,
		Usual:      c.values.HedgeAfter,
		Left:       time.Until(c.request.arrived.Add(c.values.Timeout)),
	})

	if !may || !c.budget.Allow(now) {
		return target.Target{}, false
	}

	c.tried[first.VM] = true

	return c.route(ctx, now)
}

// share bounds one attempt of a call that may be repeated to its part of the
// timeout, so that a target that falls silent leaves time for the others.
func (c *call) share(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.message.Once {
		return context.WithCancel(ctx)
	}

	part := c.values.Timeout / time.Duration(max(1, c.values.MaxAttempts))

	return context.WithTimeoutCause(ctx, part, failure.New(failure.TargetLost, "the target took longer than its part of the timeout"))
}

// try makes the call at one target. sent says that it may have run there.
func (c *call) try(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	began := time.Now()
	s := c.e.targets.Sent(began, t.VM, 1)
	c.e.pace.begin(t.VM)

	reply, sent, err = c.converse(ctx, t)
	now := time.Now()
	c.e.pace.end(c.service.Name, t.VM, now.Sub(began), err == nil)
	c.e.note(c.e.targets.Done(now, s, standing(err, sent)))

	kind := "done"
	if err != nil {
		kind = failure.KindOf(err).String()

		if sent && failure.KindOf(err) == failure.TargetLost {
			c.e.lost(ctx, t, c.message.Fingerprint)
		}
	} else {
		c.e.ward.Completed(now, c.message.Fingerprint)
		c.e.heardLoad(now, t, reply.Load)
	}

	event.Log(c.e.cfg.Log, event.AttemptEnded, "request_id", c.request.id, "attempt", c.attempt, "vm", t.VM, "outcome", kind, "took_ms", now.Sub(began).Milliseconds())

	return reply, sent, err
}

func (c *call) converse(ctx context.Context, t target.Target) (reply message.Reply, sent bool, err error) {
	if t.SideAddress == "" {
		return c.direct(ctx, t)
	}

	s, err := c.e.cfg.Peers.Open(ctx, sideOf(t))
	if err != nil {
		return reply, false, err
	}

	defer s.Close()

	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()

	m := c.message
	m.TimeoutMS = c.values.Timeout.Milliseconds()

	if deadline, ok := ctx.Deadline(); ok {
		m.TimeoutMS = time.Until(deadline).Milliseconds()
	}

	if err := s.Send(m); err != nil {
		return reply, true, err
	}

	reply, err = c.receive(s)
	if err != nil && ctx.Err() != nil && failure.KindOf(err).Answer().Ran != failure.NotRun {
		err = failure.As(context.Cause(ctx))
	}

	sent = err == nil || failure.KindOf(err).Answer().Ran != failure.NotRun

	return reply, sent, err
}

func (c *call) receive(s *peer.Stream) (message.Reply, error) {
	for {
		m, err := s.Receive()
		if err != nil {
			return message.Reply{}, err
		}

		if crashed, ok := m.(message.Crashed); ok {
			c.e.Crashed(time.Now(), crashed.Crash)

			continue
		}

		return message.Expect[message.Reply](m)
	}
}
