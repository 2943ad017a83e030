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

// fetch brings one copy into the engine after verifying it. The engine believes
// what it is given, so nothing unverified may reach it.
func (r *run) fetch(ctx context.Context, c message.Holding, warm int) error {
	began := time.Now()

	sealed, err := r.transfer(ctx, c, warm)
	if err != nil {
		return err
	}

	body, blocks, err := store.Open(sealed, r.header(c.Copy, r.chain))
	if err != nil {
		return err
	}

	if blocks <= warm {
		return failure.New(failure.TornCopy, "the copy brings %d blocks where %d are warm", blocks, warm)
	}

	if _, err := r.s.engine.Import(ctx, body); err != nil {
		return err
	}

	r.imported = blocks
	r.moved = int64(len(sealed))
	r.s.held.add(r.chain[:blocks])
	event.Log(r.s.cfg.Log, event.CopyImported, "request_id", r.RequestID, "store", c.Holder, "copy", c.Copy, "blocks", blocks,
		"bytes", len(sealed), "took_ms", time.Since(began).Milliseconds())

	return nil
}

// judgeEvery is the time between two looks at a transfer.
const judgeEvery = 20 * time.Millisecond

// transfer reads a copy, and gives it up when computing what is missing has
// become the cheaper way: a link that slows down meanwhile would hold the caller
// for as long as it likes.
func (r *run) transfer(ctx context.Context, c message.Holding, warm int) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	var came atomic.Int64

	go r.judge(ctx, cancel, c, warm, &came)

	sealed, err := store.Client{Address: c.Address, HTTP: r.s.stores, Progress: &came}.Get(ctx, c.Copy)
	if err != nil && context.Cause(ctx) != nil {
		err = context.Cause(ctx)
	}

	return sealed, err
}

// judge ends a transfer that is not worth waiting for.
func (r *run) judge(ctx context.Context, cancel context.CancelCauseFunc, c message.Holding, warm int, came *atomic.Int64) {
	info := r.s.guard.engineInfo()
	missing := float64((min(c.Blocks, len(r.chain)) - warm) * info.BlockTokens)

	if info.PrefillRate <= 0 || c.Bytes <= 0 {
		return
	}

	recompute := time.Duration(missing / info.PrefillRate * float64(time.Second))
	cfg := route.Config{FirstTokenWeight: r.FirstTokenWeight, RecomputedWeight: r.RecomputedWeight}
	began := time.Now()

	tick := time.NewTicker(judgeEvery)
	defer tick.Stop()

	for {
		select {
		case now := <-tick.C:
			part := min(1, float64(came.Load())/float64(c.Bytes))
			if route.GiveUpImport(cfg, now.Sub(began), part, recompute) {
				cancel(failure.New(failure.Timeout, "the copy comes slower than it can be computed: %d of %d bytes after %v", came.Load(), c.Bytes, now.Sub(began)))

				return
			}
		case <-ctx.Done():
			return
		}
	}
}
