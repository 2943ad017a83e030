package vault

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// fakePeers are registered processes that learn of versions late or never.
type fakePeers struct {
	mu      sync.Mutex
	knows   map[string]bool
	logDown bool
}

var errLogDown = errors.New("the log is down")

func (p *fakePeers) set(peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.knows[peer] = true
}

func (*fakePeers) Watchers() ([]string, bool) { return nil, true }

func (*fakePeers) Ask(context.Context, string, []Position) ([]Update, error) { return nil, nil }

func (p *fakePeers) Registered(context.Context) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.logDown {
		return nil, errLogDown
	}

	all := []string{}
	for peer := range p.knows {
		all = append(all, peer)
	}

	return all, nil
}

func (p *fakePeers) Knows(_ context.Context, peer string, _ int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.knows[peer]
}

// fakeStore holds one part of version 1.
type fakeStore struct {
	mu    sync.Mutex
	freed time.Time
}

// quietStore is one whose list doesn't tell the clock, and whose events don't change.
type quietStore struct{ fakeStore }

func (*quietStore) List(context.Context, string) (Listing, error) {
	return Listing{Epoch: 1, Next: 1, Held: []Held{oldPart}}, nil
}

// All processes were killed and start anew. A store tells the engines' clock only
// with its events, and nothing changes for now; until an entry knows the clock it
// fetches nothing, so that all contexts were read anew for a second.
func TestClockIsKnownSoonAfterAStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()

		d := NewDirectory(1)
		w := NewWatcher(WatcherConfig{Directory: d, Source: &quietStore{}, Peers: &fakePeers{}, Turn: func(string) int { return 0 }, Log: logr.Discard()})
		w.Configure([]Store{{Address: "s1"}})

		go w.Run(ctx)

		time.Sleep(clockWait + time.Millisecond)
		synctest.Wait()

		if _, ok := d.Clock(time.Now()); !ok {
			t.Error("got no clock, want it known")
		}
	})
}

var oldPart = Held{Part: Part{Salt: Scope{Model: "m", Version: 1}.Salt(), ID: "a"}, Tokens: 100}

func (*fakeStore) Events(ctx context.Context, _ string, since int64, wait time.Duration) (Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}

	return Events{Epoch: 1, Next: since, Clock: time.Now().UnixMilli()}, ctx.Err()
}

func (*fakeStore) List(context.Context, string) (Listing, error) {
	return Listing{Epoch: 1, Next: 1, Clock: time.Now().UnixMilli(), Held: []Held{oldPart}}, nil
}

func (s *fakeStore) Free(context.Context, string, int64, []Part, int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.freed = time.Now()

	return nil
}

// freedAfter runs a watcher for half a minute and returns how long after a newer
// version was named the old part was freed.
func freedAfter(t *testing.T, peers *fakePeers, meanwhile func(), still ...func(time.Time) bool) time.Duration {
	t.Helper()

	var after time.Duration

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := &fakeStore{}
		cfg := WatcherConfig{Directory: NewDirectory(1), Source: store, Peers: peers, Turn: func(string) int { return 0 }, Log: logr.Discard()}

		for _, f := range still {
			cfg.Still = f
		}

		w := NewWatcher(cfg)

		var running sync.WaitGroup

		running.Go(func() { w.Run(ctx) })
		w.Configure([]Store{{Address: "s", Room: 1000}})
		time.Sleep(time.Second)

		named := time.Now()
		w.Named(named, "m", 2, 7)

		if meanwhile != nil {
			meanwhile()
		}

		time.Sleep(30 * time.Second)
		cancel()
		running.Wait()
		synctest.Wait()

		after = store.freed.Sub(named)
	})

	return after
}

// Room for contexts of new weights is short, so the old ones go as soon as nobody
// can fetch them any more.
func TestOldContextsGoOnceAllKnowOfTheNewVersion(t *testing.T) {
	got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": true}}, nil)

	if want := oldPart.FreeAfter(true); got < want || got > want+2*sweepEvery {
		t.Errorf("got it freed after %v, want %v", got, want)
	}
}

// A machine with an engine stands still in the middle of a fetch and goes on five seconds
// later, with the fetch: the engine reads what the store holds then. Freed meanwhile, it
// would get a broken context. One that never goes on must not keep the room for ever.
func TestOldContextsStayWhileAMachineStandsStill(t *testing.T) {
	usual := oldPart.FreeAfter(true)

	tests := []struct {
		name  string
		until time.Duration // how long after the start it stands still
		want  time.Duration
	}{
		{"for a while", usual + 5*time.Second, usual + 4*time.Second},
		{"for good", time.Hour, usual + stillGrace},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var began time.Time

			got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": true}}, nil, func(now time.Time) bool {
				if began.IsZero() {
					began = now
				}

				return now.Sub(began) < tt.until
			})

			if got < tt.want-2*sweepEvery || got > tt.want+2*sweepEvery {
				t.Errorf("got it freed after %v, want about %v", got, tt.want)
			}
		})
	}
}

// A registered process doesn't answer: it is dead, or cut off and still fetching.
// Freed early, the context that it fetches would be broken.
func TestOldContextsStayWhileARegisteredProcessIsSilent(t *testing.T) {
	got := freedAfter(t, &fakePeers{knows: map[string]bool{"a": true, "b": false}}, nil)

	if want := oldPart.FreeAfter(false); got < want || got > want+2*sweepEvery {
		t.Errorf("got it freed after %v, want %v", got, want)
	}
}

func TestProcessThatAnswersLateIsAskedAgain(t *testing.T) {
	peers := &fakePeers{knows: map[string]bool{"a": false}}
	got := freedAfter(t, peers, func() {
		time.Sleep(10 * time.Second)
		peers.set("a")
	})

	if got < 10*time.Second || got > 10*time.Second+askAgain+2*sweepEvery {
		t.Errorf("got it freed after %v, want just after 10 s", got)
	}
}

func TestUnreadRegisterKeepsOldContexts(t *testing.T) {
	got := freedAfter(t, &fakePeers{logDown: true}, nil)

	if want := oldPart.FreeAfter(false); got < want {
		t.Errorf("got it freed after %v, want %v", got, want)
	}
}
