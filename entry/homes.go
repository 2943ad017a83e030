package entry

import (
	"sync"
	"time"
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
