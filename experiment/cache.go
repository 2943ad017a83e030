package experiment

import "container/list"

// cache models an engine's KV cache as leading tokens by conversation. It evicts the
// least recently used conversation first, from the end of its tokens.
type cache struct {
	capacity int
	used     int
	lru      *list.List // of *cached, most recently used first
	byID     map[int]*list.Element
	// onEvict is called after each eviction with the tokens of c that are left.
	onEvict func(c *conversation, left int)
	// insertedTokens counts all tokens ever added, to estimate how long an unused
	// context stays.
	insertedTokens int
}

// cached is the cache's state of one conversation.
type cached struct {
	c        *conversation
	valid    int // tokens available for reuse
	reserved int // tokens reserved for running requests
	pins     int // number of running requests, which prevent eviction
}

func (e *cached) size() int { return max(e.valid, e.reserved) }

func newCache(capacity int, onEvict func(*conversation, int)) *cache {
	return &cache{capacity: capacity, lru: list.New(), byID: map[int]*list.Element{}, onEvict: onEvict}
}

// tokens returns how many leading tokens of c are cached.
func (m *cache) tokens(c *conversation) int {
	e, ok := m.byID[c.id]
	if !ok {
		return 0
	}

	return e.Value.(*cached).valid
}

func (m *cache) entry(c *conversation) *cached {
	if e, ok := m.byID[c.id]; ok {
		m.lru.MoveToFront(e)
		return e.Value.(*cached)
	}

	n := &cached{c: c}
	m.byID[c.id] = m.lru.PushFront(n)

	return n
}

// pin reserves space for a running request of c and protects c from eviction.
func (m *cache) pin(c *conversation, tokens int) {
	e := m.entry(c)
	oldSize := e.size()
	e.pins++
	e.reserved = max(e.reserved, tokens)
	m.used += e.size() - oldSize
	m.evict()
}

// unpin releases the reservation of a request of c that has ended.
func (m *cache) unpin(c *conversation) {
	e := m.entry(c)
	oldSize := e.size()
	e.pins--

	if e.pins == 0 {
		e.reserved = 0
	}

	m.used += e.size() - oldSize
}

// put adds the first tokens of c to the cache.
func (m *cache) put(c *conversation, tokens int) {
	e := m.entry(c)
	oldSize := e.size()
	m.insertedTokens += max(tokens-e.valid, 0)
	e.valid = max(e.valid, tokens)
	m.used += e.size() - oldSize
	m.evict()
}

func (m *cache) evict() {
	for e := m.lru.Back(); e != nil && m.used > m.capacity; {
		prev := e.Prev()
		m.shrink(e)
		e = prev
	}
}

// shrink evicts as many tokens of one conversation as the cache exceeds its capacity.
// Pinned conversations are not evicted.
func (m *cache) shrink(e *list.Element) {
	x := e.Value.(*cached)
	if x.pins > 0 {
		return
	}

	excess := min(x.valid, m.used-m.capacity)
	x.valid -= excess
	m.used -= excess

	if x.valid == 0 {
		m.lru.Remove(e)
		delete(m.byID, x.c.id)
	}

	m.onEvict(x.c, x.valid)
}

// clear invalidates all cached tokens, as after a load of new weights. Reservations of
// running requests remain.
func (m *cache) clear() {
	for e := m.lru.Back(); e != nil; {
		prev := e.Prev()
		x := e.Value.(*cached)
		oldSize := x.size()
		x.valid = 0
		m.used += x.size() - oldSize

		if x.pins == 0 {
			m.lru.Remove(e)
			delete(m.byID, x.c.id)
		}

		e = prev
	}
}
