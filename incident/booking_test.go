package incident

import (
	"net/http"
	"sync"
	"syscall"
	"testing"

	"github.com/google/uuid"
)

// bookingOracle is the oracle for bookings. It records the responses that callers got
// and shares no code with the program.
type bookingOracle struct {
	s  *system
	mu sync.Mutex

	confirmed   map[string]bool // at least one response said that it was made
	onlyRefused map[string]bool // every response so far said that it was not run
	attempted   map[string]bool
}

func newBookingOracle(s *system) *bookingOracle {
	return &bookingOracle{s: s, confirmed: map[string]bool{}, onlyRefused: map[string]bool{}, attempted: map[string]bool{}}
}

// book makes a booking with key at one entry and records the response.
func (o *bookingOracle) book(entry int, key string) response {
	a := o.s.book(o.s.entries[entry], key, 2)

	o.mu.Lock()
	defer o.mu.Unlock()

	first := !o.attempted[key]
	o.attempted[key] = true

	switch {
	case a.status == http.StatusOK:
		o.confirmed[key] = true
		o.onlyRefused[key] = false
	case a.ran == "not_run":
		o.onlyRefused[key] = first || o.onlyRefused[key]
	default:
		o.onlyRefused[key] = false
	}

	return a
}

// check compares the recorded responses with what the plain services ran.
func (o *bookingOracle) check() {
	o.s.t.Helper()

	runs := o.s.runsByKey()

	for key := range o.attempted {
		switch n := runs[key]; {
		case n > 1:
			o.s.t.Errorf("booking %s: ran %d times, want at most once", key, n)
		case o.confirmed[key] && n != 1:
			o.s.t.Errorf("booking %s: confirmed, ran %d times, want once", key, n)
		case o.onlyRefused[key] && n != 0:
			o.s.t.Errorf("booking %s: every response said that it was not run, but it ran", key)
		}
	}
}

func newKeys(n int) []string {
	keys := make([]string, n)
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
	}

	return keys
}

// Callers send each booking to both entries at once and then once more, while one entry is
// killed and a side process is paused and resumed. A booking could run twice, or run although
// its caller was told that it did not.
func TestBookingsRunAtMostOnce(t *testing.T) {
	s := start(t, systemConfig{engines: 1, plainServices: 2})
	s.waitForOwners()

	oracle := newBookingOracle(s)
	keys := newKeys(60)

	var wg sync.WaitGroup

	secondHalf := make(chan struct{})

	for i, key := range keys {
		wg.Go(func() {
			if i >= len(keys)/2 {
				<-secondHalf
			}

			var duplicates sync.WaitGroup

			for entry := range 2 {
				duplicates.Go(func() { oracle.book(entry, key) })
			}

			duplicates.Wait()
			oracle.book(i%2, key)
		})
	}

	s.signal("booking-1", syscall.SIGSTOP)
	close(secondHalf)
	s.kill("entry-1")
	s.signal("booking-1", syscall.SIGCONT)
	wg.Wait()
	oracle.check()

	s.startSystemProcess("entry-1")
	s.waitReady(s.operatorURLs["entry-1"] + "/readyz")

	for i, key := range keys {
		oracle.book(i%2, key)
	}

	oracle.check()
}

// The log service is unavailable for a while. Bookings in shards that had an owner before
// must still be accepted, and the claims of those that ran must be known after the outage,
// or a retry would book again.
func TestBookingsThroughALogOutage(t *testing.T) {
	s := start(t, systemConfig{engines: 1, plainServices: 2})
	s.waitForOwners()

	oracle := newBookingOracle(s)

	s.setFaults(s.logURL, map[string]any{"down": true})

	keys := newKeys(40)
	served := 0

	for i, key := range keys {
		if oracle.book(i%2, key).status == http.StatusOK {
			served++
		}
	}

	oracle.check()
	t.Logf("served during the outage: %d of %d", served, len(keys))

	if served == 0 {
		t.Error("served during the outage: got none, want bookings in shards with an owner")
	}

	s.setFaults(s.logURL, map[string]any{"down": false})
	s.waitForOwners()

	for i, key := range keys {
		a := oracle.book(i%2, key)
		if oracle.confirmed[key] && a.status == http.StatusOK && !a.replayed {
			// A booking that was made during the outage must not run again; one that
			// was refused then may run now.
			if s.runsByKey()[key] != 1 {
				t.Errorf("booking %s: ran again after the outage", key)
			}
		}
	}

	oracle.check()
}

// Responses of the log service are lost after the append took effect, so that the owner of
// a shard does not know whether its claim was recorded. A retry must not book again.
func TestBookingsWithLostAppendResponses(t *testing.T) {
	s := start(t, systemConfig{engines: 1, plainServices: 2})
	s.waitForOwners()
	s.setFaults(s.logURL, map[string]any{"lose_answers": 0.5})

	oracle := newBookingOracle(s)
	keys := newKeys(30)

	for round := range 2 {
		for i, key := range keys {
			oracle.book((i+round)%2, key)
		}
	}

	s.setFaults(s.logURL, map[string]any{"lose_answers": 0})
	oracle.check()
}

// The side process of a booking service is killed halfway through the first requests and not
// restarted; then every booking is retried. No booking may run twice.
func TestBookingsWhileSideProcessIsKilled(t *testing.T) {
	s := start(t, systemConfig{engines: 1, plainServices: 2})
	s.waitForOwners()

	oracle := newBookingOracle(s)
	keys := newKeys(30)

	for i, key := range keys {
		if i == len(keys)/2 {
			s.kill("booking-2")
		}

		oracle.book(i%2, key)
	}

	for i, key := range keys {
		oracle.book(i%2, key)
	}

	oracle.check()
}
