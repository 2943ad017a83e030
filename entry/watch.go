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

// The watch asks at most one side process every watchEvery, and none that was
// heard within watchAfter: an answer tells the load too. A question and its
// answer take about 420 bytes on the wire, so an entry spends at most 840 bytes a
// second on it however many targets it knows.
const (
	watchEvery   = 500 * time.Millisecond
	watchAfter   = 3 * time.Second
	watchTimeout = 2 * time.Second
	lostTimeout  = 500 * time.Millisecond
)

// firstPass bounds how many side processes are asked at once when an entry
// starts, before it takes callers.
const firstPass = 16

// watch asks the side process that was heard longest ago, again and again.
func (e *Entry) watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()

	for {
		select {
		case now := <-tick.C:
			e.poll(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// poll asks one side process; at first all of them.
func (e *Entry) poll(ctx context.Context, now time.Time) {
	e.measure(now)
	e.warmUp(ctx)

	if !e.seen.Load() {
		if all := e.watched(); len(all) > 0 {
			e.askAll(ctx, all)
			e.measure(time.Now())
			e.seen.Store(true)
		}

		return
	}

	if t, ok := e.targets.NextToAsk(now, watchAfter); ok {
		go e.ask(ctx, t)
	}
}

// warmUp connects to one more entry, so that the first question for a context does
// not wait for a handshake: an owner that answers late is done without, and the
// context is computed anew.
func (e *Entry) warmUp(ctx context.Context) {
	for _, m := range e.cfg.VMs.List().Of(vm.Entry, e.cfg.DataCentre) {
		if m.Name == e.cfg.VM || e.warmed[m.Name] == m.SideAddress {
			continue
		}

		e.warmed[m.Name] = m.SideAddress

		go func() {
			ctx, cancel := context.WithTimeout(ctx, watchTimeout)
			defer cancel()

			_, _ = e.cfg.Peers.Ask(ctx, peer.Address{VM: m.Name, Addr: m.SideAddress}, message.Locate{})
		}()

		return
	}
}

// askAll asks many side processes and returns when all have answered or failed.
func (e *Entry) askAll(ctx context.Context, targets []target.Target) {
	var all sync.WaitGroup

	room := make(chan struct{}, firstPass)

	for _, t := range targets {
		room <- struct{}{}

		all.Go(func() {
			e.ask(ctx, t)

			<-room
		})
	}

	all.Wait()
}

// watched returns the targets that this entry knows well.
func (e *Entry) watched() []target.Target {
	var all []target.Target

	for _, service := range e.targets.Services() {
		all = append(all, e.targets.Subset(service)...)
	}

	return all
}

// ask asks one side process for its state and takes the answer in.
func (e *Entry) ask(ctx context.Context, t target.Target) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()

	if s, err := e.state(ctx, t); err == nil {
		e.hello(time.Now(), t, s)
	}
}

// state asks one side process for its state; a target without one is asked itself.
func (e *Entry) state(ctx context.Context, t target.Target) (message.State, error) {
	if t.SideAddress == "" {
		return e.directState(ctx, t)
	}

	m, err := e.cfg.Peers.Ask(ctx, sideOf(t), message.Ask{SettingsVersion: e.version()})
	if err != nil {
		return message.State{}, err
	}

	return message.Expect[message.State](m)
}

func sideOf(t target.Target) peer.Address {
	return peer.Address{VM: t.VM, Addr: t.SideAddress}
}

// hello takes in what a side process says of its target.
func (e *Entry) hello(now time.Time, t target.Target, s message.State) {
	state := target.Loading

	switch {
	case s.Draining:
		state = target.Draining
	case s.Ready:
		state = target.Ready
	}

	if s.Boot != "" && t.BootID != "" && s.Boot != t.BootID {
		e.owned.forgetHolder(t.VM)
		event.Log(e.cfg.Log, event.HolderForgotten, "vm", t.VM, "boot", s.Boot)
	}

	if s.Ready && s.Boot == t.BootID {
		e.crashes.Survived(now, t.VM, s.Boot)
	}

	e.speeds.set(t.VM, speed{
		prefill:       s.PrefillRate,
		decode:        s.DecodeRate,
		maxRunning:    s.MaxRunning,
		blockTokens:   s.BlockTokens,
		bytesPerToken: s.BytesPerToken,
	})
	e.homes.set(t.Service, t.VM, s.Homes)
	e.note(e.targets.ObserveHello(now, target.Hello{
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

// heardLoad takes in the load told on an answer; a target without a side process
// tells none.
func (e *Entry) heardLoad(now time.Time, t target.Target, l message.Load) {
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

// Crashed takes in what ran when a target died.
func (e *Entry) Crashed(now time.Time, c quarantine.Crash) {
	for _, f := range c.Running {
		event.Log(e.cfg.Log, event.RequestSuspect, "fingerprint", fingerprintText(f), "vm", c.Target)
	}

	for _, f := range e.crashes.Crashed(now, c) {
		event.Log(e.cfg.Log, event.RequestQuarantine, "fingerprint", fingerprintText(f), "vm", c.Target)
	}
}

// speed is what an engine says of itself.
type speed struct {
	prefill, decode            float64
	maxRunning                 int
	blockTokens, bytesPerToken int
}

// speeds holds the speeds of the engines that were heard.
type speeds struct {
	mu   sync.Mutex
	byVM map[string]speed
}

func (s *speeds) set(vm string, v speed) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.byVM[vm] = v
}

func (s *speeds) get(vm string) speed {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.byVM[vm]
}
