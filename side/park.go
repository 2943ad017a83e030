package side

import (
	"context"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/parking"
	"boragehub/prompt"
	"boragehub/store"
	"boragehub/vm"
)

// parkJob is a context that may be worth a copy.
type parkJob struct {
	run   *run
	chain prompt.Chain
	seen  time.Time
}

// parkTimeout bounds the export of one context and its way to a store.
const parkTimeout = storeTimeout

// maxParked bounds how many contexts a side process remembers having parked.
const maxParked = 4096

// parkedSet remembers what this process parked, so that a context is exported
// again only when it has grown, and an older copy is freed. Only the park duty
// uses it.
type parkedSet struct {
	byAnchor *lru.LRU[prompt.Hash, parkedCopy]
	gaps     *lru.LRU[workload, *parking.Gaps]
}

// workload is whose contexts return after about the same gaps.
type workload struct{ organisation, name string }

// maxWorkloads bounds the workloads whose gaps a side process learns; each takes
// about 1.5 KB.
const maxWorkloads = 512

// parkedCopy is one copy that this process made.
type parkedCopy struct {
	id      string
	address string
	holder  string
	blocks  int
	seen    time.Time
}

func newParkedSet() *parkedSet {
	// NewLRU fails only for a size under one.
	l, _ := lru.NewLRU[prompt.Hash, parkedCopy](maxParked, nil)
	g, _ := lru.NewLRU[workload, *parking.Gaps](maxWorkloads, nil)

	return &parkedSet{byAnchor: l, gaps: g}
}

// visited notes a visit and returns what is known of its workload's gaps.
func (p *parkedSet) visited(j parkJob, old parkedCopy) *parking.Gaps {
	key := workload{j.run.Organisation, j.run.Workload}

	g, ok := p.gaps.Get(key)
	if !ok {
		g = parking.NewGaps(time.Duration(j.run.UsualGapMS) * time.Millisecond)
		p.gaps.Add(key, g)
	}

	g.Visited()

	if !old.seen.IsZero() {
		g.Returned(j.seen.Sub(old.seen))
	}

	return g
}

// offerPark hands the finished context to the park duty. A full ring loses the
// copy and not the answer.
func (r *run) offerPark() {
	if r.ParkMinTokens <= 0 {
		return
	}

	tokens := r.s.guard.engineInfo().BlockTokens
	chain := r.scope().Chain(r.Prompt+r.Resume+string(r.text), tokens)

	if len(chain)*tokens < r.ParkMinTokens {
		return
	}

	if !r.s.parks.Offer(parkJob{run: r, chain: chain, seen: time.Now()}) {
		event.Log(r.s.cfg.Log, event.CopyNotParked, "request_id", r.RequestID, "reason", "busy")
	}
}

// park exports contexts one after the other until ctx ends: exports share the
// link with imports, which callers wait for.
func (s *Side) park(ctx context.Context) {
	for {
		j, ok := s.parks.Take(ctx)
		if !ok {
			return
		}

		if err := s.parkOne(ctx, j); err != nil {
			event.Fail(s.cfg.Log, err, event.CopyNotParked, "request_id", j.run.RequestID, "reason", "failed")
		}
	}
}

func (s *Side) parkOne(ctx context.Context, j parkJob) error {
	ctx, cancel := context.WithTimeout(ctx, parkTimeout)
	defer cancel()

	old, _ := s.parked.byAnchor.Get(j.run.Anchor)
	gaps := s.parked.visited(j, old)
	rooms, stores := s.rooms(ctx)
	d := s.decidePark(j, old, gaps, rooms)

	if old.id != "" {
		old.seen = j.seen
		s.parked.byAnchor.Add(j.run.Anchor, old)
	}

	event.Log(s.cfg.Log, parkEvent(d), append([]any{"request_id", j.run.RequestID}, d.Fields(rooms)...)...)

	if !d.Export() {
		return nil
	}

	body, blocks, version, err := s.engine.Export(ctx, j.chain)
	if err != nil {
		return err
	}

	if version != j.run.Version {
		return failure.New(failure.WrongVersion, "the engine moved to version %s", version)
	}

	made, err := s.put(ctx, j, blocks, body, stores[d.First()])
	if err != nil {
		return err
	}

	made.seen = j.seen
	s.parked.byAnchor.Add(j.run.Anchor, made)
	s.free(ctx, old)

	return nil
}

func parkEvent(d parking.Decision) event.Event {
	if d.Export() {
		return event.ContextParked
	}

	return event.ContextNotParked
}

// decidePark weighs the copy with what is known at first hand.
func (s *Side) decidePark(j parkJob, old parkedCopy, gaps *parking.Gaps, rooms parking.View) parking.Decision {
	info := s.guard.engineInfo()
	tokens := len(j.chain) * info.BlockTokens
	parked := min(old.blocks*info.BlockTokens, tokens)

	return parking.Decide(time.Now(), parking.Config{MinTokens: j.run.ParkMinTokens}, parking.Context{
		Tokens:                 tokens,
		Parked:                 parked,
		Bytes:                  int64(tokens) * int64(info.BytesPerToken),
		PrefillTokensPerSecond: info.PrefillRate,
		Seen:                   j.seen,
		Gaps:                   gaps,
	}, rooms)
}

// rooms asks the stores for their room, those of this data centre first. One
// that does not answer is shown as down.
func (s *Side) rooms(ctx context.Context) (parking.View, []vm.VM) {
	var view parking.View

	stores := s.cfg.VMs.List().Of(vm.Store, s.cfg.DataCentre)
	if len(stores) > parking.MaxStores {
		stores = stores[:parking.MaxStores]
	}

	for _, m := range stores {
		room := parking.Room{Name: m.Name, Down: m.State == vm.Leaving}

		if !room.Down {
			space, err := store.Client{Address: m.Address, HTTP: s.rooming}.Space(ctx)
			room.Down = err != nil
			room.Free = space.TotalBytes - space.UsedBytes
			room.Total = space.TotalBytes
		}

		view.Stores = append(view.Stores, room)
	}

	return view, stores
}

// put seals the blocks, writes them under an id of their own and tells the owner.
func (s *Side) put(ctx context.Context, j parkJob, blocks int, body []byte, to vm.VM) (parkedCopy, error) {
	id, err := store.NewCopyID(blocks)
	if err != nil {
		return parkedCopy{}, err
	}

	sealed, err := store.Seal(j.run.header(id.String(), j.chain[:blocks]), body)
	if err != nil {
		return parkedCopy{}, err
	}

	if err := s.write(ctx, to, id.String(), sealed); err != nil {
		return parkedCopy{}, err
	}

	event.Log(s.cfg.Log, event.CopyParked, "request_id", j.run.RequestID, "store", to.Name, "copy", id.String(), "blocks", blocks, "bytes", len(sealed))

	s.tellOwner(j.run.Anchor, message.Learn{
		Anchor: j.run.Anchor,
		Chain:  j.chain[:blocks],
		Holding: message.Holding{
			Holder:     to.Name,
			Store:      true,
			DataCentre: to.DataCentre,
			Blocks:     blocks,
			Version:    j.run.Version,
			Copy:       id.String(),
			Bytes:      int64(len(sealed)),
			Address:    to.Address,
		},
	})

	return parkedCopy{id: id.String(), address: to.Address, holder: to.Name, blocks: blocks}, nil
}

// write puts a copy into a store, once more after making room when it is full.
func (s *Side) write(ctx context.Context, to vm.VM, id string, sealed []byte) error {
	c := store.Client{Address: to.Address, HTTP: s.stores}

	err := c.Put(ctx, id, sealed)
	if err == nil || failure.KindOf(err) != failure.StoreFull {
		return err
	}

	all, listed := c.List(ctx)
	if listed != nil {
		return err
	}

	for _, o := range store.Oldest(all, int64(len(sealed))) {
		if c.Delete(ctx, o.ID) == nil {
			event.Log(s.cfg.Log, event.ContextEvicted, "store", to.Name, "copy", o.ID, "bytes", o.Bytes)
		}
	}

	return c.Put(ctx, id, sealed)
}

// free deletes a copy that a longer one has replaced. A reader that is still
// fetching it gets a cut copy, which its seal shows, and goes on without.
func (s *Side) free(ctx context.Context, c parkedCopy) {
	if c.id == "" {
		return
	}

	if err := (store.Client{Address: c.address, HTTP: s.stores}).Delete(ctx, c.id); err != nil {
		event.Fail(s.cfg.Log.V(1), err, event.CopyNotParked, "copy", c.id, "reason", "old copy stays")
	}
}
