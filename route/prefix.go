package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixRequest is a prompt with a shared prefix, a prefix that other prompts have in common.
type PrefixRequest struct {
	// SharedPrefixID identifies the shared prefix. Prompts with the same one run best on an
	// engine that has prefilled it before.
	SharedPrefixID string
	// SharedTokens is the length of the shared prefix, OwnTokens that of the rest, in tokens.
	SharedTokens, OwnTokens int
	// OutputTokens is the maximum length of the answer in tokens.
	OutputTokens int
	// PrefixUnreported says that engines don't report whether they hold the prefix, because it
	// is too short; its home engine is then assumed to hold it.
	PrefixUnreported bool
	// Aim is the time within which the first event of the answer is on time.
	Aim time.Duration
}

// memoryTokens returns the KV cache memory that the request takes on an engine, in tokens.
func (r PrefixRequest) memoryTokens() int { return r.SharedTokens + r.OwnTokens + r.OutputTokens }

// PrefixCandidate is an engine, with the state known to the entry.
type PrefixCandidate struct {
	// Name is the VM name.
	Name string
	// Excluded is the reason why the engine gets no work; None when it may.
	Excluded Exclusion
	// Suspected says that the engine failed recently; it is chosen only when all
	// others are excluded or overloaded.
	Suspected bool
	// OldWeights says that the engine's weights are older than those that operators
	// published; its answers have less value.
	OldWeights bool
	// Running and Waiting are the numbers of its requests; Prefilling is the number of
	// running requests whose prompt is still in prefill.
	Running, Prefilling, Waiting int
	// SentTokens is the number of tokens to prefill of the requests sent there since
	// the load report.
	SentTokens int
	// UsedTokens is the memory that its requests hold, in tokens.
	UsedTokens int
	// HasPrefix says that the engine holds the shared prefix or is prefilling it.
	HasPrefix bool
	// PrefixFetchable says that a store or another engine holds the prefix for the engine's
	// weights, so that an engine without it fetches it instead of computing it.
	PrefixFetchable bool
	// FetchWait is the wait until the link to that holder is free, FetchTime the time that
	// the fetch then takes on it.
	FetchWait, FetchTime time.Duration
	// NewPrefix says that the prefix was most likely never computed for the engine's
	// weights: no store holds it, although one had free space.
	NewPrefix bool
	// Slots is the number of requests that the engine runs concurrently; no limit when zero.
	Slots int
	// RoundTrip is the round-trip time to the engine.
	RoundTrip time.Duration
	// Overrun is by how much the prompt is expected to run past the time at which the
	// engine is to load new weights.
	Overrun time.Duration
	// Slowdown is the factor by which work on the engine takes longer than usual; 1 when zero.
	Slowdown float64
	// HasBacklog says that Backlog and Leases are known. Backlog is the number of tokens that the
	// engine still has to prefill for the long prompts of all entries, and Leases is their number.
	HasBacklog      bool
	Backlog, Leases int
}

// PrefixConfig holds the measured properties of the engines and of recent prompts.
// Zero values get a default unless the field says otherwise.
type PrefixConfig struct {
	// TokensPerMs is the prefill speed of an engine; 50 when zero, the speed of the
	// slowest engines in use.
	TokensPerMs float64
	// PromptTokens is the usual number of tokens of a prompt that an engine has to
	// prefill; 1,000 when zero.
	PromptTokens float64
	// ShortPromptTokens is the same for prompts with less to prefill than usual, which
	// engines schedule first among those of equal priority; PromptTokens when zero.
	ShortPromptTokens float64
	// ShortPromptAim is the Aim of those prompts; when zero, no prompt is held in their favour.
	ShortPromptAim time.Duration
	// MemoryTokens is the capacity of an engine's KV cache in tokens; 70,000 when zero.
	MemoryTokens int
}

func (c PrefixConfig) withDefaults() PrefixConfig {
	c.TokensPerMs = orDefault(c.TokensPerMs, 50)
	c.PromptTokens = orDefault(c.PromptTokens, 1000)
	c.ShortPromptTokens = orDefault(c.ShortPromptTokens, c.PromptTokens)
	c.MemoryTokens = orDefault(c.MemoryTokens, 70_000)

	return c
}

// prefillMs returns the time in ms to prefill the given number of tokens.
func (c PrefixConfig) prefillMs(tokens int) float64 { return float64(tokens) / c.TokensPerMs }

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}

	return v
}

// PrefixDecision is the outcome of DecidePrefix.
type PrefixDecision struct {
	target    int
	home      int
	costMs    float64
	waitMs    float64
	admission Admission
}

// Found reports whether any engine can take the prompt.
func (d PrefixDecision) Found() bool { return d.target >= 0 }

// Target returns the index of the chosen engine, -1 when there is none.
func (d PrefixDecision) Target() int { return d.target }

// Home returns the index of the prefix's home engine, -1 when there is none.
func (d PrefixDecision) Home() int { return d.home }

// Cost returns the estimated cost in ms.
func (d PrefixDecision) Cost() float64 { return d.costMs }

// Admission returns whether to send the prompt now, to hold it or to refuse it.
func (d PrefixDecision) Admission() Admission { return d.admission }

// Wait returns how long the chosen engine is expected to work on other prompts first.
func (d PrefixDecision) Wait() time.Duration {
	return time.Duration(d.waitMs * float64(time.Millisecond))
}

// Penalties added to the estimated time.
const (
	// suspectCostMs keeps work away from an engine that failed recently unless all
	// other engines are overloaded.
	suspectCostMs = 3000
	// notHomeCostMs breaks ties in favour of the prefix's home engine.
	notHomeCostMs = 2
	// runningCostMs is the delay by each running request: it makes every step of the
	// engine slightly longer.
	runningCostMs = 0.5
	// recomputeFactor is the penalty for recomputing a prefix in addition to the time that
	// it takes, as a multiple of that time: all prompts that arrive meanwhile wait for it,
	// and it evicts other prefixes.
	recomputeFactor = 2
	// newPrefixFactor is the penalty for computing a new prefix on an engine other than
	// its home, as a part of the time that it takes: another request with the same prefix
	// may be in prefill on the home engine.
	newPrefixFactor = 0.2
	// oldWeightsFactor is the penalty for old weights, as a part of the aim. Old weights
	// remain allowed for a while and their contexts are cached, whereas a late answer
	// loses far more value; so the penalty only decides between engines with about the
	// same load.
	oldWeightsFactor = 0.02
)

// DecidePrefix returns the engine for a prompt with a shared prefix: the one with
// the least estimated time to the first event plus the penalty for computing the
// prefix where it isn't cached. Rendezvous hashing ranks the engines for each prefix,
// so that all entries agree on the first, the home engine, without communication;
// the home engine holds the prefix unless it has evicted it.
func DecidePrefix(cfg PrefixConfig, r PrefixRequest, candidates []PrefixCandidate) PrefixDecision {
	measured := cfg // admission uses measured values only, not defaults
	cfg = cfg.withDefaults()
	d := PrefixDecision{target: -1, home: homeIndex(r, candidates)}

	for i := range candidates {
		c := &candidates[i]
		if c.Excluded != None {
			continue
		}

		cost := c.totalCostMs(cfg, r, i == d.home)
		if d.target < 0 || cost < d.costMs {
			d.target, d.costMs, d.waitMs = i, cost, c.queueWaitMs(cfg, r)
			d.admission = measured.admit(r, d.Wait(), c.hasShortPrefill(cfg, r))
		}
	}

	return d
}

// homeIndex returns the index of the prefix's home engine, -1 when there is none.
func homeIndex(r PrefixRequest, candidates []PrefixCandidate) int {
	home, bestScore := -1, uint64(0)

	for i := range candidates {
		if score := xxhash.Sum64String(r.SharedPrefixID + "/" + candidates[i].Name); home < 0 || score > bestScore {
			home, bestScore = i, score
		}
	}

	return home
}

// totalCostMs returns the estimated cost of an engine in ms.
func (c *PrefixCandidate) totalCostMs(cfg PrefixConfig, r PrefixRequest, home bool) float64 {
	ms := c.queueWaitMs(cfg, r) + float64(c.RoundTrip)/float64(time.Millisecond) + c.prefillMs(cfg, r.OwnTokens)

	if !home {
		ms += notHomeCostMs
	}

	if cached := c.HasPrefix || (home && r.PrefixUnreported); !cached {
		ms += c.missCostMs(cfg, r, home)
	}

	if excess := c.UsedTokens + r.memoryTokens() - cfg.MemoryTokens; excess > 0 {
		ms += (1 + recomputeFactor) * c.prefillMs(cfg, excess)
	}

	if c.OldWeights {
		ms += oldWeightsFactor * float64(r.Aim) / float64(time.Millisecond)
	}

	// An engine that is to load new weights waits for its last request to end and starts
	// no other until then.
	ms += float64(c.Overrun) / float64(time.Millisecond)

	if c.Suspected {
		ms += suspectCostMs
	}

	return ms
}

// missCostMs returns the cost in ms of an engine not holding the prefix.
func (c *PrefixCandidate) missCostMs(cfg PrefixConfig, r PrefixRequest, home bool) float64 {
	switch {
	case c.PrefixFetchable:
		return float64(c.FetchWait+c.FetchTime) / float64(time.Millisecond)
	case c.NewPrefix && home:
		return 0
	case c.NewPrefix:
		return newPrefixFactor * c.prefillMs(cfg, r.SharedTokens)
	}

	return (1 + recomputeFactor) * c.prefillMs(cfg, r.SharedTokens)
}

// hasShortPrefill reports whether the prompt has at most the usual number of tokens
// to prefill on the engine.
func (c *PrefixCandidate) hasShortPrefill(cfg PrefixConfig, r PrefixRequest) bool {
	missing := r.OwnTokens
	if !c.HasPrefix && !c.PrefixFetchable {
		missing += r.SharedTokens
	}

	return float64(missing) <= cfg.PromptTokens
}

// queueWaitMs estimates the time in ms before the engine starts one more prompt. Engines
// prefill the prompts queued before it in chunks, one prompt after the other.
func (c *PrefixCandidate) queueWaitMs(cfg PrefixConfig, r PrefixRequest) float64 {
	waiting := cfg.PromptTokens
	if c.hasShortPrefill(cfg, r) {
		waiting = cfg.ShortPromptTokens
	}

	ms := c.queuedTokens(cfg, waiting)/cfg.TokensPerMs + float64(c.Running)*runningCostMs

	if c.Slots > 0 && c.Running >= c.Slots {
		ms += float64(c.Running-c.Slots+1) * cfg.PromptTokens / cfg.TokensPerMs
	}

	return ms * c.slowdown()
}

// prefillMs returns the time in ms in which the engine prefills the given number of tokens at its
// present speed.
func (c *PrefixCandidate) prefillMs(cfg PrefixConfig, tokens int) float64 {
	return cfg.prefillMs(tokens) * c.slowdown()
}

// slowdown returns Slowdown, or 1 when it is zero.
func (c *PrefixCandidate) slowdown() float64 { return orDefault(c.Slowdown, 1) }
