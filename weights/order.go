package weights

// Kind is what an order asks for, in the words of the engines' protocol.
type Kind string

// The kinds.
const (
	// LoadWeights loads a weight version.
	LoadWeights Kind = "load_weights"
	// LoadAdapter loads an adapter.
	LoadAdapter Kind = "load_adapter"
	// SetRole changes the role.
	SetRole Kind = "set_role"
	// AnnounceFence asks the side process to remember the fencing number, and
	// nothing of the engine.
	AnnounceFence Kind = "announce_fence"
)

// Order is one order to an engine, through its side process.
type Order struct {
	// VM is the engine's VM.
	VM string
	// Fence is the fencing number, and Number counts the orders given under it.
	Fence, Number uint64
	// Kind says which of the fields below count.
	Kind Kind
	// Model, Version, Adapter and Role are what to load or to be.
	Model, Version, Adapter, Role string
}

// Halt is why a model's roll does not go on.
type Halt uint8

// The halts.
const (
	// NoHalt means that the roll goes on or is done.
	NoHalt Halt = iota
	// Settling means that the fencing number is not confirmed everywhere yet.
	Settling
	// Trying means that the first engine's trial is not over.
	Trying
	// TooFewReady means that no engine can be spared.
	TooFewReady
	// LoadsFull means that as many loads run as may.
	LoadsFull
	// VersionFailed means that the version's loads failed, and there is no fallback.
	VersionFailed
	// EnginesLost means that the engines left to do are not heard, or failed just now.
	EnginesLost
)

// String returns the snake-case name of h.
func (h Halt) String() string {
	return [...]string{"none", "settling", "trying", "too_few_ready", "loads_full", "version_failed", "engines_lost"}[min(h, EnginesLost)]
}

// Progress is how far one model's roll is.
type Progress struct {
	// Model is the model.
	Model string
	// Version is the version aimed at: the wanted one, or its fallback.
	Version string
	// FellBack says that the wanted version failed and Version is the fallback.
	FellBack bool
	// Done, Loading, Left and Ready count engines: with the version, loading
	// anything, still to do, and ready with any version.
	Done, Loading, Left, Ready int
	// Halt is why nothing was ordered though something is left.
	Halt Halt
}

// Result is what Plan returns.
type Result struct {
	// Orders are to be given now.
	Orders []Order
	// Progress is by model, in the order of View.Wanted.
	Progress []Progress
}
