package side

import (
	"sync"

	"boragehub/engine"
	"boragehub/prompt"
)

// held is what the engine's cache holds, by its cache events. It may be wrong for
// a moment, since events come late; the engine then computes what is missing, so
// an error costs time and never a wrong answer.
type held struct {
	mu     sync.Mutex
	boot   string
	seq    uint64
	synced bool
	blocks map[prompt.Hash]struct{}
}

func newHeld() *held {
	return &held{blocks: map[prompt.Hash]struct{}{}}
}

// prefix returns how many leading blocks of chain are held.
func (h *held) prefix(chain prompt.Chain) int {
	h.mu.Lock()
	defer h.mu.Unlock()

	for i, b := range chain {
		if _, ok := h.blocks[b]; !ok {
			return i
		}
	}

	return len(chain)
}

// add notes blocks that the engine has just computed or imported; its events
// will say the same later.
func (h *held) add(chain prompt.Chain) {
	h.mu.Lock()
	defer h.mu.Unlock()

	for _, b := range chain {
		h.blocks[b] = struct{}{}
	}
}

// position returns the event to go on after.
func (h *held) position() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.seq
}

// isSynced reports whether the list was read since the last gap.
func (h *held) isSynced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.synced
}

// apply takes events in and reports whether they follow without a gap. After a
// gap nothing is taken in: a removal may be among what was lost, and the list
// must be read anew.
func (h *held) apply(e engine.Events) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if e.BootID != h.boot || e.FirstSeq > h.seq+1 {
		h.synced = false

		return false
	}

	for _, v := range e.Events {
		if v.Seq != h.seq+1 {
			h.synced = false

			return false
		}

		h.seq = v.Seq
		h.change(v)
	}

	return true
}

func (h *held) change(v engine.Event) {
	switch v.Type {
	case "stored":
		for _, b := range v.Hashes {
			h.blocks[b] = struct{}{}
		}
	case "removed":
		for _, b := range v.Hashes {
			delete(h.blocks, b)
		}
	case "cleared":
		clear(h.blocks)
	}
}

// reset takes the engine's whole list in.
func (h *held) reset(b engine.Blocks) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.boot = b.BootID
	h.seq = b.Seq
	h.synced = true
	h.blocks = make(map[prompt.Hash]struct{}, len(b.Hashes))

	for _, k := range b.Hashes {
		h.blocks[k] = struct{}{}
	}
}
