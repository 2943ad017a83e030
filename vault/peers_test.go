package vault

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// fakeReporters are two processes that follow the stores for all others.
type fakeReporters struct {
	fakePeers

	mu                sync.Mutex
	dead              map[string]bool
	storesUnreachable bool           // they follow the stores, but the stores do not respond
	asks              map[string]int // calls of StoreUpdates, by process
	reachable         map[string]bool
}

func (*fakeReporters) Watchers() ([]string, bool) { return []string{"one", "two"}, false }

func (p *fakeReporters) StoreUpdates(_ context.Context, peer string, positions []Position) ([]Update, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.asks[peer]++

	if p.dead[peer] {
		return nil, errLogDown
	}

	var all []Update

	for _, x := range positions {
		x.Reporter = 1
		all = append(all, Update{Position: x, Reachable: p.reachable[x.Address] && !p.storesUnreachable, Unreachable: p.storesUnreachable, Epoch: 1, Snapshot: true})
	}

	return all, nil
}

func (p *fakeReporters) kill(peers ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, x := range peers {
		p.dead[x] = true
	}
}

// countingStore counts the calls of List, by address.
type countingStore struct {
	fakeStore

	mu    sync.Mutex
	calls map[string]int
}

func (s *countingStore) List(ctx context.Context, address string) (Listing, error) {
	s.mu.Lock()
	s.calls[address]++
	s.mu.Unlock()

	return s.fakeStore.List(ctx, address)
}

// Guards against a request per store in each of three polls a second, since a large fleet has
// hundreds of stores, and against losing stores that no process reports: all prompts would be
// recomputed. A process therefore calls a store directly if the processes that follow the stores
// are dead or do not follow that store.
func TestOneRequestCoversAllStores(t *testing.T) {
	tests := []struct {
		name string
		dead []string
		// direct are the stores that are called directly.
		direct map[string]bool
	}{
		{"both are alive", nil, map[string]bool{"s3": true}},
		{"one is dead", []string{"one"}, map[string]bool{"s3": true}},
		{"both are dead", []string{"one", "two"}, map[string]bool{"s1": true, "s2": true, "s3": true}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				peers := &fakeReporters{dead: map[string]bool{}, asks: map[string]int{}, reachable: map[string]bool{"s1": true, "s2": true}}
				store := &countingStore{calls: map[string]int{}}
				w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: store, Peers: peers, Rank: func(string) int { return 0 }, Log: logr.Discard()})
				w.Configure([]Store{{Address: "s1"}, {Address: "s2"}, {Address: "s3"}})

				go w.Run(ctx)

				time.Sleep(2 * time.Second)
				peers.kill(tt.dead...)
				time.Sleep(2 * time.Second)
				synctest.Wait()

				for _, address := range []string{"s1", "s2", "s3"} {
					if got := store.calls[address] > 0; got != tt.direct[address] {
						t.Errorf("%s: got direct calls %v, want %v", address, got, tt.direct[address])
					}
				}

				const rounds = 16 // of 300 ms in four seconds, with a margin
				if got := peers.asks["one"]; got > rounds {
					t.Errorf("got %d calls of StoreUpdates, want at most %d", got, rounds)
				}
			})
		})
	}
}

// countingReporters counts the calls of Watchers.
type countingReporters struct {
	fakeReporters

	watchersCalls int
}

func (p *countingReporters) Watchers() ([]string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.watchersCalls++

	return []string{"one", "two"}, false
}

// Guards against polling for each store that other processes follow, whose cost grows with
// the number of stores.
func TestStoresFollowedByOthersAreNotPolled(t *testing.T) {
	for _, n := range []int{3, 60, 300} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			peers := &countingReporters{fakeReporters: fakeReporters{asks: make(map[string]int), reachable: make(map[string]bool)}}
			source := &countingStore{calls: make(map[string]int)}

			var stores []Store

			for i := range n {
				s := Store{Address: strconv.Itoa(i)}
				stores = append(stores, s)
				peers.reachable[s.Address] = true
			}

			w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: source, Peers: peers, Rank: func(string) int { return 0 }, Log: logr.Discard()})
			w.Configure(stores)

			var wg sync.WaitGroup

			wg.Go(func() { w.Run(ctx) })
			time.Sleep(30 * time.Second)
			cancel()
			wg.Wait()
			synctest.Wait()

			// One more call at the start, and one for the signal of Configure.
			if got, want := peers.watchersCalls, int(30*time.Second/peerPollInterval)+2; got > want {
				t.Errorf("%d stores: got %d calls of Watchers in 30 s, want at most %d", n, got, want)
			}

			if got := len(source.calls); got != 0 {
				t.Errorf("%d stores: got calls to %d of them, want none", n, got)
			}
		})
	}
}

// refusingStore counts and refuses calls to List, as a store with too many open calls does.
type refusingStore struct{ countingStore }

var errTooManyCalls = errors.New("too many calls")

func (s *refusingStore) List(_ context.Context, address string) (Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.calls[address]++

	return Listing{}, errTooManyCalls
}

// Guards against direct calls from hundreds of processes to a store that is down or overloaded,
// which would prevent its recovery.
func TestUnreachableStoresAreNotOverloaded(t *testing.T) {
	const duration = 30 * time.Second

	tests := []struct {
		name     string
		setUp    func(p *fakeReporters)
		maxCalls int // by one process
	}{
		{"the processes that follow the store cannot reach it", func(p *fakeReporters) { p.storesUnreachable = true }, 0},
		{"the processes that follow the store are dead", func(p *fakeReporters) { p.dead = map[string]bool{"one": true, "two": true} }, 10},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				peers := &fakeReporters{asks: make(map[string]int), reachable: make(map[string]bool)}
				tt.setUp(peers)

				source := &refusingStore{countingStore{calls: make(map[string]int)}}
				w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: source, Peers: peers, Rank: func(string) int { return 0 }, Log: logr.Discard()})
				w.Configure([]Store{{Address: "s"}})

				var wg sync.WaitGroup

				wg.Go(func() { w.Run(ctx) })
				time.Sleep(duration)
				cancel()
				wg.Wait()
				synctest.Wait()

				if got := source.calls["s"]; got > tt.maxCalls {
					t.Errorf("got %d calls in %v, want at most %d", got, duration, tt.maxCalls)
				}
			})
		})
	}
}

// hangingReporters are reporters of which some never respond, so that calls to them time out.
type hangingReporters struct {
	fakeReporters

	hanging map[string]bool
}

const askTimeout = 400 * time.Millisecond

func (p *hangingReporters) StoreUpdates(ctx context.Context, peer string, positions []Position) ([]Update, error) {
	if p.hanging[peer] {
		time.Sleep(askTimeout)

		return nil, context.DeadlineExceeded
	}

	return p.fakeReporters.StoreUpdates(ctx, peer, positions)
}

// Guards against an unresponsive peer delaying updates until they are too old to be passed on,
// which makes other processes call all stores directly.
func TestProcessServesOthersWhileAPeerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		peers := &hangingReporters{fakeReporters{asks: make(map[string]int), reachable: map[string]bool{"s": true}}, map[string]bool{"one": true}}
		source := &countingStore{calls: make(map[string]int)}
		d := NewDirectory(2)
		w := NewWatcher(WatcherConfig{Directory: d, Source: source, Peers: peers, Rank: func(string) int { return 0 }, Log: logr.Discard()})
		w.Configure([]Store{{Address: "s"}})

		var wg sync.WaitGroup

		wg.Go(func() { w.Run(ctx) })
		time.Sleep(3 * time.Second)

		const (
			step        = 10 * time.Millisecond
			duration    = 30 * time.Second
			maxTotalGap = 300 * time.Millisecond
		)

		var totalGap time.Duration

		for range duration / step {
			if u := d.Updates(time.Now(), []Position{{Address: "s"}}); !u[0].Reachable {
				totalGap += step
			}

			time.Sleep(step)
		}

		cancel()
		wg.Wait()
		synctest.Wait()

		if totalGap > maxTotalGap {
			t.Errorf("got no update of the store to pass on for %v of %v, want at most %v", totalGap, duration, maxTotalGap)
		}

		if got := source.calls["s"]; got > 0 {
			t.Errorf("got %d calls to the store, want none", got)
		}
	})
}
