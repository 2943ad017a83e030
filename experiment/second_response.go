package experiment

import (
	"math/rand/v2"
	"time"
)

// The model of targets that send responses a second time: a tenth of them, within maxSecondDelay.
const (
	secondShare    = 0.1
	maxSecondDelay = 300 * time.Millisecond
)

// secondResponses tracks when second responses arrive on the idle connections from entries to targets.
type secondResponses struct {
	on   bool
	rng  *rand.Rand
	idle map[[2]int][]time.Duration // by entry and target, the connection that was used last at the end; zero for none
	met  int                        // calls that waited for their response when a second one arrived
}

func newSecondResponses(on bool, seed uint64) *secondResponses {
	return &secondResponses{on: on, rng: rand.New(rand.NewPCG(seed, 4)), idle: make(map[[2]int][]time.Duration)}
}

// put keeps the connection of a call that ended at now.
func (s *secondResponses) put(now time.Duration, entry, target int) {
	if !s.on {
		return
	}

	at := time.Duration(0)
	if s.rng.Float64() < secondShare {
		at = now + time.Duration(s.rng.Int64N(int64(maxSecondDelay)))
	}

	k := [2]int{entry, target}
	s.idle[k] = append(s.idle[k], at)
}

// take takes the connection for a call that is sent at now, and returns when a second response arrives on it. A
// connection on which one has arrived already was closed.
func (s *secondResponses) take(now time.Duration, entry, target int) (at time.Duration, ok bool) {
	k := [2]int{entry, target}

	for all := s.idle[k]; len(all) > 0; all = s.idle[k] {
		at = all[len(all)-1]
		s.idle[k] = all[:len(all)-1]

		if at == 0 || at > now {
			return at, at > now
		}
	}

	return 0, false
}
