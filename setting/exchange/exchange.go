// Package exchange passes published settings between boragehub's processes over
// their own connections, so that not every process has to poll the log.
//
// Peers is the asking end, which a publication.Follower uses; Answer the other
// one, which the roles call for conversations that they don't know themselves.
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

// Asker opens conversations; *peer.Dialer is one.
type Asker interface {
	Ask(ctx context.Context, a peer.Address, m message.Message) (message.Message, error)
}

// Lister knows the platform's list of VMs; *vm.Follower is one.
type Lister interface {
	List() *vm.List
}

// Peers reaches the other processes for a publication.Follower.
type Peers struct {
	// Asker opens conversations.
	Asker Asker
	// VMs knows where the processes listen.
	VMs Lister
}

var _ publication.Peers = Peers{}

// Fetch asks the process on vm for the settings after a version.
func (p Peers) Fetch(ctx context.Context, vm string, after uint64) (publication.Handover, error) {
	to, err := p.address(vm)
	if err != nil {
		return publication.Handover{}, err
	}

	m, err := p.Asker.Ask(ctx, to, message.Fetch{After: after})
	if err != nil {
		return publication.Handover{}, err
	}

	s, err := message.Expect[message.Settings](m)
	if err != nil {
		return publication.Handover{}, err
	}

	return publication.DecodeHandover(s.Body)
}

// Push hands settings to the process on vm.
func (p Peers) Push(ctx context.Context, vm string, h publication.Handover) error {
	to, err := p.address(vm)
	if err != nil {
		return err
	}

	m, err := p.Asker.Ask(ctx, to, message.Settings{Version: h.Version(), Body: h.Encode()})
	if err != nil {
		return err
	}

	_, err = message.Expect[message.Ack](m)

	return err
}

func (p Peers) address(name string) (peer.Address, error) {
	m, ok := p.VMs.List().Get(name)
	if !ok || m.SideAddress == "" {
		return peer.Address{}, failure.New(failure.Unavailable, "VM %s is not on the list", name)
	}

	return peer.Address{VM: name, Addr: m.SideAddress}, nil
}

// Members returns the processes that take part in passing settings on.
func Members(l *vm.List) []publication.Member {
	var all []publication.Member

	for _, m := range l.All() {
		if m.SideAddress != "" {
			all = append(all, publication.Member{VM: m.Name, DataCentre: m.DataCentre})
		}
	}

	return all
}

// Keeper keeps the settings; *publication.Follower is one.
type Keeper interface {
	HandOver(now time.Time, vm string, after uint64) publication.Handover
	Offer(h publication.Handover) error
}

// Answer returns the answer to a message about settings, and false for others.
func Answer(now time.Time, k Keeper, from peer.Identity, m message.Message) (message.Message, bool) {
	switch m := m.(type) {
	case message.Fetch:
		h := k.HandOver(now, from.VM, m.After)

		return message.Settings{Version: h.Version(), Body: h.Encode()}, true
	case message.Settings:
		return answerOffer(k, m), true
	default:
		return nil, false
	}
}

func answerOffer(k Keeper, m message.Settings) message.Message {
	h, err := publication.DecodeHandover(m.Body)
	if err == nil {
		err = k.Offer(h)
	}

	if err != nil {
		return message.Refusal(err)
	}

	return message.Ack{}
}
