package exchange

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/mirror"
)

// registrationLog counts calls of Append and records the keys written.
type registrationLog struct {
	mu    sync.Mutex
	down  bool
	calls int
	keys  map[string]bool
}

func (*registrationLog) Newest(context.Context, string) (mirror.Batch, error) {
	return mirror.Batch{}, nil
}

func (l *registrationLog) Append(_ context.Context, _ string, records ...mirror.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.calls++

	if l.down {
		return errUnreachable
	}

	for _, r := range records {
		l.keys[r.Key] = true
	}

	return nil
}

// has reports whether an entry is registered.
func (l *registrationLog) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.keys[name]
}

// lose makes the log lose all registrations.
func (l *registrationLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()

	clear(l.keys)
}

func (l *registrationLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
}

// fakeRegistrationPeers calls the Registration of other entries without a network.
type fakeRegistrationPeers struct {
	members *Members
	fleet   map[string]*Registration
	fail    func(registrar string) error // replaces the call of a registrar unless nil
}

func (p *fakeRegistrationPeers) Registrar(topic string) string {
	return p.members.Registrar(time.Now(), topic)
}

func (p *fakeRegistrationPeers) Register(ctx context.Context, registrar string, entry Registrant) error {
	if p.fail != nil {
		return p.fail(registrar)
	}

	return p.fleet[registrar].Add(ctx, entry)
}

// Guards against calls to the log that grow with the number of entries when all start at once,
// and against entries that remain unregistered because their registrar fails.
func TestRegistrationsShareLogCalls(t *testing.T) {
	const (
		startWindow = 300 * time.Millisecond // within which all entries start
		maxCalls    = 12                     // regardless of fleet size
		maxDuration = 3 * time.Second        // until all entries are registered
	)

	hang := func(string) error {
		time.Sleep(registrationTimeout)

		return context.DeadlineExceeded
	}

	refuse := func(string) error { return errors.New("refused") }

	tests := []struct {
		name     string
		entries  int
		fail     func(string) error
		maxCalls int
	}{
		{"30 entries", 30, nil, maxCalls},
		{"400 entries", 400, nil, maxCalls},
		{"1000 entries", 1000, nil, maxCalls},
		{"the registrar refuses", 30, refuse, 30},
		{"the registrar hangs", 30, hang, 30},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, fleet := &registrationLog{keys: make(map[string]bool)}, make(map[string]*Registration)

				var addresses []string
				for i := range tt.entries {
					addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250))
				}

				for _, a := range addresses {
					m := NewMembers(a, nil)
					for _, other := range addresses {
						m.MarkAlive(time.Now(), other)
					}

					peers := &fakeRegistrationPeers{m, fleet, tt.fail}
					fleet[a] = NewRegistration(RegistrationConfig{Log: log, Topic: "entries", Peers: peers, Logger: logr.Discard()})
				}

				var wg sync.WaitGroup

				start := time.Now()

				for i, a := range addresses {
					wg.Go(func() {
						time.Sleep(startWindow * time.Duration(i) / time.Duration(tt.entries))
						fleet[a].run(t.Context(), a, a)
					})
				}

				wg.Wait()

				if got := time.Since(start); got > maxDuration {
					t.Errorf("all entries registered after %v, want at most %v", got, maxDuration)
				}

				if len(log.keys) != tt.entries {
					t.Errorf("got %d registered entries, want %d", len(log.keys), tt.entries)
				}

				if log.calls > tt.maxCalls {
					t.Errorf("got %d calls to the log, want at most %d", log.calls, tt.maxCalls)
				}
			})
		})
	}
}

// Guards against an entry that considers itself registered before the log has accepted its record:
// other entries would free contexts that it still fetches.
func TestEntryIsNotRegisteredBeforeLogAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &registrationLog{down: true, keys: make(map[string]bool)}
		r := NewRegistration(RegistrationConfig{Log: log, Topic: "entries", Peers: &fakeRegistrationPeers{members: NewMembers("a", nil)}, Logger: logr.Discard()})

		var wg sync.WaitGroup

		wg.Go(func() { r.Run(ctx, "a", "a") })
		time.Sleep(5 * time.Second)

		if got := r.RegisteredAt(); !got.IsZero() {
			t.Errorf("entry registered at %v while the log is down", got)
		}

		log.mu.Lock()
		log.down = false
		log.mu.Unlock()

		time.Sleep(2 * registrationTimeout)

		if r.RegisteredAt().IsZero() || !log.keys["a"] {
			t.Errorf("entry not registered after the log is available again")
		}

		cancel()
		wg.Wait()
	})
}

// Guards against an entry that relies on its registration after the log has lost it: others would free
// contexts without asking it.
func TestEntryRegistersAgainAfterAReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := &registrationLog{keys: make(map[string]bool)}
		r := NewRegistration(RegistrationConfig{Log: log, Topic: "entries", Logger: logr.Discard()})

		var running sync.WaitGroup

		running.Go(func() { r.Run(ctx, "a", "a") })

		defer running.Wait()
		defer cancel()

		synctest.Wait()

		if !log.has("a") || r.RegisteredAt().IsZero() {
			t.Fatal("got the entry not registered, want it registered")
		}

		log.lose()
		log.setDown(true)
		r.Renew()
		synctest.Wait()

		if got := r.RegisteredAt(); !got.IsZero() {
			t.Errorf("after the loss: got the entry registered at %v, want not yet", got)
		}

		log.setDown(false)

		time.Sleep(2 * registrationTimeout)

		if !log.has("a") || r.RegisteredAt().IsZero() {
			t.Error("got the entry not registered again")
		}
	})
}
