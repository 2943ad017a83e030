package side

import (
	"net"
	"time"

	"boragehub/quarantine"
	"boragehub/socket"
)

// flight is a request that was admitted.
type flight struct {
	fingerprint quarantine.Fingerprint
	boot        string
	conn        net.Conn  // by which the target has it; nil before, when it can't be what the target dies of
	lost        time.Time // when its connection broke; zero before
	unasked     bool      // nobody waits for its verdict any more
}

// verdict is what is concluded of requests that were lost together: what ran on a boot as
// it died, or nothing when the target lived on.
type verdict struct {
	boot    string
	running []quarantine.Fingerprint
}

const (
	// settled is how long after a connection broke the others of a target that died have been
	// closed as well: the system closes them one after the other.
	settled = 5 * time.Millisecond
	// unreadTime is how long after a connection broke it is waited until those that hold
	// unread bytes show whether they are open.
	unreadTime = 500 * time.Millisecond
)

// acquit judges what was lost with the present boot, which lives on. The caller holds mu.
func (g *guard) acquit() {
	for id, f := range g.inFlight {
		if !f.lost.IsZero() && f.boot == g.boot() {
			g.judge(id, verdict{})
		}
	}
}

// convict judges requests that were lost with a target whose port is closed, or that has
// another boot. The caller holds mu.
func (g *guard) convict(now time.Time) []verdict {
	lost := map[string][]uint64{}

	for id, f := range g.inFlight {
		if f.lost.IsZero() || f.conn != nil && now.Sub(f.lost) < settled {
			continue
		}

		switch others := g.others(f.boot); {
		case f.conn == nil, others == socket.Quiet:
			g.judge(id, verdict{})
		case others == socket.Ended, now.Sub(f.lost) >= unreadTime:
			lost[f.boot] = append(lost[f.boot], id)
		}
	}

	verdicts := make([]verdict, 0, len(lost))

	for boot, ids := range lost {
		v := verdict{boot: boot}
		for _, id := range ids {
			v.running = append(v.running, g.inFlight[id].fingerprint)
		}

		for _, id := range ids {
			g.judge(id, v)
		}

		verdicts = append(verdicts, v)
	}

	return verdicts
}

// others tells of the connections that a boot's requests still use: Quiet if one is open,
// and Unread if bytes have to be read before that is known. A target that stops in order
// closes its port and may drop what has just arrived, but ends what runs; one that dies
// leaves no connection open. Without this, what was dropped counts as what brought the
// target down. The caller holds mu.
func (g *guard) others(boot string) socket.State {
	state := socket.Ended

	for _, f := range g.inFlight {
		if !f.lost.IsZero() || f.conn == nil || f.boot != boot {
			continue
		}

		switch socket.Peek(f.conn) {
		case socket.Quiet:
			return socket.Quiet
		case socket.Unread:
			state = socket.Unread
		case socket.Ended:
		}
	}

	return state
}

// judge takes a lost request off the books. The caller holds mu.
func (g *guard) judge(id uint64, v verdict) {
	if !g.inFlight[id].unasked {
		g.judged[id] = v
	}

	delete(g.inFlight, id)
}

// verdict returns what was concluded of a lost request, once.
func (g *guard) verdict(id uint64) (v verdict, judged bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	v, judged = g.judged[id]
	delete(g.judged, id)

	return v, judged
}

// abandon ends the wait for a verdict. The request stays on the books for the watch.
func (g *guard) abandon(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()

	delete(g.judged, id)

	if f := g.inFlight[id]; f != nil {
		f.unasked = true
	}
}
