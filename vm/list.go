// Package vm follows the platform's list of virtual machines.
//
// # Model
//
// The platform says which VMs are live and which are leaving, and says it late.
// A VM that was on the list and is on it no longer is gone for certain; one that
// is not on it yet may be new. List is one state of the list and never changes;
// Follower keeps the newest one and hands each on to those who need it.
//
//	f := vm.NewFollower(vm.FollowerConfig{URL: "http://127.0.0.1:9200"})
//	go f.Run(ctx)
//	for _, m := range f.List().Of(vm.Store, "yvr-east") { … }
package vm

import (
	"sort"

	"boragehub/failure"
)

// Kind is what a VM is there for.
type Kind uint8

// The kinds.
const (
	// Entry runs an entry of boragehub.
	Entry Kind = iota + 1
	// Engine runs a model engine.
	Engine
	// Plain runs a plain service.
	Plain
	// Store keeps copies of contexts.
	Store
)

var kindNames = map[Kind]string{Entry: "entry", Engine: "engine", Plain: "plain", Store: "store"}

// String returns the word in the platform's list.
func (k Kind) String() string { return kindNames[k] }

// MarshalText returns the word in the platform's list.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the word in the platform's list.
func (k *Kind) UnmarshalText(b []byte) error {
	for kind, name := range kindNames {
		if name == string(b) {
			*k = kind

			return nil
		}
	}

	return failure.New(failure.BadMessage, "VM kind %q is not known", b)
}

// State is what the platform says of a VM.
type State uint8

// The states.
const (
	// Live VMs stay.
	Live State = iota
	// Leaving VMs go soon.
	Leaving
)

// String returns the word in the platform's list.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}

	return "live"
}

// MarshalText returns the word in the platform's list.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word in the platform's list.
func (s *State) UnmarshalText(b []byte) error {
	switch string(b) {
	case "live":
		*s = Live
	case "leaving":
		*s = Leaving
	default:
		return failure.New(failure.BadMessage, "VM state %q is not known", b)
	}

	return nil
}

// VM is one line of the list.
type VM struct {
	// Name identifies the VM.
	Name string `json:"vm"`
	// DataCentre is where it runs.
	DataCentre string `json:"data_centre"`
	// Kind is what it is there for.
	Kind Kind `json:"kind"`
	// Service is what a target serves; empty for others.
	Service string `json:"service,omitempty"`
	// Address is where the target or store answers, or an entry's callers connect.
	Address string `json:"address"`
	// SideAddress is where boragehub's own process on the VM listens for its peers.
	SideAddress string `json:"side_address,omitempty"`
	// State is live or leaving.
	State State `json:"state"`
}

// List is one state of the platform's list. The zero List is empty.
type List struct {
	version uint64
	vms     []VM
	byName  map[string]int
}

// NewList returns a List of vms in order of name.
func NewList(version uint64, vms []VM) *List {
	l := &List{version: version, vms: append([]VM(nil), vms...), byName: make(map[string]int, len(vms))}

	sort.Slice(l.vms, func(i, j int) bool { return l.vms[i].Name < l.vms[j].Name })

	for i, m := range l.vms {
		l.byName[m.Name] = i
	}

	return l
}

// Version is the list's version at the platform; zero before the first one came.
func (l *List) Version() uint64 { return l.version }

// All returns all VMs in order of name. The caller must not change them.
func (l *List) All() []VM { return l.vms }

// Get returns a VM by name.
func (l *List) Get(name string) (VM, bool) {
	i, ok := l.byName[name]
	if !ok {
		return VM{}, false
	}

	return l.vms[i], true
}

// Of returns the VMs of a kind; those of dataCentre come first when it is not empty.
func (l *List) Of(k Kind, dataCentre string) []VM {
	var near, far []VM

	for _, m := range l.vms {
		switch {
		case m.Kind != k:
		case m.DataCentre == dataCentre:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}

	return append(near, far...)
}
