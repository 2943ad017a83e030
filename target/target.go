// Package target holds what one entry believes of the targets it may send to.
//
// # Model
//
// A Table joins four sources, none of which is right alone: the VM list, which
// is complete and lags; what a target's side process says at first hand, which
// is prompt and may fall silent; the load told on answers, which ages; and the
// entry's own successes and failures.
//
// A target that leaves is dropped as soon as any of three says so: its side
// process (also by refusing with "draining"), the list, or the entry's own
// failures. The first two are firm: a target whose side process said that it
// drains stays out until a new boot id speaks for it, whatever the lagging list
// says, and a target that the list calls leaving or has left out stays out until
// the list calls it live again. Doubt (failures in a row, silence) is not firm:
// it grows and fades, is tried out by one request at a time, and never takes
// more than a share of a pool away.
//
// # Example
//
//	t := target.NewTable(target.TableConfig{Self: "entry-1", DataCentre: "yvr-east"})
//	t.ObserveList(now, vms)
//	t.ObserveHello(now, hello)
//	for _, c := range t.Candidates(now, "boragehub-llm") { … }
//	s := t.Sent(now, c.VM, tokens)
//	t.Done(now, s, target.Succeeded)
package target

import "time"

// State is what a side process says of its target. The zero State is Unknown.
type State uint8

// The states.
const (
	// Unknown means that nothing was heard at first hand.
	Unknown State = iota
	// Loading means that weights are being loaded; no work is taken.
	Loading
	// Ready means that work is taken.
	Ready
	// Draining means that the target leaves and takes no new work.
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

// Outcome is how a request ended as far as its target is concerned.
type Outcome uint8

// The outcomes.
const (
	// Neutral says nothing about the target: cancelled by the caller, refused for room.
	Neutral Outcome = iota
	// Succeeded means that the whole answer came.
	Succeeded
	// Failed means that the target or the way to it failed, or fell silent.
	Failed
	// RefusedDraining means that the side process refused because it drains.
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

// Words of the VM list.
const (
	// Live is the list's state of a VM that stays.
	Live = "live"
	// Leaving is the list's state of a VM that is about to go.
	Leaving = "leaving"
	// KindEngine is the list's kind of a model engine.
	KindEngine = "engine"
	// KindPlain is the list's kind of a plain service.
	KindPlain = "plain"
)

// Listed is one row of the VM list.
type Listed struct {
	// VM is the VM's name.
	VM string `json:"vm"`
	// DataCentre is where the VM runs.
	DataCentre string `json:"data_centre"`
	// Kind is "entry", "engine", "plain" or "store".
	Kind string `json:"kind"`
	// Service is the service that a target belongs to.
	Service string `json:"service"`
	// Address is the target's own address.
	Address string `json:"address"`
	// SideAddress is the side process's address; empty when there is none.
	SideAddress string `json:"side_address"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Load is one report of how much a target has to do.
type Load struct {
	// Running is the number of requests in the batch.
	Running int
	// Waiting is the number of requests in the queue.
	Waiting int
	// WaitingTokens is the number of prompt tokens in the queue.
	WaitingTokens int
	// UsedBlocks and TotalBlocks are the cache's fill.
	UsedBlocks, TotalBlocks int
	// Age is how old the report was when it came, by the reporter's own clock,
	// so that clocks which are apart don't matter.
	Age time.Duration
}

// Hello is what a side process says of its target at first hand.
type Hello struct {
	// VM is the target's VM.
	VM string
	// BootID is new at each start of the target.
	BootID string
	// Started is when that boot began, by the VM's own clock; zero when not known.
	// It tells a late hello of an earlier boot from a new boot's first one.
	Started time.Time
	// Sequence rises with each hello of one boot; an older one is ignored.
	Sequence uint64
	// State is the target's state.
	State State
	// DataCentre, Service, Address and SideAddress are needed only for a target
	// that the list doesn't show yet.
	DataCentre, Service, Address, SideAddress string
	// Model, WeightVersion and Role are what the engine has loaded.
	Model, WeightVersion, Role string
	// Load is the newest load known there.
	Load Load
}

// Target is what is believed of one target.
type Target struct {
	// VM is the target's VM.
	VM string
	// DataCentre, Service, Address and SideAddress say where it is.
	DataCentre, Service, Address, SideAddress string
	// BootID, Model, WeightVersion and Role are as last told; empty when nothing was.
	BootID, Model, WeightVersion, Role string
	// State is the last state told at first hand.
	State State
	// Load is the last load told. Its Age is as of the call that gave this Target.
	Load Load
	// LoadKnown says that Load was ever told.
	LoadKnown bool
	// Ahead and AheadTokens are what this entry sent since Load was measured
	// and what has not ended yet.
	Ahead, AheadTokens int
	// Well says that the target is in this entry's subset, with a connection kept.
	Well bool
	// Probe says that the target was ejected and is being tried: one request at a time.
	Probe bool
	// Doubted says that the target is offered only because too few others are left.
	Doubted bool
	// Failures is the number of failures in a row.
	Failures int
	// Heard is how long ago its side process was heard; negative for never.
	Heard time.Duration
}

// Sending is a request under way to a target; Sent gives it and Done takes it back.
type Sending struct {
	vm     string
	at     time.Time
	tokens int
	probe  bool
}

// VM returns the target's VM.
func (s Sending) VM() string { return s.vm }

// Reason is why a target's standing changed.
type Reason uint8

// The reasons.
const (
	// NoReason means that nothing changed.
	NoReason Reason = iota
	// SaidDraining means that the side process said so.
	SaidDraining
	// ListedLeaving means that the list calls the VM leaving.
	ListedLeaving
	// ListedGone means that the list left the VM out.
	ListedGone
	// ListedLive means that the list shows the VM as live, anew or again.
	ListedLive
	// ListDoubted means that the list left out too many VMs that speak, and is not followed.
	ListDoubted
	// NewBoot means that a new boot id spoke.
	NewBoot
	// Ejected means that failures in a row took it out for a while.
	Ejected
	// Restored means that an ejected target succeeded.
	Restored
	// SaidReady means that the target became ready.
	SaidReady
	// SaidLoading means that the target started loading.
	SaidLoading
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

// Change is a change of a target's standing, to be logged.
type Change struct {
	// VM is the target's VM.
	VM string
	// Reason is what happened.
	Reason Reason
	// Until is the end of an ejection.
	Until time.Time
}
