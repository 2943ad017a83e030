package route

import (
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
	// Kept says that a store holds the opening, so that an engine without it
	// brings it from there instead of reading it.
	Kept bool
	// Left is the time until the answer's first event is of no use.
	Left time.Duration
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
	// Running and Waiting are the requests of its last load report, Age how old
	// that is.
	Running, Waiting int
	Age              time.Duration
	// InFlight and InFlightTokens are this entry's requests there without an answer.
	InFlight, InFlightTokens int
	// Slots is how many requests it runs at once.
	Slots int
	// Distance is the time to it and back.
	Distance time.Duration
}

// OpeningConfig says what things cost. Zero values get a default.
type OpeningConfig struct {
	// PrefillTokensPerMs is how fast an engine reads a prompt: 50 when zero.
	PrefillTokensPerMs float64
	// FetchTokensPerMs is how fast an opening comes from a store: 200 when zero,
	// 164 KB a token over a link of some 40 GB/s that others use too.
	FetchTokensPerMs float64
	// MemoryTokens is how many tokens an engine's memory holds: 70,000 when zero.
	MemoryTokens int
	// ShortTokens is the length of opening up to which a prompt is short: 1,000
	// when zero. Short prompts have engines of their own, so that the long ones
	// neither delay them nor push their openings out of memory.
	ShortTokens int
	// ShortShare is the part of the engines that short prompts use: 0.4 when zero.
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
	c.FetchTokensPerMs = orDefault(c.FetchTokensPerMs, 200)
	c.MemoryTokens = orDefault(c.MemoryTokens, 70_000)
	c.ShortTokens = orDefault(c.ShortTokens, 1000)
	c.ShortShare = orDefault(c.ShortShare, 0.4)
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
	full   bool
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
	// oldCost is what answering on old weights costs: a fifth of an answer's
	// worth at first, which is more than a second's delay loses.
	oldCost = 400
	// suspectCost keeps work from an engine that failed of late while any other
	// is not overloaded.
	suspectCost = 3000
	// notHomeCost breaks ties in favour of the opening's engines.
	notHomeCost = 2
	// overMemoryCost is what a prompt that doesn't fit beside the others costs:
	// it waits for one of them to end, or pushes one out that is read again.
	overMemoryCost = 300
)

// DecideOpening returns the engine for a prompt: the least estimated time to its
// first event plus the cost of reading its opening where it isn't. Each opening
// has an order of engines, by rendezvous hashing, that all entries agree on
// without talking; its first engines hold it unless it was evicted.
func DecideOpening(cfg OpeningConfig, r OpeningRequest, candidates []OpeningCandidate) OpeningDecision {
	cfg = cfg.withDefaults()
	d := OpeningDecision{target: -1, home: -1}
	ranks := openingRanks(cfg, r, candidates)

	for i := range candidates {
		if ranks[i] == 0 {
			d.home = i
		}

		c := &candidates[i]
		if c.Excluded != None {
			continue
		}

		cost := c.cost(cfg, r, ranks[i])
		if d.target < 0 || cost < d.cost {
			d.target, d.cost = i, cost
		}
	}

	return d
}

// openingRanks returns the place of each candidate in the opening's order.
// Engines of the other group of lengths come last.
func openingRanks(cfg OpeningConfig, r OpeningRequest, candidates []OpeningCandidate) []int {
	group := shortGroup(cfg, candidates)
	short := r.Shared <= cfg.ShortTokens

	type place struct {
		index int
		group bool
		score uint64
	}

	places := make([]place, len(candidates))
	for i := range candidates {
		places[i] = place{i, group[i] == short, xxhash.Sum64String(r.Opening + "/" + candidates[i].Name)}
	}

	slices.SortFunc(places, func(a, b place) int {
		if a.group != b.group {
			if a.group {
				return -1
			}

			return 1
		}

		if a.score > b.score {
			return -1
		}

		return 1
	})

	ranks := make([]int, len(candidates))
	for rank, p := range places {
		ranks[p.index] = rank
		if !p.group {
			ranks[p.index] = len(candidates)
		}
	}

	return ranks
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
		if xxhash.Sum64String(candidates[a].Name) < xxhash.Sum64String(candidates[b].Name) {
			return -1
		}

		return 1
	})

	for _, i := range order[:k] {
		group[i] = true
	}

	return group
}

// cost returns the estimated cost of an engine in ms.
func (c *OpeningCandidate) cost(cfg OpeningConfig, r OpeningRequest, rank int) float64 {
	ms := c.wait(cfg) + float64(c.Distance)/float64(time.Millisecond)
	ms += float64(r.Own) / cfg.PrefillTokensPerMs

	if rank > 0 {
		ms += notHomeCost + c.miss(cfg, r)
	}

	if rank >= 2 && r.Shared <= cfg.ShortTokens {
		ms += float64(min(rank, 4))
	}

	if c.InFlightTokens+r.tokens() > cfg.MemoryTokens {
		ms += overMemoryCost * float64(c.InFlightTokens+r.tokens()-cfg.MemoryTokens) / float64(max(r.tokens(), 1))
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
func (c *OpeningCandidate) miss(cfg OpeningConfig, r OpeningRequest) float64 {
	if r.Kept {
		return float64(r.Shared) / cfg.FetchTokensPerMs
	}

	return float64(r.Shared)/cfg.PrefillTokensPerMs + cfg.Miss*float64(r.Shared)/1000
}

// wait estimates the time before the engine starts on one more prompt: what this
// entry has there, and what waits there according to a report that fades with age.
func (c *OpeningCandidate) wait(cfg OpeningConfig) float64 {
	const reportHalfLife = 250 // ms; first events come within about that time

	fresh := math.Exp2(-float64(c.Age.Milliseconds()) / reportHalfLife)
	others := fresh * float64(max(c.Running+c.Waiting-c.InFlight, 0))
	requests := float64(c.InFlight) + others
	step := float64(cfg.Step) / float64(time.Millisecond)

	ms := float64(c.InFlightTokens) / cfg.PrefillTokensPerMs / 4
	ms += requests * step / 8
	ms += fresh * float64(c.Waiting) * step * 4

	if c.Slots > 0 && requests >= float64(c.Slots) {
		ms += (requests - float64(c.Slots) + 1) * step * 4
	}

	return ms
}
