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

// step is one event in a running service.
type step struct {
	kind     int
	delay    time.Duration
	choice   int
	duration time.Duration
}

// The kinds of steps.
const (
	stepCall = iota
	stepCallAgain
	stepCallMore
	stepResend
	stepResendMore
	stepFault
	stepHeal
	stepKill
	stepReplace
	stepDrain
	stepKinds
)

// sideProcess is a side process with its Deduplicator.
type sideProcess struct {
	vm     string
	dedup  *Deduplicator
	cancel context.CancelFunc
	dead   bool
}

// testService is a running service on virtual time, with real Deduplicators,
// writers and readers.
type testService struct {
	ctx   context.Context
	wg    sync.WaitGroup
	log   *memory.Log
	calls sync.WaitGroup

	mu              sync.Mutex
	vmList          VMList
	processes       []*sideProcess
	lastIncarnation uint64
	keys            []string
	ran             map[string][]int // the calls that a target ran, by key
	notRun          map[int]string   // the calls that were answered with an error that says "not run", with its kind
	wrongReplays    []string
	history         []porcupine.Operation
	lastCall        int
}

// callResult is how a call ended: it ran (ran is its number), the outcome of an
// earlier call was replayed (replayed is that call's number), or the response
// says that no call with its key has run.
type callResult struct {
	ran, replayed int
	nothingRan    bool
}

// atMostOnceModel models a key that runs at most once. Its state is the number
// of the call that ran, 0 for none.
var atMostOnceModel = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return 0 },
	Step: func(state, _, output any) (bool, any) {
		ran, _ := state.(int)
		result, _ := output.(callResult)

		switch {
		case result.ran != 0:
			return ran == 0, result.ran
		case result.replayed != 0:
			return ran == result.replayed, ran
		case result.nothingRan:
			return ran == 0, ran
		default:
			return true, ran
		}
	},
}

// byKey partitions a history, since keys are independent of each other.
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

// recordCall adds a call that has ended to the history.
func (s *testService) recordCall(n int, key string, from time.Time, result callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history = append(s.history, porcupine.Operation{
		ClientId: n, Input: key, Call: from.UnixNano(), Output: result, Return: time.Now().UnixNano(),
	})
}

func (s *testService) currentVMList() VMList {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.vmList
}

// start starts a process on a VM.
func (s *testService) start(vm string) {
	ctx, cancel := context.WithCancel(s.ctx)
	s.lastIncarnation++
	p := &sideProcess{vm: vm, cancel: cancel, dedup: NewDeduplicator(DeduplicatorConfig{
		Log: s.log, Service: "s", Shards: 2, VM: vm, Incarnation: s.lastIncarnation, VMList: s.currentVMList,
		RebalanceDelay: 10 * time.Second, SnapshotRecords: 5,
	})}
	s.processes = append(s.processes, p)
	s.wg.Go(func() { p.dedup.Run(ctx) })
}

func (s *testService) kill(p *sideProcess) {
	s.mu.Lock()
	p.dead = true
	s.mu.Unlock()
	p.cancel()
}

// call makes a call at one process and lets its target run it.
func (s *testService) call(p *sideProcess, key string, st step) {
	s.mu.Lock()
	s.lastCall++
	n := s.lastCall
	s.mu.Unlock()

	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, 10*time.Second)
		defer cancel()

		from := time.Now()
		ticket, err := p.dedup.Claim(ctx, from, Request{Organisation: "o", Key: key})

		switch {
		case err != nil:
			k := failure.KindOf(err)
			s.recordRefusal(n, err)
			s.recordCall(n, key, from, callResult{nothingRan: k == failure.LogUnavailable || k == failure.QueueFull})
		case ticket.Outcome != nil:
			s.checkReplay(key, ticket.Outcome.Status)
			s.recordCall(n, key, from, callResult{replayed: ticket.Outcome.Status})
		default:
			time.Sleep(st.duration)
			s.execute(p, ticket, key, n)
			s.recordCall(n, key, from, callResult{ran: n})
		}
	})
}

func (s *testService) recordRefusal(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if k := failure.KindOf(err); k.Response().Ran == failure.NotRun {
		s.notRun[n] = k.String()
	}
}

func (s *testService) checkReplay(key string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if runs := s.ran[key]; len(runs) != 1 || runs[0] != status {
		s.wrongReplays = append(s.wrongReplays, fmt.Sprintf("key %s: got the outcome of %d, want that of %v", key, status, runs))
	}
}

// execute lets the target run the call. If the process was killed meanwhile, it
// had already sent the call to the target.
func (s *testService) execute(p *sideProcess, ticket Ticket, key string, n int) {
	s.mu.Lock()
	s.ran[key] = append(s.ran[key], n)
	dead := p.dead
	s.mu.Unlock()

	if !dead {
		_ = p.dedup.Complete(s.ctx, ticket, Outcome{Status: n})
	}
}

// apply carries out one step.
func (s *testService) apply(st step) {
	var running []*sideProcess

	for _, p := range s.processes {
		if !p.dead {
			running = append(running, p)
		}
	}

	p := running[st.choice%len(running)]

	switch st.kind {
	case stepCall, stepCallAgain, stepCallMore:
		key := keyAt(time.Now(), len(s.keys))
		s.keys = append(s.keys, key)
		s.call(p, key, st)
	case stepResend, stepResendMore:
		if len(s.keys) > 0 {
			s.call(p, s.keys[max(0, len(s.keys)-1-st.choice%3)], st)
		}
	case stepFault:
		s.log.SetFaults([]memory.Faults{
			{Down: true}, {Unresponsive: true}, {Delay: 2 * st.duration}, {LoseResponse: func(n uint64) bool { return n%2 == 0 }},
			{DelayEffect: func(n uint64) time.Duration { return time.Duration(n%2) * st.duration }},
		}[st.choice%5])
	case stepHeal:
		s.log.SetFaults(memory.Faults{})
	case stepKill:
		s.kill(p)
		s.start(p.vm)
	case stepReplace:
		s.kill(p)
		s.replace(p.vm)
	case stepDrain:
		ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
		_ = p.dedup.Drain(ctx)

		cancel()
		s.kill(p)
		s.start(p.vm)
	}
}

// replace removes a VM from the platform's list and starts another one.
func (s *testService) replace(vm string) {
	s.mu.Lock()
	f := VMList{Version: s.vmList.Version + 1}
	newVM := fmt.Sprintf("vm%d", f.Version+1)

	for _, v := range s.vmList.VMs {
		if v != vm {
			f.VMs = append(f.VMs, v)
		}
	}

	f.VMs = append(f.VMs, newVM)
	s.vmList = f
	s.mu.Unlock()
	s.start(newVM)
}

// check fails if a key ran twice or a caller got a wrong response.
func (s *testService) check() error {
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

	if !porcupine.CheckOperations(atMostOnceModel, s.history) {
		return fmt.Errorf("got a history that is not linearisable, want keys that run at most once")
	}

	if len(s.wrongReplays) > 0 {
		return fmt.Errorf("%s", s.wrongReplays[0])
	}

	return nil
}

// runSteps runs a service through steps, ends all faults and checks the
// results.
func runSteps(ctx context.Context, steps []step) error {
	ctx, cancel := context.WithCancel(ctx)
	s := &testService{
		ctx: ctx, log: memory.New(), vmList: VMList{Version: 1, VMs: []string{"vm0", "vm1"}},
		ran: map[string][]int{}, notRun: map[int]string{},
	}

	s.start("vm0")
	s.start("vm1")
	time.Sleep(5 * time.Second)

	for _, st := range steps {
		time.Sleep(st.delay)
		s.apply(st)
	}

	s.log.SetFaults(memory.Faults{})
	time.Sleep(time.Minute)
	s.calls.Wait()

	err := s.check()
	if err == nil {
		err = s.checkOwners()
	}

	cancel()
	s.wg.Wait()

	return err
}

// checkOwners fails unless every shard has exactly one owner.
func (s *testService) checkOwners() error {
	owners := map[int]int{}

	for _, p := range s.processes {
		if p.dead {
			continue
		}

		for _, n := range p.dedup.OwnedShards() {
			owners[n]++
		}
	}

	if len(owners) != 2 || owners[0] != 1 || owners[1] != 1 {
		return fmt.Errorf("after all faults ended: got owners by shard %v, want one for each of 2", owners)
	}

	return nil
}

// Real Deduplicators, writers and readers are killed, replaced and drained while
// the log is down, unresponsive or slow, loses responses or delays appends.
// Callers retry their calls at any process. The test guards against a second run
// of a key, a response that belongs to another run, and a shard without an owner.
func TestDeduplicatorsUnderFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var steps []step

		for range rapid.IntRange(1, 30).Draw(rt, "deeds") {
			steps = append(steps, step{
				kind:     rapid.IntRange(0, stepKinds-1).Draw(rt, "deed"),
				delay:    time.Duration(rapid.IntRange(1, 4000).Draw(rt, "after")) * time.Millisecond,
				choice:   rapid.IntRange(0, 9).Draw(rt, "pick"),
				duration: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "long")) * time.Millisecond,
			})
		}

		var err error

		synctest.Test(t, func(t *testing.T) { err = runSteps(t.Context(), steps) })

		if err != nil {
			rt.Fatal(err)
		}
	})
}
