package experiment

import "math/rand/v2"

// store is a cache store: copies of leading tokens by conversation.
type store struct {
	name       string
	dataCentre string
	room, used int64
	up         bool
	copies     map[int]*stored
	list       []*stored
	rng        *rand.Rand
	// value is what a copy is worth, and rank orders copies, of which the least
	// is dropped.
	value, rank func(*stored) float64
	// dropped is told of each copy that is dropped.
	dropped func(*conversation)
	evicted int
}

// stored is one copy.
type stored struct {
	c       *conversation
	tokens  int
	bytes   int64
	version int
	place   int
}

// tokens returns how many leading tokens of c the store has for a weight version.
func (s *store) tokens(c *conversation, version int) int {
	x, ok := s.copies[c.id]
	if !ok || !s.up || x.version != version {
		return 0
	}

	return x.tokens
}

// put keeps the first tokens of c, and reports whether there was room.
func (s *store) put(c *conversation, tokens int, bytes int64, version int) bool {
	if !s.up || bytes > s.room {
		return false
	}

	s.drop(c)

	x := &stored{c: c, tokens: tokens, bytes: bytes, version: version, place: len(s.list)}
	for s.used+bytes > s.room {
		s.evict()
	}

	x.place = len(s.list)
	s.copies[c.id] = x
	s.list = append(s.list, x)
	s.used += bytes

	return true
}

// evict drops the least valuable copy.
func (s *store) evict() {
	least, lowest := s.list[0], s.rank(s.list[0])

	for _, other := range s.list {
		if v := s.rank(other); v < lowest {
			least, lowest = other, v
		}
	}

	s.evicted++
	s.drop(least.c)
	s.dropped(least.c)
}

// density returns the value of the least valuable copy of a sample, as cheap as
// it has to be for each decision.
func (s *store) density() float64 {
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
	x, ok := s.copies[c.id]
	if !ok {
		return
	}

	last := s.list[len(s.list)-1]
	s.list[x.place] = last
	last.place = x.place
	s.list = s.list[:len(s.list)-1]
	s.used -= x.bytes

	delete(s.copies, c.id)
}

// lose drops everything: the VM died.
func (s *store) lose() {
	s.up = false
	s.used = 0
	s.list = nil
	clear(s.copies)
}
