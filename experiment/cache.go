package experiment

import "container/list"

// cache is an engine's cache: leading tokens by conversation, the least recently
// used evicted first and from its end.
type cache struct {
	room  int
	used  int
	order *list.List // of *cached, most recently used in front
	byID  map[int]*list.Element
	// shrunk is told of each eviction.
	shrunk func(c *conversation, left int)
	// inserted counts tokens that came in, to learn how long a context stays.
	inserted int
}

// cached is what the cache has of one conversation.
type cached struct {
	c        *conversation
	valid    int // tokens that can be used
	reserved int // room promised to running requests
	pins     int // running requests
}

func (e *cached) size() int { return max(e.valid, e.reserved) }

func newCache(room int, shrunk func(*conversation, int)) *cache {
	return &cache{room: room, order: list.New(), byID: map[int]*list.Element{}, shrunk: shrunk}
}

// tokens returns how many leading tokens of c are held.
func (m *cache) tokens(c *conversation) int {
	e, ok := m.byID[c.id]
	if !ok {
		return 0
	}

	return e.Value.(*cached).valid
}

func (m *cache) entry(c *conversation) *cached {
	if e, ok := m.byID[c.id]; ok {
		m.order.MoveToFront(e)
		return e.Value.(*cached)
	}

	n := &cached{c: c}
	m.byID[c.id] = m.order.PushFront(n)

	return n
}

// pin reserves room for a running request of c.
func (m *cache) pin(c *conversation, tokens int) {
	e := m.entry(c)
	before := e.size()
	e.pins++
	e.reserved = max(e.reserved, tokens)
	m.used += e.size() - before
	m.evict()
}

// unpin ends a running request of c.
func (m *cache) unpin(c *conversation) {
	e := m.entry(c)
	before := e.size()
	e.pins--

	if e.pins == 0 {
		e.reserved = 0
	}

	m.used += e.size() - before
}

// put notes that the first tokens of c are held.
func (m *cache) put(c *conversation, tokens int) {
	e := m.entry(c)
	before := e.size()
	m.inserted += max(tokens-e.valid, 0)
	e.valid = max(e.valid, tokens)
	m.used += e.size() - before
	m.evict()
}

func (m *cache) evict() {
	for e := m.order.Back(); e != nil && m.used > m.room; {
		before := e.Prev()
		m.shrink(e)
		e = before
	}
}

// shrink takes from one conversation what the cache has too much.
func (m *cache) shrink(e *list.Element) {
	x := e.Value.(*cached)
	if x.pins > 0 {
		return
	}

	take := min(x.valid, m.used-m.room)
	x.valid -= take
	m.used -= take

	if x.valid == 0 {
		m.order.Remove(e)
		delete(m.byID, x.c.id)
	}

	m.shrunk(x.c, x.valid)
}

// clear drops everything valid, as after new weights.
func (m *cache) clear() {
	for e := m.order.Back(); e != nil; {
		before := e.Prev()
		x := e.Value.(*cached)
		had := x.size()
		x.valid = 0
		m.used += x.size() - had

		if x.pins == 0 {
			m.order.Remove(e)
			delete(m.byID, x.c.id)
		}

		e = before
	}
}
