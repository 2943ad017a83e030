package route

import "time"

// Config weighs a decision. Zero fields take their defaults.
type Config struct {
	// FirstTokenWeight is the cost of one second until the first token; 1 when
	// both weights are zero.
	FirstTokenWeight float64
	// RecomputedWeight is the cost of one second of prefill for tokens that
	// were computed before.
	RecomputedWeight float64
	// LoadDoubt is by how much an estimated wait may be wrong for each second
	// of the load report's age, as a part of it; 1 when zero.
	LoadDoubt float64
	// BeliefHalfLife is after how long half of the beliefs that an engine has
	// a context are wrong; 10 minutes when zero.
	BeliefHalfLife time.Duration
	// Interference is by how much a full batch that decodes slows prefill
	// down, as a part of it; 0.5 when zero.
	Interference float64
}

// The defaults of Config.
const (
	defaultLoadDoubt      = 1
	defaultBeliefHalfLife = 10 * time.Minute
	defaultInterference   = 0.5
)

func (c Config) withDefaults() Config {
	if c.FirstTokenWeight <= 0 && c.RecomputedWeight <= 0 {
		c.FirstTokenWeight = 1
	}

	if c.LoadDoubt <= 0 {
		c.LoadDoubt = defaultLoadDoubt
	}

	if c.BeliefHalfLife <= 0 {
		c.BeliefHalfLife = defaultBeliefHalfLife
	}

	if c.Interference <= 0 {
		c.Interference = defaultInterference
	}

	return c
}
