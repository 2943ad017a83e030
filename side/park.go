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

// parkJob is a context that may be worth copying to a store.
type parkJob struct {
	run     *run
	chain   prompt.Chain
	endedAt time.Time
}

// parkTimeout bounds the export of one context and its transfer to a store.
const parkTimeout = storeTimeout

// maxParked is the maximum number of contexts whose copies are remembered.
const maxParked = 4096

// parkedContexts remembers the copies that this process made, so that a context is
// exported again only when it has grown, and its older copy is deleted. Only
// exportContexts uses it.
type parkedContexts struct {
	byAnchor *lru.LRU[prompt.Hash, parkedCopy]
	gaps     *lru.LRU[workload, *parking.Gaps]
}

// workload identifies the contexts that share statistics of the gaps between uses.
type workload struct{ organisation, name string }

// maxWorkloads is the maximum number of workloads with gap statistics; each takes about
// 1.5 KB.
const maxWorkloads = 512

// parkedCopy is a copy that this process made.
type parkedCopy struct {
	id       string
	address  string
	holder   string
	blocks   int
	lastUsed time.Time
}

func newParkedContexts() *parkedContexts {
	// NewLRU returns an error only for a size below 1.
	l, _ := lru.NewLRU[prompt.Hash, parkedCopy](maxParked, nil)
	g, _ := lru.NewLRU[workload, *parking.Gaps](maxWorkloads, nil)

	return &parkedContexts{byAnchor: l, gaps: g}
}

// recordVisit records a use of a context and returns the gap statistics of its workload.
func (p *parkedContexts) recordVisit(j parkJob, old parkedCopy) *parking.Gaps {
	key := workload{j.run.Organisation, j.run.Workload}

	g, ok := p.gaps.Get(key)
	if !ok {
		g = parking.NewGaps(time.Duration(j.run.UsualGapMS) * time.Millisecond)
		p.gaps.Add(key, g)
	}

	g.RecordVisit()

	if !old.lastUsed.IsZero() {
		g.RecordReturn(j.endedAt.Sub(old.lastUsed))
	}

	return g
}

// offerPark queues the context of a completed run for parking. If the queue is full the
// context is not copied; the response is not affected.
func (r *run) offerPark() {
	if r.ParkMinTokens <= 0 {
		return
	}

	tokens := r.side.target.engineInfo().BlockTokens
	chain := r.scope().Chain(r.Prompt+r.ResumeText+string(r.text), tokens)

	if len(chain)*tokens < r.ParkMinTokens {
		return
	}

	if !r.side.parkJobs.Offer(parkJob{run: r, chain: chain, endedAt: time.Now()}) {
		event.Log(r.side.cfg.Log, event.CopyNotParked, "request_id", r.RequestID, "reason", "busy")
	}
}

// exportContexts exports the queued contexts until ctx ends, one at a time because exports
// share the link with imports, for which callers wait.
func (s *Side) exportContexts(ctx context.Context) {
	for {
		j, ok := s.parkJobs.Take(ctx)
		if !ok {
			return
		}

		if err := s.parkContext(ctx, j); err != nil {
			event.Fail(s.cfg.Log, err, event.CopyNotParked, "request_id", j.run.RequestID, "reason", "failed")
		}
	}
}

func (s *Side) parkContext(ctx context.Context, j parkJob) error {
	ctx, cancel := context.WithTimeout(ctx, parkTimeout)
	defer cancel()

	old, _ := s.parked.byAnchor.Get(j.run.Anchor)
	gaps := s.parked.recordVisit(j, old)
	view, stores := s.queryStores(ctx)
	d := s.decidePark(j, old, gaps, view)

	if old.id != "" {
		old.lastUsed = j.endedAt
		s.parked.byAnchor.Add(j.run.Anchor, old)
	}

	event.Log(s.cfg.Log, parkEvent(d), append([]any{"request_id", j.run.RequestID}, d.Fields(view)...)...)

	if !d.Export() {
		return nil
	}

	body, blocks, version, err := s.engine.Export(ctx, j.chain)
	if err != nil {
		return err
	}

	if version != j.run.Version {
		return failure.New(failure.WrongVersion, "the engine has loaded version %s in the meantime", version)
	}

	made, err := s.put(ctx, j, blocks, body, stores[d.StoreIndex()])
	if err != nil {
		return err
	}

	made.lastUsed = j.endedAt
	s.parked.byAnchor.Add(j.run.Anchor, made)
	s.deleteCopy(ctx, old)

	return nil
}

func parkEvent(d parking.Decision) event.Event {
	if d.Export() {
		return event.ContextParked
	}

	return event.ContextNotParked
}

// decidePark decides whether to copy a context, and to which store.
func (s *Side) decidePark(j parkJob, old parkedCopy, gaps *parking.Gaps, view parking.View) parking.Decision {
	info := s.target.engineInfo()
	tokens := len(j.chain) * info.BlockTokens
	parked := min(old.blocks*info.BlockTokens, tokens)

	return parking.Decide(time.Now(), parking.Config{MinTokens: j.run.ParkMinTokens}, parking.Context{
		Tokens:                 tokens,
		StoredTokens:           parked,
		Bytes:                  int64(tokens) * int64(info.BytesPerToken),
		PrefillTokensPerSecond: info.PrefillRate,
		LastUsed:               j.endedAt,
		Gaps:                   gaps,
	}, view)
}

// queryStores queries the stores for their free space, those of this data centre first. A
// store that does not respond is returned as down.
func (s *Side) queryStores(ctx context.Context) (parking.View, []vm.VM) {
	var view parking.View

	stores := s.cfg.VMs.List().OfKind(vm.Store, s.cfg.DataCentre)
	if len(stores) > parking.MaxStores {
		stores = stores[:parking.MaxStores]
	}

	for _, m := range stores {
		candidate := parking.Store{Name: m.Name, Down: m.State == vm.Leaving}

		if !candidate.Down {
			space, err := store.Client{Address: m.Address, HTTP: s.spaceHTTP}.Space(ctx)
			candidate.Down = err != nil
			candidate.Free = space.TotalBytes - space.UsedBytes
			candidate.Total = space.TotalBytes
		}

		view.Stores = append(view.Stores, candidate)
	}

	return view, stores
}

// put seals the blocks, writes them to a store under a new id and reports the copy to the
// anchor's owner.
func (s *Side) put(ctx context.Context, j parkJob, blocks int, body []byte, to vm.VM) (parkedCopy, error) {
	id, err := store.NewCopyID(blocks)
	if err != nil {
		return parkedCopy{}, err
	}

	sealed, err := store.Seal(j.run.copyHeader(id.String(), j.chain[:blocks]), body)
	if err != nil {
		return parkedCopy{}, err
	}

	if err := s.write(ctx, to, id.String(), sealed); err != nil {
		return parkedCopy{}, err
	}

	event.Log(s.cfg.Log, event.CopyParked, "request_id", j.run.RequestID, "store", to.Name, "copy", id.String(), "blocks", blocks, "bytes", len(sealed))

	s.reportToOwner(j.run.Anchor, message.HoldingUpdate{
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

// write writes a copy to a store. If the store is full, it deletes the oldest copies and
// tries once more.
func (s *Side) write(ctx context.Context, to vm.VM, id string, sealed []byte) error {
	c := store.Client{Address: to.Address, HTTP: s.storeHTTP}

	err := c.Put(ctx, id, sealed)
	if err == nil || failure.KindOf(err) != failure.StoreFull {
		return err
	}

	all, listed := c.List(ctx)
	if listed != nil {
		return err
	}

	for _, o := range store.EvictionCandidates(all, int64(len(sealed))) {
		if c.Delete(ctx, o.ID) == nil {
			event.Log(s.cfg.Log, event.ContextEvicted, "store", to.Name, "copy", o.ID, "bytes", o.Bytes)
		}
	}

	return c.Put(ctx, id, sealed)
}

// deleteCopy deletes a copy that a longer one has replaced. A process that is still
// reading it gets a truncated copy, detects that by the seal, and continues without it.
func (s *Side) deleteCopy(ctx context.Context, c parkedCopy) {
	if c.id == "" {
		return
	}

	if err := (store.Client{Address: c.address, HTTP: s.storeHTTP}).Delete(ctx, c.id); err != nil {
		event.Fail(s.cfg.Log.V(1), err, event.CopyNotParked, "copy", c.id, "reason", "old copy stays")
	}
}
