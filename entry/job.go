package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"boragehub/engine"
	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/pause"
	"boragehub/quarantine"
	"boragehub/retry"
	"boragehub/setting"
	"boragehub/target"
)

// job is a prompt on its way through this entry.
type job struct {
	e            *Entry
	id           string
	organisation string
	workload     string
	service      string
	model        string
	values       setting.Values
	text         string
	opening      string
	maxTokens    int
	sampling     engine.Sampling
	fingerprint  quarantine.Fingerprint
	standing     quarantine.Standing
	seed         uint64
	arrived      time.Time
	to           sink

	attempt int
	tried   map[string]bool
	views   []*contextView
	window  promised
	budget  *retry.Budget
	index   int    // tokens passed on to the caller
	answer  []byte // their text
	first   time.Duration
}

// salt keeps the organisation's blocks apart from all others'.
func (j *job) salt() string { return "organisation/" + j.organisation }

// run serves j until its answer is whole or it is given up. A request given up
// on is answered at once: waiting longer would only keep its caller from asking
// elsewhere.
func (j *job) run(ctx context.Context) (message.Done, error) {
	ctx, cancel := context.WithTimeout(ctx, j.values.Timeout)
	defer cancel()

	j.budget = j.e.budgets.of(j.service, j.values.RetryRatio)
	j.budget.First(time.Now())

	var last error

	for j.attempt = 1; ; j.attempt++ {
		if err := j.check(time.Now()); err != nil {
			return message.Done{}, err
		}

		r, found := j.route(ctx)
		if !found {
			return message.Done{}, j.noTarget(last)
		}

		d, sent, err := j.try(ctx, r)
		if err == nil {
			return d, nil
		}

		last = err

		if !j.shouldRetry(ctx, sent, err) {
			return message.Done{}, err
		}

		if j.e.refreshed(ctx, r.target, err) {
			continue
		}

		j.tried[r.target.VM] = true
	}
}

// refreshed asks a target anew whose refusal shows that the entry was wrong about
// it, and reports whether it may take the request after all: one that has moved
// to another weight version serves that.
func (e *Entry) refreshed(ctx context.Context, t target.Target, err error) bool {
	switch failure.KindOf(err) {
	case failure.WrongVersion:
		ctx, cancel := context.WithTimeout(ctx, lostTimeout)
		defer cancel()

		e.ask(ctx, t)

		now, ok := e.targets.Target(time.Now(), t.VM)

		return ok && now.WeightVersion != t.WeightVersion
	case failure.NotReady, failure.Draining:
		go e.ask(context.WithoutCancel(ctx), t)

		return false
	default:
		return false
	}
}

// check refuses a request that has crashed its targets.
func (j *job) check(now time.Time) error {
	var err error

	j.standing, err = j.e.crashes.Check(now, j.fingerprint)

	return err
}

// noTarget is the answer when no target is left to try.
func (j *job) noTarget(last error) error {
	if last != nil {
		return last
	}

	return failure.New(failure.Unavailable, "no engine of %s can take the request", j.service).After(j.e.retryAfter())
}

// retryAfter spreads callers over the second in which something may have changed.
func (e *Entry) retryAfter() time.Duration {
	return time.Second + time.Duration(e.seed()%uint64(time.Second))
}

// shouldRetry decides whether a failed attempt is followed by another.
func (j *job) shouldRetry(ctx context.Context, sent bool, err error) bool {
	kind := failure.KindOf(err)
	may := ctx.Err() == nil && retry.May(retry.Attempt{
		Idempotent: true,
		Sent:       sent,
		Kind:       kind,
		Number:     j.attempt,
		Most:       j.values.MaxAttempts,
		// An answer that doesn't add up can't be gone on with from where it is.
		Answered: kind == failure.Internal && j.index > 0,
	})

	if !may {
		event.Log(j.e.cfg.Log, event.RepeatRefused, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "reason", "not_allowed")

		return false
	}

	if !j.budget.Allow(time.Now()) {
		event.Log(j.e.cfg.Log, event.RepeatRefused, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "reason", "budget")

		return false
	}

	wait := retry.BackoffConfig{}.Backoff(j.attempt, rand.New(rand.NewPCG(j.seed, uint64(j.attempt))))
	if standing, _ := j.e.crashes.Check(time.Now(), j.fingerprint); standing != quarantine.Clear {
		wait = max(wait, newsTime)
	}

	event.Log(j.e.cfg.Log, event.RequestRepeated, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "wait_ms", wait.Milliseconds())
	j.e.metrics.retries.Inc()

	return pause.For(ctx, wait)
}

// newsTime is how long a request under suspicion waits before it is repeated, so
// that what other entries saw of it has come: its caller may have sent it to
// several at once, each of which has lost one target by it, and a third must not
// be lost. Reports take some hundredths of a second.
const newsTime = 500 * time.Millisecond
