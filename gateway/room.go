package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/room"
	"boragehub/roster"
	"boragehub/route"
)

// Claims claims capacity at engines. Engines are named by their address.
type Claims interface {
	// Claim returns the reply of the process beside an engine to a claim, with the id of the lease
	// if it was granted, or an error if there is none.
	Claim(ctx context.Context, engine string, c room.Claim) (room.Grant, error)
	// Started reports that the prompt of a lease was prefilled.
	Started(engine string, id uint64)
	// Done ends a lease.
	Done(engine string, id uint64)
}

// maxDenials is the number of engines in a row that may deny a prompt before it waits in the queue.
const maxDenials = 3

// Outcomes of claims besides those of room.Outcome, for metrics.
const (
	claimUnanswered = "unanswered"
	claimSentAnyway = "unanswered_sent"
)

// longPrompt is a long prompt that is to be sent, or was sent, to an engine of a contended service.
type longPrompt struct {
	target, address string
	claim           uint64
	leased, started bool
}

// longPrompts counts this process's long prompts by target. The zero value is empty.
type longPrompts struct {
	mu       sync.Mutex
	byTarget map[string]int
}

// add counts a prompt if alone is false or the target has no other.
func (l *longPrompts) add(id string, alone bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	if alone && l.byTarget[id] > 0 {
		return false
	}

	if l.byTarget == nil {
		l.byTarget = make(map[string]int)
	}

	l.byTarget[id]++

	return true
}

func (l *longPrompts) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.byTarget[id]--

	if l.byTarget[id] <= 0 {
		delete(l.byTarget, id)
	}
}

// needsRoom reports whether the choice needs a lease: a prompt of a contended service that takes more
// prefill or more memory than the mean. A prompt whose parts the engine fetches or has is prefilled
// quickly and takes as much memory as any other. Until the means are known, every prompt claims.
func (t *task) needsRoom(c *choice) bool {
	if t.g.cfg.Claims == nil || !t.contended || t.arrival.Prompt == nil || c.memoryTokens <= 0 {
		return false
	}

	p := t.profile()

	return !p.KnowsPrompts() || c.memoryTokens > p.MeanKVTokens() || !p.IsShort(c.prefillTokens)
}

// slotsTaken reports whether an engine would deny the prompt for lack of a slot, as known. A claim costs
// a round trip and processor time at both ends, and at a burst most engines have no slot.
func (t *task) slotsTaken(e roster.Engine) bool {
	if t.g.cfg.Claims == nil || !t.contended || !e.Backlog.Known || e.Slots <= 0 {
		return false
	}

	p := t.arrival.Prompt
	mean := t.profile().MeanKVTokens()

	return mean > 0 && p.Tokens+p.Output > mean && e.Report.Running+e.Report.Waiting+e.SentSince.Requests > e.Slots
}

// claimRoom claims capacity for a choice that needs it, and reports whether the prompt may be sent
// there. If not, the engine is left out of the next decisions of this round.
//
// An engine whose side process does not reply may be as good as any other: the prompt is sent there
// without a lease if this process has no other long prompt there and memory was free. At worst the
// engine then has one long prompt of each entry.
func (t *task) claimRoom(ctx context.Context, c *choice) bool {
	if !t.needsRoom(c) {
		return true
	}

	e := c.engine
	began := time.Now()
	claim := t.claimFor(began, c)
	grant, err := t.g.cfg.Claims.Claim(ctx, e.Address, claim)
	c.long = &longPrompt{target: e.ID, address: e.Address, claim: grant.ID}

	switch {
	case err == nil && grant.Outcome == room.Granted:
		c.long.leased = true
		t.g.longPrompts.add(e.ID, false)
		t.logClaim(event.RoomGranted, c, claim, began)
		t.countClaim(grant.Outcome.String())

		return true
	case err == nil:
		t.logClaim(event.RoomRefused, c, claim, began, "reason", grant.Outcome.String())
		t.countClaim(grant.Outcome.String())
	case ctx.Err() != nil:
		// The caller left or the time to wait is over: there was no time for a reply.
	case t.mayGoWithoutLease(e):
		t.logClaim(event.RoomUnanswered, c, claim, began, "sent", true)
		t.countClaim(claimSentAnyway)

		return true
	default:
		t.logClaim(event.RoomUnanswered, c, claim, began, "sent", false)
		t.countClaim(claimUnanswered)
	}

	c.long = nil

	if t.noRoom == nil {
		t.noRoom = make(map[string]bool)
	}

	t.noRoom[e.ID] = true

	return false
}

// claimFor returns the claim for a choice.
func (t *task) claimFor(now time.Time, c *choice) room.Claim {
	cfg := t.profile().SharedPrefixConfig(t.service.Engines.CacheTokens)
	claim := room.Claim{
		PrefillTokens: c.prefillTokens, MemoryTokens: c.memoryTokens, MaxBacklog: cfg.MaxBacklog(t.route.LatencyTarget), Rank: t.priority(),
		TimeLeftMs: max(t.deadline.Sub(now).Milliseconds(), 1), TokensPerMs: cfg.TokensPerMs,
	}

	if t.stream.started || t.profile().IsShort(c.prefillTokens) {
		// The caller waits for the rest of the stream, or the prompt delays others hardly at all.
		claim.MaxBacklog = math.MaxInt32
	}

	return claim
}

// mayGoWithoutLease reports whether the prompt is sent to an engine whose side process did not reply,
// and counts it there if so.
func (t *task) mayGoWithoutLease(e roster.Engine) bool {
	if t.stream.started {
		return t.g.longPrompts.add(e.ID, false)
	}

	return (!e.Fresh || t.fitsMemory(e)) && t.g.longPrompts.add(e.ID, true)
}

// startRoom reports that the prompt of a choice was prefilled.
func (t *task) startRoom(c choice) {
	if c.long == nil || !c.long.leased || c.long.started {
		return
	}

	c.long.started = true
	t.g.cfg.Claims.Started(c.long.address, c.long.claim)
}

// endRoom ends the lease of a choice, if it has one.
func (t *task) endRoom(c choice) {
	if c.long == nil {
		return
	}

	t.g.longPrompts.remove(c.long.target)

	if c.long.leased {
		t.g.cfg.Claims.Done(c.long.address, c.long.claim)
	}
}

// returnRoom gives back the lease of a choice that is not used.
func (t *task) returnRoom(c choice) {
	if c.long == nil {
		return
	}

	t.endRoom(c)
	event.Log(t.g.cfg.Log, event.RoomReturned, "request_id", t.logID(), "target", c.engine.ID, "claim", c.long.claim)
}

// fillBacklog sets what is known of an engine's leases, in contended services only.
func (t *task) fillBacklog(c *route.PrefixCandidate, e roster.Engine) {
	if !t.contended || !e.Fresh || !e.Backlog.Known {
		return
	}

	c.HasBacklog, c.Backlog, c.Leases = true, e.Backlog.Left(t.profile().TokensPerMs()), e.Backlog.Leases
	c.UsedTokens = max(c.UsedTokens, e.Backlog.MemoryTokens)
}

// leasedTokens returns the memory of an engine that is leased, as known; zero in services that are not
// contended.
func (t *task) leasedTokens(e roster.Engine) int {
	if !t.contended {
		return 0
	}

	return e.Backlog.MemoryTokens
}

func (t *task) countClaim(outcome string) {
	if t.g.cfg.Meter != nil {
		t.g.cfg.Meter.Claimed(outcome)
	}
}

// logClaim logs the outcome of a claim with its inputs and their age.
func (t *task) logClaim(line event.Event, c *choice, claim room.Claim, began time.Time, more ...any) {
	b := c.engine.Backlog
	event.Log(t.g.cfg.Log, line, append([]any{
		"request_id", t.logID(), "target", c.engine.ID, "claim", c.long.claim, "prefill_tokens", claim.PrefillTokens, "memory_tokens", claim.MemoryTokens,
		"max_backlog", claim.MaxBacklog, "backlog", b.Tokens, "occupied", b.MemoryTokens, "leases", b.Leases, "backlog_age_ms", b.Age.Milliseconds(),
		"pulse_age_ms", loadReportAge(c.engine), "wait_ms", time.Since(began).Milliseconds(),
	}, more...)...)
}
