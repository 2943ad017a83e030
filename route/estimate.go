package route

import (
	"math"
	"time"
)

// shared is the state that all candidates of one decision have in common.
type shared struct {
	now time.Time
	cfg Config
	q   Request
	// copyChances is the probability, for each source, that it still has its copy.
	copyChances [MaxSources]float64
	links       linkCache
}

// estimate is the state that all strategies for one candidate have in common.
type estimate struct {
	shared *shared
	c      *Candidate
	// prefillPerToken is the time in seconds to prefill a token beside the running
	// batch; idlePrefillPerToken is the same with an empty batch.
	prefillPerToken, idlePrefillPerToken float64
	// queueWait is the time in the queue, uncertainty the penalty for the age of the
	// load report, and delay the round-trip time, all in seconds.
	queueWait, uncertainty, delay float64
}

// option is the estimate of one strategy for a candidate.
type option struct {
	strategy   Strategy
	source     int
	transfer   float64
	prefill    float64
	recomputed float64
	firstToken float64
	total      float64
}

// unreportedPromptsPerSecond is the assumed rate at which other entries have sent
// prompts of the same length to an engine since its load report. Without it the
// uncertainty of an idle engine would be zero, and all entries would choose the
// same idle engine.
const unreportedPromptsPerSecond = 0.3

func newShared(now time.Time, cfg Config, q Request) shared {
	s := shared{now: now, cfg: cfg, q: q}

	for n := range min(len(q.Sources), MaxSources) {
		s.copyChances[n] = 1
		if !q.Sources[n].Store {
			s.copyChances[n] = copyChance(now, q.Sources[n].LastSeen, cfg.ContextHalfLife)
		}
	}

	return s
}

// bestCost returns the cost of the cheapest strategy for candidate i.
func (s *shared) bestCost(c *Candidate, i int) Cost {
	e := estimate{shared: s, c: c, delay: seconds(c.RoundTrip)}
	e.idlePrefillPerToken = 1 / c.PrefillTokensPerSecond
	e.prefillPerToken = e.idlePrefillPerToken * (1 + s.cfg.Interference*e.batchFill())
	e.queueWait = e.estimateQueueWait()
	age := max(seconds(s.now.Sub(c.LoadAt)), 0)
	e.uncertainty = (e.queueWait + unreportedPromptsPerSecond*e.prefillPerToken*float64(s.q.Tokens)) * s.cfg.LoadUncertainty * age * seededFraction(s.q.Seed, i)

	best := option{total: math.Inf(1)}
	e.consider(&best, Recompute, -1, 0, 0)

	if c.WarmTokens > 0 {
		chance := copyChance(s.now, c.WarmAt, s.cfg.ContextHalfLife)
		e.consider(&best, Warm, -1, chance*float64(c.WarmTokens), 0)
	}

	if s.q.Links != nil {
		e.considerImports(&best)
	}

	return e.cost(&best)
}

// considerImports considers an import from each source.
func (e *estimate) considerImports(best *option) {
	for n := range min(len(e.shared.q.Sources), MaxSources) {
		s := &e.shared.q.Sources[n]
		// Tokens that the engine holds already need no transfer.
		missing := s.Tokens - e.c.WarmTokens
		if missing <= 0 || s.Name == e.c.Name {
			continue
		}

		w := e.shared.links.get(e.shared, n, e.c.DataCentre)
		transfer := w.wait + float64(int64(missing)*e.shared.q.BytesPerToken)*w.perByte
		e.consider(best, Import, n, e.shared.copyChances[n]*float64(s.Tokens), transfer)
	}
}

// batchFill returns the occupied part of the batch, between 0 and 1.
func (e *estimate) batchFill() float64 {
	if e.c.MaxRunning <= 0 {
		return 0
	}

	return min(float64(e.c.Running+e.c.SentRequests)/float64(e.c.MaxRunning), 1)
}

// estimateQueueWait returns the seconds until the engine can start a new prompt: the
// time to prefill the prompts queued before it or until a batch slot is free,
// whichever is longer.
func (e *estimate) estimateQueueWait() float64 {
	c := e.c
	prefill := float64(c.WaitingPrefillTokens+c.LowerPriorityTokens+c.SentTokens) * e.prefillPerToken

	excess := c.Running + c.Waiting + c.SentRequests + 1 - c.MaxRunning
	if c.MaxRunning <= 0 || excess <= 0 {
		return prefill
	}

	slotWait := float64(excess) * seconds(c.SlotTime) / float64(c.MaxRunning)

	return max(prefill, slotWait)
}

// consider estimates one strategy, in which cached leading tokens are available
// after the transfer and the rest is computed, and stores it in best if it costs
// less.
func (e *estimate) consider(best *option, strategy Strategy, source int, cached, transfer float64) {
	q, cfg := &e.shared.q, &e.shared.cfg
	cached = min(cached, float64(q.Tokens))

	prefill := (float64(q.Tokens) - cached) * e.prefillPerToken
	recomputed := max(float64(min(q.Computed, q.Tokens))-cached, 0)
	firstToken := e.delay + max(e.queueWait, transfer) + prefill
	total := cfg.FirstTokenWeight*(firstToken+e.uncertainty) + cfg.RecomputedWeight*recomputed*e.idlePrefillPerToken

	if total >= best.total {
		return
	}

	*best = option{strategy, source, transfer, prefill, recomputed, firstToken, total}
}

func (e *estimate) cost(p *option) Cost {
	return Cost{
		Strategy:   p.strategy,
		Source:     int8(p.source),
		Wait:       float32(e.queueWait),
		Transfer:   float32(p.transfer),
		Prefill:    float32(p.prefill),
		Recomputed: int32(p.recomputed),
		FirstToken: float32(p.firstToken),
		Total:      float32(p.total),
	}
}

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }

// copyChance returns the probability that a copy last seen at lastSeen still exists.
func copyChance(now, lastSeen time.Time, halfLife time.Duration) float64 {
	age := max(now.Sub(lastSeen), 0)

	return math.Exp2(-float64(age) / float64(halfLife))
}

// seededFraction returns a pseudo-random number in [0, 1) determined by the request's
// seed and the index of the candidate.
func seededFraction(seed uint64, i int) float64 {
	const unit = 1 << 53

	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31

	return float64(x%unit) / unit
}
