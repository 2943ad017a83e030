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

var errUnreachable = errors.New("unreachable")

// countingSource is a log that counts its calls.
type countingSource struct {
	mu      sync.Mutex
	records []mirror.Record
	calls   int
}

func (s *countingSource) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls
}

func (s *countingSource) publish(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.records = append(s.records, mirror.Record{Key: "config", Value: []byte(value), Offset: int64(len(s.records))})
}

func (s *countingSource) since(from int64) mirror.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()

	return mirror.Batch{Records: s.records[from:], End: int64(len(s.records))}
}

func (s *countingSource) Newest(context.Context, string) (mirror.Batch, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()

	b := s.since(0)
	b.Snapshot = true

	return b, nil
}

func (s *countingSource) Read(ctx context.Context, _ string, from int64, wait time.Duration) (mirror.Batch, error) {
	const step = 10 * time.Millisecond

	s.mu.Lock()
	s.calls++
	s.mu.Unlock()

	for ; wait > 0; wait -= step {
		if b := s.since(from); len(b.Records) > 0 {
			return b, nil
		}

		select {
		case <-time.After(step):
		case <-ctx.Done():
			return mirror.Batch{}, ctx.Err()
		}
	}

	return s.since(from), nil
}

// process follows a topic in a simulated fleet and serves it to the others. A paused process
// doesn't respond to polls.
type process struct {
	address string
	topic   mirror.Topic
	members *Members
	fleet   map[string]*process

	mu     sync.Mutex
	paused bool
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.paused = true
}

func (p *process) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.paused
}

func (p *process) Assignment(topic string) mirror.Assignment {
	return p.members.Assignment(time.Now(), topic)
}

func (p *process) Poll(ctx context.Context, address, _ string, from mirror.Position, wait time.Duration) (mirror.Batch, error) {
	other := p.fleet[address]
	if other.isPaused() {
		<-ctx.Done()

		return mirror.Batch{}, errUnreachable
	}

	if !other.topic.Loaded() {
		return mirror.Batch{}, errNotLoaded
	}

	b := waitForRecords(ctx, time.Now(), &other.topic, from, wait)
	if other.isPaused() {
		<-ctx.Done()

		return mirror.Batch{}, errUnreachable
	}

	return b, nil
}

// allUpdated reports whether all processes that are not paused have a value.
func allUpdated(fleet map[string]*process, value string) bool {
	for _, p := range fleet {
		if r, ok := p.topic.Get("config"); !p.isPaused() && (!ok || string(r.Value) != value) {
			return false
		}
	}

	return true
}

// propagationTime returns how long it takes until all processes that are not paused have a
// value, up to about ten seconds.
func propagationTime(fleet map[string]*process, value string) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second && !allUpdated(fleet, value) {
		time.Sleep(10 * time.Millisecond)
	}

	return time.Since(began)
}

// Guards against reads of the log that grow with the fleet, and against late updates when all
// readers and relays are paused at once.
func TestUpdatesReachFleetInTime(t *testing.T) {
	const (
		wait            = 500 * time.Millisecond
		window          = 5 * time.Second
		startupWindow   = 2 * time.Second
		maxStartupReads = 25              // reads of the log within startupWindow, at any fleet size
		maxRate         = 10              // reads of the log per second, at any fleet size
		maxDelay        = 2 * time.Second // strictest bound of any deployment for applying a configuration
	)

	for _, n := range []int{30, 37, 85, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			log, fleet := &countingSource{}, make(map[string]*process)
			log.publish("1")

			for i := range n {
				p := &process{address: fmt.Sprintf("10.1.%d.%d:7700", i/250, i%250), fleet: fleet}
				p.members = NewMembers(p.address, nil)
				fleet[p.address] = p
			}

			for _, p := range fleet {
				for other := range fleet {
					p.members.MarkAlive(time.Now(), other)
				}

				go mirror.NewFollower(mirror.FollowerConfig{
					Name: "op", Topic: &p.topic, Source: log, Relay: p, Wait: wait, LoadWait: 3 * time.Second,
					OnChanges: func(time.Time, []mirror.Record) {}, Log: logr.Discard(),
				}).Run(ctx)
			}

			time.Sleep(startupWindow)

			before := log.count()
			if before > maxStartupReads {
				t.Errorf("%d processes: got %d reads of the log in the first %v, want at most %d", n, before, startupWindow, maxStartupReads)
			}

			time.Sleep(window)

			got := float64(log.count()-before) / window.Seconds()
			if got > maxRate {
				t.Errorf("%d processes: got %.0f reads of the log per second, want at most %d", n, got, maxRate)
			}

			log.publish("2")

			if got, want := propagationTime(fleet, "2"), wait; got > want {
				t.Errorf("%d processes: got the update after %v, want at most %v", n, got, want)
			}

			for _, p := range fleet {
				if a := p.Assignment("op"); a.Direct || a.Wait > 0 {
					p.pause()
				}
			}

			log.publish("3")

			if got := propagationTime(fleet, "3"); got > maxDelay {
				t.Errorf("%d processes, readers and relays paused: got the update after %v, want at most %v", n, got, maxDelay)
			}

			cancel()
			synctest.Wait()
		})
	}
}
