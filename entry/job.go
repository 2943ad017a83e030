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

// job is a prompt that this entry serves, from admission to the end of its response.
type job struct {
	e            *Entry
	id           string
	organisation string
	workload     string
	service      string
	model        string
	values       setting.Values
	rendered     string
	sharedPrefix string
	maxTokens    int
	sampling     engine.Sampling
	fingerprint  quarantine.Fingerprint
	status       quarantine.Status
	seed         uint64
	arrived      time.Time
	sink         sink

	attempt        int
	tried          map[string]bool
	lookups        []*contextLookup
	reservation    reservation
	budget         *retry.Budget
	delivered      int    // tokens sent to the caller
	deliveredText  []byte // their text
	firstTokenTime time.Duration
}

// salt returns the salt of the block hashes, which keeps the cached blocks of
// organisations separate.
func (j *job) salt() string { return "organisation/" + j.organisation }

// run serves j until its response is complete or it fails. A failed request gets its
// error response at once, so that its caller can retry elsewhere without delay.
func (j *job) run(ctx context.Context) (message.Done, error) {
	ctx, cancel := context.WithTimeout(ctx, j.values.Timeout)
	defer cancel()

	j.budget = j.e.budgets.forService(time.Now(), j.service, j.values.RetryRatio)
	j.budget.CountRequest(time.Now())

	var lastErr error

	for j.attempt = 1; ; j.attempt++ {
		if err := j.checkQuarantine(time.Now()); err != nil {
			return message.Done{}, err
		}

		r, found := j.route(ctx)
		if !found {
			return message.Done{}, j.noTargetError(lastErr)
		}

		d, sent, err := j.tryTarget(ctx, r)
		if err == nil {
			return d, nil
		}

		lastErr = err

		if !j.shouldRetry(ctx, sent, err) {
			return message.Done{}, err
		}

		if j.e.refreshTarget(ctx, r.target, err) {
			continue
		}

		j.tried[r.target.VM] = true
	}
}

// refreshTarget polls a target again when its refusal shows that the entry's view of it
// was out of date. It reports whether the target may accept the request after all: one
// that has another weight version by now can run the request with that version.
func (e *Entry) refreshTarget(ctx context.Context, t target.Target, err error) bool {
	switch failure.KindOf(err) {
	case failure.WrongVersion:
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()

		e.pollTarget(ctx, t)

		current, ok := e.targets.Target(time.Now(), t.VM)

		return ok && current.WeightVersion != t.WeightVersion
	case failure.NotReady, failure.Draining:
		go e.pollTarget(context.WithoutCancel(ctx), t)

		return false
	default:
		return false
	}
}

// checkQuarantine updates j.status and returns an error if j is quarantined because it
// crashed targets.
func (j *job) checkQuarantine(now time.Time) error {
	var err error

	j.status, err = j.e.crashes.Check(now, j.fingerprint)

	return err
}

// noTargetError returns the error for a job that no target is left for: the error of the
// last attempt if there was one.
func (j *job) noTargetError(lastErr error) error {
	if lastErr != nil {
		return lastErr
	}

	return failure.New(failure.Unavailable, "no engine of service %s can accept the request", j.service).WithRetryAfter(j.e.targetRetryAfter(j.service))
}

// retryAfter returns a random delay between 1 s and 2 s, after which the cause of a
// refusal may have passed. It spreads the retries of callers refused at the same time.
func (e *Entry) retryAfter() time.Duration {
	return time.Second + time.Duration(e.nextSeed()%uint64(time.Second))
}

// shouldRetry decides whether a failed attempt is retried, and waits for the backoff if
// so. It reports false if ctx ends first.
func (j *job) shouldRetry(ctx context.Context, sent bool, err error) bool {
	kind := failure.KindOf(err)
	allowed := ctx.Err() == nil && retry.MayRetry(retry.Attempt{
		Idempotent:  true,
		Sent:        sent,
		Kind:        kind,
		Number:      j.attempt,
		MaxAttempts: j.values.MaxAttempts,
		// After a response with an inconsistent token count the text already delivered
		// can't be continued.
		Answered: kind == failure.Internal && j.delivered > 0,
	})

	if !allowed {
		event.Log(j.e.cfg.Log, event.RepeatRefused, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "reason", "not_allowed")

		return false
	}

	budgetAllows := j.budget.Allow(time.Now())
	used, limit := j.budget.Usage(time.Now())

	if !budgetAllows {
		event.Log(j.e.cfg.Log, event.RepeatRefused, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "reason", "budget", "budget_used", used, "budget", limit)

		return false
	}

	wait := retry.BackoffConfig{}.Backoff(j.attempt, rand.New(rand.NewPCG(j.seed, uint64(j.attempt))))
	if status, _ := j.e.crashes.Check(time.Now(), j.fingerprint); status != quarantine.Clear {
		wait = max(wait, crashReportDelay)
	}

	event.Log(j.e.cfg.Log, event.RequestRepeated, "request_id", j.id, "attempt", j.attempt, "kind", kind.String(), "wait_ms", wait.Milliseconds(), "budget_used", used, "budget", limit)
	j.e.metrics.retries.Inc()

	return pause.For(ctx, wait)
}

// crashReportDelay is the minimum delay before a suspect request is retried, so that
// crash reports of other entries arrive first. The caller may have sent the request to
// several entries at once, each of which has lost one target to it; without the delay a
// further target would be lost. Reports take some hundredths of a second.
const crashReportDelay = 500 * time.Millisecond
