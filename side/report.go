package side

import (
	"context"
	"time"

	"boragehub/directory"
	"boragehub/event"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/prompt"
	"boragehub/vm"
)

// report is a message that some entries have to get.
type report struct {
	to []peer.Address
	m  message.Message
}

// reportTimeout bounds the delivery to one entry.
const reportTimeout = 3 * time.Second

// entries returns the entries on the platform's list.
func (s *Side) entries() []vm.VM {
	return s.cfg.VMs.List().Of(vm.Entry, s.cfg.DataCentre)
}

// tellAll reports to every entry.
func (s *Side) tellAll(m message.Message) {
	var to []peer.Address

	for _, e := range s.entries() {
		to = append(to, peer.Address{VM: e.Name, Addr: e.SideAddress})
	}

	s.offer(report{to: to, m: m})
}

// tellOwner reports to the entry that keeps what is known of anchor.
func (s *Side) tellOwner(anchor prompt.Hash, m message.Message) {
	entries := s.entries()
	names := make([]string, len(entries))
	at := make(map[string]peer.Address, len(entries))

	for i, e := range entries {
		names[i] = e.Name
		at[e.Name] = peer.Address{VM: e.Name, Addr: e.SideAddress}
	}

	if len(names) > 0 {
		s.offer(report{to: []peer.Address{at[directory.Owner(anchor, names)]}, m: m})
	}
}

func (s *Side) offer(r report) {
	if !s.reports.Offer(r) {
		event.Log(s.cfg.Log, event.ReportLost, "type", r.m.Type(), "reason", "busy")
	}
}

// report delivers reports until ctx ends. One that can't be delivered is
// dropped: a copy that its owner doesn't know is only not used, and a crash is
// told to the entry that ran the request on the conversation itself.
func (s *Side) report(ctx context.Context) {
	for {
		r, ok := s.reports.Take(ctx)
		if !ok {
			return
		}

		for _, to := range r.to {
			s.deliver(ctx, to, r.m)
		}
	}
}

func (s *Side) deliver(ctx context.Context, to peer.Address, m message.Message) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()

	got, err := s.cfg.Peers.Ask(ctx, to, m)
	if err == nil {
		_, err = message.Expect[message.Ack](got)
	}

	if err != nil && ctx.Err() == nil {
		event.Fail(s.cfg.Log, err, event.ReportLost, "vm", to.VM, "type", m.Type())
	}
}
