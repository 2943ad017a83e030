package gateway

import (
	"sync"
	"time"

	"boragehub/quarantine"
)

// suspects collects the requests whose connections a target broke, to find
// those that crash every target which runs them.
//
// A request that makes a target crash breaks all that runs there. Its caller
// sends it again, and it takes the next target. One notices several targets that
// crash one after the other, each while the same request ran. A connection that
// breaks says little by itself; so only a request that was on several targets
// when they broke is held off, which one that merely ran beside it hardly was.
type suspects struct {
	tracker *quarantine.Tracker

	mu     sync.Mutex
	broken map[string][]breakage // by target
}

// breakage is one request whose connection broke.
type breakage struct {
	at    time.Time
	print quarantine.Fingerprint
}

// Bounds of what is collected.
const (
	// sameCrash is within which connections that broke belong to one crash.
	sameCrash = 300 * time.Millisecond
	// crashSize is how many requests have to break together: a single one that
	// breaks is more often a connection's fault.
	crashSize = 2
	// maxSuspectTargets bounds the targets watched.
	maxSuspectTargets = 256
)

func newSuspects(t *quarantine.Tracker) *suspects {
	return &suspects{tracker: t, broken: make(map[string][]breakage)}
}

// add notes a request whose connection a target broke.
func (s *suspects) add(now time.Time, id string, f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.broken) >= maxSuspectTargets {
		clear(s.broken)
	}

	var recent []breakage

	for _, b := range s.broken[id] {
		if now.Sub(b.at) < sameCrash {
			recent = append(recent, b)
		}
	}

	recent = append(recent, breakage{now, f})
	s.broken[id] = recent

	if len(recent) < crashSize {
		return
	}

	running := make([]quarantine.Fingerprint, len(recent))
	for i, b := range recent {
		running[i] = b.print
	}

	s.tracker.Crashed(now, quarantine.Crash{Target: id, Boot: id, At: now, Running: running})
}
