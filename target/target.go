// Package target tracks the state of the targets to which one entry may send requests.
//
// # Model
//
// A Table combines four sources, none of which is reliable alone: the VM list, which
// is complete but lags; the reports of a target's side process, which are prompt but
// may stop; the load reported on responses, which becomes stale; and the outcomes of the
// entry's own requests.
//
// A leaving target is removed from the candidates as soon as any of three sources shows
// it: its side process (also by refusing a request as draining), the list, or failures of
// the entry's own requests. The first two are final: a target whose side process reported
// draining stays out until a report with a new boot id arrives, whatever the lagging list
// contains, and a target that the list shows as leaving or doesn't contain stays out until
// the list shows it as live again. A suspicion (consecutive failures, no response)
// is not final: ejections grow with repeated failures and expire, an ejected target is
// probed with one request at a time, and suspicions never remove more than a share of a pool.
//
// # Example
//
//	t := target.NewTable(target.TableConfig{Self: "entry-1", DataCentre: "yvr-east"})
//	t.ObserveList(now, vms)
//	t.ObserveState(now, report)
//	for _, c := range t.Candidates(now, "boragehub-llm") { … }
//	s := t.Sent(now, c.VM, tokens)
//	t.Done(now, s, target.Succeeded)
package target

import "time"

// State is the state of a target as reported by its side process. The zero State is Unknown.
type State uint8

// The states.
const (
	// Unknown means that nothing was reported directly.
	Unknown State = iota
	// Loading means that the target loads weights and takes no work.
	Loading
	// Ready means that the target takes work.
	Ready
	// Draining means that the target is leaving and takes no new work.
	Draining
)

// String returns the snake-case name of s.
func (s State) String() string {
	switch s {
	case Loading:
		return "loading"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Unknown:
		return "unknown"
	default:
		return "unknown"
	}
}

// Outcome is the outcome of a request with regard to its target.
type Outcome uint8

// The outcomes.
const (
	// Neutral says nothing about the target, e.g. a request cancelled by the caller or
	// refused for lack of capacity.
	Neutral Outcome = iota
	// Succeeded means that the complete response was received.
	Succeeded
	// Failed means that the target or the connection to it failed or became unresponsive.
	Failed
	// RefusedDraining means that the side process refused the request because it is draining.
	RefusedDraining
)

// String returns the snake-case name of o.
func (o Outcome) String() string {
	switch o {
	case Succeeded:
		return "succeeded"
	case Failed:
		return "failed"
	case RefusedDraining:
		return "refused_draining"
	case Neutral:
		return "neutral"
	default:
		return "neutral"
	}
}

// Values in the VM list.
const (
	// Live is the state of a VM in the list that is not leaving.
	Live = "live"
	// Leaving is the state of a VM in the list that is about to be removed.
	Leaving = "leaving"
	// KindEngine is the kind of a model engine in the list.
	KindEngine = "engine"
	// KindPlain is the kind of a target of a plain service in the list.
	KindPlain = "plain"
)

// Listed is one entry of the VM list.
type Listed struct {
	// VM is the VM name.
	VM string `json:"vm"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
	// Kind is "entry", "engine", "plain" or "store".
	Kind string `json:"kind"`
	// Service is the service of a target.
	Service string `json:"service"`
	// Address is the target's own address.
	Address string `json:"address"`
	// SideAddress is the address of the side process; empty when there is none.
	SideAddress string `json:"side_address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Load is a load report of a target.
type Load struct {
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// WaitingTokens is the number of prompt tokens in the queue.
	WaitingTokens int
	// UsedBlocks and TotalBlocks are the used and the total blocks of the KV cache.
	UsedBlocks, TotalBlocks int
	// Age is the time since the measurement, by the reporter's clock, so that clock skew
	// between VMs doesn't matter.
	Age time.Duration
}

// StateReport is a state report: the state of a target, reported directly by its side process.
type StateReport struct {
	// VM is the target's VM name.
	VM string
	// BootID is new for each start of the target.
	BootID string
	// Started is the start time of that boot by the VM's clock; zero when not known. It
	// distinguishes a late state report of an earlier boot from the first one of a new boot.
	Started time.Time
	// Sequence increases with each state report of one boot; older ones are ignored. Zero turns
	// the check off.
	Sequence uint64
	// State is the target's state.
	State State
	// DataCentre, Service, Address and SideAddress are only needed for a target that the
	// list doesn't contain yet.
	DataCentre, Service, Address, SideAddress string
	// Model, WeightVersion and Role describe what the engine has loaded.
	Model, WeightVersion, Role string
	// Load is the latest load known to the side process.
	Load Load
}

// Target is the known state of one target.
type Target struct {
	// VM is the target's VM name.
	VM string
	// DataCentre, Service, Address and SideAddress are the location of the target.
	DataCentre, Service, Address, SideAddress string
	// BootID, Model, WeightVersion and Role are as last reported; empty when never reported.
	BootID, Model, WeightVersion, Role string
	// State is the last state reported directly, or Draining when the list shows the target
	// as leaving or operators drained it.
	State State
	// Load is the last load report. Its Age is relative to the call that returned this Target.
	Load Load
	// LoadKnown says that a load was reported.
	LoadKnown bool
	// SentRequests is the number of requests that this entry sent after Load was measured and that
	// have not ended, SentTokens the sum of their prompt tokens.
	SentRequests, SentTokens int
	// InSubset says that the target is in this entry's subset, with a connection kept open.
	InSubset bool
	// Probe says that the target was ejected and is being probed with one request at a time.
	Probe bool
	// Suspected says that the target is suspected; it is then a candidate only because too
	// few others are left.
	Suspected bool
	// Failures is the number of consecutive failures.
	Failures int
	// SinceLastSeen is the time since its side process was last seen; negative when it never was.
	SinceLastSeen time.Duration
}

// Attempt is a request in flight to a target, from Table.Sent to Table.Done.
type Attempt struct {
	vm     string
	at     time.Time
	tokens int
	probe  bool
}

// VM returns the target's VM name.
func (s Attempt) VM() string { return s.vm }

// Reason is the reason for a change of a target's state.
type Reason uint8

// The reasons.
const (
	// NoReason means that nothing changed.
	NoReason Reason = iota
	// ReportedDraining means that the side process reported that the target is draining.
	ReportedDraining
	// ListedLeaving means that the list shows the VM as leaving.
	ListedLeaving
	// Unlisted means that the list no longer contains the VM.
	Unlisted
	// ListedLive means that the list shows the VM as live, for the first time or again.
	ListedLive
	// ListRejected means that the list lacks too many VMs that report that they are ready,
	// and that the VM is kept in spite of the list.
	ListRejected
	// NewBoot means that the target was restarted.
	NewBoot
	// Ejected means that consecutive failures removed the target from the candidates for a while.
	Ejected
	// Restored means that a request to an ejected target succeeded.
	Restored
	// ReportedReady means that the side process reported that the target is ready.
	ReportedReady
	// ReportedLoading means that the side process reported that the target is loading weights.
	ReportedLoading
)

var reasonNames = [...]string{
	"none", "said_draining", "listed_leaving", "listed_gone", "listed_live", "list_doubted",
	"new_boot", "ejected", "restored", "said_ready", "said_loading",
}

// String returns the snake-case name of r.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[NoReason]
	}

	return reasonNames[r]
}

// Change is a change of a target's state, to be logged.
type Change struct {
	// VM is the target's VM name.
	VM string
	// Reason is the reason for the change.
	Reason Reason
	// Until is the end of an ejection; zero for other reasons.
	Until time.Time
}
