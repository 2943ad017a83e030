package side

import (
	"sync"

	"boragehub/engine"
	"boragehub/prompt"
)

// cacheIndex is the set of blocks in the engine's cache according to its cache events.
// Events arrive late, so it may be out of date; the engine then computes the missing
// blocks, so an error costs time but never gives a wrong response.
type cacheIndex struct {
	mu      sync.Mutex
	boot    string
	lastSeq uint64
	synced  bool
	blocks  map[prompt.Hash]struct{}
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{blocks: map[prompt.Hash]struct{}{}}
}

// prefix returns the number of leading blocks of chain that are cached.
func (c *cacheIndex) prefix(chain prompt.Chain) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	for i, b := range chain {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}

	return len(chain)
}

// add records blocks that the engine has just computed or imported, before its events
// report them.
func (c *cacheIndex) add(chain prompt.Chain) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, b := range chain {
		c.blocks[b] = struct{}{}
	}
}

// lastEvent returns the sequence number of the last event applied.
func (c *cacheIndex) lastEvent() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.lastSeq
}

// isSynced reports whether the complete list was read since the last gap in the events.
func (c *cacheIndex) isSynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.synced
}

// apply applies events and reports whether they follow the last one without a gap. It
// stops at a gap: a removal may be among the lost events, so the complete list has to be
// read again.
func (c *cacheIndex) apply(e engine.Events) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if e.BootID != c.boot || e.FirstSeq > c.lastSeq+1 {
		c.synced = false

		return false
	}

	for _, v := range e.Events {
		if v.Seq != c.lastSeq+1 {
			c.synced = false

			return false
		}

		c.lastSeq = v.Seq
		c.applyEvent(v)
	}

	return true
}

func (c *cacheIndex) applyEvent(v engine.Event) {
	switch v.Type {
	case "stored":
		for _, b := range v.Hashes {
			c.blocks[b] = struct{}{}
		}
	case "removed":
		for _, b := range v.Hashes {
			delete(c.blocks, b)
		}
	case "cleared":
		clear(c.blocks)
	}
}

// reset replaces the index by the engine's complete list.
func (c *cacheIndex) reset(b engine.Blocks) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.boot = b.BootID
	c.lastSeq = b.Seq
	c.synced = true
	c.blocks = make(map[prompt.Hash]struct{}, len(b.Hashes))

	for _, k := range b.Hashes {
		c.blocks[k] = struct{}{}
	}
}
