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

// report is a message to deliver to some entries.
type report struct {
	to []peer.Address
	m  message.Message
}

// reportTimeout bounds the delivery of a report to one entry.
const reportTimeout = 3 * time.Second

// entries returns the entries on the platform's list.
func (s *Side) entries() []vm.VM {
	return s.cfg.VMs.List().OfKind(vm.Entry, s.cfg.DataCentre)
}

// reportToEntries queues a report to every entry.
func (s *Side) reportToEntries(m message.Message) {
	var to []peer.Address

	for _, e := range s.entries() {
		to = append(to, peer.Address{VM: e.Name, Addr: e.SideAddress})
	}

	s.enqueueReport(report{to: to, m: m})
}

// reportToOwner queues a report to the entry that owns the directory record of anchor.
func (s *Side) reportToOwner(anchor prompt.Hash, m message.Message) {
	entries := s.entries()
	names := make([]string, len(entries))
	at := make(map[string]peer.Address, len(entries))

	for i, e := range entries {
		names[i] = e.Name
		at[e.Name] = peer.Address{VM: e.Name, Addr: e.SideAddress}
	}

	if len(names) > 0 {
		s.enqueueReport(report{to: []peer.Address{at[directory.Owner(anchor, names)]}, m: m})
	}
}

func (s *Side) enqueueReport(r report) {
	if !s.reports.Offer(r) {
		event.Log(s.cfg.Log, event.ReportLost, "type", r.m.Type(), "reason", "busy")
	}
}

// deliverReports delivers reports until ctx ends. A report that can't be delivered is
// dropped: a copy that its owner doesn't know of is only not used, and the entry that sent
// a request gets the crash report on the request's own stream.
func (s *Side) deliverReports(ctx context.Context) {
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

	got, err := s.cfg.Peers.Call(ctx, to, m)
	if err == nil {
		_, err = message.Expect[message.Ack](got)
	}

	if err != nil && ctx.Err() == nil {
		event.Fail(s.cfg.Log, err, event.ReportLost, "vm", to.VM, "type", m.Type())
	}
}
