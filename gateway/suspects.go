package gateway

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"boragehub/event"
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
//
// Its caller sends it again to any entry. So an entry tells the others what was on a
// target as it crashed; one that lost a single connection there, which says little by
// itself, then knows that it was a crash as well.
type suspects struct {
	tracker *quarantine.Tracker
	tell    func(quarantine.Crash) // the other entries; nil tells nobody
	log     logr.Logger

	mu     sync.Mutex
	broken map[string][]breakage // by target
	told   map[string]bool       // targets whose crash is about to be told
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
	// tellAfter is how long after a crash was noticed it is told, so that all
	// connections that it broke are in one message.
	tellAfter = 150 * time.Millisecond
	// sameCrashHeard is how long before another entry told of a crash a connection
	// may have broken by it.
	sameCrashHeard = time.Second
	// maxSuspectTargets bounds the targets watched.
	maxSuspectTargets = 256
)

func newSuspects(t *quarantine.Tracker, tell func(quarantine.Crash), log logr.Logger) *suspects {
	return &suspects{tracker: t, tell: tell, log: log, broken: make(map[string][]breakage), told: make(map[string]bool)}
}

// add notes a request whose connection a target broke.
func (s *suspects) add(now time.Time, id string, f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if len(s.broken) >= maxSuspectTargets {
		clear(s.broken)
	}

	s.broken[id] = append(s.broken[id], breakage{now, f})

	if running := s.recent(now, id, sameCrash); len(running) >= crashSize {
		s.crashed(now, id, running, "connections")
	}
}

// recent returns what broke on a target of late and forgets the rest. The caller
// holds mu.
func (s *suspects) recent(now time.Time, id string, most time.Duration) []quarantine.Fingerprint {
	var (
		kept    []breakage
		running []quarantine.Fingerprint
	)

	for _, b := range s.broken[id] {
		if now.Sub(b.at) < sameCrashHeard {
			kept = append(kept, b)
		}

		if now.Sub(b.at) < most {
			running = append(running, b.print)
		}
	}

	s.broken[id] = kept

	return running
}

// crashed counts a crash against what ran there, and tells the others soon. The
// caller holds mu.
func (s *suspects) crashed(now time.Time, id string, running []quarantine.Fingerprint, basis string) {
	s.tracker.Crashed(now, quarantine.Crash{Target: id, Boot: id, At: now, Running: running})

	if s.told[id] || s.tell == nil {
		return
	}

	s.told[id] = true

	event.Log(s.log, event.CrashSuspected, "target", id, "requests", len(running), "basis", basis)
	time.AfterFunc(tellAfter, func() { s.tellOthers(id) })
}

// tellOthers tells the other entries what was on a target as it crashed.
func (s *suspects) tellOthers(id string) {
	now := time.Now()

	s.mu.Lock()
	c := quarantine.Crash{Target: id, Boot: id, At: now, Running: s.recent(now, id, sameCrashHeard)}
	delete(s.told, id)
	s.mu.Unlock()

	s.tell(c)
}

// heard takes what another entry tells of a crash. What broke here at that time was
// on the target as well.
func (s *suspects) heard(now time.Time, c quarantine.Crash) {
	c.At = now // by this process's clock
	s.tracker.Crashed(now, c)

	s.mu.Lock()
	defer s.mu.Unlock()

	running := s.recent(now, c.Target, sameCrashHeard)
	if len(running) > 0 && len(running) < crashSize {
		s.crashed(now, c.Target, running, "another entry")
	}
}
