// Package exchange transfers published settings between boragehub processes, so
// that not every process has to poll the log.
//
// Peers is the client side, for a publication.Follower. Respond is the server side,
// which the roles call for messages that they don't handle themselves.
package exchange

import (
	"context"
	"time"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/setting/publication"
	"boragehub/vm"
)

// Requester sends requests to peers; *peer.Dialer implements it.
type Requester interface {
	Call(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// VMLister returns the platform's VM list; *vm.Follower implements it.
type VMLister interface {
	List() *vm.List
}

// Peers sends the requests of a publication.Follower to other processes.
type Peers struct {
	// Requester sends the requests.
	Requester Requester
	// VMs resolves VM names to addresses.
	VMs VMLister
}

var _ publication.Peers = Peers{}

// Fetch requests the settings after a version from the process on vm.
func (p Peers) Fetch(ctx context.Context, vm string, after uint64) (publication.Update, error) {
	to, err := p.address(vm)
	if err != nil {
		return publication.Update{}, err
	}

	m, err := p.Requester.Call(ctx, to, message.SettingsRequest{After: after})
	if err != nil {
		return publication.Update{}, err
	}

	s, err := message.Expect[message.Settings](m)
	if err != nil {
		return publication.Update{}, err
	}

	return publication.DecodeUpdate(s.Body)
}

// Push sends an update of the settings to the process on vm.
func (p Peers) Push(ctx context.Context, vm string, u publication.Update) error {
	to, err := p.address(vm)
	if err != nil {
		return err
	}

	m, err := p.Requester.Call(ctx, to, message.Settings{Version: u.Version(), Body: u.Encode()})
	if err != nil {
		return err
	}

	_, err = message.Expect[message.Ack](m)

	return err
}

func (p Peers) address(name string) (peer.Address, error) {
	m, ok := p.VMs.List().Get(name)
	if !ok || m.SideAddress == "" {
		return peer.Address{}, failure.New(failure.Unavailable, "VM %s is not on the VM list or has no side address", name)
	}

	return peer.Address{VM: name, Addr: m.SideAddress}, nil
}

// Members returns the processes that take part in distributing settings: those on
// VMs with a side address.
func Members(l *vm.List) []publication.Member {
	var all []publication.Member

	for _, m := range l.All() {
		if m.SideAddress != "" {
			all = append(all, publication.Member{VM: m.Name, DataCentre: m.DataCentre})
		}
	}

	return all
}

// SettingsReplica holds the settings of this process; *publication.Follower implements it.
type SettingsReplica interface {
	UpdateFor(now time.Time, vm string, after uint64) publication.Update
	ApplyUpdate(u publication.Update) error
}

// Respond handles a message about settings and returns the response. It returns
// false for other messages.
func Respond(now time.Time, k SettingsReplica, from peer.Identity, m message.Message) (message.Message, bool) {
	switch m := m.(type) {
	case message.SettingsRequest:
		u := k.UpdateFor(now, from.VM, m.After)

		return message.Settings{Version: u.Version(), Body: u.Encode()}, true
	case message.Settings:
		return respondToUpdate(k, m), true
	default:
		return nil, false
	}
}

func respondToUpdate(k SettingsReplica, m message.Settings) message.Message {
	u, err := publication.DecodeUpdate(m.Body)
	if err == nil {
		err = k.ApplyUpdate(u)
	}

	if err != nil {
		return message.NewRefused(err)
	}

	return message.Ack{}
}
