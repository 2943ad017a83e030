package operator

import (
	"encoding/json"
	"time"

	"boragehub/failure"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/setting/exchange"
)

// Responder handles the requests that every process serves over peer connections: for
// the settings, from peers, and for views, from operators.
type Responder struct {
	// Settings provides the settings and takes those that peers pass on.
	Settings exchange.SettingsReplica
	// Views are the documents that may be requested.
	Views []View
}

// Respond returns the response to m from a peer. A message of any other type gets a
// refusal with failure.BadMessage.
func (r Responder) Respond(now time.Time, from peer.Identity, m message.Message) message.Message {
	if response, ok := exchange.Respond(now, r.Settings, from, m); ok {
		return response
	}

	if q, ok := m.(message.DocumentRequest); ok {
		return r.respondView(q)
	}

	return message.NewRefused(failure.New(failure.BadMessage, "message type %d does not start an exchange with this process", m.Type()))
}

// respondView returns the requested document. The operator command requests views over
// peer connections, with its own certificate, because no list holds the addresses of
// the VMs' operator ports.
func (r Responder) respondView(q message.DocumentRequest) message.Message {
	for _, v := range r.Views {
		if v.Name != q.Name {
			continue
		}

		b, err := json.Marshal(v.Get(q.Query))
		if err != nil {
			return message.NewRefused(failure.Wrap(failure.Internal, err, "view %q", q.Name))
		}

		return message.Document{JSON: b}
	}

	return message.NewRefused(failure.New(failure.UnknownPath, "this process has no view %q", q.Name))
}
