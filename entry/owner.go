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

// Timeouts of requests to directory owners.
const (
	// locateTimeout limits how long the lookup at an owner delays the first token.
	locateTimeout = 150 * time.Millisecond
	updateTimeout = 2 * time.Second
)

// ownedContexts is the part of the context directory that this entry owns.
type ownedContexts struct {
	mu    sync.Mutex
	table *directory.Table
}

func newOwnedContexts(cfg directory.Config) *ownedContexts {
	return &ownedContexts{table: directory.NewTable(cfg)}
}

func (o *ownedContexts) update(now time.Time, m message.HoldingUpdate) {
	o.mu.Lock()
	defer o.mu.Unlock()

	kind := directory.Engine
	if m.Holding.Store {
		kind = directory.Store
	}

	if m.Removed {
		o.table.Remove(m.Anchor, kind, m.Holding.Holder, m.Holding.Copy)

		return
	}

	o.table.Record(now, m.Anchor, m.Chain, directory.Holding{
		Kind:       kind,
		Name:       m.Holding.Holder,
		DataCentre: m.Holding.DataCentre,
		Blocks:     m.Holding.Blocks,
		Version:    m.Holding.Version,
		Copy:       m.Holding.Copy,
		Bytes:      m.Holding.Bytes,
	})
}

func (o *ownedContexts) locate(now time.Time, anchor prompt.Hash, chain prompt.Chain) []message.Holding {
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

// holdings returns all holdings under an anchor.
func (o *ownedContexts) holdings(now time.Time, anchor prompt.Hash) []directory.Holding {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.table.Holdings(now, anchor)
}

// removeHolder removes the holdings of an engine that restarted.
func (o *ownedContexts) removeHolder(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.table.RemoveHolder(directory.Engine, name)
}

// owner returns the entry of this data centre that owns anchor. self reports whether it
// is this one, in which case the address is empty.
func (e *Entry) owner(anchor prompt.Hash) (a peer.Address, self bool) {
	entries := e.cfg.VMs.List().OfKind(vm.Entry, e.cfg.DataCentre)
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

// locate returns the holders of the leading blocks of a context, as recorded by its
// owner. If the owner does not respond in time it returns none: the prompt is then
// recomputed, which is slow but correct.
func (e *Entry) locate(ctx context.Context, requestID string, anchor prompt.Hash, chain prompt.Chain) []message.Holding {
	start := time.Now()

	owner, self := e.owner(anchor)
	if self {
		return e.owned.locate(start, anchor, chain)
	}

	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()

	m, err := e.cfg.Peers.Call(ctx, owner, message.Locate{Anchor: anchor, Chain: chain})
	if err == nil {
		var l message.Located

		l, err = message.Expect[message.Located](m)
		if err == nil {
			event.Log(e.cfg.Log.V(1), event.ContextLocated, "request_id", requestID, "owner", owner.VM, "holdings", len(l.Holdings), "took_us", time.Since(start).Microseconds())

			return l.Holdings
		}
	}

	event.Fail(e.cfg.Log, err, event.OwnerSilent, "request_id", requestID, "owner", owner.VM)

	return nil
}

// directoryUpdate is an update to be sent to the owner of its anchor.
type directoryUpdate struct {
	holding message.HoldingUpdate
}

// sendUpdates sends the queued directory updates to their owners until ctx ends.
func (e *Entry) sendUpdates(ctx context.Context) {
	for {
		update, ok := e.updates.Take(ctx)
		if !ok {
			return
		}

		e.sendUpdate(ctx, update.holding)
	}
}

func (e *Entry) sendUpdate(ctx context.Context, m message.HoldingUpdate) {
	owner, self := e.owner(m.Anchor)
	if self {
		e.owned.update(time.Now(), m)

		return
	}

	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()

	if _, err := e.cfg.Peers.Call(ctx, owner, m); err != nil && ctx.Err() == nil {
		event.Fail(e.cfg.Log.V(1), err, event.OwnerSilent, "owner", owner.VM)
	}
}

// Handle serves one stream opened by another process.
func (e *Entry) Handle(_ context.Context, from peer.Identity, t *peer.Stream) {
	m, err := t.Receive()
	if err != nil {
		return
	}

	now := time.Now()

	switch m := m.(type) {
	case message.Locate:
		err = t.Send(message.Located{Holdings: e.owned.locate(now, m.Anchor, m.Chain)})
	case message.HoldingUpdate:
		e.owned.update(now, m)
		err = t.Send(message.Ack{})
	case message.CrashReport:
		e.AddCrash(now, m.Crash)
		err = t.Send(message.Ack{})
	default:
		responder := operator.Responder{Settings: e.cfg.Settings, Views: e.cfg.Views}
		err = t.Send(responder.Respond(now, from, m))
	}

	if err != nil {
		peer.Refuse(t, err)
	}
}
