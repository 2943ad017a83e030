package weights

import "time"

// Config configures Plan. Zero values get a default.
type Config struct {
	// Loads is how many loads may run at once in one data centre. 2 when zero.
	Loads int
	// DataCentreLoads overrides Loads by data centre.
	DataCentreLoads map[string]int
	// Settle is how long a new leader waits for engines that aren't heard, before
	// it orders in their data centre. It must be longer than an order can be under
	// way. 10 s when zero.
	Settle time.Duration
	// OrderPatience is how long a given order counts as a load though the engine
	// doesn't show it. 30 s when zero.
	OrderPatience time.Duration
	// Trial is how long the first engine of a version serves before the others follow. 10 s when zero.
	Trial time.Duration
	// Failures is on how many engines a version's load may fail before its roll stops. 2 when zero.
	Failures int
	// RetryAfter is how long an engine whose load failed is left alone. 30 s when zero.
	RetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	c.Loads = or(c.Loads, 2)
	c.Settle = or(c.Settle, 10*time.Second)
	c.OrderPatience = or(c.OrderPatience, 30*time.Second)
	c.Trial = or(c.Trial, 10*time.Second)
	c.Failures = or(c.Failures, 2)
	c.RetryAfter = or(c.RetryAfter, 30*time.Second)

	return c
}

func or[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}

	return v
}

// State is what an engine says of itself. The zero State is Ready.
type State uint8

// The states.
const (
	// Ready means that it serves, or would if it had weights.
	Ready State = iota
	// Loading means that it loads.
	Loading
	// Leaving means that it drains for good.
	Leaving
)

// String returns the snake-case name of s.
func (s State) String() string {
	return [...]string{"ready", "loading", "leaving"}[min(s, Leaving)]
}

// Engine is what one engine last said, and what was ordered of it.
type Engine struct {
	// VM and DataCentre say which.
	VM, DataCentre string
	// Model is the model that it serves.
	Model string
	// Version is the weight version loaded; empty for none.
	Version string
	// Adapters are those loaded.
	Adapters []string
	// Role is its role; empty for any work.
	Role string
	// State is its state.
	State State
	// Since is when it reached State.
	Since time.Time
	// Lost says that it was not heard lately.
	Lost bool
	// Running is how many requests it runs.
	Running int
	// FailedVersion is the version whose load failed last; FailedAt is when.
	FailedVersion string
	FailedAt      time.Time
	// Fence is the highest fencing number that its side process has confirmed.
	Fence uint64
	// Ordered is when it was last given an order that it has not answered for;
	// zero for none.
	Ordered time.Time
}

// Wanted is what operators published for one model.
type Wanted struct {
	// Model is the model.
	Model string
	// Version is the version that all its engines shall have.
	Version string
	// Fallback is the version to go back to when Version fails; empty to stop instead.
	Fallback string
	// MinReady is how many engines must be ready at any time, whatever their
	// version. A roll takes none out that is needed for it.
	MinReady int
	// Adapters are those that each engine shall have.
	Adapters []string
	// Roles says how many engines shall have a role; the rest have none.
	Roles []RoleCount
}

// RoleCount is how many engines shall have a role.
type RoleCount struct {
	// Role is the role's name.
	Role string
	// Count is the number of engines.
	Count int
}

// View is all that Plan looks at.
type View struct {
	// Wanted is by model.
	Wanted []Wanted
	// Engines are all engines, in any order.
	Engines []Engine
	// Fence is the fencing number of the lease under which orders are given.
	Fence uint64
	// Number is the number of the last order given.
	Number uint64
	// Since is when the lease was got.
	Since time.Time
}
