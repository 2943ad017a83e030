package route

import "time"

// Config holds the weights and parameters of a decision. Zero fields get defaults.
type Config struct {
	// FirstTokenWeight is the cost of one second of time to first token; 1 when both
	// weights are zero.
	FirstTokenWeight float64
	// RecomputedWeight is the cost of one second of prefill for tokens that were
	// computed before.
	RecomputedWeight float64
	// LoadUncertainty is the largest relative error of an estimated queue wait per second
	// of age of the load report; 1 when zero.
	LoadUncertainty float64
	// ContextHalfLife is the time after which half of the engines that were last
	// reported to hold a context have evicted it; 10 minutes when zero.
	ContextHalfLife time.Duration
	// Interference is the relative slowdown of prefill by a full batch of decoding
	// requests; 0.5 when zero.
	Interference float64
}

// Defaults of Config.
const (
	defaultLoadUncertainty = 1
	defaultContextHalfLife = 10 * time.Minute
	defaultInterference    = 0.5
)

func (c Config) withDefaults() Config {
	if c.FirstTokenWeight <= 0 && c.RecomputedWeight <= 0 {
		c.FirstTokenWeight = 1
	}

	if c.LoadUncertainty <= 0 {
		c.LoadUncertainty = defaultLoadUncertainty
	}

	if c.ContextHalfLife <= 0 {
		c.ContextHalfLife = defaultContextHalfLife
	}

	if c.Interference <= 0 {
		c.Interference = defaultInterference
	}

	return c
}
