package exchange

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// memberAge is how long an entry is remembered without having asked or answered.
const memberAge = 20 * time.Second

// maxMembers bounds the entries remembered.
const maxMembers = 512

// Members are the entries that a process knows. Use NewMembers; its methods may
// be called from many goroutines.
type Members struct {
	self  string
	seeds []string

	mu   sync.Mutex
	seen map[string]time.Time
	live liveSet
}

// liveSet caches the live entries and the selections made from them. It is rebuilt when an
// entry joins or expires rather than on each call, since sorting hundreds of entries by
// score takes half a millisecond.
type liveSet struct {
	all        []string             // sorted, without this process
	expires    time.Time            // no entry expires before
	joined     bool                 // an entry joined since the last rebuild
	selections map[string]selection // by rendezvous key
}

// selection is the result of Watchers or Readers.
type selection struct {
	others []string
	self   bool
}

// NewMembers returns Members that know the seeds. Self is this process's own
// address, empty for a process that can't be asked.
func NewMembers(self string, seeds []string) *Members {
	return &Members{self: self, seeds: seeds, seen: make(map[string]time.Time)}
}

// Self returns this process's own address.
func (m *Members) Self() string { return m.self }

// Saw takes that an entry asked, or answered.
func (m *Members) Saw(now time.Time, address string) {
	if address == "" || address == m.self {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if _, ok := m.seen[address]; ok || len(m.seen) < maxMembers {
		m.seen[address] = now
		m.live.joined = m.live.joined || !ok
	}
}

// Heard takes which entries another one knows. What is told of one counts as of when
// that one was surely alive, so that a dead one is forgotten however many tell of it.
func (m *Members) Heard(now time.Time, told []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, x := range told {
		age := time.Duration(max(x.AgeMs, 0)) * time.Millisecond
		if x.Address == "" || x.Address == m.self || age > memberAge {
			continue
		}

		at, ok := m.seen[x.Address]
		if (ok && at.Before(now.Add(-age))) || (!ok && len(m.seen) < maxMembers) {
			m.seen[x.Address] = now.Add(-age)
			m.live.joined = m.live.joined || !ok
		}
	}
}

// told is how many entries one answer tells of: with three answers a second or two
// from each entry asked, all are told of within the time for which they are remembered
// also among hundreds.
const told = 24

// Tell returns some of the entries known.
func (m *Members) Tell(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	all := make([]Member, 0, min(told, len(m.seen)))

	// Maps are walked in a random order.
	for a, at := range m.seen {
		if len(all) == told {
			break
		}

		if age := now.Sub(at); age <= memberAge {
			all = append(all, Member{Address: a, AgeMs: age.Milliseconds()})
		}
	}

	return all
}

// Live returns the entries that asked or answered of late, in order, without
// this process.
func (m *Members) Live(now time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	return slices.Clone(m.live.all)
}

// refresh removes expired entries and rebuilds the live set if it changed. The caller holds mu.
func (m *Members) refresh(now time.Time) {
	if !m.live.joined && !now.After(m.live.expires) {
		return
	}

	oldest, expired := now, false

	for a, at := range m.seen {
		if now.Sub(at) > memberAge {
			delete(m.seen, a)

			expired = true
		} else if at.Before(oldest) {
			oldest = at
		}
	}

	m.live.expires = oldest.Add(memberAge)

	if m.live.joined || expired {
		m.live.all = slices.Sorted(maps.Keys(m.seen))
		m.live.selections = make(map[string]selection)
		m.live.joined = false
	}
}

// Ask returns whom to ask: the live entries and the seeds.
func (m *Members) Ask(now time.Time) []string {
	all := m.Live(now)

	for _, s := range m.seeds {
		if s != m.self && !contains(all, s) {
			all = append(all, s)
		}
	}

	return all
}

func contains(all []string, s string) bool {
	for _, a := range all {
		if a == s {
			return true
		}
	}

	return false
}

// mostWatchers bounds the entries that follow the stores: stores hold a dozen calls
// open.
const mostWatchers = 8

// Watchers returns which entries follow the stores for all, in the same way as Readers. The
// slice is shared between calls and must not be modified.
func (m *Members) Watchers(now time.Time) (others []string, self bool) {
	return m.few(now, "watch", mostWatchers)
}

// readerShare is how many entries one reader of the log serves: each asks it three
// times a second.
const readerShare = 12

// Readers returns which entries read a topic of the log for all, without this
// process and in an order of its own, so that each serves a part of the others; self
// says that this process is one of them. The slice is shared between calls and must not be
// modified.
func (m *Members) Readers(now time.Time, topic string) (others []string, self bool) {
	return m.few(now, "read|"+topic, maxMembers)
}

// few returns the entries selected for a rendezvous key, at most so many. The slice is
// shared between calls and must not be modified.
func (m *Members) few(now time.Time, key string, most int) (others []string, self bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	s, ok := m.live.selections[key]
	if !ok {
		s = m.selectEntries(key, most)

		if m.live.selections == nil {
			m.live.selections = make(map[string]selection)
		}

		m.live.selections[key] = s
	}

	return s.others, s.self
}

// selectEntries selects the live entries with the highest scores for a rendezvous key, at
// most so many. The caller holds mu.
func (m *Members) selectEntries(key string, most int) selection {
	all := append(slices.Clone(m.live.all), m.self)
	byScore(all, key)

	most = min(1+(len(all)+readerShare-1)/readerShare, len(all), most)

	var s selection

	for _, a := range all[:most] {
		if a == m.self {
			s.self = true
		} else {
			s.others = append(s.others, a)
		}
	}

	byScore(s.others, m.self)

	return s
}

// byScore orders addresses by their rendezvous score for a key, highest first.
func byScore(all []string, key string) {
	scores := make(map[string]uint64, len(all))
	for _, a := range all {
		scores[a] = score(key, a)
	}

	slices.SortFunc(all, func(a, b string) int { return cmp.Compare(scores[b], scores[a]) })
}

// score returns the rendezvous score of an address for a key.
func score(key, address string) uint64 {
	var buf [128]byte // avoids an allocation for each score

	b := append(buf[:0], key...)
	b = append(b, '|')

	return xxhash.Sum64(append(b, address...))
}

// Size returns how many entries are live, this one included.
func (m *Members) Size(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	return len(m.live.all) + 1
}

// Rank returns this entry's position in the rendezvous order of a key among the live ones,
// from zero. Entries that know the same others agree on it.
func (m *Members) Rank(now time.Time, key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	own := score(key, m.self)
	before := 0

	for _, a := range m.live.all {
		if score(key, a) > own {
			before++
		}
	}

	return before
}
