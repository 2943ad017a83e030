package entry

import (
	"context"
	"sync"
	"time"

	"boragehub/claim"
	"boragehub/event"
	"boragehub/target"
)

// shardOf names one shard of a service's idempotency keys.
type shardOf struct {
	service string
	shard   int
}

// homes holds which VM's side process said last that it is the home of a shard.
type homes struct {
	mu   sync.Mutex
	byID map[shardOf]string

	asked map[string]time.Time // by service, when its targets were last asked
}

// askAgain is the least time between two rounds of questions for a service's homes.
const askAgain = time.Second

func newHomes() *homes {
	return &homes{byID: map[shardOf]string{}, asked: map[string]time.Time{}}
}

// mayAsk reports whether a service's targets may be asked for their homes now.
// Callers come by the hundred when a home is gone; one of them asks for all.
func (h *homes) mayAsk(now time.Time, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if now.Sub(h.asked[service]) < askAgain {
		return false
	}

	h.asked[service] = now

	return true
}

func (h *homes) get(service string, shard int) (vm string, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	vm, known = h.byID[shardOf{service, shard}]

	return vm, known
}

// set notes the shards of which vm says that it is the home, and forgets those
// of which it no longer does.
func (h *homes) set(service, vm string, shards []int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for id, home := range h.byID {
		if id.service == service && home == vm {
			delete(h.byID, id)
		}
	}

	for _, s := range shards {
		h.byID[shardOf{service, s}] = vm
	}
}

// home returns the target beside which the key's home runs. Homes are told with
// a target's state, which is asked for only now and then; so when the home is not
// known, or was tried and isn't it any more, the service's targets are asked now.
func (c *call) home(ctx context.Context, targets []target.Target) (target.Target, bool) {
	shard := claim.Shard(c.request.organisation, c.message.Key, claim.DefaultShards)

	t, found := c.homeAmong(targets, shard)
	if !found && c.e.homes.mayAsk(time.Now(), c.service.Name) {
		ctx, cancel := context.WithTimeout(ctx, homesTimeout)
		defer cancel()

		c.e.askAll(ctx, targets)

		t, found = c.homeAmong(targets, shard)
	}

	if found {
		event.Log(c.e.cfg.Log, event.CallDecided, "request_id", c.request.id, "service", c.service.Name, "vm", t.VM, "shard", shard, "attempt", c.attempt)
	} else {
		event.Log(c.e.cfg.Log, event.CallRefused, "request_id", c.request.id, "service", c.service.Name, "targets", len(targets), "shard", shard)
	}

	return t, found
}

// homesTimeout bounds the question for homes, which a caller waits for.
const homesTimeout = 500 * time.Millisecond

func (c *call) homeAmong(targets []target.Target, shard int) (target.Target, bool) {
	vm, known := c.e.homes.get(c.service.Name, shard)

	for _, t := range targets {
		if known && t.VM == vm && !c.tried[t.VM] {
			return t, true
		}
	}

	return target.Target{}, false
}
