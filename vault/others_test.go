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

// tellers are processes that follow the stores for all.
type tellers struct {
	fakePeers

	mu    sync.Mutex
	dead  map[string]bool
	away  bool           // they follow the stores, but the stores do not answer
	asked map[string]int // questions
	knows map[string]bool
}

func (*tellers) Watchers() ([]string, bool) { return []string{"one", "two"}, false }

func (p *tellers) Ask(_ context.Context, peer string, positions []Position) ([]Update, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.asked[peer]++

	if p.dead[peer] {
		return nil, errLogDown
	}

	var all []Update

	for _, x := range positions {
		x.Teller = 1
		all = append(all, Update{Position: x, Watched: p.knows[x.Address] && !p.away, Away: p.away, Epoch: 1, Whole: true})
	}

	return all, nil
}

func (p *tellers) kill(peers ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, x := range peers {
		p.dead[x] = true
	}
}

// countedStore counts the calls of the stores.
type countedStore struct {
	fakeStore

	mu    sync.Mutex
	calls map[string]int
}

func (s *countedStore) List(ctx context.Context, address string) (Listing, error) {
	s.mu.Lock()
	s.calls[address]++
	s.mu.Unlock()

	return s.fakeStore.List(ctx, address)
}

// In a large fleet each entry would ask about hundreds of stores three times a second.
// One question covers all of them. When those who follow the stores die, or don't
// follow one, an entry asks the stores itself; otherwise all contexts would be read anew.
func TestOneQuestionCoversAllStores(t *testing.T) {
	tests := []struct {
		name string
		dead []string
		// direct are the stores that are asked then.
		direct map[string]bool
	}{
		{"both live", nil, map[string]bool{"s3": true}},
		{"one is dead", []string{"one"}, map[string]bool{"s3": true}},
		{"both are dead", []string{"one", "two"}, map[string]bool{"s1": true, "s2": true, "s3": true}},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()

				peers := &tellers{dead: map[string]bool{}, asked: map[string]int{}, knows: map[string]bool{"s1": true, "s2": true}}
				store := &countedStore{calls: map[string]int{}}
				w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: store, Peers: peers, Turn: func(string) int { return 0 }, Log: logr.Discard()})
				w.Configure([]Store{{Address: "s1"}, {Address: "s2"}, {Address: "s3"}})

				go w.Run(ctx)

				time.Sleep(2 * time.Second)
				peers.kill(tt.dead...)
				time.Sleep(2 * time.Second)
				synctest.Wait()

				for _, address := range []string{"s1", "s2", "s3"} {
					if got := store.calls[address] > 0; got != tt.direct[address] {
						t.Errorf("%s: got it asked %v, want %v", address, got, tt.direct[address])
					}
				}

				const rounds = 16 // of 300 ms in four seconds, and some to spare
				if got := peers.asked["one"]; got > rounds {
					t.Errorf("got %d questions, want %d at most", got, rounds)
				}
			})
		})
	}
}

// countedTellers counts the calls of Watchers.
type countedTellers struct {
	tellers

	watchersCalls int
}

func (p *countedTellers) Watchers() ([]string, bool) {
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
			peers := &countedTellers{tellers: tellers{asked: make(map[string]int), knows: make(map[string]bool)}}
			source := &countedStore{calls: make(map[string]int)}

			var stores []Store

			for i := range n {
				s := Store{Address: strconv.Itoa(i)}
				stores = append(stores, s)
				peers.knows[s.Address] = true
			}

			w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: source, Peers: peers, Turn: func(string) int { return 0 }, Log: logr.Discard()})
			w.Configure(stores)

			var wg sync.WaitGroup

			wg.Go(func() { w.Run(ctx) })
			time.Sleep(30 * time.Second)
			cancel()
			wg.Wait()
			synctest.Wait()

			// One more call at the start, and one for the signal of Configure.
			if got, want := peers.watchersCalls, int(30*time.Second/peerEvery)+2; got > want {
				t.Errorf("%d stores: got %d calls of Watchers in 30 s, want at most %d", n, got, want)
			}

			if got := len(source.calls); got != 0 {
				t.Errorf("%d stores: got calls to %d of them, want none", n, got)
			}
		})
	}
}

// refusingStore counts and refuses calls to List, as a store with too many open calls does.
type refusingStore struct{ countedStore }

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
		setUp    func(p *tellers)
		maxCalls int // by one process
	}{
		{"the processes that follow the store cannot reach it", func(p *tellers) { p.away = true }, 0},
		{"the processes that follow the store are dead", func(p *tellers) { p.dead = map[string]bool{"one": true, "two": true} }, 10},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				peers := &tellers{asked: make(map[string]int), knows: make(map[string]bool)}
				tt.setUp(peers)

				source := &refusingStore{countedStore{calls: make(map[string]int)}}
				w := NewWatcher(WatcherConfig{Directory: NewDirectory(1), Source: source, Peers: peers, Turn: func(string) int { return 0 }, Log: logr.Discard()})
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

// hangingTellers are tellers of which some never answer, so that calls to them time out.
type hangingTellers struct {
	tellers

	hanging map[string]bool
}

const askTimeout = 400 * time.Millisecond

func (p *hangingTellers) Ask(ctx context.Context, peer string, positions []Position) ([]Update, error) {
	if p.hanging[peer] {
		time.Sleep(askTimeout)

		return nil, context.DeadlineExceeded
	}

	return p.tellers.Ask(ctx, peer, positions)
}

// Guards against an unresponsive peer delaying updates until they are too old to be passed on,
// which makes other processes call all stores directly.
func TestProcessServesOthersWhileAPeerHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		peers := &hangingTellers{tellers{asked: make(map[string]int), knows: map[string]bool{"s": true}}, map[string]bool{"one": true}}
		source := &countedStore{calls: make(map[string]int)}
		d := NewDirectory(2)
		w := NewWatcher(WatcherConfig{Directory: d, Source: source, Peers: peers, Turn: func(string) int { return 0 }, Log: logr.Discard()})
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
			if u := d.Tell(time.Now(), []Position{{Address: "s"}}); !u[0].Watched {
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
