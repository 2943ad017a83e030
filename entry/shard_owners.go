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

// shardOwners records the owner of each shard: the VM whose side process keeps the claims
// of the shard's idempotency keys, as last reported by that side process.
type shardOwners struct {
	mu   sync.Mutex
	vmOf map[shardID]string

	queried map[string]time.Time // by service, when its targets were last queried
}

// shardOwnersQueryInterval is the minimum time between two queries of a service's targets
// for the shards that their side processes own.
const shardOwnersQueryInterval = time.Second

func newShardOwners() *shardOwners {
	return &shardOwners{vmOf: map[shardID]string{}, queried: map[string]time.Time{}}
}

// mayQuery reports whether a service's targets may be queried for their shards now, and
// records the query if so. When an owner is lost, hundreds of calls need the next one at
// once; only the first of them queries.
func (o *shardOwners) mayQuery(now time.Time, service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	if now.Sub(o.queried[service]) < shardOwnersQueryInterval {
		return false
	}

	o.queried[service] = now

	return true
}

func (o *shardOwners) get(service string, shard int) (vm string, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	vm, known = o.vmOf[shardID{service, shard}]

	return vm, known
}

// set records vm as the owner of the given shards and removes it from all other shards
// of the service.
func (o *shardOwners) set(service, vm string, shards []int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for id, owner := range o.vmOf {
		if id.service == service && owner == vm {
			delete(o.vmOf, id)
		}
	}

	for _, s := range shards {
		o.vmOf[shardID{service, s}] = vm
	}
}

// shardOwner returns the target whose side process owns the shard of the call's key.
// Owners are reported with the state of a target, which is polled only at intervals. So
// when the owner is not known, or was tried without success, the service's targets are
// polled at once, at most once per shardOwnersQueryInterval.
func (c *call) shardOwner(ctx context.Context, targets []target.Target) (target.Target, bool) {
	shard := claim.Shard(c.request.organisation, c.message.Key, claim.DefaultShards)

	t, found := c.knownShardOwner(targets, shard)
	if !found && c.e.shardOwners.mayQuery(time.Now(), c.service.Name) {
		ctx, cancel := context.WithTimeout(ctx, shardOwnersQueryTimeout)
		defer cancel()

		c.e.pollAll(ctx, targets)

		t, found = c.knownShardOwner(targets, shard)
	}

	if found {
		event.Log(c.e.cfg.Log, event.CallDecided, "request_id", c.request.id, "service", c.service.Name, "vm", t.VM, "shard", shard, "attempt", c.attempt)
	} else {
		event.Log(c.e.cfg.Log, event.CallRefused, "request_id", c.request.id, "service", c.service.Name, "targets", len(targets), "shard", shard)
	}

	return t, found
}

// shardOwnersQueryTimeout limits a query for owners, since a caller waits for its result.
const shardOwnersQueryTimeout = 500 * time.Millisecond

func (c *call) knownShardOwner(targets []target.Target, shard int) (target.Target, bool) {
	vm, known := c.e.shardOwners.get(c.service.Name, shard)

	for _, t := range targets {
		if known && t.VM == vm && !c.tried[t.VM] {
			return t, true
		}
	}

	return target.Target{}, false
}
