package route

import (
	"math"
	"time"
)

// view is what all candidates of one decision have in common.
type view struct {
	now time.Time
	cfg Config
	q   Request
	// chances says, for each source, how likely it still has its copy.
	chances [MaxSources]float64
	ways    wayMemo
}

// estimate is what all ways of one candidate have in common.
type estimate struct {
	v *view
	c *Candidate
	// perToken is the prefill of a token beside the running batch, and alone
	// the same with an empty batch, in seconds.
	perToken, alone float64
	// wait is the time for the queue, doubt what is added for its age, in seconds.
	wait, doubt, delay float64
}

// plan is one way for a candidate, before it is known to be the best.
type plan struct {
	how        How
	source     int
	transfer   float64
	prefill    float64
	recomputed float64
	first      float64
	total      float64
}

// unseen is what others may have sent to an engine in each second since its load
// report, in prompts as long as the one at hand. Without it the doubt about idle
// engines would be nothing, and all entries would take the same one.
const unseen = 0.3

func newView(now time.Time, cfg Config, q Request) view {
	v := view{now: now, cfg: cfg, q: q}

	for n := range min(len(q.Sources), MaxSources) {
		v.chances[n] = 1
		if !q.Sources[n].Store {
			v.chances[n] = beliefChance(now, q.Sources[n].Learned, cfg.BeliefHalfLife)
		}
	}

	return v
}

// cheapest returns the cost of the best way for candidate i.
func (v *view) cheapest(c *Candidate, i int) Cost {
	e := estimate{v: v, c: c, delay: seconds(c.Delay)}
	e.alone = 1 / c.PrefillTokensPerSecond
	e.perToken = e.alone * (1 + v.cfg.Interference*e.batch())
	e.wait = e.queue()
	age := max(seconds(v.now.Sub(c.LoadAt)), 0)
	e.doubt = (e.wait + unseen*e.perToken*float64(v.q.Tokens)) * v.cfg.LoadDoubt * age * draw(v.q.Seed, i)

	best := plan{total: math.Inf(1)}
	e.consider(&best, Recompute, -1, 0, 0)

	if c.Warm > 0 {
		chance := beliefChance(v.now, c.WarmAt, v.cfg.BeliefHalfLife)
		e.consider(&best, Warm, -1, chance*float64(c.Warm), 0)
	}

	if v.q.Links != nil {
		e.imports(&best)
	}

	return e.cost(&best)
}

// imports considers the imports from all sources.
func (e *estimate) imports(best *plan) {
	for n := range min(len(e.v.q.Sources), MaxSources) {
		s := &e.v.q.Sources[n]
		// What the engine holds itself need not come over the link.
		missing := s.Tokens - e.c.Warm
		if missing <= 0 || s.Name == e.c.Name {
			continue
		}

		w := e.v.ways.get(e.v, n, e.c.DataCentre)
		transfer := w.wait + float64(int64(missing)*e.v.q.BytesPerToken)*w.perByte
		e.consider(best, Import, n, e.v.chances[n]*float64(s.Tokens), transfer)
	}
}

// batch returns how full the batch is, between 0 and 1.
func (e *estimate) batch() float64 {
	if e.c.MaxRunning <= 0 {
		return 0
	}

	return min(float64(e.c.Running+e.c.SentRequests)/float64(e.c.MaxRunning), 1)
}

// queue returns the seconds until the engine can begin with a new prompt: the
// prefill that stands before it, or the time until a place is free.
func (e *estimate) queue() float64 {
	c := e.c
	prefill := float64(c.WaitingPrefillTokens+c.BusyTokens+c.SentTokens) * e.perToken

	over := c.Running + c.Waiting + c.SentRequests + 1 - c.MaxRunning
	if c.MaxRunning <= 0 || over <= 0 {
		return prefill
	}

	place := float64(over) * seconds(c.PlaceTime) / float64(c.MaxRunning)

	return max(prefill, place)
}

// consider weighs one way, in which held leading tokens come after the transfer
// and the rest is computed, and puts it into best when it costs less.
func (e *estimate) consider(best *plan, how How, source int, held, transfer float64) {
	q, cfg := &e.v.q, &e.v.cfg
	held = min(held, float64(q.Tokens))

	prefill := (float64(q.Tokens) - held) * e.perToken
	recomputed := max(float64(min(q.Computed, q.Tokens))-held, 0)
	first := e.delay + max(e.wait, transfer) + prefill
	total := cfg.FirstTokenWeight*(first+e.doubt) + cfg.RecomputedWeight*recomputed*e.alone

	if total >= best.total {
		return
	}

	*best = plan{how, source, transfer, prefill, recomputed, first, total}
}

func (e *estimate) cost(p *plan) Cost {
	return Cost{
		How:        p.how,
		Source:     int8(p.source),
		Wait:       float32(e.wait),
		Transfer:   float32(p.transfer),
		Prefill:    float32(p.prefill),
		Recomputed: int32(p.recomputed),
		FirstToken: float32(p.first),
		Total:      float32(p.total),
	}
}

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }

// beliefChance returns the chance that a belief learned at that time still holds.
func beliefChance(now, learned time.Time, halfLife time.Duration) float64 {
	age := max(now.Sub(learned), 0)

	return math.Exp2(-float64(age) / float64(halfLife))
}

// draw returns a number in [0, 1) that depends on the request and the candidate.
func draw(seed uint64, i int) float64 {
	const unit = 1 << 53

	x := seed + uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31

	return float64(x%unit) / unit
}
