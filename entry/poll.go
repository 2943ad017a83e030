package entry

import (
	"context"
	"sync"
	"time"

	"boragehub/event"
	"boragehub/message"
	"boragehub/peer"
	"boragehub/quarantine"
	"boragehub/target"
	"boragehub/vm"
)

// An entry polls at most one side process every pollInterval, and none that was last
// seen less than pollMinAge ago, since responses also report the load. A poll and its
// response take about 420 bytes on the wire, so an entry spends at most 840 bytes a
// second on polling, whatever the number of targets.
const (
	pollInterval = 500 * time.Millisecond
	pollMinAge   = 3 * time.Second
	pollTimeout  = 2 * time.Second
	// stateTimeout limits a state query for which a request may be waiting.
	stateTimeout = 500 * time.Millisecond
)

// maxConcurrentPolls limits the polls in flight when all targets are polled, as at the
// start of an entry before it is ready for callers.
const maxConcurrentPolls = 16

// pollTargets polls targets one after the other until ctx ends.
func (e *Entry) pollTargets(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()

	for {
		select {
		case now := <-tick.C:
			e.pollNext(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// pollNext polls the target least recently seen or polled, if it is due; the first time
// it polls all targets. It also updates the places of the gates and connects to the next
// entry.
func (e *Entry) pollNext(ctx context.Context, now time.Time) {
	e.updatePlaces(now)
	e.connectNextEntry(ctx)

	if !e.polledAll.Load() {
		if all := e.subsetTargets(); len(all) > 0 {
			e.pollAll(ctx, all)
			e.updatePlaces(time.Now())
			e.polledAll.Store(true)
		}

		return
	}

	if t, ok := e.targets.NextToPoll(now, pollMinAge); ok {
		go e.pollTarget(ctx, t)
	}
}

// connectNextEntry connects to one more entry, so that the first directory lookup there
// does not wait for a handshake: the lookup is abandoned when the owner responds late,
// and the context is then recomputed.
func (e *Entry) connectNextEntry(ctx context.Context) {
	for _, m := range e.cfg.VMs.List().OfKind(vm.Entry, e.cfg.DataCentre) {
		if m.Name == e.cfg.VM || e.connected[m.Name] == m.SideAddress {
			continue
		}

		e.connected[m.Name] = m.SideAddress

		go func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout)
			defer cancel()

			_, _ = e.cfg.Peers.Call(ctx, peer.Address{VM: m.Name, Addr: m.SideAddress}, message.Locate{})
		}()

		return
	}
}

// pollAll polls targets concurrently and returns when all have responded or failed.
func (e *Entry) pollAll(ctx context.Context, targets []target.Target) {
	var wg sync.WaitGroup

	slots := make(chan struct{}, maxConcurrentPolls)

	for _, t := range targets {
		slots <- struct{}{}

		wg.Go(func() {
			e.pollTarget(ctx, t)

			<-slots
		})
	}

	wg.Wait()
}

// subsetTargets returns the targets in this entry's subset of each service, which are
// the ones that it polls.
func (e *Entry) subsetTargets() []target.Target {
	var all []target.Target

	for _, service := range e.targets.Services() {
		all = append(all, e.targets.Subset(service)...)
	}

	return all
}

// pollTarget requests the state of one target and records it.
func (e *Entry) pollTarget(ctx context.Context, t target.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()

	if s, err := e.queryState(ctx, t); err == nil {
		e.observeState(time.Now(), t, s)
	}
}

// queryState requests a target's state from its side process, or from the target itself
// if it has none.
func (e *Entry) queryState(ctx context.Context, t target.Target) (message.State, error) {
	if t.SideAddress == "" {
		return e.queryDirectState(ctx, t)
	}

	m, err := e.cfg.Peers.Call(ctx, sideAddress(t), message.StateRequest{SettingsVersion: e.version()})
	if err != nil {
		return message.State{}, err
	}

	return message.Expect[message.State](m)
}

func sideAddress(t target.Target) peer.Address {
	return peer.Address{VM: t.VM, Addr: t.SideAddress}
}

// observeState records a state of t, as reported by its side process or, without one,
// by t itself. A new boot id means that t restarted and lost its cached blocks; a ready
// target with the same boot id has not crashed.
func (e *Entry) observeState(now time.Time, t target.Target, s message.State) {
	state := target.Loading

	switch {
	case s.Draining:
		state = target.Draining
	case s.Ready:
		state = target.Ready
	}

	if s.Boot != "" && t.BootID != "" && s.Boot != t.BootID {
		e.owned.removeHolder(t.VM)
		event.Log(e.cfg.Log, event.HolderForgotten, "vm", t.VM, "boot", s.Boot)
	}

	if s.Ready && s.Boot == t.BootID {
		e.crashes.WithdrawCrash(now, t.VM, s.Boot)
	}

	e.engines.set(t.VM, engineInfo{
		prefillRate:   s.PrefillRate,
		decodeRate:    s.DecodeRate,
		maxRunning:    s.MaxRunning,
		blockTokens:   s.BlockTokens,
		bytesPerToken: s.BytesPerToken,
	})
	e.shardOwners.set(t.Service, t.VM, s.OwnedShards)
	e.logChanges(e.targets.ObserveState(now, target.StateReport{
		VM:            t.VM,
		BootID:        s.Boot,
		Started:       now.Add(-time.Duration(s.UpMS) * time.Millisecond),
		Sequence:      s.Sequence,
		State:         state,
		DataCentre:    t.DataCentre,
		Service:       t.Service,
		Address:       t.Address,
		SideAddress:   t.SideAddress,
		Model:         s.Model,
		WeightVersion: s.Version,
		Load:          loadOf(s.Load),
	}))
}

// observeLoad records the load reported with a response. Responses of targets without a
// side process report none.
func (e *Entry) observeLoad(now time.Time, t target.Target, l message.Load) {
	if t.SideAddress != "" {
		e.targets.ObserveLoad(now, t.VM, loadOf(l))
	}
}

func loadOf(l message.Load) target.Load {
	return target.Load{
		Running:       l.Running,
		Waiting:       l.Waiting,
		WaitingTokens: l.WaitingTokens,
		Age:           time.Duration(l.AgeMS) * time.Millisecond,
	}
}

// AddCrash records a crash report: the requests that were running when a target crashed.
func (e *Entry) AddCrash(now time.Time, c quarantine.Crash) {
	for _, f := range c.Running {
		event.Log(e.cfg.Log, event.RequestSuspect, "fingerprint", f.String(), "vm", c.Target)
	}

	for _, f := range e.crashes.RecordCrash(now, c) {
		event.Log(e.cfg.Log, event.RequestQuarantined, "fingerprint", f.String(), "vm", c.Target)
	}
}

// engineInfo is what a target reports about its speed and capacity. Rates are in tokens
// a second.
type engineInfo struct {
	prefillRate, decodeRate    float64
	maxRunning                 int
	blockTokens, bytesPerToken int
}

// engineTable holds the engineInfo of each target that has reported.
type engineTable struct {
	mu   sync.Mutex
	byVM map[string]engineInfo
}

func (s *engineTable) set(vm string, v engineInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.byVM[vm] = v
}

func (s *engineTable) get(vm string) engineInfo {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.byVM[vm]
}
