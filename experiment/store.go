package experiment

import "math/rand/v2"

// store models a cache store, which holds the leading tokens of conversations.
type store struct {
	name           string
	dataCentre     string
	capacity, used int64
	up             bool
	parts          map[int]*storedPart
	list           []*storedPart
	rng            *rand.Rand
	// value returns the value per byte of a part. rank orders parts for eviction:
	// the part of the lowest rank is evicted first.
	value, rank func(*storedPart) float64
	// onDrop is called for each evicted part.
	onDrop  func(*conversation)
	evicted int
}

// storedPart holds the leading tokens of one conversation.
type storedPart struct {
	c       *conversation
	tokens  int
	bytes   int64
	version int
	index   int
}

// tokens returns how many leading tokens of c the store has for a weight version; 0
// while the store is down.
func (s *store) tokens(c *conversation, version int) int {
	x, ok := s.parts[c.id]
	if !ok || !s.up || x.version != version {
		return 0
	}

	return x.tokens
}

// put stores the first tokens of c in place of c's previous part, evicting other parts
// for space. It returns false if the store is down or too small.
func (s *store) put(c *conversation, tokens int, bytes int64, version int) bool {
	if !s.up || bytes > s.capacity {
		return false
	}

	s.drop(c)

	x := &storedPart{c: c, tokens: tokens, bytes: bytes, version: version, index: len(s.list)}
	for s.used+bytes > s.capacity {
		s.evict()
	}

	x.index = len(s.list)
	s.parts[c.id] = x
	s.list = append(s.list, x)
	s.used += bytes

	return true
}

// evict drops the part of the lowest rank.
func (s *store) evict() {
	least, lowest := s.list[0], s.rank(s.list[0])

	for _, other := range s.list {
		if v := s.rank(other); v < lowest {
			least, lowest = other, v
		}
	}

	s.evicted++
	s.drop(least.c)
	s.onDrop(least.c)
}

// minDensity returns the least value per byte in a random sample of the parts, 0 for an
// empty store. Every parking decision calls it, so that a full scan would be too slow.
func (s *store) minDensity() float64 {
	const sample = 64

	if len(s.list) == 0 {
		return 0
	}

	least := s.value(s.list[0])
	for range sample {
		least = min(least, s.value(s.list[s.rng.IntN(len(s.list))]))
	}

	return least
}

func (s *store) drop(c *conversation) {
	x, ok := s.parts[c.id]
	if !ok {
		return
	}

	last := s.list[len(s.list)-1]
	s.list[x.index] = last
	last.index = x.index
	s.list = s.list[:len(s.list)-1]
	s.used -= x.bytes

	delete(s.parts, c.id)
}

// fail marks the store as down and drops all parts, as when its VM crashes.
func (s *store) fail() {
	s.up = false
	s.used = 0
	s.list = nil
	clear(s.parts)
}
