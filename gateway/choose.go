package gateway

import (
	"context"
	"slices"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/resident"
	"boragehub/roster"
	"boragehub/route"
)

// choice is the target chosen for an attempt.
type choice struct {
	engine roster.Engine
	// params are sent with the request.
	params TargetParams
	// prefillTokens is the number of tokens that the target is expected to prefill,
	// memoryTokens the number that the request occupies in its memory.
	prefillTokens, memoryTokens int
	// fetchWait and fetchTime are how long the longest fetch is expected to wait for its
	// source's link and to take.
	fetchWait, fetchTime time.Duration
	// fetch is what the fetches of the prompt's parts rest on, for the log.
	fetch fetchGrant
	// reason, cost (in ms) and candidates describe the decision in the log.
	reason     string
	cost       float64
	candidates int
	// idle is true if the target has no other prompt to prefill and fetches nothing, so
	// that the time to the first event measures its prefill speed.
	idle bool
	// long is set for a long prompt of a contended service.
	long *longPrompt
	// freeSlots is true if the target of a plain service seems to have free slots, so that the
	// duration of the call is not that of others.
	freeSlots bool
}

// start returns the start of the chosen target.
func (c *choice) start() targetStart { return startOf(c.engine.ID, c.engine.StartedMs) }

// Round-trip times for comparing targets.
const (
	// sameDataCentreRoundTrip is the round trip within a data centre.
	sameDataCentreRoundTrip = 400 * time.Microsecond
	// crossDataCentreRoundTrip is the round trip between data centres. It takes 1 to 2 ms; the
	// rest stands for the cost of traffic between them, so that a remote target is chosen when
	// the local one has about one more call queued.
	crossDataCentreRoundTrip = 8 * time.Millisecond
	// plainCallTime is the usual duration of a call of a plain service.
	plainCallTime = 30 * time.Millisecond
)

// Retry-After times sent to callers.
const (
	// loadingRetryAfter is for engines that load weights: half a second each, a few at a time.
	loadingRetryAfter = 300 * time.Millisecond
	// capacityRetryAfter is for engines without capacity: a long prompt takes about that time.
	capacityRetryAfter = time.Second
	// noTargetRetryAfter is for a service without targets: a restarted target is listed within
	// about a second.
	noTargetRetryAfter = 700 * time.Millisecond
)

// maxDecisions limits how often a decision is repeated because other requests used up its
// target's slow-start allowance meanwhile.
const maxDecisions = 3

// choose returns the target of the next attempt and takes one of the requests that it may get.
func (t *task) choose(ctx context.Context, now time.Time) (choice, error) {
	// The request may have been quarantined since it arrived.
	if err := t.checkQuarantine(now); err != nil {
		return choice{}, err
	}

	if err := t.beginParts(now); err != nil {
		return choice{}, err
	}

	c, err := t.chooseAdmitted(ctx, now)
	if err != nil {
		t.endParts()
	}

	return c, err
}

// chooseAdmitted returns the target of the next attempt, at which it has taken one of the requests that it may get.
func (t *task) chooseAdmitted(ctx context.Context, now time.Time) (choice, error) {
	clear(t.noRoom)

	for decisions := 0; decisions < maxDecisions; {
		c, err := t.decide(now)
		if err != nil {
			return choice{}, err
		}

		if err := t.g.drain.mayUse(now, t, c.engine.ID); err != nil {
			return choice{}, err
		}

		if !t.claimRoom(ctx, &c) {
			if len(t.noRoom) >= maxDenials {
				event.Log(t.g.cfg.Log, event.RoomExhausted, "request_id", t.logID(), "engines", len(t.noRoom))

				return choice{}, errNoCapacity
			}

			now = time.Now()

			continue
		}

		decisions++

		if t.g.cfg.Roster.Admit(now, c.engine.ID) {
			t.logChoice(c)

			return c, nil
		}

		t.returnRoom(c)
	}

	return choice{}, errNoCapacity
}

// decide returns the best target of the next attempt.
func (t *task) decide(now time.Time) (choice, error) {
	candidates := t.g.cfg.Roster.Candidates(now, t.service.Name, t.model())
	if len(candidates) == 0 {
		return choice{}, failure.New(failure.Unavailable, "the service has no target").WithRetryAfter(noTargetRetryAfter)
	}

	if t.service.Engines != nil && t.arrival.Prompt != nil {
		return t.chooseEngine(now, candidates)
	}

	return t.choosePlainTarget(now, candidates)
}

// choosePlainTarget returns the target of a plain service with the shortest estimated time to a
// response.
func (t *task) choosePlainTarget(now time.Time, all []roster.Engine) (choice, error) {
	calls := make([]route.CallCandidate, len(all))
	callTime := t.callTime()

	for i, e := range all {
		calls[i] = route.CallCandidate{
			Name: e.ID, Draining: e.Loading || e.Throttled, Suspected: e.Suspected || e.Failures > 0, Tried: t.tried[e.ID],
			RoundTrip: t.roundTrip(e), LoadAt: now.Add(-e.Load.Age), Running: e.Load.Running, Waiting: e.Load.Waiting,
			InFlight: e.SentRequests, CallTime: callTime, MaxConcurrent: e.Slots, Slowdown: e.Slowdown,
		}
	}

	d := route.DecideCall(now, route.Config{}, t.hash+uint64(t.attempts), calls)
	if !d.Found() {
		if l, ok := t.throttledBy(all); ok {
			return choice{}, t.refuseThrottled(now, l, 0)
		}

		return choice{}, failure.New(failure.Unavailable, "no untried target is available").WithRetryAfter(t.coldRetryAfter(all, loadingRetryAfter))
	}

	e := all[d.Target()]

	return choice{
		engine: e, params: t.targetParams(now, e),
		reason: "least_work", cost: float64(d.Cost(d.Target()).Seconds) * 1000, candidates: len(all),
		freeSlots: e.Load.Running+e.Load.Waiting+e.SentRequests < max(e.Slots, 1),
	}, nil
}

// chooseEngine returns the engine with the shortest estimated time to a prompt's first event, the
// cost of prefilling a shared prefix again included.
func (t *task) chooseEngine(now time.Time, all []roster.Engine) (choice, error) {
	t.contended = t.g.cfg.Roster.Contended(t.service.Name)
	p := t.arrival.Prompt
	newest := t.g.newest(p.Model)
	due, required := t.g.versionPublishedFor(now, p.Model, oldVersionGrace), t.g.requiredVersion(now, p.Model)
	candidates := make([]route.PrefixCandidate, len(all))
	all = assumeRequiredVersion(all, required)
	l := t.lookup(now, all)
	run := t.profile().AnswerTime(p.Output)

	for i, e := range all {
		candidates[i] = route.PrefixCandidate{
			Name: e.ID, Excluded: t.exclusion(e, required), Suspected: e.Suspected || e.Failures > 1 || e.HeartbeatMissing,
			OldWeights: e.Version > 0 && e.Version < due, Slots: e.Slots, RoundTrip: t.roundTrip(e), Slowdown: e.Slowdown,
		}
		fillLoad(&candidates[i], e)
		t.fillBacklog(&candidates[i], e)

		if e.LoadScheduled {
			candidates[i].Overrun = max(run-e.LoadIn, 0)
		}

		l.fillCandidate(&candidates[i], e, newest)
	}

	d := route.DecidePrefix(t.profile().SharedPrefixConfig(t.service.Engines.CacheTokens), t.prefixRequest(), candidates)
	if !d.Found() {
		return choice{}, t.noEngineError(candidates, all)
	}

	if err := t.checkPace(d); err != nil {
		return choice{}, err
	}

	e := all[d.Target()]
	reason := "home"

	if d.Target() != d.Home() {
		reason = "spill"
	}

	c := choice{
		engine: e, params: t.targetParams(now, e), prefillTokens: p.Tokens, memoryTokens: p.Tokens + p.Output,
		reason: reason, cost: d.Cost(), candidates: len(all),
	}
	t.setCacheParams(l, &c)
	c.params.Priority = enginePriority(t.priority(), t.profile().IsShort(c.prefillTokens))
	c.idle = e.Fresh && e.Report.Prefilling+e.Report.Waiting+e.SentSince.Requests == 0 && len(c.params.Fetch) == 0 && candidates[d.Target()].Leases == 0

	return c, nil
}

// assumeRequiredVersion returns the engines as they are if any is known to have the required
// weights, and otherwise with that version set on all. An engine that loaded them unnoticed by
// this entry then serves the request; one that has not loaded them refuses without running it.
func assumeRequiredVersion(all []roster.Engine, required int64) []roster.Engine {
	for _, e := range all {
		if e.Version >= required {
			return all
		}
	}

	asked := slices.Clone(all)
	for i := range asked {
		asked[i].Version = required
	}

	return asked
}

// fillLoad sets an engine's load: its load report and the requests sent since or, without a
// fresh report, the load that this entry knows from its own requests and their responses.
func fillLoad(c *route.PrefixCandidate, e roster.Engine) {
	if e.Fresh {
		c.Running, c.Prefilling, c.Waiting = e.Report.Running+e.SentSince.Requests, e.Report.Prefilling, e.Report.Waiting
		c.SentTokens = e.SentSince.PrefillTokens
		c.UsedTokens = e.Report.UsedTokens + e.SentSince.CacheTokens

		return
	}

	c.Running, c.Waiting = max(e.SentRequests, e.Load.Running), e.Load.Waiting
	c.SentTokens = e.SentTokens
	c.UsedTokens = e.SentTokens
}

// prefixRequest describes the prompt's shared prefix for the decision.
func (t *task) prefixRequest() route.PrefixRequest {
	p := t.arrival.Prompt
	shared := p.SharedTokens()

	return route.PrefixRequest{
		SharedPrefixID: p.SharedPrefixID(), SharedTokens: shared, OwnTokens: p.Tokens - shared, OutputTokens: p.Output, Aim: t.route.LatencyTarget,
		PrefixUnreported: t.prefixUnreported(),
	}
}

// checkPace returns an error if a prompt should not be sent now. A stream that has started
// continues at once wherever it can: late events are better for its caller than none.
func (t *task) checkPace(d route.PrefixDecision) error {
	if t.stream.started {
		return nil
	}

	switch d.Admission() {
	case route.Hold:
		return errNoCapacity
	case route.TooLate:
		over := d.Wait() - t.route.LatencyTarget
		if t.usesAdmission() {
			return tooLate{over}
		}

		return failure.New(failure.QueueFull, "engines have other prompts to prefill for %v", d.Wait().Round(time.Millisecond)).WithRetryAfter(over)
	default:
		return nil
	}
}

// lowestPriority is the last priority that engines accept; 0 is the first.
const lowestPriority = 9

// enginePriority returns a prompt's priority at its engine. Among prompts of equal rank, those
// with few tokens to prefill come first: each delays a long one by a few ms, but would wait for
// it for up to a third of a second.
func enginePriority(rank int, short bool) int {
	u := 2 * rank
	if !short {
		u++
	}

	return min(u, lowestPriority)
}

// prefixUnreported reports whether the shared prefix is too short for engines to report that they
// have it.
func (t *task) prefixUnreported() bool {
	i := t.longestSharedPart()

	return i >= 0 && t.arrival.Prompt.Parts[i].Tokens < resident.LongPart
}

// longestSharedPart returns the index of the longest shared part, -1 if there is none.
func (t *task) longestSharedPart() int {
	parts := t.arrival.Prompt.Parts
	best := -1

	for i := range len(parts) - 1 {
		if best < 0 || parts[i].Tokens > parts[best].Tokens {
			best = i
		}
	}

	return best
}

func (t *task) exclusion(e roster.Engine, required int64) route.Exclusion {
	switch {
	case t.tried[e.ID]:
		return route.AlreadyTried
	case t.noRoom[e.ID]:
		return route.NoRoom
	case e.Loading, e.Version > 0 && e.Version < required:
		return route.OtherVersion
	case e.Throttled:
		return route.Throttled
	case e.Fresh && !t.stream.started && (!t.fitsMemory(e) || t.slotsTaken(e)):
		return route.NoRoom
	default:
		return route.None
	}
}

// noEngineError returns why no engine can take the prompt.
func (t *task) noEngineError(candidates []route.PrefixCandidate, all []roster.Engine) error {
	var excluded []roster.Engine

	for i, c := range candidates {
		switch c.Excluded {
		case route.NoRoom:
			return errNoCapacity
		case route.Throttled:
			excluded = append(excluded, all[i])
		default:
		}
	}

	if l, ok := t.throttledBy(excluded); ok {
		return failure.Wrap(failure.QueueFull, l, "all available engines are throttled").WithRetryAfter(l.wait)
	}

	if len(excluded) > 0 {
		return failure.Wrap(failure.QueueFull, errSlowStart, "all available engines are in slow start").WithRetryAfter(t.coldRetryAfter(all, capacityRetryAfter))
	}

	return failure.New(failure.Unavailable, "all engines are loading weights or were tried").WithRetryAfter(loadingRetryAfter)
}

// coldRetryAfter returns when callers should retry while targets are cold: when the first of
// them is warm, plus a delay by the request's hash that spreads the refused callers. It returns
// usual if no target is cold.
func (t *task) coldRetryAfter(all []roster.Engine, usual time.Duration) time.Duration {
	left := time.Duration(0)

	for _, e := range all {
		if e.Throttled && e.ColdFor > 0 && (left == 0 || e.ColdFor < left) {
			left = e.ColdFor
		}
	}

	if left == 0 {
		return usual
	}

	return left + time.Duration(t.hash%uint64(usual))
}

func (t *task) roundTrip(e roster.Engine) time.Duration {
	if e.DataCentre == t.g.cfg.DataCentre {
		return sameDataCentreRoundTrip
	}

	return crossDataCentreRoundTrip
}

// targetParams returns the parameters for any kind of target.
func (t *task) targetParams(now time.Time, e roster.Engine) TargetParams {
	s := TargetParams{
		Target: e.ID, Address: e.Address, TimeLeft: t.deadline.Sub(now), Priority: t.priority(),
		ResumeAfter: t.resumeAfter(),
	}

	if t.organisation != nil {
		s.Organisation = t.organisation.Name
	}

	return s
}

// logChoice logs the chosen target and the figures that the decision was based on.
func (t *task) logChoice(c choice) {
	e := c.engine

	fields := []any{
		"request_id", t.logID(), "route", t.route.Name, "attempt", t.attempts + 1,
		"target", e.ID, "reason", c.reason, "cost_ms", int(c.cost), "candidates", c.candidates, "cold_ms", e.ColdFor.Milliseconds(), "config", t.cfg.Version(),
		"running", max(e.Report.Running, e.Load.Running), "reading", e.Report.Prefilling, "tokens_per_ms", int(t.profile().TokensPerMs()), "waiting", max(e.Report.Waiting, e.Load.Waiting),
		"used_tokens", e.Report.UsedTokens, "pulse_age_ms", loadReportAge(e), "rate_limit", e.RateLimit, "slowdown", e.Slowdown, "sent_since", e.SentSince.Requests,
		"version", c.params.Version, "fetches", len(c.params.Fetch) > 0, "saves", len(c.params.Save) > 0, "unread", c.prefillTokens, "fetch_wait_ms", c.fetchWait.Milliseconds(), "fetch_ms", c.fetchTime.Milliseconds(),
		"opening", t.prefixID(), "salt", c.params.Salt,
	}

	event.Log(t.g.cfg.Log, event.AttemptSent, append(fields, c.fetch.logFields(c.params.FetchUntil)...)...)
}

// prefixID returns the id of the prompt's shared prefix, empty for none.
func (t *task) prefixID() string {
	if t.arrival.Prompt == nil {
		return ""
	}

	return t.arrival.Prompt.SharedPrefixID()
}

// noLoadReport is logged as the age of a load report that never arrived.
const noLoadReport = -1

func loadReportAge(e roster.Engine) int64 {
	if e.Report.SourceStart == 0 {
		return noLoadReport
	}

	return e.ReportAge.Milliseconds()
}
