package entry

import (
	"context"
	"sync"
	"time"

	"boragehub/directory"
	"boragehub/event"
	"boragehub/message"
	"boragehub/operator"
	"boragehub/peer"
	"boragehub/prompt"
	"boragehub/vm"
)

// Timeouts of the directory.
const (
	// locateTimeout bounds what asking an owner may add to the first token.
	locateTimeout = 150 * time.Millisecond
	learnTimeout  = 2 * time.Second
)

// owned is the part of the context directory that this entry keeps.
type owned struct {
	mu    sync.Mutex
	table *directory.Table
}

func newOwned(cfg directory.Config) *owned {
	return &owned{table: directory.NewTable(cfg)}
}

func (o *owned) learn(now time.Time, m message.Learn) {
	o.mu.Lock()
	defer o.mu.Unlock()

	kind := directory.Engine
	if m.Holding.Store {
		kind = directory.Store
	}

	if m.Gone {
		o.table.Forget(m.Anchor, kind, m.Holding.Holder, m.Holding.Copy)

		return
	}

	o.table.Learn(now, m.Anchor, m.Chain, directory.Holding{
		Kind:       kind,
		Name:       m.Holding.Holder,
		DataCentre: m.Holding.DataCentre,
		Blocks:     m.Holding.Blocks,
		Version:    m.Holding.Version,
		Copy:       m.Holding.Copy,
		Bytes:      m.Holding.Bytes,
	})
}

func (o *owned) locate(now time.Time, anchor prompt.Hash, chain prompt.Chain) []message.Holding {
	o.mu.Lock()
	defer o.mu.Unlock()

	found := o.table.Lookup(now, anchor, chain, nil)
	holdings := make([]message.Holding, len(found))

	for i, h := range found {
		holdings[i] = message.Holding{
			Holder:     h.Name,
			Store:      h.Kind == directory.Store,
			DataCentre: h.DataCentre,
			Blocks:     h.Blocks,
			Version:    h.Version,
			Copy:       h.Copy,
			Bytes:      h.Bytes,
			AgeMS:      h.Age(now).Milliseconds(),
		}
	}

	return holdings
}

// all returns every holding under an anchor.
func (o *owned) all(now time.Time, anchor prompt.Hash) []directory.Holding {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.table.Holdings(now, anchor)
}

// forgetHolder drops what is believed of an engine that started anew.
func (o *owned) forgetHolder(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.table.ForgetHolder(directory.Engine, name)
}

// owner returns the entry that keeps what is known of anchor.
func (e *Entry) owner(anchor prompt.Hash) (a peer.Address, self bool) {
	entries := e.cfg.VMs.List().Of(vm.Entry, e.cfg.DataCentre)
	names := make([]string, len(entries))

	for i, m := range entries {
		names[i] = m.Name
	}

	if len(names) == 0 {
		return peer.Address{}, true
	}

	name := directory.Owner(anchor, names)
	if name == e.cfg.VM {
		return peer.Address{}, true
	}

	m, _ := e.cfg.VMs.List().Get(name)

	return peer.Address{VM: name, Addr: m.SideAddress}, false
}

// locate asks who holds leading blocks of a context. It returns nothing when the
// owner is silent: the prompt is then computed anew, which is slow and not wrong.
func (e *Entry) locate(ctx context.Context, requestID string, anchor prompt.Hash, chain prompt.Chain) []message.Holding {
	began := time.Now()

	owner, self := e.owner(anchor)
	if self {
		return e.owned.locate(began, anchor, chain)
	}

	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()

	m, err := e.cfg.Peers.Ask(ctx, owner, message.Locate{Anchor: anchor, Chain: chain})
	if err == nil {
		var l message.Located

		l, err = message.Expect[message.Located](m)
		if err == nil {
			event.Log(e.cfg.Log.V(1), event.ContextLocated, "request_id", requestID, "owner", owner.VM, "holdings", len(l.Holdings), "took_us", time.Since(began).Microseconds())

			return l.Holdings
		}
	}

	event.Fail(e.cfg.Log, err, event.OwnerSilent, "request_id", requestID, "owner", owner.VM)

	return nil
}

// learning is something that an owner should know.
type learning struct {
	m message.Learn
}

// learn tells owners what engines hold, until ctx ends.
func (e *Entry) learn(ctx context.Context) {
	for {
		l, ok := e.learns.Take(ctx)
		if !ok {
			return
		}

		e.tell(ctx, l.m)
	}
}

func (e *Entry) tell(ctx context.Context, m message.Learn) {
	owner, self := e.owner(m.Anchor)
	if self {
		e.owned.learn(time.Now(), m)

		return
	}

	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()

	if _, err := e.cfg.Peers.Ask(ctx, owner, m); err != nil && ctx.Err() == nil {
		event.Fail(e.cfg.Log.V(1), err, event.OwnerSilent, "owner", owner.VM)
	}
}

// Handle answers one conversation of another process.
func (e *Entry) Handle(_ context.Context, from peer.Identity, t *peer.Stream) {
	m, err := t.Receive()
	if err != nil {
		return
	}

	now := time.Now()

	switch m := m.(type) {
	case message.Locate:
		err = t.Send(message.Located{Holdings: e.owned.locate(now, m.Anchor, m.Chain)})
	case message.Learn:
		e.owned.learn(now, m)
		err = t.Send(message.Ack{})
	case message.Crashed:
		e.Crashed(now, m.Crash)
		err = t.Send(message.Ack{})
	default:
		answers := operator.Responder{Settings: e.cfg.Settings, Views: e.cfg.Views}
		err = t.Send(answers.Answer(now, from, m))
	}

	if err != nil {
		peer.Refuse(t, err)
	}
}
