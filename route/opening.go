package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// OpeningRequest is a prompt whose opening other prompts share.
type OpeningRequest struct {
	// Opening identifies the shared opening; prompts with the same one are best
	// run where it was read before.
	Opening string
	// Shared are the tokens of the opening, Own those behind it.
	Shared, Own int
	// Output is how many tokens the answer may have.
	Output int
}

// tokens returns the memory that the request takes on an engine.
func (r OpeningRequest) tokens() int { return r.Shared + r.Own + r.Output }

// OpeningCandidate is an engine as the entry believes it to be.
type OpeningCandidate struct {
	// Name is the VM.
	Name string
	// Excluded says why it gets no work: None for one that may.
	Excluded Exclusion
	// Suspected says that it failed of late; it is taken only when no other is left.
	Suspected bool
	// Old says that it has older weights than operators named: what it answers is
	// worth less.
	Old bool
	// Running and Waiting are its requests.
	Running, Waiting int
	// SentTokens are the tokens to be read of what was sent there since.
	SentTokens int
	// UsedTokens is the memory that its requests hold.
	UsedTokens int
	// Has says that the engine has the opening in its memory, or is reading it.
	Has bool
	// Kept says that a store or another engine holds the opening for the engine's
	// weights, so that an engine without it brings it from there instead of reading it.
	Kept bool
	// FetchWait is how long that link is taken by others before, Fetch how long it is
	// taken by bringing the opening.
	FetchWait, Fetch time.Duration
	// New says that the opening was most likely not read before for the engine's
	// weights: no store holds it, though one had room.
	New bool
	// Slots is how many requests it runs at once.
	Slots int
	// Distance is the time to it and back.
	Distance time.Duration
}

// OpeningConfig says what things cost. Zero values get a default.
type OpeningConfig struct {
	// PrefillTokensPerMs is how fast an engine reads a prompt: 50 when zero.
	PrefillTokensPerMs float64
	// MemoryTokens is how many tokens an engine's memory holds: 70,000 when zero.
	MemoryTokens int
	// ShortTokens is the length of opening up to which a prompt is short: 1,000
	// when zero. Short prompts have engines of their own, so that the long ones
	// neither delay them nor push their openings out of memory.
	ShortTokens int
	// ShortShare is the part of the engines that short prompts use: 0.23 when zero.
	ShortShare float64
	// Miss is what reading an opening again costs beyond its time, in ms a 1,000
	// tokens: 40 when zero.
	Miss float64
	// Step is the time of one decoding step: 6 ms when zero.
	Step time.Duration
}

// Short returns the length of opening up to which a prompt is short.
func (c OpeningConfig) Short() int { return c.withDefaults().ShortTokens }

func (c OpeningConfig) withDefaults() OpeningConfig {
	c.PrefillTokensPerMs = orDefault(c.PrefillTokensPerMs, 50)
	c.MemoryTokens = orDefault(c.MemoryTokens, 70_000)
	c.ShortTokens = orDefault(c.ShortTokens, 1000)
	c.ShortShare = orDefault(c.ShortShare, 0.23)
	c.Miss = orDefault(c.Miss, 40)
	c.Step = orDefault(c.Step, 6*time.Millisecond)

	return c
}

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}

	return v
}

// OpeningDecision is the outcome of DecideOpening.
type OpeningDecision struct {
	target int
	home   int
	cost   float64
}

// Found reports whether any engine can take the prompt.
func (d OpeningDecision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen engine, -1 when there is none.
func (d OpeningDecision) Target() int { return d.target }

// Home returns the index of the opening's first engine, -1 when there is none.
func (d OpeningDecision) Home() int { return d.home }

// Cost returns the estimated cost in ms.
func (d OpeningDecision) Cost() float64 { return d.cost }

// Costs beside time, in ms.
const (
	// oldCost is what answering on old weights costs: a fifth of an answer's worth.
	// A higher one drives all work to the few engines that have new weights, where
	// it comes late and loses more.
	oldCost = 80
	// suspectCost keeps work from an engine that failed of late while any other
	// is not overloaded.
	suspectCost = 3000
	// notHomeCost breaks ties in favour of the opening's engines.
	notHomeCost = 2
	// longCost is what each request of an engine for long prompts takes before the
	// next one starts: half of what reading a usual one takes, as it is on the way.
	// A long request runs for as long as others are read beside it.
	longCost = 60
	// waitingCost is what a long prompt takes that waits.
	waitingCost = 120
	// newCost keeps a new opening at its first engine against small differences:
	// another request with it may just be read there.
	newCost = 50
	// amongShortCost keeps long prompts from the engines of short ones: each makes
	// all short ones behind it late, and pushes their openings out of memory.
	amongShortCost = 1200
	// overMemoryCost is what a prompt that doesn't fit beside the others costs:
	// it waits for one of them to end, or pushes one out that is read again.
	overMemoryCost = 300
)

// DecideOpening returns the engine for a prompt: the least estimated time to its
// first event plus the cost of reading its opening where it isn't. Each opening
// has an order of engines, by rendezvous hashing, that all entries agree on
// without talking; its first engine holds it unless it was evicted.
func DecideOpening(cfg OpeningConfig, r OpeningRequest, candidates []OpeningCandidate) OpeningDecision {
	cfg = cfg.withDefaults()
	d := OpeningDecision{target: -1, home: -1}
	all := places(cfg, r, candidates)
	wait := crowded(all, candidates)

	for i, p := range all {
		if p.rank == 0 {
			d.home = i
		}

		c := &candidates[i]
		if c.Excluded != None || (wait && !p.group) {
			continue
		}

		cost := c.cost(cfg, r, p)
		if d.target < 0 || cost < d.cost {
			d.target, d.cost = i, cost
		}
	}

	return d
}

// crowded reports whether an engine for prompts of this length has no room at the
// moment. Its turn is soon; taken to the engines of the other length meanwhile, a
// crowd of long prompts makes all short ones late.
func crowded(all []place, candidates []OpeningCandidate) bool {
	for i, p := range all {
		if p.group && candidates[i].Excluded == NoRoom {
			return true
		}
	}

	return false
}

// place is a candidate's place in an opening's order.
type place struct {
	// rank is 0 for the opening's first engine.
	rank int
	// short says that the engine is one of those for short prompts, group that it
	// is one of those for prompts of this length.
	short, group bool
	score        uint64
}

// places returns the place of each candidate in the opening's order. Engines of
// the other group of lengths come last.
func places(cfg OpeningConfig, r OpeningRequest, candidates []OpeningCandidate) []place {
	short := r.Shared <= cfg.ShortTokens
	all := make([]place, len(candidates))
	order := make([]int, len(candidates))

	for i, isShort := range shortGroup(cfg, candidates) {
		all[i] = place{short: isShort, group: isShort == short, score: xxhash.Sum64String(r.Opening + "/" + candidates[i].Name)}
		order[i] = i
	}

	slices.SortFunc(order, func(a, b int) int {
		if all[a].group != all[b].group {
			if all[a].group {
				return -1
			}

			return 1
		}

		return cmp.Compare(all[b].score, all[a].score)
	})

	for rank, i := range order {
		all[i].rank = rank
	}

	return all
}

// shortGroup tells which candidates short prompts use. The order is by a hash of
// the name, so entries agree, and an engine more or less moves few others.
func shortGroup(cfg OpeningConfig, candidates []OpeningCandidate) []bool {
	n := len(candidates)
	group := make([]bool, n)

	k := int(math.Round(float64(n) * cfg.ShortShare))
	if n > 1 {
		k = min(max(k, 1), n-1)
	}

	order := make([]int, n)
	for i := range order {
		order[i] = i
	}

	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(xxhash.Sum64String(candidates[a].Name), xxhash.Sum64String(candidates[b].Name))
	})

	for _, i := range order[:k] {
		group[i] = true
	}

	return group
}

// cost returns the estimated cost of an engine in ms.
func (c *OpeningCandidate) cost(cfg OpeningConfig, r OpeningRequest, p place) float64 {
	ms := c.wait(cfg, p.short) + float64(c.Distance)/float64(time.Millisecond)
	ms += float64(r.Own) / cfg.PrefillTokensPerMs

	if p.rank > 0 {
		ms += notHomeCost
	}

	// The first engine for a short opening mostly has it, the one for a long opening
	// mostly no longer; of long ones the engines tell.
	if !c.Has && (p.rank > 0 || r.Shared > cfg.ShortTokens) {
		ms += c.miss(cfg, r, p)
	}

	if !p.group && p.short {
		ms += amongShortCost
	}

	if over := c.UsedTokens + r.tokens() - cfg.MemoryTokens; over > 0 {
		ms += overMemoryCost * float64(over) / float64(max(r.tokens(), 1))
	}

	if c.Old {
		ms += oldCost
	}

	if c.Suspected {
		ms += suspectCost
	}

	return ms
}

// miss is what it costs that an engine has to get the opening.
func (c *OpeningCandidate) miss(cfg OpeningConfig, r OpeningRequest, p place) float64 {
	switch {
	case c.Kept:
		return float64(c.FetchWait+c.Fetch) / float64(time.Millisecond)
	case c.New && p.rank > 0:
		return newCost
	case c.New:
		return 0
	}

	return float64(r.Shared)/cfg.PrefillTokensPerMs + cfg.Miss*float64(r.Shared)/1000
}

// wait estimates the time before the engine starts on one more prompt: the
// prompts before it are read in pieces, one after the other, and each request
// that runs makes the steps a little longer.
func (c *OpeningCandidate) wait(cfg OpeningConfig, short bool) float64 {
	step := float64(cfg.Step) / float64(time.Millisecond)
	ms := float64(c.SentTokens) / cfg.PrefillTokensPerMs / 2

	if short {
		ms += float64(c.Running)*step/8 + float64(c.Waiting)*step
	} else {
		ms += float64(c.Running)*longCost + float64(c.Waiting)*waitingCost
	}

	if c.Slots > 0 && c.Running >= c.Slots {
		ms += float64(c.Running-c.Slots+1) * step * 4
	}

	return ms
}
