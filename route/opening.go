package route

import (
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
	// Untold says that engines don't tell whether they have the opening, as it is
	// short; its first engine is then taken to have it.
	Untold bool
	// Aim is the time within which the first event is on time.
	Aim time.Duration
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
	// Running and Waiting are its requests; Reading are those of Running whose prompt
	// is still being read.
	Running, Reading, Waiting int
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
	// Overrun is how much longer the prompt is expected to run than until the engine
	// is to load new weights.
	Overrun time.Duration
}

// OpeningConfig says what is known of the engines and of the prompts that come. Zero
// values get a default.
type OpeningConfig struct {
	// TokensPerMs is how fast an engine reads a prompt: 50 when zero, the slowest of
	// the engines in use.
	TokensPerMs float64
	// PromptTokens is how much of a prompt an engine usually has to read: 1,000 when
	// zero.
	PromptTokens float64
	// QuickTokens is the same of the prompts that have less to read than usual, which
	// engines take first among equals: PromptTokens when zero.
	QuickTokens float64
	// QuickAim is the aim of those prompts; nothing is held for them when zero.
	QuickAim time.Duration
	// MemoryTokens is how many tokens an engine's memory holds: 70,000 when zero.
	MemoryTokens int
}

func (c OpeningConfig) withDefaults() OpeningConfig {
	c.TokensPerMs = orDefault(c.TokensPerMs, 50)
	c.PromptTokens = orDefault(c.PromptTokens, 1000)
	c.QuickTokens = orDefault(c.QuickTokens, c.PromptTokens)
	c.MemoryTokens = orDefault(c.MemoryTokens, 70_000)

	return c
}

// reading returns the ms that reading so many tokens takes.
func (c OpeningConfig) reading(tokens int) float64 { return float64(tokens) / c.TokensPerMs }

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
	wait   float64
	pace   Pace
}

// Found reports whether any engine can take the prompt.
func (d OpeningDecision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen engine, -1 when there is none.
func (d OpeningDecision) Target() int { return d.target }

// Home returns the index of the opening's first engine, -1 when there is none.
func (d OpeningDecision) Home() int { return d.home }

// Cost returns the estimated cost in ms.
func (d OpeningDecision) Cost() float64 { return d.cost }

// Pace returns whether the prompt is to be sent now.
func (d OpeningDecision) Pace() Pace { return d.pace }

// Wait returns how long the chosen engine is expected to read other prompts first.
func (d OpeningDecision) Wait() time.Duration {
	return time.Duration(d.wait * float64(time.Millisecond))
}

// Costs beside time.
const (
	// suspectCost, in ms, keeps work from an engine that failed of late while any
	// other is not overloaded.
	suspectCost = 3000
	// notHomeCost, in ms, breaks ties in favour of the opening's first engine.
	notHomeCost = 2
	// runningCost, in ms, is what a request takes that generates: it makes each step
	// a little longer.
	runningCost = 0.5
	// againFactor is what reading an opening again costs beyond its time, in parts of
	// that time: all who come meanwhile wait for it, and it pushes other openings out.
	againFactor = 2
	// newFactor is what reading a new opening at another engine than its first costs,
	// in parts of its time: another request with it may just be read there.
	newFactor = 0.2
	// oldFactor is what answering on old weights costs, in parts of the aim. They may be
	// used for a while, their contexts are warm, and a late answer loses far more; so it
	// decides among engines that are about as free.
	oldFactor = 0.02
)

// DecideOpening returns the engine for a prompt: the least estimated time to its
// first event plus the cost of reading its opening where it isn't. Each opening
// has an order of engines, by rendezvous hashing, that all entries agree on
// without talking; its first engine holds it unless it was evicted.
func DecideOpening(cfg OpeningConfig, r OpeningRequest, candidates []OpeningCandidate) OpeningDecision {
	known := cfg // the pace goes by what was learned alone
	cfg = cfg.withDefaults()
	d := OpeningDecision{target: -1, home: home(r, candidates)}

	for i := range candidates {
		c := &candidates[i]
		if c.Excluded != None {
			continue
		}

		cost := c.cost(cfg, r, i == d.home)
		if d.target < 0 || cost < d.cost {
			d.target, d.cost, d.wait = i, cost, c.wait(cfg, r)
			d.pace = known.pace(r, d.Wait(), c.quick(cfg, r))
		}
	}

	return d
}

// home returns the index of the opening's first engine, -1 when there is none.
func home(r OpeningRequest, candidates []OpeningCandidate) int {
	first, best := -1, uint64(0)

	for i := range candidates {
		if score := xxhash.Sum64String(r.Opening + "/" + candidates[i].Name); first < 0 || score > best {
			first, best = i, score
		}
	}

	return first
}

// cost returns the estimated cost of an engine in ms.
func (c *OpeningCandidate) cost(cfg OpeningConfig, r OpeningRequest, home bool) float64 {
	ms := c.wait(cfg, r) + float64(c.Distance)/float64(time.Millisecond) + cfg.reading(r.Own)

	if !home {
		ms += notHomeCost
	}

	if there := c.Has || (home && r.Untold); !there {
		ms += c.miss(cfg, r, home)
	}

	if over := c.UsedTokens + r.tokens() - cfg.MemoryTokens; over > 0 {
		ms += (1 + againFactor) * cfg.reading(over)
	}

	if c.Old {
		ms += oldFactor * float64(r.Aim) / float64(time.Millisecond)
	}

	// An engine that is to load waits for its last run, and nothing else begins there.
	ms += float64(c.Overrun) / float64(time.Millisecond)

	if c.Suspected {
		ms += suspectCost
	}

	return ms
}

// miss is what it costs that an engine has to get the opening.
func (c *OpeningCandidate) miss(cfg OpeningConfig, r OpeningRequest, home bool) float64 {
	switch {
	case c.Kept:
		return float64(c.FetchWait+c.Fetch) / float64(time.Millisecond)
	case c.New && home:
		return 0
	case c.New:
		return newFactor * cfg.reading(r.Shared)
	}

	return (1 + againFactor) * cfg.reading(r.Shared)
}

// quick reports whether the prompt has less to read on the engine than usual.
func (c *OpeningCandidate) quick(cfg OpeningConfig, r OpeningRequest) bool {
	unread := r.Own
	if !c.Has && !c.Kept {
		unread += r.Shared
	}

	return float64(unread) <= cfg.PromptTokens
}

// wait estimates the time before the engine starts on one more prompt: the prompts
// before it are read in pieces, one after the other.
func (c *OpeningCandidate) wait(cfg OpeningConfig, r OpeningRequest) float64 {
	waiting := cfg.PromptTokens
	if c.quick(cfg, r) {
		waiting = cfg.QuickTokens
	}

	before := float64(c.Reading)*cfg.PromptTokens + float64(c.Waiting)*waiting + float64(c.SentTokens)
	ms := before/cfg.TokensPerMs + float64(c.Running)*runningCost

	if c.Slots > 0 && c.Running >= c.Slots {
		ms += float64(c.Running-c.Slots+1) * cfg.PromptTokens / cfg.TokensPerMs
	}

	return ms
}
