// Package vm follows the platform's list of virtual machines.
//
// # Model
//
// The platform lists which VMs are live and which are leaving, with a delay. A VM
// that was on the list and no longer is has certainly been removed; one that has
// not appeared yet may be new. List is an immutable snapshot of the list;
// Follower holds the newest one and passes each new one to a callback.
//
//	f := vm.NewFollower(vm.FollowerConfig{URL: "http://127.0.0.1:9200"})
//	go f.Run(ctx)
//	for _, m := range f.List().OfKind(vm.Store, "yvr-east") { … }
package vm

import (
	"sort"

	"boragehub/failure"
)

// Kind is the purpose of a VM.
type Kind uint8

// The kinds. The zero value is not a valid kind.
const (
	// Entry VMs run an entry of boragehub.
	Entry Kind = iota + 1
	// Engine VMs run a model engine.
	Engine
	// Plain VMs run a plain service.
	Plain
	// Store VMs keep copies of contexts.
	Store
)

var kindNames = map[Kind]string{Entry: "entry", Engine: "engine", Plain: "plain", Store: "store"}

// String returns the kind's name in the platform's list; empty for an invalid kind.
func (k Kind) String() string { return kindNames[k] }

// MarshalText implements encoding.TextMarshaler with the result of String.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error for an unknown kind is
// failure.BadMessage.
func (k *Kind) UnmarshalText(b []byte) error {
	for kind, name := range kindNames {
		if name == string(b) {
			*k = kind

			return nil
		}
	}

	return failure.New(failure.BadMessage, "unknown VM kind %q", b)
}

// State is a VM's state according to the platform.
type State uint8

// The states.
const (
	// Live VMs are in use.
	Live State = iota
	// Leaving VMs will be removed soon.
	Leaving
)

// String returns the state's name in the platform's list.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}

	return "live"
}

// MarshalText implements encoding.TextMarshaler with the result of String.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error for an unknown state is
// failure.BadMessage.
func (s *State) UnmarshalText(b []byte) error {
	switch string(b) {
	case "live":
		*s = Live
	case "leaving":
		*s = Leaving
	default:
		return failure.New(failure.BadMessage, "unknown VM state %q", b)
	}

	return nil
}

// VM is one VM of the platform's list.
type VM struct {
	// Name identifies the VM.
	Name string `json:"vm"`
	// DataCentre is the data centre it runs in.
	DataCentre string `json:"data_centre"`
	// Kind is its purpose.
	Kind Kind `json:"kind"`
	// Service is the service of a target; empty for entries and stores.
	Service string `json:"service,omitempty"`
	// Address is the address of the target or store, or of an entry's port for callers.
	Address string `json:"address"`
	// SideAddress is the address on which boragehub's process on the VM listens for other
	// processes of boragehub; empty if it runs none.
	SideAddress string `json:"side_address,omitempty"`
	// State says whether the VM stays or is being removed.
	State State `json:"state"`
}

// List is an immutable snapshot of the platform's list. The zero List is empty.
type List struct {
	version uint64
	vms     []VM
	byName  map[string]int
}

// NewList returns a List of vms, sorted by name. It copies vms.
func NewList(version uint64, vms []VM) *List {
	l := &List{version: version, vms: append([]VM(nil), vms...), byName: make(map[string]int, len(vms))}

	sort.Slice(l.vms, func(i, j int) bool { return l.vms[i].Name < l.vms[j].Name })

	for i, m := range l.vms {
		l.byName[m.Name] = i
	}

	return l
}

// Version returns the platform's version of the list; zero before the first list was received.
func (l *List) Version() uint64 { return l.version }

// All returns all VMs, sorted by name. The caller must not change the slice.
func (l *List) All() []VM { return l.vms }

// Get returns a VM by name; false if the list doesn't contain it.
func (l *List) Get(name string) (VM, bool) {
	i, ok := l.byName[name]
	if !ok {
		return VM{}, false
	}

	return l.vms[i], true
}

// OfKind returns the VMs of kind k: those in dataCentre first, then the others, each sorted by
// name.
func (l *List) OfKind(k Kind, dataCentre string) []VM {
	var local, remote []VM

	for _, m := range l.vms {
		switch {
		case m.Kind != k:
		case m.DataCentre == dataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}

	return append(local, remote...)
}
