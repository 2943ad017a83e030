package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal/memory"
)

// deed is one thing that happens to a running service.
type deed struct {
	what  int
	after time.Duration
	pick  int
	long  time.Duration
}

// The deeds.
const (
	deedCall = iota
	deedCallAgain
	deedCallMore
	deedResend
	deedResendMore
	deedFault
	deedHeal
	deedKill
	deedReplace
	deedDrain
	deeds
)

// member is one side process with its Home.
type member struct {
	vm     string
	home   *Home
	cancel context.CancelFunc
	dead   bool
}

// service is a running service on virtual time: real Homes, writers and readers.
type service struct {
	ctx   context.Context
	wg    sync.WaitGroup
	log   *memory.Log
	calls sync.WaitGroup

	mu      sync.Mutex
	fleet   Fleet
	members []*member
	started uint64
	keys    []string
	ran     map[string][]int // the calls that a target ran, by key
	notRun  map[int]string   // calls that were answered with a kind that says "not run"
	wrong   []string
	history []porcupine.Operation
	number  int
}

// ending is how a call ended: one of it ran, an earlier one's outcome came back,
// or an answer says that no call with its key has run.
type ending struct {
	ran, replayed int
	nothing       bool
}

// onceModel is a key that runs at most once. Its state is the call that ran, 0
// for none.
var onceModel = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		ran, _ := state.(int)
		e, _ := output.(ending)

		switch {
		case e.ran != 0:
			return ran == 0, e.ran
		case e.replayed != 0:
			return ran == e.replayed, ran
		case e.nothing:
			return ran == 0, ran
		default:
			return true, ran
		}
	},
}

// byKey parts a history, since keys don't touch each other.
func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[any][]porcupine.Operation{}
	for _, o := range history {
		parts[o.Input] = append(parts[o.Input], o)
	}

	all := make([][]porcupine.Operation, 0, len(parts))
	for _, p := range parts {
		all = append(all, p)
	}

	return all
}

// note puts a call that has ended into the history.
func (s *service) note(n int, key string, from time.Time, e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history = append(s.history, porcupine.Operation{
		ClientId: n, Input: key, Call: from.UnixNano(), Output: e, Return: time.Now().UnixNano(),
	})
}

func (s *service) list() Fleet {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.fleet
}

// boot starts a process on a VM.
func (s *service) boot(vm string) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.started++
	m := &member{vm: vm, cancel: cancel, home: NewHome(HomeConfig{
		Log: s.log, Service: "s", Shards: 2, VM: vm, Incarnation: s.started, Fleet: s.list,
		Rebalance: 10 * time.Second, SnapshotRecords: 5,
	})}
	s.members = append(s.members, m)
	s.wg.Go(func() { m.home.Run(ctx) })
}

func (s *service) kill(m *member) {
	s.mu.Lock()
	m.dead = true
	s.mu.Unlock()
	m.cancel()
}

// call is one call of a caller, at one process, and what its target does.
func (s *service) call(m *member, key string, d deed) {
	s.mu.Lock()
	s.number++
	n := s.number
	s.mu.Unlock()

	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
		defer cancel()

		from := time.Now()
		ticket, err := m.home.Claim(ctx, from, Request{Organisation: "o", Key: key})

		switch {
		case err != nil:
			k := failure.KindOf(err)
			s.refused(n, err)
			s.note(n, key, from, ending{nothing: k == failure.LogUnavailable || k == failure.QueueFull})
		case ticket.Outcome != nil:
			s.replayed(key, ticket.Outcome.Status)
			s.note(n, key, from, ending{replayed: ticket.Outcome.Status})
		default:
			time.Sleep(d.long)
			s.run(m, ticket, key, n)
			s.note(n, key, from, ending{ran: n})
		}
	})
}

func (s *service) refused(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if k := failure.KindOf(err); k.Answer().Ran == failure.NotRun {
		s.notRun[n] = k.String()
	}
}

func (s *service) replayed(key string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if runs := s.ran[key]; len(runs) != 1 || runs[0] != status {
		s.wrong = append(s.wrong, fmt.Sprintf("key %s: got the outcome of %d, want that of %v", key, status, runs))
	}
}

// run lets the target run the call; a process that died meanwhile had sent it.
func (s *service) run(m *member, ticket Ticket, key string, n int) {
	s.mu.Lock()
	s.ran[key] = append(s.ran[key], n)
	dead := m.dead
	s.mu.Unlock()

	if !dead {
		_ = m.home.Settle(s.ctx, ticket, Outcome{Status: n})
	}
}

// do carries out one deed.
func (s *service) do(d deed) {
	var alive []*member

	for _, m := range s.members {
		if !m.dead {
			alive = append(alive, m)
		}
	}

	m := alive[d.pick%len(alive)]

	switch d.what {
	case deedCall, deedCallAgain, deedCallMore:
		key := keyAt(time.Now(), len(s.keys))
		s.keys = append(s.keys, key)
		s.call(m, key, d)
	case deedResend, deedResendMore:
		if len(s.keys) > 0 {
			s.call(m, s.keys[max(0, len(s.keys)-1-d.pick%3)], d)
		}
	case deedFault:
		s.log.Set([]memory.Faults{
			{Down: true}, {Silent: true}, {Delay: 2 * d.long}, {Lose: func(n uint64) bool { return n%2 == 0 }},
			{Late: func(n uint64) time.Duration { return time.Duration(n%2) * d.long }},
		}[d.pick%5])
	case deedHeal:
		s.log.Set(memory.Faults{})
	case deedKill:
		s.kill(m)
		s.boot(m.vm)
	case deedReplace:
		s.kill(m)
		s.replace(m.vm)
	case deedDrain:
		ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
		_ = m.home.Drain(ctx)

		cancel()
		s.kill(m)
		s.boot(m.vm)
	}
}

// replace has the platform drop a VM and start another one.
func (s *service) replace(vm string) {
	s.mu.Lock()
	f := Fleet{Version: s.fleet.Version + 1}
	fresh := fmt.Sprintf("vm%d", f.Version+1)

	for _, v := range s.fleet.VMs {
		if v != vm {
			f.VMs = append(f.VMs, v)
		}
	}

	f.VMs = append(f.VMs, fresh)
	s.fleet = f
	s.mu.Unlock()
	s.boot(fresh)
}

// verdict tells what callers could have noticed.
func (s *service) verdict() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	for key, runs := range s.ran {
		if len(runs) > 1 {
			return fmt.Errorf("key %s: got runs by the calls %v, want one", key, runs)
		}

		if kind, ok := s.notRun[runs[0]]; ok {
			return fmt.Errorf("key %s: got a run by call %d, want none after %s", key, runs[0], kind)
		}
	}

	if !porcupine.CheckOperations(onceModel, s.history) {
		return fmt.Errorf("got a history that no order of the calls explains, want one of keys that run at most once")
	}

	if len(s.wrong) > 0 {
		return fmt.Errorf("%s", s.wrong[0])
	}

	return nil
}

// play runs a service through deeds and then heals all.
func play(ctx context.Context, all []deed) error {
	ctx, cancel := context.WithCancel(ctx)
	s := &service{
		ctx: ctx, log: memory.New(), fleet: Fleet{Version: 1, VMs: []string{"vm0", "vm1"}},
		ran: map[string][]int{}, notRun: map[int]string{},
	}

	s.boot("vm0")
	s.boot("vm1")
	time.Sleep(5 * time.Second)

	for _, d := range all {
		time.Sleep(d.after)
		s.do(d)
	}

	s.log.Set(memory.Faults{})
	time.Sleep(time.Minute)
	s.calls.Wait()

	err := s.verdict()
	if err == nil {
		err = s.healthy()
	}

	cancel()
	s.wg.Wait()

	return err
}

// healthy fails when not every shard has exactly one home that takes claims.
func (s *service) healthy() error {
	homes := map[int]int{}

	for _, m := range s.members {
		if m.dead {
			continue
		}

		for _, n := range m.home.Homes() {
			homes[n]++
		}
	}

	if len(homes) != 2 || homes[0] != 1 || homes[1] != 1 {
		return fmt.Errorf("after all faults ended: got homes by shard %v, want one for each of 2", homes)
	}

	return nil
}

// Real homes with real writers and readers, killed, replaced and drained while
// the log is down, silent, slow, loses answers or carries appends out late.
// Callers repeat their bookings at any process. A rider would notice two
// bookings, an answer that belongs to no booking, or a shard that nobody serves.
func TestHomesUnderFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []deed

		for range rapid.IntRange(1, 30).Draw(rt, "deeds") {
			all = append(all, deed{
				what:  rapid.IntRange(0, deeds-1).Draw(rt, "deed"),
				after: time.Duration(rapid.IntRange(1, 4000).Draw(rt, "after")) * time.Millisecond,
				pick:  rapid.IntRange(0, 9).Draw(rt, "pick"),
				long:  time.Duration(rapid.IntRange(0, 3000).Draw(rt, "long")) * time.Millisecond,
			})
		}

		var err error

		synctest.Test(t, func(t *testing.T) { err = play(t.Context(), all) })

		if err != nil {
			rt.Fatal(err)
		}
	})
}
