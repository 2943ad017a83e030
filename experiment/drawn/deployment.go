// Package drawn plays the decision on where a prompt goes (route.DecideOpening, with
// what package profile learns) on deployments drawn from a seed, in virtual time.
//
// # Model
//
// A decision that was measured on a few known deployments may fit those alone. Here
// deployments differ in all that nobody tells: how fast engines read, how long prompts
// are and how many kinds there are, how much memory engines have, how much comes. One
// seed gives one deployment and one load, and each policy plays the same load.
//
// An engine takes prompts in order of rank and arrival while its memory holds them,
// reads them in pieces between the steps in which all others generate, and keeps openings
// in what memory is left, dropping the least recently used. Entries see an engine through
// pulses, a tenth of a second apart. There are no stores, no weights and no faults.
//
// # Example
//
//	d := drawn.Draw(7)
//	r := drawn.Play(d, drawn.Decide, 7)
//	fmt.Println(r.OnTime(), r.ReadAgain)
package drawn

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is one kind of prompt.
type Kind struct {
	// Shared and Own are the mean lengths in tokens of its opening and of the rest.
	Shared, Own float64
	// Sessions is how many openings there are.
	Sessions int
	// Steps is how many steps its answer takes on the mean.
	Steps float64
	// Share is its part of the prompts.
	Share float64
	// Aim is the time within which its first event is on time.
	Aim time.Duration
}

// Deployment is a fleet and what comes to it.
type Deployment struct {
	// Engines and Entries are how many there are.
	Engines, Entries int
	// TokensPerMs is how fast the slowest engine reads; others are up to Spread faster.
	TokensPerMs, Spread float64
	// Step is how long a step takes in which one answer is generated.
	Step time.Duration
	// Memory is an engine's, in tokens.
	Memory int
	// Kinds are the prompts.
	Kinds []Kind
	// PerS is how many prompts come in a second, twice as many at times.
	PerS float64
}

// Bounds of what is drawn. The known deployments have 9 to 47 engines that read 51 to 157
// tokens a ms, steps of 3.5 to 5 ms, memory for 4 to 15 of their longest prompts, and two
// kinds of prompts with openings of 300 to 12,800 tokens.
const (
	leastEngines, mostEngines = 4, 24
	leastRate, mostRate       = 20.0, 300.0
	leastFits, mostFits       = 3.0, 40.0
	leastShared, mostShared   = 100.0, 30_000.0
	leastLoad, mostLoad       = 0.2, 0.9
	mostKinds                 = 4
)

// Draw returns the deployment of a seed.
func Draw(seed uint64) Deployment {
	r := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a model's, and the same each time
	d := Deployment{
		Engines: leastEngines + r.IntN(mostEngines-leastEngines+1), Entries: 2 + r.IntN(7),
		TokensPerMs: between(r, leastRate, mostRate), Spread: 0.3 * r.Float64(),
		Step: time.Duration(between(r, 3, 9) * float64(time.Millisecond)),
	}

	longest := 0.0

	for range 1 + r.IntN(mostKinds) {
		k := Kind{
			Shared: between(r, leastShared, mostShared), Sessions: int(between(r, 30, 2000)),
			Steps: between(r, 3, 300), Share: 0.1 + r.Float64(),
		}
		k.Own = k.Shared * between(r, 0.1, 0.6)
		longest = max(longest, k.Shared+k.Own)

		// Callers expect what an engine alone can do, and some time besides.
		reading := (k.Shared + k.Own) / d.TokensPerMs
		k.Aim = time.Duration((150 + 2.5*reading) * float64(time.Millisecond))
		d.Kinds = append(d.Kinds, k)
	}

	d.Memory = int(longest * between(r, leastFits, mostFits))
	d.PerS = d.rate(between(r, leastLoad, mostLoad))

	return d
}

// between draws a number whose logarithm is evenly spread.
func between(r *rand.Rand, least, most float64) float64 {
	return least * math.Exp(r.Float64()*math.Log(most/least))
}

// openingsRead is the part of the openings that are taken to be read anew.
const openingsRead = 0.3

// rate returns how many prompts a second make up a part of what the fleet can read, or
// hold in memory if that is less.
func (d Deployment) rate(load float64) float64 {
	shares, tokens, held := 0.0, 0.0, 0.0

	for _, k := range d.Kinds {
		shares += k.Share
		tokens += k.Share * (k.Own + openingsRead*k.Shared)
		held += k.Share * (k.Own + k.Shared) * 2 * k.Steps * d.Step.Seconds()
	}

	reads := float64(d.Engines) * d.TokensPerMs * 1000 / (tokens / shares)
	holds := float64(d.Engines*d.Memory) / (held / shares)

	return load * min(reads, holds)
}
