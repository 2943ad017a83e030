package weights

// Kind is the kind of an order, as named in the engines' protocol.
type Kind string

// The kinds of orders.
const (
	// LoadWeights loads a weight version.
	LoadWeights Kind = "load_weights"
	// LoadAdapter loads an adapter.
	LoadAdapter Kind = "load_adapter"
	// SetRole changes the engine's role.
	SetRole Kind = "set_role"
	// AnnounceFence makes the side process record the fencing number; it has no
	// effect on the engine.
	AnnounceFence Kind = "announce_fence"
)

// Order is an order to an engine, sent to its side process.
type Order struct {
	// VM is the engine's VM.
	VM string
	// Fence is the fencing number of the leader's lease, and Number is the number of
	// the order, which rises with each order of a leader.
	Fence, Number uint64
	// Kind determines which of the fields below are used.
	Kind Kind
	// Model, Version, Adapter and Role name what to load or the role to take.
	Model, Version, Adapter, Role string
}

// Halt is the reason why a model's rollout doesn't proceed.
type Halt uint8

// The values of Halt. If several hold engines of a model back, Plan reports the highest.
const (
	// NoHalt means that the rollout proceeds or is done.
	NoHalt Halt = iota
	// Settling means that the fencing number isn't confirmed yet by every engine of
	// a data centre.
	Settling
	// Trying means that the canary engine is loading the version or has not yet
	// served with it for Config.CanaryPeriod.
	Trying
	// TooFewReady means that a load would leave fewer ready engines than
	// Wanted.MinReady.
	TooFewReady
	// LoadsFull means that the maximum number of concurrent loads is running.
	LoadsFull
	// VersionFailed means that loads of the version failed on too many engines, and
	// there is no fallback.
	VersionFailed
	// EnginesLost means that remaining engines are lost, or that their last load
	// failed less than Config.RetryAfter ago.
	EnginesLost
)

// String returns the snake-case name of h.
func (h Halt) String() string {
	return [...]string{"none", "settling", "trying", "too_few_ready", "loads_full", "version_failed", "engines_lost"}[min(h, EnginesLost)]
}

// Progress is the progress of one model's rollout.
type Progress struct {
	// Model is the name of the model.
	Model string
	// Version is the version being rolled out: the wanted one, or its fallback.
	Version string
	// FellBack is set if the wanted version failed and Version is the fallback.
	FellBack bool
	// Done, Loading, Left and Ready are numbers of engines: with the version, with a
	// load of any kind, without the version, and ready with any version. Draining
	// engines aren't counted.
	Done, Loading, Left, Ready int
	// Halt is the reason why no load was ordered although engines are left.
	Halt Halt
}

// Result is what Plan returns.
type Result struct {
	// Orders are the orders to send now, in this order.
	Orders []Order
	// Progress has one element for each model, in the order of View.Wanted.
	Progress []Progress
}
