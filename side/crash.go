package side

import (
	"net"
	"time"

	"boragehub/quarantine"
	"boragehub/socket"
)

// request is an admitted request.
type request struct {
	fingerprint quarantine.Fingerprint
	boot        string
	conn        net.Conn  // connection to the target; nil until the request is sent
	lostAt      time.Time // when its connection broke; zero before
	abandoned   bool      // no caller waits for its crashResult any more
}

// crashResult is the result for requests that were lost together: the requests that
// ran on a boot when it crashed, or the zero value if the target did not crash.
type crashResult struct {
	boot    string
	running []quarantine.Fingerprint
}

const (
	// connCloseDelay is the time within which, after one connection to a crashed target
	// broke, the others have been closed as well: the kernel closes them one by one.
	connCloseDelay = 5 * time.Millisecond
	// unreadTimeout is the maximum wait, after a connection broke, for other connections
	// with unread bytes to show whether they are still open.
	unreadTimeout = 500 * time.Millisecond
)

// resolveSurvived clears the requests that were lost on the current boot, which has
// just responded and so did not crash. The caller holds mu.
func (t *targetState) resolveSurvived() {
	for id, r := range t.inFlight {
		if !r.lostAt.IsZero() && r.boot == t.bootID() {
			t.resolve(id, crashResult{})
		}
	}
}

// resolveDown resolves the requests that were lost on a target which refuses
// connections, or which now reports another boot. It returns the crashes found.
// Requests for which it is too early to tell stay unresolved. The caller holds mu.
func (t *targetState) resolveDown(now time.Time) []crashResult {
	lost := map[string][]uint64{}

	for id, r := range t.inFlight {
		if r.lostAt.IsZero() || r.conn != nil && now.Sub(r.lostAt) < connCloseDelay {
			continue
		}

		switch conns := t.otherConns(r.boot); {
		case r.conn == nil, conns == socket.Idle:
			t.resolve(id, crashResult{})
		case conns == socket.Closed, now.Sub(r.lostAt) >= unreadTimeout:
			lost[r.boot] = append(lost[r.boot], id)
		}
	}

	results := make([]crashResult, 0, len(lost))

	for boot, ids := range lost {
		result := crashResult{boot: boot}
		for _, id := range ids {
			result.running = append(result.running, t.inFlight[id].fingerprint)
		}

		for _, id := range ids {
			t.resolve(id, result)
		}

		results = append(results, result)
	}

	return results
}

// otherConns returns the state of the connections of a boot's requests in flight: Quiet
// if one is open, Unread if that is known only after reading bytes, otherwise Ended. A
// target that shuts down gracefully closes its port and may drop requests that have just
// arrived, but completes the running ones; a crash leaves no connection open. Without
// this check a dropped request would be held responsible for a crash. The caller holds mu.
func (t *targetState) otherConns(boot string) socket.State {
	state := socket.Closed

	for _, r := range t.inFlight {
		if !r.lostAt.IsZero() || r.conn == nil || r.boot != boot {
			continue
		}

		switch socket.Peek(r.conn) {
		case socket.Idle:
			return socket.Idle
		case socket.Readable:
			state = socket.Readable
		case socket.Closed:
		}
	}

	return state
}

// resolve stores the result of a lost request, unless it was abandoned, and removes the
// request. The caller holds mu.
func (t *targetState) resolve(id uint64, result crashResult) {
	if !t.inFlight[id].abandoned {
		t.results[id] = result
	}

	delete(t.inFlight, id)
}

// takeResult returns and removes the result of a lost request; resolved is false if there
// is none yet.
func (t *targetState) takeResult(id uint64) (result crashResult, resolved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	result, resolved = t.results[id]
	delete(t.results, id)

	return result, resolved
}

// abandon ends the wait for a lost request's result. The request is kept until a later
// poll resolves it.
func (t *targetState) abandon(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()

	delete(t.results, id)

	if r := t.inFlight[id]; r != nil {
		r.abandoned = true
	}
}
