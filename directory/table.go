// Package directory is what one owner knows of where contexts are.
//
// # Model
//
// A context is known by its anchor, the hash of its opening up to and with the
// first user message, which stays the same however often the context returns.
// Owners divides all anchors among the entries, so that each of them keeps only
// its part. Under an anchor stand Holdings: engines and stores that are said to
// have the leading blocks of the context. Several conversations with the same
// opening share an anchor, so a Holding counts only as far as its blocks and
// those of the chain looked up are the same.
//
// Everything here is a belief with an age: an engine may have evicted a block
// since, a store may have died. Whoever relies on a Holding asks the holder,
// and a wrong belief costs a recomputation and never a wrong answer. The table
// is soft state: lost with its process, learned again from the side processes.
//
// # Size
//
// A chain is kept as marks: the first eight bytes of each Stride-th hash. Since
// a block's hash covers all before it, one equal mark means that everything up
// to it is equal, so the shared depth is found by bisection. Holdings of one
// context share their marks.
//
//	t := directory.NewTable(directory.Config{MaxContexts: 10_000})
//	t.Learn(now, anchor, chain, directory.Holding{Name: "engine-3", Blocks: len(chain)})
//	held := t.Lookup(now, anchor, longer, nil)
package directory

import (
	"sort"
	"time"
	"unique"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"boragehub/prompt"
)

// Config bounds a Table. Zero fields take their defaults.
type Config struct {
	// MaxContexts bounds the anchors kept; 100 000 when zero.
	MaxContexts int
	// MaxBytes bounds the memory of the table, as estimated; 64 MiB when zero.
	MaxBytes int64
	// MaxHoldings bounds the holdings of one context; 16 when zero.
	MaxHoldings int
	// Stride is how many blocks lie between two marks; 8 when zero.
	Stride int
	// EngineAge is how long a belief about an engine is kept without being
	// confirmed; an hour when zero.
	EngineAge time.Duration
}

// The defaults of Config.
const (
	defaultContexts  = 100_000
	defaultBytes     = 64 << 20
	defaultHoldings  = 16
	defaultStride    = 8
	defaultEngineAge = time.Hour
)

// The estimated memory of the table's parts, in bytes: map and list element of
// a context, one holding with its slice header, one mark.
const (
	contextBytes = 220
	holdingBytes = 176
	markBytes    = 8
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

	if c.EngineAge <= 0 {
		c.EngineAge = defaultEngineAge
	}

	return c
}

// record is what is known of one anchor.
type record struct {
	held  []entry
	bytes int64
}

// entry is a Holding with the part of its chain that tells it from others.
type entry struct {
	Holding
	marks []uint64
	tip   uint64
}

// Table is what one owner knows. Use NewTable. It is not safe for concurrent use.
type Table struct {
	cfg      Config
	contexts *simplelru.LRU[prompt.Hash, *record]
	bytes    int64
	evicted  uint64
}

// NewTable returns an empty Table.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg.withDefaults()}
	// NewLRU fails only for a size under one, which withDefaults rules out.
	t.contexts, _ = simplelru.NewLRU[prompt.Hash, *record](t.cfg.MaxContexts, func(_ prompt.Hash, r *record) {
		t.bytes -= r.bytes
	})

	return t
}

// Contexts returns the number of anchors known.
func (t *Table) Contexts() int { return t.contexts.Len() }

// Bytes returns the estimated memory of the table.
func (t *Table) Bytes() int64 { return t.bytes }

// Evicted returns how many contexts were dropped for want of room.
func (t *Table) Evicted() uint64 { return t.evicted }

// Learn notes that a holder has the first h.Blocks blocks of chain, as of now.
// What was believed of the same holder and the same conversation is replaced,
// also by something shorter. Blocks under one forgets it.
func (t *Table) Learn(now time.Time, anchor prompt.Hash, chain prompt.Chain, h Holding) {
	h.Blocks = min(h.Blocks, len(chain))
	h.Learned = now

	r, ok := t.contexts.Get(anchor)
	if !ok {
		if h.Blocks < 1 {
			return
		}

		r = &record{}
		t.add(anchor, r)
	}

	r.replace(t.entryOf(chain, h), t.cfg.MaxHoldings)
	t.settle(anchor, r)
}

// Forget drops what is believed of one holder and anchor; an empty id means
// all copies.
func (t *Table) Forget(anchor prompt.Hash, k Kind, name, id string) {
	r, ok := t.contexts.Peek(anchor)
	if !ok {
		return
	}

	r.remove(func(e *entry) bool {
		return e.Kind == k && e.Name == name && (id == "" || e.Copy == id)
	})
	t.settle(anchor, r)
}

// ForgetHolder drops all that is believed of one holder, which died or started
// anew, and returns the number of contexts concerned. It visits the whole table.
func (t *Table) ForgetHolder(k Kind, name string) int {
	n := 0

	for _, anchor := range t.contexts.Keys() {
		r, _ := t.contexts.Peek(anchor)
		before := len(r.held)
		r.remove(func(e *entry) bool { return e.Kind == k && e.Name == name })

		if len(r.held) < before {
			n++

			t.settle(anchor, r)
		}
	}

	return n
}

// Lookup appends to dst the holdings that share leading blocks with chain, the
// deepest first and of equal ones the youngest, and returns it.
func (t *Table) Lookup(now time.Time, anchor prompt.Hash, chain prompt.Chain, dst []Holding) []Holding {
	r, ok := t.contexts.Get(anchor)
	if !ok {
		return dst
	}

	first := len(dst)

	for i := range r.held {
		e := &r.held[i]
		if e.Kind == Engine && e.Age(now) > t.cfg.EngineAge {
			continue
		}

		h := e.Holding
		h.Blocks = e.shared(chain, t.cfg.Stride)

		if h.Blocks > 0 {
			dst = insert(dst, first, h)
		}
	}

	return dst
}

// insert puts h into dst[first:], which is and stays ordered.
func insert(dst []Holding, first int, h Holding) []Holding {
	dst = append(dst, h)

	for i := len(dst) - 1; i > first && before(&dst[i], &dst[i-1]); i-- {
		dst[i], dst[i-1] = dst[i-1], dst[i]
	}

	return dst
}

func before(a, b *Holding) bool {
	if a.Blocks != b.Blocks {
		return a.Blocks > b.Blocks
	}

	return a.Learned.After(b.Learned)
}

func (t *Table) add(anchor prompt.Hash, r *record) {
	if t.contexts.Add(anchor, r) {
		t.evicted++
	}
}

// settle brings the estimate of memory up to date after r changed and evicts
// the contexts that were least recently used until the table fits again.
func (t *Table) settle(anchor prompt.Hash, r *record) {
	if len(r.held) == 0 {
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

// entryOf returns the entry of h. Its strings are made unique, since each
// message brings its own copy of the same few names.
func (t *Table) entryOf(chain prompt.Chain, h Holding) entry {
	h.Name = unique.Make(h.Name).Value()
	h.DataCentre = unique.Make(h.DataCentre).Value()
	h.Version = unique.Make(h.Version).Value()
	e := entry{Holding: h}

	if h.Blocks < 1 {
		e.marks = marksOf(chain, t.cfg.Stride)
		return e
	}

	e.marks = marksOf(chain[:h.Blocks], t.cfg.Stride)
	e.tip = short(chain[h.Blocks-1])

	return e
}

func marksOf(chain prompt.Chain, stride int) []uint64 {
	marks := make([]uint64, len(chain)/stride)
	for i := range marks {
		marks[i] = short(chain[(i+1)*stride-1])
	}

	return marks
}

// shared returns how many leading blocks e is known to share with chain: exact
// when chain goes on from what is held, otherwise down to the last equal mark.
func (e *entry) shared(chain prompt.Chain, stride int) int {
	if e.Blocks <= len(chain) && short(chain[e.Blocks-1]) == e.tip {
		return e.Blocks
	}

	n := min(len(e.marks), len(chain)/stride)
	differ := sort.Search(n, func(i int) bool {
		return e.marks[i] != short(chain[(i+1)*stride-1])
	})

	return differ * stride
}

// akin reports whether the marks of a and b are of one conversation, as far as
// both go.
func akin(a, b []uint64) bool {
	n := min(len(a), len(b))

	return n == 0 || a[n-1] == b[n-1]
}

// replace puts e in the place of what was believed of its holder and lets akin
// holdings share one array of marks.
func (r *record) replace(e entry, most int) {
	r.remove(func(o *entry) bool {
		return o.Kind == e.Kind && o.Name == e.Name && o.Copy == e.Copy && akin(o.marks, e.marks)
	})

	if e.Blocks < 1 {
		return
	}

	for i := range r.held {
		o := &r.held[i]

		switch {
		case !akin(o.marks, e.marks):
		case len(o.marks) <= len(e.marks):
			o.marks = e.marks[:len(o.marks)]
		default:
			e.marks = o.marks[:len(e.marks)]
		}
	}

	if len(r.held) >= most {
		r.dropOldest()
	}

	r.held = append(r.held, e)
}

func (r *record) dropOldest() {
	oldest := 0

	for i := range r.held {
		if r.held[i].Learned.Before(r.held[oldest].Learned) {
			oldest = i
		}
	}

	r.held = append(r.held[:oldest], r.held[oldest+1:]...)
}

func (r *record) remove(gone func(*entry) bool) {
	kept := r.held[:0]

	for i := range r.held {
		if !gone(&r.held[i]) {
			kept = append(kept, r.held[i])
		}
	}

	clear(r.held[len(kept):])
	r.held = kept
}

func (r *record) size() int64 {
	longest := 0
	for i := range r.held {
		longest = max(longest, len(r.held[i].marks))
	}

	return contextBytes + holdingBytes*int64(len(r.held)) + markBytes*int64(longest)
}

// Holdings returns all that is believed of an anchor's contexts, for operators.
func (t *Table) Holdings(now time.Time, anchor prompt.Hash) []Holding {
	r, ok := t.contexts.Peek(anchor)
	if !ok {
		return nil
	}

	var all []Holding

	for i := range r.held {
		if e := &r.held[i]; e.Kind != Engine || e.Age(now) <= t.cfg.EngineAge {
			all = append(all, e.Holding)
		}
	}

	return all
}
