// Package drawn simulates the choice of an engine for a prompt (route.DecidePrefix,
// with what package profile learns) on randomly drawn deployments.
//
// # Model
//
// A decision that was tuned on a few known deployments may fit those alone. Here
// deployments differ in everything that is not configured: the prefill rate of engines,
// the number of kinds of prompts and their lengths, the memory of engines and the load.
// A seed determines a deployment and a load, and each policy gets the same load.
//
// An engine admits prompts in order of rank and arrival while its memory holds them. In
// each step it prefills at most one chunk while all other prompts decode. It keeps shared
// prefixes in the remaining memory, evicting the least recently used. Entries know the
// load of an engine from load reports at an interval of 100 ms, and its cached prefixes
// without delay. There are no stores, no loads of weights and no faults.
//
// # Example
//
//	d := drawn.Draw(7)
//	r := drawn.Simulate(d, drawn.Decide, 7)
//	fmt.Println(r.OnTime(), r.RecomputedTokens)
package drawn

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind describes a kind of prompt.
type Kind struct {
	// SharedTokens and OwnTokens are the mean lengths of the shared prefix and of the rest.
	SharedTokens, OwnTokens float64
	// Prefixes is the number of different shared prefixes.
	Prefixes int
	// DecodeSteps is the mean number of steps that an answer takes.
	DecodeSteps float64
	// Share is its fraction of the prompts, relative to the sum over all kinds.
	Share float64
	// FirstEventLimit is the time after arrival within which the first event is on time.
	FirstEventLimit time.Duration
}

// Deployment describes a fleet of engines and its load.
type Deployment struct {
	// Engines and Entries are the numbers of engines and entries.
	Engines, Entries int
	// TokensPerMs is the prefill rate of the slowest engines. The others are faster by up
	// to the fraction Spread.
	TokensPerMs, Spread float64
	// Step is the duration of a step without its prefill and without the time added for
	// each answer.
	Step time.Duration
	// MemoryTokens is the memory of an engine.
	MemoryTokens int
	// Kinds are the kinds of prompts.
	Kinds []Kind
	// PromptsPerSecond is the mean arrival rate, around which the load oscillates.
	PromptsPerSecond float64
}

// Bounds of the drawn parameters. The known deployments have 9 to 47 engines that prefill 51
// to 157 tokens per ms, steps of 3.5 to 5 ms, memory for 4 to 15 of their longest prompts,
// and two kinds of prompts with shared prefixes of 300 to 12,800 tokens.
const (
	minEngines, maxEngines                 = 4, 24
	minTokensPerMs, maxTokensPerMs         = 20.0, 300.0
	minPromptsInMemory, maxPromptsInMemory = 3.0, 40.0
	minSharedTokens, maxSharedTokens       = 100.0, 30_000.0
	minLoad, maxLoad                       = 0.2, 0.9
	maxKinds                               = 4
)

// Draw returns the deployment of a seed. The same seed gives the same deployment.
func Draw(seed uint64) Deployment {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a simulation needs reproducible numbers
	d := Deployment{
		Engines: minEngines + r.IntN(maxEngines-minEngines+1), Entries: 2 + r.IntN(7),
		TokensPerMs: logUniform(r, minTokensPerMs, maxTokensPerMs), Spread: 0.3 * r.Float64(),
		Step: time.Duration(logUniform(r, 3, 9) * float64(time.Millisecond)),
	}

	longestPrompt := 0.0

	for range 1 + r.IntN(maxKinds) {
		k := Kind{
			SharedTokens: logUniform(r, minSharedTokens, maxSharedTokens), Prefixes: int(logUniform(r, 30, 2000)),
			DecodeSteps: logUniform(r, 3, 300), Share: 0.1 + r.Float64(),
		}
		k.OwnTokens = k.SharedTokens * logUniform(r, 0.1, 0.6)
		longestPrompt = max(longestPrompt, k.SharedTokens+k.OwnTokens)

		// Callers expect 2.5 times the prefill time of an idle engine, and 150 ms besides.
		prefillMs := (k.SharedTokens + k.OwnTokens) / d.TokensPerMs
		k.FirstEventLimit = time.Duration((150 + 2.5*prefillMs) * float64(time.Millisecond))
		d.Kinds = append(d.Kinds, k)
	}

	d.MemoryTokens = int(longestPrompt * logUniform(r, minPromptsInMemory, maxPromptsInMemory))
	d.PromptsPerSecond = d.promptRate(logUniform(r, minLoad, maxLoad))

	return d
}

// logUniform draws a number between low and high whose logarithm is uniformly distributed.
func logUniform(r *rand.Rand, low, high float64) float64 {
	return low * math.Exp(r.Float64()*math.Log(high/low))
}

// prefixMissShare is the assumed fraction of prompts whose shared prefix must be prefilled.
const prefixMissShare = 0.3

// promptRate returns the prompts per second that are the fraction load of what the fleet can
// prefill, or of what it can hold in memory if that is less.
func (d Deployment) promptRate(load float64) float64 {
	shares, tokens, tokenSeconds := 0.0, 0.0, 0.0

	for _, k := range d.Kinds {
		shares += k.Share
		tokens += k.Share * (k.OwnTokens + prefixMissShare*k.SharedTokens)
		tokenSeconds += k.Share * (k.OwnTokens + k.SharedTokens) * 2 * k.DecodeSteps * d.Step.Seconds()
	}

	prefillBound := float64(d.Engines) * d.TokensPerMs * 1000 / (tokens / shares)
	memoryBound := float64(d.Engines*d.MemoryTokens) / (tokenSeconds / shares)

	return load * min(prefillBound, memoryBound)
}
