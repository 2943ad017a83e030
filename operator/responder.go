package operator

import (
	"encoding/json"
	"time"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/setting/exchange"
)

// Responder answers what every process is asked over the connections between own
// processes: for the settings, by its peers, and for views, by operators.
type Responder struct {
	// Settings are passed on.
	Settings exchange.Keeper
	// Views are the documents that may be asked for.
	Views []View
}

// Answer returns the answer to m; a message that is for no responder is refused.
func (r Responder) Answer(now time.Time, from peer.Identity, m message.Message) message.Message {
	if answer, ok := exchange.Answer(now, r.Settings, from, m); ok {
		return answer
	}

	if q, ok := m.(message.View); ok {
		return r.view(q)
	}

	return message.Refusal(failure.New(failure.BadMessage, "message type %d begins no conversation here", m.Type()))
}

// view returns a document. Operators ask this way from a shell, with a
// certificate of their own, since the operators' ports of all VMs are on no list.
func (r Responder) view(q message.View) message.Message {
	for _, v := range r.Views {
		if v.Name != q.Name {
			continue
		}

		b, err := json.Marshal(v.Get(q.Query))
		if err != nil {
			return message.Refusal(failure.Wrap(failure.Internal, err, "view %q", q.Name))
		}

		return message.Viewed{JSON: b}
	}

	return message.Refusal(failure.New(failure.UnknownPath, "there is no view %q here", q.Name))
}
