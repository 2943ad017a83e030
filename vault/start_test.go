package vault

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
)

// limitedStore refuses calls to an address that already has maxStoreCalls calls in flight.
type limitedStore struct {
	fakeStore

	mu       sync.Mutex
	inFlight map[string]int // by address
	refused  int
}

const maxStoreCalls = 12

// startCall counts a call as in flight for the given duration, or refuses it.
func (s *limitedStore) startCall(address string, duration time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.inFlight[address] >= maxStoreCalls {
		s.refused++

		return errTooManyCalls
	}

	s.inFlight[address]++

	time.AfterFunc(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()

		s.inFlight[address]--
	})

	return nil
}

func (s *limitedStore) List(ctx context.Context, address string) (Listing, error) {
	const listTime = 20 * time.Millisecond

	if err := s.startCall(address, listTime); err != nil {
		return Listing{}, err
	}

	time.Sleep(listTime)

	return s.fakeStore.List(ctx, address)
}

func (s *limitedStore) Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error) {
	if err := s.startCall(address, wait); err != nil {
		return Events{}, err
	}

	return s.fakeStore.Events(ctx, address, since, wait)
}

// fleetPeers are the peers of one process of a fleet. The first directFollowers processes follow
// the stores directly, and the next len(directories)/12 relay updates to the rest.
type fleetPeers struct {
	fakePeers

	directories []*Directory
	self        int
}

const directFollowers = 8

func (p *fleetPeers) Watchers() (others []string, self bool) {
	if p.self < directFollowers {
		return nil, true
	}

	relays := len(p.directories) / 12
	isRelay := p.self < directFollowers+relays

	for i := range 4 {
		if i < 2 && !isRelay && relays > 0 {
			others = append(others, fmt.Sprint(directFollowers+(p.self+i)%relays))
		} else {
			others = append(others, fmt.Sprint((p.self+i)%directFollowers))
		}
	}

	return others, false
}

func (p *fleetPeers) StoreUpdates(_ context.Context, peer string, positions []Position) ([]Update, error) {
	time.Sleep(time.Millisecond)

	var i int
	if _, err := fmt.Sscan(peer, &i); err != nil {
		return nil, err
	}

	return p.directories[i].Updates(time.Now(), positions), nil
}

// Guards against processes that start together calling all stores that are not reported yet, so
// that the stores refuse calls from the processes that follow them for the others.
func TestSimultaneousStartDoesNotOverloadStores(t *testing.T) {
	const (
		storeCount  = 20
		startSpread = 200 * time.Millisecond // between the first start and the last
		checkAfter  = 1200 * time.Millisecond
	)

	for _, n := range []int{30, 400} {
		t.Run(fmt.Sprintf("%d processes", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &limitedStore{inFlight: make(map[string]int)}

				var (
					stores      []Store
					directories []*Directory
					wg          sync.WaitGroup
				)

				for i := range storeCount {
					stores = append(stores, Store{Address: fmt.Sprint("s", i)})
				}

				for i := range n {
					directories = append(directories, NewDirectory(int64(i+1)))
				}

				for i, d := range directories {
					w := NewWatcher(WatcherConfig{
						Directory: d, Source: source, Peers: &fleetPeers{directories: directories, self: i},
						Rank: func(string) int { return 0 }, Log: logr.Discard(),
					})

					wg.Go(func() {
						time.Sleep(startSpread * time.Duration(i*7919%n) / time.Duration(n))
						w.Configure(stores)
						w.Run(ctx)
					})
				}

				time.Sleep(checkAfter)

				unknown := 0

				for _, d := range directories {
					for _, s := range stores {
						if u := d.Updates(time.Now(), []Position{{Address: s.Address}}); !u[0].Reachable {
							unknown++
						}
					}
				}

				if unknown > 0 {
					t.Errorf("got %d of %d stores unknown after %v, want none", unknown, n*storeCount, checkAfter)
				}

				if source.refused > 0 {
					t.Errorf("got %d calls refused, want none", source.refused)
				}

				cancel()
				wg.Wait()
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}
