package side

import (
	"context"
	"sync/atomic"
	"time"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/message"
	"boragehub/route"
	"boragehub/store"
)

// fetch imports one copy into the engine after verifying it. The engine does not check
// imported blocks, so no unverified copy may reach it.
func (r *run) fetch(ctx context.Context, c message.Holding, warmBlocks int) error {
	start := time.Now()

	sealed, err := r.transfer(ctx, c, warmBlocks)
	if err != nil {
		return err
	}

	body, blocks, err := store.Open(sealed, r.copyHeader(c.Copy, r.chain))
	if err != nil {
		return err
	}

	if blocks <= warmBlocks {
		return failure.New(failure.TornCopy, "the copy has %d blocks, but %d are cached", blocks, warmBlocks)
	}

	if _, err := r.side.engine.Import(ctx, body); err != nil {
		return err
	}

	r.importedBlocks = blocks
	r.importedBytes = int64(len(sealed))
	r.side.cache.add(r.chain[:blocks])
	event.Log(r.side.cfg.Log, event.CopyImported, "request_id", r.RequestID, "store", c.Holder, "copy", c.Copy, "blocks", blocks,
		"bytes", len(sealed), "took_ms", time.Since(start).Milliseconds())

	return nil
}

// transferCheckInterval is the time between two checks of a transfer's progress.
const transferCheckInterval = 20 * time.Millisecond

// transfer downloads a copy, and aborts when recomputing the missing blocks has become
// cheaper: otherwise a link that slows down would delay the caller without limit.
func (r *run) transfer(ctx context.Context, c message.Holding, warmBlocks int) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	var received atomic.Int64

	go r.abortSlowTransfer(ctx, cancel, c, warmBlocks, &received)

	sealed, err := store.Client{Address: c.Address, HTTP: r.side.storeHTTP, MaxBytes: c.Bytes, Progress: &received}.Get(ctx, c.Copy)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}

	return sealed, err
}

// abortSlowTransfer cancels a transfer once recomputing the missing blocks is cheaper than
// waiting for the rest.
func (r *run) abortSlowTransfer(ctx context.Context, cancel context.CancelCauseFunc, c message.Holding, warmBlocks int, received *atomic.Int64) {
	info := r.side.target.engineInfo()
	missing := float64((min(c.Blocks, len(r.chain)) - warmBlocks) * info.BlockTokens)

	if info.PrefillRate <= 0 || c.Bytes <= 0 {
		return
	}

	recompute := time.Duration(missing / info.PrefillRate * float64(time.Second))
	cfg := route.Config{FirstTokenWeight: r.FirstTokenWeight, RecomputedWeight: r.RecomputedWeight}
	start := time.Now()

	tick := time.NewTicker(transferCheckInterval)
	defer tick.Stop()

	for {
		select {
		case now := <-tick.C:
			fraction := min(1, float64(received.Load())/float64(c.Bytes))
			if route.GiveUpImport(cfg, now.Sub(start), fraction, recompute) {
				cancel(failure.New(failure.Timeout, "the copy comes slower than it can be computed: %d of %d bytes after %v", received.Load(), c.Bytes, now.Sub(start)))

				return
			}
		case <-ctx.Done():
			return
		}
	}
}
