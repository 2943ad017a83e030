package weights

import "time"

// Config configures Plan. Zero values get a default.
type Config struct {
	// MaxLoads is the maximum number of concurrent loads in one data centre. 2 when zero.
	MaxLoads int
	// MaxLoadsByDataCentre overrides MaxLoads for single data centres.
	MaxLoadsByDataCentre map[string]int
	// SettleTimeout is how long a new leader waits for lost engines to confirm its fence
	// before it orders in their data centre. It must be longer than an order can be in
	// flight. 10 s when zero.
	SettleTimeout time.Duration
	// OrderTimeout is how long an order counts as a load although the engine doesn't
	// report it. 30 s when zero.
	OrderTimeout time.Duration
	// CanaryPeriod is how long the first engine with a version must serve before the
	// others load it. 10 s when zero.
	CanaryPeriod time.Duration
	// FailureThreshold is the number of engines with a failed load of a version at which
	// its rollout stops. 2 when zero.
	FailureThreshold int
	// RetryAfter is the time after a failed load during which its engine isn't ordered
	// to load. 30 s when zero.
	RetryAfter time.Duration
}

func (c Config) withDefaults() Config {
	c.MaxLoads = orDefault(c.MaxLoads, 2)
	c.SettleTimeout = orDefault(c.SettleTimeout, 10*time.Second)
	c.OrderTimeout = orDefault(c.OrderTimeout, 30*time.Second)
	c.CanaryPeriod = orDefault(c.CanaryPeriod, 10*time.Second)
	c.FailureThreshold = orDefault(c.FailureThreshold, 2)
	c.RetryAfter = orDefault(c.RetryAfter, 30*time.Second)

	return c
}

func orDefault[T comparable](v, d T) T {
	var zero T
	if v == zero {
		return d
	}

	return v
}

// State is the state that an engine reports. The zero State is Ready.
type State uint8

// The values of State.
const (
	// Ready means that the engine serves, or would if it had weights.
	Ready State = iota
	// Loading means that the engine is loading.
	Loading
	// Leaving means that the engine drains and won't serve again.
	Leaving
)

// String returns the snake-case name of s.
func (s State) String() string {
	return [...]string{"ready", "loading", "leaving"}[min(s, Leaving)]
}

// Engine is the last reported state of one engine, and its pending order.
type Engine struct {
	// VM and DataCentre identify the engine.
	VM, DataCentre string
	// Model is the model that the engine serves.
	Model string
	// Version is the loaded weight version; empty for none.
	Version string
	// Adapters are the loaded adapters.
	Adapters []string
	// Role is the engine's role; empty for any work.
	Role string
	// State is the last reported state.
	State State
	// Since is when the engine reached State.
	Since time.Time
	// Lost is set if no report came for InventoryConfig.LostAfter.
	Lost bool
	// Running is the number of requests in flight.
	Running int
	// FailedVersion is the version that failed last, in a load or by a crash, empty
	// for none; FailedAt is when.
	FailedVersion string
	FailedAt      time.Time
	// Fence is the highest fencing number that the side process has confirmed.
	Fence uint64
	// Ordered is when the last order was sent that no report has confirmed yet; zero
	// for none.
	Ordered time.Time
}

// Wanted is the desired state that operators published for one model.
type Wanted struct {
	// Model is the name of the model.
	Model string
	// Version is the version that all its engines must have.
	Version string
	// Fallback is the version to load when Version fails; empty to stop instead.
	Fallback string
	// MinReady is the number of engines that must be ready at any time, with any
	// version. A rollout orders no load that would leave fewer.
	MinReady int
	// Adapters are the adapters that each engine must have.
	Adapters []string
	// Roles are the numbers of engines by role; the other engines have none.
	Roles []RoleCount
}

// RoleCount is the number of engines that must have a role.
type RoleCount struct {
	// Role is the name of the role.
	Role string
	// Count is the number of engines.
	Count int
}

// View is the input of Plan.
type View struct {
	// Wanted has one element for each model.
	Wanted []Wanted
	// Engines are all known engines, in any order.
	Engines []Engine
	// Fence is the fencing number of the leader's lease.
	Fence uint64
	// Number is the number of the last order sent.
	Number uint64
	// Since is when the lease was acquired.
	Since time.Time
}
