package incident

import (
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/google/uuid"
)

// ledger is the oracle of bookings: it knows what callers were told, and shares
// nothing with the product.
type ledger struct {
	s  *system
	mu sync.Mutex

	made    map[string]bool // answered as made at least once
	refused map[string]bool // every answer so far said that it was not run
	asked   map[string]bool
}

func newLedger(s *system) *ledger {
	return &ledger{s: s, made: map[string]bool{}, refused: map[string]bool{}, asked: map[string]bool{}}
}

// book books under key at one entry and notes what the caller was told.
func (l *ledger) book(entry int, key string) answer {
	a := l.s.book(l.s.entries[entry], key, 2)

	l.mu.Lock()
	defer l.mu.Unlock()

	first := !l.asked[key]
	l.asked[key] = true

	switch {
	case a.status == http.StatusOK:
		l.made[key] = true
		l.refused[key] = false
	case a.ran == "not_run":
		l.refused[key] = first || l.refused[key]
	default:
		l.refused[key] = false
	}

	return a
}

// check compares what callers were told with what the services ran.
func (l *ledger) check() {
	l.s.t.Helper()

	runs := l.s.runs()

	for key := range l.asked {
		switch n := runs[key]; {
		case n > 1:
			l.s.t.Errorf("booking %s: ran %d times, want at most once", key, n)
		case l.made[key] && n != 1:
			l.s.t.Errorf("booking %s: answered as made, ran %d times", key, n)
		case l.refused[key] && n != 0:
			l.s.t.Errorf("booking %s: every answer said that it was not run, and it ran", key)
		}
	}
}

func keysFor(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}

	return keys
}

// Impatient callers send each booking to both entries at once and then again,
// while one entry is killed and a side process freezes and wakes. A family would
// have two bookings and pay twice, or be told that it has none and have one.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := start(t, shape{engines: 1, plains: 2})
	s.homed()

	l := newLedger(s)
	keys := keysFor(60)

	var all sync.WaitGroup

	half := make(chan struct{})

	for i, key := range keys {
		all.Go(func() {
			if i >= len(keys)/2 {
				<-half
			}

			var twice sync.WaitGroup

			for entry := range 2 {
				twice.Go(func() { l.book(entry, key) })
			}

			twice.Wait()
			l.book(i%2, key)
		})
	}

	s.signal("booking-1", syscall.SIGSTOP)
	close(half)
	s.kill("entry-1")
	s.signal("booking-1", syscall.SIGCONT)
	all.Wait()
	l.check()

	s.startOne("entry-1")
	s.ready(s.operator["entry-1"] + "/readyz")

	for i, key := range keys {
		l.book(i%2, key)
	}

	l.check()
}

// The log service goes out and comes back. Bookings that are refused all the
// while leave families in the rain; those that run must be known afterwards, or
// the next try would book again.
func TestBookingsThroughALogOutage(t *testing.T) {
	s := start(t, shape{engines: 1, plains: 2})
	s.homed()

	l := newLedger(s)

	s.faults(s.log, map[string]any{"down": true})

	keys := keysFor(40)
	served := 0

	for i, key := range keys {
		if l.book(i%2, key).status == http.StatusOK {
			served++
		}
	}

	l.check()
	t.Logf("served in the outage: %d of %d", served, len(keys))

	if served == 0 {
		t.Error("served in the outage: got none, want those whose home was there before")
	}

	s.faults(s.log, map[string]any{"down": false})
	s.homed()

	for i, key := range keys {
		a := l.book(i%2, key)
		if l.made[key] && a.status == http.StatusOK && !a.replayed {
			// The booking that was made in the outage must be known; one that
			// was refused then may be made now.
			if s.runs()[key] != 1 {
				t.Errorf("booking %s: made anew after the outage", key)
			}
		}
	}

	l.check()
}

// Answers of the log are lost after the append took effect, so that the home of
// a key doesn't know whether its claim stands.
func TestBookingsWithLostAppendAnswers(t *testing.T) {
	s := start(t, shape{engines: 1, plains: 2})
	s.homed()
	s.faults(s.log, map[string]any{"lose_answers": 0.5})

	l := newLedger(s)
	keys := keysFor(30)

	for round := range 2 {
		for i, key := range keys {
			l.book((i+round)%2, key)
		}
	}

	s.faults(s.log, map[string]any{"lose_answers": 0})
	l.check()
}

// A booking service dies and comes back between the tries of its callers.
func TestBookingsWhileAServiceDies(t *testing.T) {
	s := start(t, shape{engines: 1, plains: 2})
	s.homed()

	l := newLedger(s)
	keys := keysFor(30)

	for i, key := range keys {
		if i == len(keys)/2 {
			s.kill("booking-2")
		}

		l.book(i%2, key)
	}

	for i, key := range keys {
		l.book(i%2, key)
	}

	l.check()
}
