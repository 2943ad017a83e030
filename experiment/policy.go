package experiment

import (
	"fmt"
	"time"
)

// Policy decides which engine gets a request. The zero Policy is Boragehub.
type Policy uint8

// The policies, with the names of String where these differ.
const (
	// Boragehub ("ours") is the decision code of the daemons.
	Boragehub Policy = iota
	// RoundRobin chooses the engines in turn.
	RoundRobin
	// LeastLoaded chooses the engine with the fewest known requests.
	LeastLoaded
	// StickyPrefix chooses the first engine in the context's rendezvous order
	// whose load is at most about a quarter above the mean.
	StickyPrefix
	// Clairvoyant is Boragehub with perfect information: it knows current loads and
	// cache contents, exports cost nothing, imports never share a link with
	// another transfer, and stores evict the part that returns last.
	Clairvoyant
	policyCount int = iota
)

// String returns the name of p in flags and output.
func (p Policy) String() string {
	return [...]string{"ours", "round_robin", "least_loaded", "sticky_prefix", "clairvoyant"}[p]
}

// Policies returns all policies in the order of their values.
func Policies() []Policy {
	all := make([]Policy, policyCount)
	for i := range all {
		all[i] = Policy(i)
	}

	return all
}

// Ablation disables one mechanism of the Boragehub policy. The zero Ablation, NoAblation,
// disables none.
type Ablation uint8

// The ablations, with the names of String where these differ. Each is named after the mechanism
// that it disables.
const (
	// NoAblation ("nothing") disables nothing.
	NoAblation Ablation = iota
	// Stores disables parking, so that nothing is imported from stores.
	Stores
	// EngineImports disables imports from engines; imports come from stores only.
	EngineImports
	// TransferWindows ("windows") starts each transfer at once, without reserving windows.
	TransferWindows
	// ImportCancellation ("giving_up") waits for each import to finish, however slow it is.
	ImportCancellation
	// LinkMeasurement ("measuring") assumes the configured link rate in place of the measured one.
	LinkMeasurement
	// BusyTokens ("busy") ignores the running prefill chunk of a lower class.
	BusyTokens
	// AdmissionGates ("gates") admits every request, whatever its organisation's rate.
	AdmissionGates
	// ReportUncertainty ("doubt") ignores the age of load reports.
	ReportUncertainty
	// SentSinceReport ("own_sent") ignores what the entry sent since the last load report.
	SentSinceReport
	// ClassOrder ("classes") counts an engine's whole queue as ahead of a request, whatever the
	// classes.
	ClassOrder
	// ParkingCost ("park_weighing") ignores the cost of link time, so that nearly every
	// context that is long enough is parked.
	ParkingCost
	// ValueEviction evicts the least recently used part from a store in place of
	// the least valuable one.
	ValueEviction
	// IncrementalCopies ("segments") copies the whole context at each visit, not only what was
	// added.
	IncrementalCopies
	// PerEntryLinks ("own_links") shares one table of link reservations among all entries.
	PerEntryLinks
	// RecomputedWeight gives recomputed tokens no weight; only time to first token
	// counts.
	RecomputedWeight
	ablationCount int = iota
)

// String returns the name of x in flags and output.
func (x Ablation) String() string {
	return [...]string{
		"nothing", "stores", "engine_imports", "windows", "giving_up", "measuring", "busy", "gates", "doubt", "own_sent", "classes",
		"park_weighing", "value_eviction", "segments", "own_links",
		"recomputed_weight",
	}[x]
}

// Ablations returns all ablations in the order of their values.
func Ablations() []Ablation {
	all := make([]Ablation, ablationCount)
	for i := range all {
		all[i] = Ablation(i)
	}

	return all
}

// Fault is a failure injected into a run. The zero Fault is NoFault.
type Fault uint8

// The faults, with the names of String where these differ.
const (
	// NoFault ("none") injects nothing.
	NoFault Fault = iota
	// StoreLost permanently loses the first store with all its parts.
	StoreLost
	// LinkSlowdown ("link_tenth") reduces all links to a tenth of their rate for FaultDuration.
	LinkSlowdown
	// DataCentreCut partitions the last data centre from the others for
	// FaultDuration.
	DataCentreCut
	// EventsLost drops all cache events of engines for FaultDuration.
	EventsLost
	// StaleLoad ("load_old") makes engines' load reports 5 s old during the whole run.
	StaleLoad
	// OrganisationBurst ("tenfold") makes one small organisation send ten times its usual load
	// for FaultDuration.
	OrganisationBurst
	// WeightSwap loads a new weight version into all engines.
	WeightSwap
	// AnswersBroken has engines break off a tenth of their answers half-way for FaultDuration.
	AnswersBroken
	// AnswersTwice has targets of the plain service send a tenth of their responses a second time, late, during the whole
	// run. The entry closes the connection on which one arrives and sends the call that waits there again.
	AnswersTwice
	faultCount int = iota
)

// FaultDuration is the length of a temporary fault.
const FaultDuration = time.Minute

// String returns the name of f in flags and output.
func (f Fault) String() string {
	return [...]string{
		"none", "store_lost", "link_tenth", "data_centre_cut", "events_lost", "load_old", "tenfold", "weight_swap", "answers_broken", "answers_twice",
	}[f]
}

// Faults returns all faults in the order of their values.
func Faults() []Fault {
	all := make([]Fault, faultCount)
	for i := range all {
		all[i] = Fault(i)
	}

	return all
}

// byName returns the element of all with the given name, or an error that lists the
// valid names.
func byName[T fmt.Stringer](all []T, name string) (T, error) {
	for _, x := range all {
		if x.String() == name {
			return x, nil
		}
	}

	var zero T

	return zero, fmt.Errorf("no %q; there are %v", name, all)
}
