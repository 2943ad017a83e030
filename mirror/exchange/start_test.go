package exchange

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/mirror"
)

// throttledSource is a log with limited bandwidth. It transfers the whole topic to one reader
// after another.
type throttledSource struct {
	countingSource

	mu           sync.Mutex
	transferTime time.Duration // duration of one transfer of the whole topic
	idleAt       time.Time     // when all pending transfers are complete
}

func (s *throttledSource) Newest(ctx context.Context, topic string) (mirror.Batch, error) {
	s.mu.Lock()

	if now := time.Now(); s.idleAt.Before(now) {
		s.idleAt = now
	}

	s.idleAt = s.idleAt.Add(s.transferTime)
	wait := time.Until(s.idleAt)
	s.mu.Unlock()

	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return mirror.Batch{}, ctx.Err()
	}

	return s.countingSource.Newest(ctx, topic)
}

// startingProcess is a process that is unreachable until it starts, and initially knows only the
// seeds.
type startingProcess struct {
	process

	fleet     map[string]*startingProcess
	listening atomic.Bool
	rng       *rand.Rand
}

func (p *startingProcess) Poll(ctx context.Context, address, topic string, from mirror.Position, wait time.Duration) (mirror.Batch, error) {
	if !p.fleet[address].listening.Load() {
		return mirror.Batch{}, errUnreachable
	}

	return p.process.Poll(ctx, address, topic, from, wait)
}

// gossipRound simulates Client.GossipRound and the responses of Server.
func (p *startingProcess) gossipRound() (responded, equal bool) {
	all := p.members.LiveAndSeeds(time.Now())
	p.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })

	viewHash, needAll := p.members.ViewHash(time.Now())

	for i, address := range all[:min(gossipFanout, len(all))] {
		other := p.fleet[address]
		if !other.listening.Load() {
			continue
		}

		time.Sleep(time.Millisecond)

		now := time.Now()
		other.members.MarkAlive(now, p.address)

		ages, members := other.members.Ages(now, viewHash), []Member(nil)

		switch {
		case ages != nil:
			equal = true
		case needAll && i == 0:
			members = other.members.All(now)
		default:
			members = other.members.Sample(now)
		}

		p.members.MarkAlive(now, address)
		p.members.Merge(now, members)
		p.members.MergeAges(now, viewHash, ages)

		responded = true
	}

	p.members.EndRound(equal)

	return responded, equal
}

// run starts the process and follows the topic until ctx ends. It simulates Client.Run.
func (p *startingProcess) run(ctx context.Context, source mirror.Source) {
	const (
		viewWait = 300 * time.Millisecond // restartViewWait in cmd/boragehub
		loadWait = time.Second            // restartLoadWait in cmd/boragehub
	)

	c := &Client{responded: make(chan struct{})}
	began := time.Now()

	p.listening.Store(true)

	go func() {
		responded, converged := false, false

		for ctx.Err() == nil {
			roundResponded, roundEqual := p.gossipRound()
			if roundResponded && !responded {
				responded = true

				close(c.responded)
			}

			converged = converged || roundEqual

			time.Sleep(nextGossipPause(time.Since(began), responded, converged))
		}
	}()

	c.WaitFirstResponse(ctx, viewWait)

	mirror.NewFollower(mirror.FollowerConfig{
		Name: "register", Topic: &p.topic, Source: source, Relay: p, Wait: 500 * time.Millisecond, LoadWait: loadWait,
		OnChanges: func(time.Time, []mirror.Record) {}, Log: logr.Discard(),
	}).Run(ctx)
}

// Guards against every entry reading the whole register from the log when all start at once, as
// after a power failure. The time until all entries serve requests would then grow with the
// square of the fleet size.
func TestFleetThatStartsAtOnceLoadsInTime(t *testing.T) {
	const (
		targetsPerEntry   = 1.5
		targetBytes       = 400.0 // size of one target in the response of the log
		logBytesPerSecond = 80e6
		startWindow       = 100 * time.Millisecond // in which all entries start
		maxLoadTime       = 900 * time.Millisecond
	)

	tests := []struct {
		entries   int
		deadSeeds int
	}{{30, 0}, {100, 0}, {400, 0}, {800, 0}, {400, 2}}

	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d entries, %d dead seeds", tt.entries, tt.deadSeeds), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				n := tt.entries
				topicBytes := float64(n) * targetsPerEntry * targetBytes
				source := &throttledSource{transferTime: time.Duration(topicBytes / logBytesPerSecond * float64(time.Second))}
				source.publish("1")

				fleet := make(map[string]*startingProcess)
				processes := make(map[string]*process)

				var addresses []string
				for i := range n + tt.deadSeeds {
					addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250))
				}

				for i, a := range addresses {
					p := &startingProcess{process: process{address: a, fleet: processes}, fleet: fleet, rng: rand.New(rand.NewPCG(1, uint64(i)))}
					p.members = NewMembers(a, addresses[:3])
					fleet[a], processes[a] = p, &p.process
				}

				began := time.Now()
				live := addresses[tt.deadSeeds:]

				for i, a := range live {
					go func() {
						// 7919 is coprime to all fleet sizes, so the start times are evenly spaced.
						time.Sleep(startWindow * time.Duration((i*7919)%n) / time.Duration(n))
						fleet[a].run(ctx, source)
					}()
				}

				loadedCount := func() (count int) {
					for _, a := range live {
						if fleet[a].topic.Loaded() {
							count++
						}
					}

					return count
				}

				for loadedCount() < n && time.Since(began) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}

				if got := time.Since(began); got > maxLoadTime {
					t.Errorf("waited %v for all entries to load the topic, want at most %v", got, maxLoadTime)
				}

				t.Logf("waited %v, %d reads of the log", time.Since(began), source.count())

				cancel()

				// Lets sleeping goroutines end, since virtual time stops when the test returns.
				time.Sleep(10 * time.Second)
				synctest.Wait()
			})
		})
	}
}
