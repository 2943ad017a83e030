package entry

import (
	"context"
	"sync"
	"time"

	"boragehub/claim"
	"boragehub/event"
	"boragehub/target"
)

// shardID identifies one shard of a service's idempotency keys.
type shardID struct {
	service string
	shard   int
}

// shardHomes records the home of each shard: the VM whose side process keeps the claims
// of the shard's idempotency keys, as last reported by that side process.
type shardHomes struct {
	mu   sync.Mutex
	vmOf map[shardID]string

	queried map[string]time.Time // by service, when its targets were last queried
}

// homesQueryInterval is the minimum time between two queries of a service's targets for
// their homes.
const homesQueryInterval = time.Second

func newShardHomes() *shardHomes {
	return &shardHomes{vmOf: map[shardID]string{}, queried: map[string]time.Time{}}
}

// mayQuery reports whether a service's targets may be queried for their homes now, and
// records the query if so. When a home is lost, hundreds of calls need it at once; only
// the first of them queries.
func (h *shardHomes) mayQuery(now time.Time, service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if now.Sub(h.queried[service]) < homesQueryInterval {
		return false
	}

	h.queried[service] = now

	return true
}

func (h *shardHomes) get(service string, shard int) (vm string, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	vm, known = h.vmOf[shardID{service, shard}]

	return vm, known
}

// set records vm as the home of the given shards and removes it from all other shards
// of the service.
func (h *shardHomes) set(service, vm string, shards []int) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for id, home := range h.vmOf {
		if id.service == service && home == vm {
			delete(h.vmOf, id)
		}
	}

	for _, s := range shards {
		h.vmOf[shardID{service, s}] = vm
	}
}

// shardHome returns the target whose side process is the home of the call's key. Homes
// are reported with the state of a target, which is polled only at intervals. So when
// the home is not known, or was tried without success, the service's targets are polled
// at once, at most once per homesQueryInterval.
func (c *call) shardHome(ctx context.Context, targets []target.Target) (target.Target, bool) {
	shard := claim.Shard(c.request.organisation, c.message.Key, claim.DefaultShards)

	t, found := c.knownHome(targets, shard)
	if !found && c.e.homes.mayQuery(time.Now(), c.service.Name) {
		ctx, cancel := context.WithTimeout(ctx, homesQueryTimeout)
		defer cancel()

		c.e.pollAll(ctx, targets)

		t, found = c.knownHome(targets, shard)
	}

	if found {
		event.Log(c.e.cfg.Log, event.CallDecided, "request_id", c.request.id, "service", c.service.Name, "vm", t.VM, "shard", shard, "attempt", c.attempt)
	} else {
		event.Log(c.e.cfg.Log, event.CallRefused, "request_id", c.request.id, "service", c.service.Name, "targets", len(targets), "shard", shard)
	}

	return t, found
}

// homesQueryTimeout limits a query for homes, since a caller waits for its result.
const homesQueryTimeout = 500 * time.Millisecond

func (c *call) knownHome(targets []target.Target, shard int) (target.Target, bool) {
	vm, known := c.e.homes.get(c.service.Name, shard)

	for _, t := range targets {
		if known && t.VM == vm && !c.tried[t.VM] {
			return t, true
		}
	}

	return target.Target{}, false
}
