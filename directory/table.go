// Package directory records which engines and stores hold the KV cache of which
// contexts.
//
// # Model
//
// A context is identified by its anchor: the hash of its shared prefix, which is
// the prompt up to and including the first user message. The anchor stays the
// same for all later requests of a conversation. Owners distributes the anchors
// over the entries, so each entry stores only a part of the directory. An anchor
// has Holdings: the engines and stores that were reported to hold the leading
// blocks of the context. Several conversations with the same shared prefix have
// the same anchor, so a Holding is usable only up to the last block that it shares
// with the chain of the prompt.
//
// A Holding may be out of date: the engine may have evicted blocks since, or the
// store may have failed. The holder itself is queried before a Holding is used, so
// an outdated one leads to recomputation but never to a wrong response. The table
// is soft state: it is lost when its process ends and rebuilt from the reports of
// side processes.
//
// # Size
//
// Of a chain the table stores samples: the first eight bytes of every Stride-th
// hash. A block's hash covers all blocks before it, so one equal sample means that
// all blocks up to it are equal, and the number of shared blocks is found by binary
// search. Holdings of one context share the memory of their samples.
//
//	t := directory.NewTable(directory.Config{MaxContexts: 10_000})
//	t.Record(now, anchor, chain, directory.Holding{Name: "engine-3", Blocks: len(chain)})
//	held := t.Lookup(now, anchor, longer, nil)
package directory

import (
	"sort"
	"time"
	"unique"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragehub/prompt"
)

// Config sets the limits of a Table. Zero fields take their defaults.
type Config struct {
	// MaxContexts is the maximum number of anchors; 100 000 when zero.
	MaxContexts int
	// MaxBytes is the maximum estimated memory of the table in bytes; 64 MiB when zero.
	MaxBytes int64
	// MaxHoldings is the maximum number of holdings of one context; 16 when zero.
	MaxHoldings int
	// Stride is the number of blocks between two samples; 8 when zero.
	Stride int
	// EngineTTL is how long a holding of an engine stays valid after it was last
	// confirmed; 1 h when zero. Holdings of stores don't expire.
	EngineTTL time.Duration
}

// The defaults of Config.
const (
	defaultContexts  = 100_000
	defaultBytes     = 64 << 20
	defaultHoldings  = 16
	defaultStride    = 8
	defaultEngineTTL = time.Hour
)

// The estimated memory of the table's parts, in bytes: the map and list element of
// a context, one holding with its slice header, and one sample.
const (
	contextBytes = 220
	holdingBytes = 176
	sampleBytes  = 8
)

func (c Config) withDefaults() Config {
	if c.MaxContexts <= 0 {
		c.MaxContexts = defaultContexts
	}

	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultBytes
	}

	if c.MaxHoldings <= 0 {
		c.MaxHoldings = defaultHoldings
	}

	if c.Stride <= 0 {
		c.Stride = defaultStride
	}

	if c.EngineTTL <= 0 {
		c.EngineTTL = defaultEngineTTL
	}

	return c
}

// contextRecord holds the holdings of one anchor.
type contextRecord struct {
	holdings []storedHolding
	bytes    int64
}

// storedHolding is a Holding with the part of its chain that distinguishes it from
// other conversations under the same anchor.
type storedHolding struct {
	Holding
	samples  []uint64
	lastHash uint64
}

// Table is one owner's part of the directory. Use NewTable. It is not safe for
// concurrent use.
type Table struct {
	cfg      Config
	contexts *simplelru.LRU[prompt.Hash, *contextRecord]
	bytes    int64
	evicted  uint64
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg.withDefaults()}
	// NewLRU fails only for a size below 1, which withDefaults prevents.
	t.contexts, _ = simplelru.NewLRU[prompt.Hash, *contextRecord](t.cfg.MaxContexts, func(_ prompt.Hash, r *contextRecord) {
		t.bytes -= r.bytes
	})

	return t
}

// Contexts returns the number of anchors in the table.
func (t *Table) Contexts() int { return t.contexts.Len() }

// Bytes returns the estimated memory of the table in bytes.
func (t *Table) Bytes() int64 { return t.bytes }

// Evicted returns how many contexts were evicted because the table exceeded
// MaxContexts or MaxBytes.
func (t *Table) Evicted() uint64 { return t.evicted }

// Record records that a holder has the first h.Blocks blocks of chain at now. It
// replaces the earlier holding of the same holder, copy and conversation, even by a
// shorter one. With h.Blocks below 1 it only removes the earlier holding.
func (t *Table) Record(now time.Time, anchor prompt.Hash, chain prompt.Chain, h Holding) {
	h.Blocks = min(h.Blocks, len(chain))
	h.LastSeen = now

	r, ok := t.contexts.Get(anchor)
	if !ok {
		if h.Blocks < 1 {
			return
		}

		r = &contextRecord{}
		t.add(anchor, r)
	}

	r.put(t.newStored(chain, h), t.cfg.MaxHoldings)
	t.updateSize(anchor, r)
}

// Remove removes one holder's holdings under anchor. id selects one sealed copy;
// an empty id selects all.
func (t *Table) Remove(anchor prompt.Hash, k Kind, name, id string) {
	r, ok := t.contexts.Peek(anchor)
	if !ok {
		return
	}

	r.removeIf(func(s *storedHolding) bool {
		return s.Kind == k && s.Name == name && (id == "" || s.Copy == id)
	})
	t.updateSize(anchor, r)
}

// RemoveHolder removes all holdings of one holder, which failed or restarted, and
// returns the number of contexts changed. It scans the whole table.
func (t *Table) RemoveHolder(k Kind, name string) int {
	n := 0

	for _, anchor := range t.contexts.Keys() {
		r, _ := t.contexts.Peek(anchor)
		before := len(r.holdings)
		r.removeIf(func(s *storedHolding) bool { return s.Kind == k && s.Name == name })

		if len(r.holdings) < before {
			n++

			t.updateSize(anchor, r)
		}
	}

	return n
}

// Lookup appends to dst the holdings that share leading blocks with chain and
// returns it. They are ordered by shared blocks, most first, and then by the time of
// their last confirmation, newest first.
func (t *Table) Lookup(now time.Time, anchor prompt.Hash, chain prompt.Chain, dst []Holding) []Holding {
	r, ok := t.contexts.Get(anchor)
	if !ok {
		return dst
	}

	first := len(dst)

	for i := range r.holdings {
		s := &r.holdings[i]
		if s.Kind == Engine && s.Age(now) > t.cfg.EngineTTL {
			continue
		}

		h := s.Holding
		h.Blocks = s.sharedBlocks(chain, t.cfg.Stride)

		if h.Blocks > 0 {
			dst = insertSorted(dst, first, h)
		}
	}

	return dst
}

// insertSorted inserts h into dst[first:], which must be sorted by sortsBefore.
func insertSorted(dst []Holding, first int, h Holding) []Holding {
	dst = append(dst, h)

	for i := len(dst) - 1; i > first && sortsBefore(&dst[i], &dst[i-1]); i-- {
		dst[i], dst[i-1] = dst[i-1], dst[i]
	}

	return dst
}

func sortsBefore(a, b *Holding) bool {
	if a.Blocks != b.Blocks {
		return a.Blocks > b.Blocks
	}

	return a.LastSeen.After(b.LastSeen)
}

func (t *Table) add(anchor prompt.Hash, r *contextRecord) {
	if t.contexts.Add(anchor, r) {
		t.evicted++
	}
}

// updateSize updates the memory estimate after r changed, then evicts the least
// recently used contexts until the table is within MaxBytes. A record without
// holdings is removed.
func (t *Table) updateSize(anchor prompt.Hash, r *contextRecord) {
	if len(r.holdings) == 0 {
		t.contexts.Remove(anchor)
		return
	}

	size := r.size()
	t.bytes += size - r.bytes
	r.bytes = size

	for t.bytes > t.cfg.MaxBytes && t.contexts.Len() > 1 {
		t.contexts.RemoveOldest()

		t.evicted++
	}
}

// newStored returns h with the samples of its chain. Its strings are interned:
// every message contains its own copies of the same few names.
func (t *Table) newStored(chain prompt.Chain, h Holding) storedHolding {
	h.Name = unique.Make(h.Name).Value()
	h.DataCentre = unique.Make(h.DataCentre).Value()
	h.Version = unique.Make(h.Version).Value()
	s := storedHolding{Holding: h}

	if h.Blocks < 1 {
		s.samples = sampleHashes(chain, t.cfg.Stride)
		return s
	}

	s.samples = sampleHashes(chain[:h.Blocks], t.cfg.Stride)
	s.lastHash = hash64(chain[h.Blocks-1])

	return s
}

func sampleHashes(chain prompt.Chain, stride int) []uint64 {
	samples := make([]uint64, len(chain)/stride)
	for i := range samples {
		samples[i] = hash64(chain[(i+1)*stride-1])
	}

	return samples
}

// sharedBlocks returns the number of leading blocks that s shares with chain. It is
// exact when chain extends the blocks held; otherwise it is rounded down to the last
// equal sample.
func (s *storedHolding) sharedBlocks(chain prompt.Chain, stride int) int {
	if s.Blocks <= len(chain) && hash64(chain[s.Blocks-1]) == s.lastHash {
		return s.Blocks
	}

	n := min(len(s.samples), len(chain)/stride)
	firstDiff := sort.Search(n, func(i int) bool {
		return s.samples[i] != hash64(chain[(i+1)*stride-1])
	})

	return firstDiff * stride
}

// sameChain reports whether the samples a and b are equal over their common length,
// which their last common sample decides. A chain without samples matches any other.
func sameChain(a, b []uint64) bool {
	n := min(len(a), len(b))

	return n == 0 || a[n-1] == b[n-1]
}

// put adds s in place of the earlier holding of its holder, copy and conversation.
// Holdings of the same conversation share one array of samples. A full record
// loses its oldest holding.
func (r *contextRecord) put(s storedHolding, limit int) {
	r.removeIf(func(other *storedHolding) bool {
		return other.Kind == s.Kind && other.Name == s.Name && other.Copy == s.Copy && sameChain(other.samples, s.samples)
	})

	if s.Blocks < 1 {
		return
	}

	for i := range r.holdings {
		other := &r.holdings[i]

		switch {
		case !sameChain(other.samples, s.samples):
		case len(other.samples) <= len(s.samples):
			other.samples = s.samples[:len(other.samples)]
		default:
			s.samples = other.samples[:len(s.samples)]
		}
	}

	if len(r.holdings) >= limit {
		r.removeOldest()
	}

	r.holdings = append(r.holdings, s)
}

func (r *contextRecord) removeOldest() {
	oldest := 0

	for i := range r.holdings {
		if r.holdings[i].LastSeen.Before(r.holdings[oldest].LastSeen) {
			oldest = i
		}
	}

	r.holdings = append(r.holdings[:oldest], r.holdings[oldest+1:]...)
}

func (r *contextRecord) removeIf(match func(*storedHolding) bool) {
	kept := r.holdings[:0]

	for i := range r.holdings {
		if !match(&r.holdings[i]) {
			kept = append(kept, r.holdings[i])
		}
	}

	clear(r.holdings[len(kept):])
	r.holdings = kept
}

func (r *contextRecord) size() int64 {
	longest := 0
	for i := range r.holdings {
		longest = max(longest, len(r.holdings[i].samples))
	}

	return contextBytes + holdingBytes*int64(len(r.holdings)) + sampleBytes*int64(longest)
}

// Holdings returns all valid holdings under an anchor, for operators.
func (t *Table) Holdings(now time.Time, anchor prompt.Hash) []Holding {
	r, ok := t.contexts.Peek(anchor)
	if !ok {
		return nil
	}

	var all []Holding

	for i := range r.holdings {
		if s := &r.holdings[i]; s.Kind != Engine || s.Age(now) <= t.cfg.EngineTTL {
			all = append(all, s.Holding)
		}
	}

	return all
}
