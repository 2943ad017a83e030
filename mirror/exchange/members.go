package exchange

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehub/mirror"
)

// memberTTL is how long an entry is remembered after it was last known to be alive.
const memberTTL = 20 * time.Second

// maxMembers bounds the entries remembered. Each takes about 100 bytes.
const maxMembers = 4096

// Members are the entries that a process knows. Use NewMembers. Its methods may be called from
// multiple goroutines.
type Members struct {
	self  string
	seeds []string

	mu         sync.Mutex
	heardAt    time.Time // when an entry last sent a request or a response
	seen       map[string]memberState
	live       liveSet
	mismatches int // consecutive rounds without an equal view, see EndRound
}

// memberState is the state of one remembered entry.
type memberState struct {
	lastAlive time.Time // latest time at which it is known to have been alive
	added     time.Time // when this process added it
}

// liveSet caches the live entries and the selections made from them. It is rebuilt when an
// entry joins or expires rather than on each call, since sorting hundreds of entries by
// score takes half a millisecond.
type liveSet struct {
	all        []string                     // sorted, without this process
	view       []string                     // sorted, with this process
	viewHash   uint64                       // equal for processes with the same view
	expires    time.Time                    // no entry expires before
	joined     bool                         // an entry joined since the last rebuild
	selections map[string]mirror.Assignment // by rendezvous key
}

// NewMembers returns Members with the given seeds. Self is this process's own address; empty for a
// process that doesn't accept calls.
func NewMembers(self string, seeds []string) *Members {
	return &Members{self: self, seeds: seeds, seen: make(map[string]memberState), mismatches: maxMismatches}
}

// Self returns this process's own address.
func (m *Members) Self() string { return m.self }

// MarkAlive records that an entry sent a request or a response.
func (m *Members) MarkAlive(now time.Time, address string) {
	if address == "" || address == m.self {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	m.heardAt = now
	m.update(now, address, now)
}

// contactTTL is how long after hearing from an entry this process counts as in touch with the others. It
// covers a lost round of gossip.
const contactTTL = 4 * time.Second

// InTouch reports whether an entry has sent a request or a response lately, or this process was told of none at
// its start.
func (m *Members) InTouch(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if !m.heardAt.IsZero() {
		return now.Sub(m.heardAt) <= contactTTL
	}

	return !slices.ContainsFunc(m.seeds, func(s string) bool { return s != m.self })
}

// update adds an entry if it is unknown and there is capacity, or advances the time at which it was
// last alive. The caller holds mu.
func (m *Members) update(now time.Time, address string, lastAlive time.Time) {
	x, ok := m.seen[address]

	switch {
	case ok && x.lastAlive.Before(lastAlive):
		x.lastAlive = lastAlive
	case !ok && len(m.seen) < maxMembers:
		x = memberState{lastAlive, now}
		m.live.joined = true
	default:
		return
	}

	m.seen[address] = x
}

// Merge adds the entries that another one reported, as of when each was last known to be alive. A
// dead entry therefore expires, however many other entries report it.
func (m *Members) Merge(now time.Time, reported []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, x := range reported {
		age := time.Duration(max(x.AgeMs, 0)) * time.Millisecond
		if x.Address == "" || x.Address == m.self || age > memberTTL {
			continue
		}

		m.update(now, x.Address, now.Add(-age))
	}
}

const (
	// maxSample bounds the entries in a response when the views differ, unless all are requested.
	maxSample = 24
	// newMemberAge is how long after its addition an entry takes precedence in responses.
	newMemberAge = 10 * time.Second
	// maxMismatches is the number of consecutive rounds without an equal view after which a
	// process asks for all entries.
	maxMismatches = 3
)

// Sample returns up to maxSample live entries, recently added ones first.
func (m *Members) Sample(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	recent, others := make([]Member, 0, maxSample), make([]Member, 0, maxSample)

	// Go iterates over maps in random order.
	for a, x := range m.seen {
		age := now.Sub(x.lastAlive)

		switch {
		case age > memberTTL:
		case now.Sub(x.added) < newMemberAge && len(recent) < maxSample:
			recent = append(recent, Member{Address: a, AgeMs: age.Milliseconds()})
		case len(others) < maxSample:
			others = append(others, Member{Address: a, AgeMs: age.Milliseconds()})
		}

		if len(recent) == maxSample {
			break
		}
	}

	return append(recent, others[:min(maxSample-len(recent), len(others))]...)
}

// All returns all live entries, sorted by address.
func (m *Members) All(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	all := make([]Member, 0, len(m.live.all))
	for _, a := range m.live.all {
		all = append(all, Member{Address: a, AgeMs: now.Sub(m.seen[a].lastAlive).Milliseconds()})
	}

	return all
}

// ViewHash returns a hash of this process's view: the live entries, this one included. NeedAll
// reports whether to ask for all entries in the next round: at the start, and after maxMismatches
// consecutive rounds without an equal view.
func (m *Members) ViewHash(now time.Time) (hash uint64, needAll bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	return m.live.viewHash, m.mismatches >= maxMismatches
}

// EndRound records whether any entry asked in a round had an equal view. A round that asked for
// all entries restarts the count of mismatches.
func (m *Members) EndRound(equal bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	switch {
	case equal:
		m.mismatches = 0
	case m.mismatches >= maxMismatches:
		m.mismatches = 1
	default:
		m.mismatches++
	}
}

// ageUnit is the unit in which entries with equal views exchange ages, as one byte per entry.
const ageUnit = 100 * time.Millisecond

// Ages returns how long ago each entry of the view was last known to be alive, in units of
// ageUnit and in the order of the view. It returns nil if this process's view has another hash.
func (m *Members) Ages(now time.Time, viewHash uint64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	if viewHash != m.live.viewHash {
		return nil
	}

	ages := make([]byte, len(m.live.view))

	for i, a := range m.live.view {
		if a == m.self {
			continue
		}

		// Round up and add one unit for the transfer. Otherwise the age of a dead entry would
		// decrease with each exchange, which delays its expiry.
		units := (now.Sub(m.seen[a].lastAlive)+ageUnit-1)/ageUnit + 1
		ages[i] = byte(min(units, math.MaxUint8))
	}

	return ages
}

// MergeAges merges the ages that an entry with an equal view returned. It ignores them if their
// number is wrong or this process's view has changed since the request.
func (m *Members) MergeAges(now time.Time, viewHash uint64, ages []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	if viewHash != m.live.viewHash || len(ages) != len(m.live.view) {
		return
	}

	for i, a := range m.live.view {
		if age := time.Duration(ages[i]) * ageUnit; a != m.self && age <= memberTTL {
			m.update(now, a, now.Add(-age))
		}
	}
}

// Live returns the entries that were known to be alive within the last memberTTL, sorted by address
// and without this process.
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

	for a, x := range m.seen {
		if now.Sub(x.lastAlive) > memberTTL {
			delete(m.seen, a)

			expired = true
		} else if x.lastAlive.Before(oldest) {
			oldest = x.lastAlive
		}
	}

	m.live.expires = oldest.Add(memberTTL)

	if m.live.joined || expired || m.live.view == nil {
		m.live.all = slices.Sorted(maps.Keys(m.seen))
		m.live.view = m.withSelf()
		m.live.viewHash = xxhash.Sum64String(strings.Join(m.live.view, "|"))
		m.live.selections = make(map[string]mirror.Assignment)
		m.live.joined = false
	}
}

// withSelf returns the live entries and this process, sorted. The result is never nil,
// since refresh treats a nil view as not built yet. The caller holds mu.
func (m *Members) withSelf() []string {
	all := slices.Clone(m.live.all)
	if m.self == "" {
		return append(make([]string, 0, len(all)), all...)
	}

	i, _ := slices.BinarySearch(all, m.self)

	return slices.Insert(all, i, m.self)
}

// LiveAndSeeds returns the entries to call: the live entries and the seeds.
func (m *Members) LiveAndSeeds(now time.Time) []string {
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

// maxAskedRelays and maxAskedWatchers bound how many relays, and how many entries that follow
// the stores directly, one entry asks about the stores. Relays, and all entries of fleets
// without relays, ask only the latter, up to the sum of both bounds.
const (
	maxAskedRelays   = 2
	maxAskedWatchers = 2
)

// Watchers returns the entries to ask about the stores, in order of preference. The order
// depends on this process, which distributes the requests among them. Self reports whether
// this process follows the stores directly. The slice is shared between calls and must not be
// modified.
//
// At most maxWatchers entries follow the stores directly, since a store refuses more than a
// dozen concurrent calls. In large fleets, relays serve the remaining entries, as in Assignment.
func (m *Members) Watchers(now time.Time) (others []string, self bool) {
	a := m.selection(now, "watch", func(all []string) mirror.Assignment {
		a := m.assign(all, maxWatchers)
		if a.Direct {
			return a
		}

		asked := slices.Clone(a.Addresses[:min(maxAskedRelays, len(a.Addresses))])

		for _, w := range m.selectEntries(all, maxWatchers).Addresses {
			if len(asked) < maxAskedRelays+maxAskedWatchers && !slices.Contains(asked, w) {
				asked = append(asked, w)
			}
		}

		return mirror.Assignment{Addresses: asked}
	})

	return a.Addresses, a.Direct
}

const (
	// readerShare is the number of entries per reader or relay. Each of them polls three
	// times a second.
	readerShare = 12
	// maxReaders bounds the entries that read the log, and maxWatchers those that follow the
	// stores directly. In larger fleets, additional entries act as relays: they poll these
	// entries and serve the remaining ones.
	maxReaders  = 4
	maxWatchers = 8
	// relayPollWait is how long one poll of a relay waits at a reader. It is half the default
	// wait, which limits the staleness that a relay adds.
	relayPollWait = 300 * time.Millisecond
)

// Assignment returns how this process gets a topic of the log.
//
// At most maxReaders entries read the log. If they are too few to serve all others, relays
// poll the readers and serve the remaining entries, so that neither the reads of the log nor
// the number of entries that poll the same one grow with the fleet.
func (m *Members) Assignment(now time.Time, topic string) mirror.Assignment {
	return m.selection(now, "read|"+topic, func(all []string) mirror.Assignment { return m.assign(all, maxReaders) })
}

// assign returns this process's assignment, given all entries in rendezvous order. At most
// limit entries read the source directly.
func (m *Members) assign(all []string, limit int) mirror.Assignment {
	a := m.selectEntries(all, limit)
	if a.Direct || servingCount(len(all)) <= limit {
		return a
	}

	relays := slices.Clone(all[limit : limit+relayCount(len(all))])
	if slices.Contains(relays, m.self) {
		a.Wait = relayPollWait

		return a
	}

	sortByScore(relays, m.self)

	return mirror.Assignment{Addresses: relays}
}

// Registrar returns the address of the entry that registers this process in a topic of the log,
// or an empty string if this process registers itself. At most maxReaders entries register the
// others.
func (m *Members) Registrar(now time.Time, topic string) string {
	a := m.selection(now, "register|"+topic, func(all []string) mirror.Assignment { return m.selectEntries(all, maxReaders) })
	if a.Direct || len(a.Addresses) == 0 {
		return ""
	}

	return a.Addresses[0]
}

// servingCount returns how many of n entries are needed to serve the others directly.
func servingCount(n int) int { return min(1+relayCount(n), n) }

// relayCount returns how many relays serve n entries.
func relayCount(n int) int { return (n + readerShare - 1) / readerShare }

// selectEntries selects the first entries of all, which are in rendezvous order, up to limit.
// Direct is set if this process is one of them; Addresses are the others.
func (m *Members) selectEntries(all []string, limit int) mirror.Assignment {
	var a mirror.Assignment

	for _, address := range all[:min(servingCount(len(all)), limit)] {
		if address == m.self {
			a.Direct = true
		} else {
			a.Addresses = append(a.Addresses, address)
		}
	}

	sortByScore(a.Addresses, m.self)

	return a
}

// selection returns the cached selection for a rendezvous key. If there is none, it calls
// choose with all entries in the rendezvous order of the key, holding mu.
func (m *Members) selection(now time.Time, key string, choose func(all []string) mirror.Assignment) mirror.Assignment {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.refresh(now)

	if a, ok := m.live.selections[key]; ok {
		return a
	}

	all := append(slices.Clone(m.live.all), m.self)
	sortByScore(all, key)

	a := choose(all)

	if m.live.selections == nil {
		m.live.selections = make(map[string]mirror.Assignment)
	}

	m.live.selections[key] = a

	return a
}

// maxPreferred bounds the entries that Preferred returns.
const maxPreferred = 3

// Preferred returns the entries to poll by a process that doesn't serve topics itself, in order
// of preference. The name of the process determines the choice, which distributes such processes
// among the entries.
func (m *Members) Preferred(now time.Time, name string) []string {
	all := m.LiveAndSeeds(now)
	sortByScore(all, name)

	return all[:min(maxPreferred, len(all))]
}

// sortByScore sorts addresses by their rendezvous score for a key, highest first.
func sortByScore(all []string, key string) {
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

// Rank returns this entry's position in the rendezvous order of a key among the live entries, from
// zero. Entries with equal views agree on the order.
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
