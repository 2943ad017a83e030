package experiment

import (
	"fmt"
	"time"
)

// Policy is a way to choose an engine. The zero Policy is Ours.
type Policy uint8

// The policies.
const (
	// Ours is the decision code of the daemons.
	Ours Policy = iota
	// RoundRobin takes the engines in turn.
	RoundRobin
	// LeastLoaded takes the engine with the fewest requests.
	LeastLoaded
	// StickyPrefix takes the engine that rendezvous hashing gives for the
	// context, or the next one when it has more than its share of requests.
	StickyPrefix
	// Clairvoyant is Ours with the truth in place of beliefs: loads and caches
	// as they are, exports that cost nothing, imports that never meet another
	// transfer, stores that drop what returns last.
	Clairvoyant
	policies int = iota
)

// String returns the snake-case name of p.
func (p Policy) String() string {
	return [...]string{"ours", "round_robin", "least_loaded", "sticky_prefix", "clairvoyant"}[p]
}

// Policies returns all policies in order.
func Policies() []Policy {
	all := make([]Policy, policies)
	for i := range all {
		all[i] = Policy(i)
	}

	return all
}

// Without switches one idea of Ours off. The zero Without leaves all on.
type Without uint8

// The ideas that can be switched off.
const (
	// Nothing leaves all ideas on.
	Nothing Without = iota
	// Stores parks nothing, so that nothing is imported from stores.
	Stores
	// EngineImports imports from stores only.
	EngineImports
	// Windows starts each transfer at once in place of its promised window.
	Windows
	// GivingUp waits for each import to its end, however slow.
	GivingUp
	// Measuring takes links for as fast as they are at their best.
	Measuring
	// Busy overlooks the chunk of a less pressing prefill that runs.
	Busy
	// Gates lets every request in, whatever its organisation's rate.
	Gates
	// Doubt takes old load reports at their word.
	Doubt
	// OwnSent forgets what the entry sent since the last load report.
	OwnSent
	// Classes counts the whole queue of an engine, whatever its classes.
	Classes
	// ParkWeighing parks everything that is long enough.
	ParkWeighing
	// ValueEviction lets stores drop the copy that was longest not used.
	ValueEviction
	// Segments copies the whole context at each visit, not what was added.
	Segments
	// OwnLinks lets all entries know all that is promised on links.
	OwnLinks
	// RecomputedWeight weighs time to first token only.
	RecomputedWeight
	withouts int = iota
)

// String returns the snake-case name of x.
func (x Without) String() string {
	return [...]string{
		"nothing", "stores", "engine_imports", "windows", "giving_up", "measuring", "busy", "gates", "doubt", "own_sent", "classes",
		"park_weighing", "value_eviction", "segments", "own_links",
		"recomputed_weight",
	}[x]
}

// Withouts returns all ideas that can be switched off, in order.
func Withouts() []Without {
	all := make([]Without, withouts)
	for i := range all {
		all[i] = Without(i)
	}

	return all
}

// Fault is one thing that goes wrong in the middle of a run. The zero Fault is None.
type Fault uint8

// The faults.
const (
	// None lets all go well.
	None Fault = iota
	// StoreLost loses the first store with all its copies, for good.
	StoreLost
	// LinkTenth slows all links to a tenth for FaultLength.
	LinkTenth
	// DataCentreCut cuts the last data centre from the others for FaultLength.
	DataCentreCut
	// EventsLost loses all cache events for FaultLength.
	EventsLost
	// LoadOld lets load reports be five seconds old throughout.
	LoadOld
	// Tenfold lets one small organisation send tenfold for FaultLength.
	Tenfold
	// WeightSwap brings a new weight version to all engines.
	WeightSwap
	faults int = iota
)

// FaultLength is how long a fault lasts that passes.
const FaultLength = time.Minute

// String returns the snake-case name of f.
func (f Fault) String() string {
	return [...]string{
		"none", "store_lost", "link_tenth", "data_centre_cut", "events_lost", "load_old", "tenfold", "weight_swap",
	}[f]
}

// Faults returns all faults in order.
func Faults() []Fault {
	all := make([]Fault, faults)
	for i := range all {
		all[i] = Fault(i)
	}

	return all
}

// named returns the one of all with the given name.
func named[T fmt.Stringer](all []T, name string) (T, error) {
	for _, x := range all {
		if x.String() == name {
			return x, nil
		}
	}

	var zero T

	return zero, fmt.Errorf("no %q; there are %v", name, all)
}
