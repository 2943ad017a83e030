package vault

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// saveTimeout is the maximum time from the request for a save until its event arrives.
// Prefill takes less than a second, and events arrive a little later.
const saveTimeout = 2500 * time.Millisecond

// storeState is what is known of one store.
type storeState struct {
	store         Store
	epoch         int64
	next          int64 // sequence number of the next event
	listed        bool  // its parts in this epoch are known
	unreachable   bool  // it does not respond, or was never reached
	parts         map[Part]int
	tokens        int
	shortTokens   int // the tokens of short parts
	saves         map[Part]pendingSave
	linkBusyUntil time.Time // when its link is expected to be free

	// When the store was first and last known to be in epoch, in ms on the engines'
	// clock; zero if unknown.
	epochFirstSeen, epochLastSeen int64
	restarted                     bool // the store was known in an earlier epoch

	direct       bool      // its events are read by this process
	callFailed   bool      // the last direct call failed, and no other process has reported the store since
	peerUpdateAt time.Time // when another process last reported it
	changes      changeLog // for other processes
	peerPosition Position  // of the last update from another process
}

type pendingSave struct {
	tokens    int
	expiresAt time.Time
}

// Directory holds what one process knows of the stores. Use NewDirectory; its
// methods are safe for concurrent use.
type Directory struct {
	mu           sync.Mutex
	stores       map[string]*storeState
	processCount int       // processes that use the stores, including this one
	incarnation  int64     // identifies this start of the process
	clock        int64     // the engines' clock in ms as last reported; zero if it never was
	clockAt      time.Time // when the report of clock arrived
	// A report that is too far from the clock as known, and when it arrived.
	unconfirmedClock   int64
	unconfirmedClockAt time.Time
	enginesRanUntil    int64 // see SetEnginesRanUntil
}

// NewDirectory returns an empty Directory. Incarnation is any number that differs between
// starts of the process, such as the time in ns.
func NewDirectory(incarnation int64) *Directory {
	return &Directory{stores: make(map[string]*storeState), incarnation: incarnation, processCount: 1, enginesRanUntil: math.MaxInt64}
}

// SetProcessCount sets how many processes use the stores, including this one. A process sees
// only its own transfers and assumes that each other process makes as many.
func (d *Directory) SetProcessCount(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.processCount = max(n, 1)
}

// SetEnginesRanUntil sets until when all engines are known to have run, in ms on their clock. Nothing is saved in a
// store that has restarted before they have run past the deadlines of earlier fetches. Without a call, they count as
// having done so.
func (d *Directory) SetEnginesRanUntil(clock int64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.enginesRanUntil = clock
}

// ReserveLink reserves the link of the copy's store for the fetch of the copy.
func (d *Directory) ReserveLink(now time.Time, c Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if st := d.stores[c.Address]; st != nil {
		d.reserveLink(now, st, c.Transfer)
	}
}

// reserveLink reserves a store's link for a transfer. The caller holds mu.
func (d *Directory) reserveLink(now time.Time, s *storeState, t time.Duration) {
	if s.linkBusyUntil.Before(now) {
		s.linkBusyUntil = now
	}

	// Transfers that would wait longer than MaxLinkWait are not started.
	if s.linkBusyUntil.Sub(now) < MaxLinkWait {
		s.linkBusyUntil = s.linkBusyUntil.Add(t * time.Duration(d.processCount))
	}
}

// Configure sets the stores. It keeps what is known of those that were configured before.
func (d *Directory) Configure(stores []Store) {
	d.mu.Lock()
	defer d.mu.Unlock()

	states := make(map[string]*storeState, len(stores))

	for _, s := range stores {
		st, ok := d.stores[s.Address]
		if !ok {
			st = &storeState{unreachable: true, parts: make(map[Part]int), saves: make(map[Part]pendingSave)}
		}

		st.store = s
		states[s.Address] = st
	}

	d.stores = states
}

// NextEvent returns the sequence number from which to read a store's events. It returns
// false if the store's list has to be read first.
func (d *Directory) NextEvent(address string) (next int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	st := d.stores[address]
	if st == nil || !st.listed || !st.direct {
		return 0, false
	}

	return st.next, true
}

// ApplyListing replaces what is known of a store's parts by the store's full list.
func (d *Directory) ApplyListing(now time.Time, address string, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()

	clock := d.plausibleClock(now, l.Clock)

	st := d.stores[address]
	if st == nil {
		return
	}

	st.observeEpoch(l.Epoch, clock, clock)
	st.next, st.listed, st.unreachable, st.direct, st.callFailed = l.Next, true, false, true, false
	st.tokens, st.shortTokens = 0, 0
	st.changes.reset()

	st.parts = make(map[Part]int, len(l.Held))

	for _, h := range l.Held {
		st.add(h)
	}
}

// ApplyEvents applies a store's events. It returns false if the list has to be read again
// because the store restarted or events are missing.
func (d *Directory) ApplyEvents(now time.Time, address string, e Events) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	clock := d.plausibleClock(now, e.Clock)

	st := d.stores[address]
	if st == nil {
		return true
	}

	st.unreachable, st.callFailed = false, false

	restarted := e.Epoch != st.epoch
	st.observeEpoch(e.Epoch, clock, clock)

	if e.Lost || restarted {
		// A store is empty after a restart, and missing events leave the parts uncertain.
		st.listed, st.tokens, st.shortTokens = false, 0, 0
		clear(st.parts)
		st.changes.reset()

		return false
	}

	st.next = e.Next

	st.apply(e.Events)

	return true
}

// observeEpoch records that the store was in an epoch from firstSeen until lastSeen, in ms
// on the engines' clock; zero means unknown. It discards the times of a different epoch.
func (s *storeState) observeEpoch(epoch, firstSeen, lastSeen int64) {
	if epoch != s.epoch {
		s.restarted = s.epoch != 0
		s.epoch, s.epochFirstSeen, s.epochLastSeen = epoch, firstSeen, lastSeen

		return
	}

	if s.epochFirstSeen == 0 || (firstSeen > 0 && firstSeen < s.epochFirstSeen) {
		s.epochFirstSeen = firstSeen
	}

	s.epochLastSeen = max(s.epochLastSeen, lastSeen)
}

// apply applies changes in order.
func (s *storeState) apply(events []Event) {
	for _, e := range events {
		if e.Added {
			s.add(e.Held)
		} else {
			s.remove(e.Part)
		}
	}
}

// MarkUnreachable records that a direct call to a store failed.
func (d *Directory) MarkUnreachable(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if st := d.stores[address]; st != nil {
		st.unreachable, st.callFailed = true, true
	}
}

func (s *storeState) add(h Held) {
	delete(s.saves, h.Part)
	s.addTokens(-s.parts[h.Part])
	s.addTokens(h.Tokens)
	s.parts[h.Part] = h.Tokens
	s.changes.record(Event{Held: h, Added: true})
}

// addTokens adds the length of one part to the totals, or subtracts it if negative.
func (s *storeState) addTokens(tokens int) {
	s.tokens += tokens
	if max(tokens, -tokens) < longPartTokens {
		s.shortTokens += tokens
	}
}

func (s *storeState) remove(p Part) {
	s.addTokens(-s.parts[p])
	delete(s.parts, p)
	s.changes.record(Event{Held: Held{Part: p}})
}

// Limits on how far a report may be from the engines' clock as known, in ms. One that is further off is either damaged,
// or it is right and this process didn't run for a while: then the next one agrees with it.
const (
	// maxClockLead is how far it may be ahead, since earlier reports took longer to arrive.
	maxClockLead = 100
	// maxClockLag is how far it may be behind, since it took longer to arrive.
	maxClockLag = 1000
	// maxClockDifference is how much two reports that agree may differ.
	maxClockDifference = 250
)

// setClock records the engines' clock, in ms, and reports whether it is plausible; zero means that it was
// not reported. The caller holds mu.
func (d *Directory) setClock(now time.Time, clock int64) bool {
	if clock <= 0 {
		return false
	}

	// A report is made before it arrives, so of two that agree the later time is right.
	known := d.clockNow(now)
	if d.clock == 0 || (clock >= known && clock-known <= maxClockLead) {
		d.clock, d.clockAt = clock, now

		return true
	}

	if clock < known && known-clock <= maxClockLag {
		return true
	}

	// A repeat of the same report confirms nothing.
	expected := d.unconfirmedClock + now.Sub(d.unconfirmedClockAt).Milliseconds()
	if clock != d.unconfirmedClock && max(clock-expected, expected-clock) <= maxClockDifference {
		d.clock, d.clockAt, d.unconfirmedClock = clock, now, 0

		return true
	}

	d.unconfirmedClock, d.unconfirmedClockAt = clock, now

	return false
}

// plausibleClock records the engines' clock and returns it, or zero if it isn't plausible. The caller holds mu.
func (d *Directory) plausibleClock(now time.Time, clock int64) int64 {
	if !d.setClock(now, clock) {
		return 0
	}

	return clock
}

// SetClock records the engines' clock, in ms, as an engine reported it. It reports whether that agrees with what
// is known of the clock.
func (d *Directory) SetClock(now time.Time, clock int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.setClock(now, clock)
}

// Clock returns the engines' clock in ms, and false if it was never reported. The result
// is never ahead of the clock, because reports take some time to arrive.
func (d *Directory) Clock(now time.Time) (ms int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.clockNow(now), d.clock > 0
}

// ClockAge returns how long ago the engines' clock was last reported, zero if it never was.
func (d *Directory) ClockAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.clock == 0 {
		return 0
	}

	return now.Sub(d.clockAt)
}

// clockNow extrapolates the engines' clock, in ms, from the last report. The caller holds
// mu.
func (d *Directory) clockNow(now time.Time) int64 {
	return d.clock + now.Sub(d.clockAt).Milliseconds()
}

// fetchUntil returns the time on the engines' clock, in ms, by which fetches from the store
// must end.
func (s *storeState) fetchUntil() int64 { return s.epochLastSeen + epochGrace.Milliseconds() }

// earlierFetchesEnded reports whether all fetches granted in earlier epochs have ended, given until when all engines
// are known to have run.
func (s *storeState) earlierFetchesEnded(clock, ranUntil int64) bool {
	ended := s.epochFirstSeen + (epochGrace + freeMargin).Milliseconds()
	if s.epochFirstSeen == 0 || clock < ended {
		return false
	}

	return !s.restarted || ranUntil >= ended || clock >= ended+pausedGrace.Milliseconds()
}

// Find returns the copy of a part that an engine in a data centre could fetch soonest, and
// false if there is none. Whether it may fetch it is another matter, see FindFetchable.
func (d *Directory) Find(now time.Time, p Part, dataCentre string) (Copy, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	var best Copy

	clock, found := d.clockNow(now), false

	for address, st := range d.stores {
		tokens, ok := st.parts[p]
		if !ok || st.unreachable || clock+minFetchTime.Milliseconds() > st.fetchUntil() {
			continue
		}

		near := st.store.DataCentre == dataCentre
		c := Copy{Address: address, Tokens: tokens, FetchUntil: min(clock+MaxFetch.Milliseconds(), st.fetchUntil()), Near: near, Wait: max(st.linkBusyUntil.Sub(now), 0), Transfer: st.store.transfer(tokens, near)}

		if !found || c.Wait+c.Transfer < best.Wait+best.Transfer || (c == best && address < best.Address) {
			best, found = c, true
		}
	}

	return best, found
}

// FindFetchable returns the copy of a part that an engine in a data centre can fetch soonest within the
// right to do so, and false if there is none.
func (d *Directory) FindFetchable(now time.Time, p Part, r FetchRight, dataCentre string) (Copy, bool) {
	if !r.Allows(now, p) {
		return Copy{}, false
	}

	c, ok := d.Find(now, p, dataCentre)
	c.FetchUntil = min(c.FetchUntil, r.Until(p))
	clock, _ := d.Clock(now)

	return c, ok && clock+minFetchTime.Milliseconds() <= c.FetchUntil
}

// Place selects a store for a part and records the part as being saved there. It returns
// false if a store holds the part, the part is being saved, or no store accepts it. Long
// parts go to low-latency stores only if the other stores are full; short parts go only to
// low-latency stores. Stores get parts in proportion to their capacity. A part always
// goes to the same store while that has space, so that processes choose the same store
// without coordination.
func (d *Directory) Place(now time.Time, h Held) (address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.held(now, h.Part) {
		return "", false
	}

	bestScore, bestIsFallback := 0.0, false
	clock := d.clockNow(now)

	for a, st := range d.stores {
		if !st.earlierFetchesEnded(clock, d.enginesRanUntil) || !st.accepts(now, h.Tokens) {
			continue
		}

		score, isFallback := rendezvousScore(a, h.Part, st.store.CapacityTokens), h.Tokens >= longPartTokens && st.store.lowLatency()
		if address == "" || (bestIsFallback && !isFallback) || (bestIsFallback == isFallback && score > bestScore) {
			address, bestScore, bestIsFallback = a, score, isFallback
		}
	}

	if address == "" {
		return "", false
	}

	st := d.stores[address]
	d.reserveLink(now, st, st.store.transfer(h.Tokens, false))
	st.saves[h.Part] = pendingSave{tokens: h.Tokens, expiresAt: now.Add(saveTimeout)}

	return address, true
}

// held reports whether a store holds a part or the part is being saved. The caller holds
// mu.
func (d *Directory) held(now time.Time, p Part) bool {
	for _, st := range d.stores {
		if _, ok := st.parts[p]; ok {
			return true
		}

		if save, ok := st.saves[p]; ok && now.Before(save.expiresAt) {
			return true
		}
	}

	return false
}

// accepts reports whether a part of a length, in tokens, may be saved in the store.
func (s *storeState) accepts(now time.Time, tokens int) bool {
	if s.unreachable || !s.listed {
		return false
	}

	if tokens >= longPartTokens {
		return s.freeTokens(now) >= tokens
	}

	return s.store.lowLatency() && s.freeTokens(now) >= tokens && float64(s.shortTokens) < shortPartShare*float64(s.store.CapacityTokens)
}

// freeTokens returns the store's free space in tokens, less the saves in flight.
func (s *storeState) freeTokens(now time.Time) int {
	free := s.store.CapacityTokens - s.tokens

	for p, save := range s.saves {
		if now.After(save.expiresAt) {
			delete(s.saves, p)

			continue
		}

		free -= save.tokens
	}

	return free
}

// rendezvousScore returns the score of a store for a part in weighted rendezvous hashing.
func rendezvousScore(address string, p Part, capacity int) float64 {
	h := xxhash.Sum64String(address + "|" + p.Salt + "|" + p.ID)
	u := (float64(h>>11) + 0.5) / (1 << 53)

	return -float64(capacity) / math.Log(u)
}

// FreeableParts are the parts that may be freed in one store.
type FreeableParts struct {
	// Address and Epoch are the store's address and epoch.
	Address string
	Epoch   int64
	// Parts are parts of replaced weight versions.
	Parts []Part
	// Tokens is the total length of Parts.
	Tokens int
}

// Freeable returns the parts that are due to be freed because version newer of the model
// has replaced theirs: at most maxParts per store, the stores in order of address.
// Due reports whether a part in the store at an address is due.
func (d *Directory) Freeable(model string, newer int64, due func(address string, p Part) bool, maxParts int) []FreeableParts {
	d.mu.Lock()
	defer d.mu.Unlock()

	var all []FreeableParts

	for address, st := range d.stores {
		if st.unreachable || !st.listed {
			continue
		}

		r := FreeableParts{Address: address, Epoch: st.epoch}

		for p, tokens := range st.parts {
			scope, ok := ParseSalt(p.Salt)
			if ok && scope.Model == model && scope.Version < newer && len(r.Parts) < maxParts && due(address, p) {
				r.Parts = append(r.Parts, p)
				r.Tokens += tokens
			}
		}

		if len(r.Parts) > 0 {
			all = append(all, r)
		}
	}

	sort.Slice(all, func(i, j int) bool { return all[i].Address < all[j].Address })

	return all
}

// MarkFreed removes parts that were freed, because the store's events arrive late.
func (d *Directory) MarkFreed(r FreeableParts) {
	d.mu.Lock()
	defer d.mu.Unlock()

	st := d.stores[r.Address]
	if st == nil || st.epoch != r.Epoch {
		return
	}

	for _, p := range r.Parts {
		st.remove(p)
	}
}

// Usage returns the tokens held, the capacity in tokens and the number of parts of all
// reachable stores.
func (d *Directory) Usage() (held, capacity, parts int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, st := range d.stores {
		if !st.unreachable {
			held += st.tokens
			capacity += st.store.CapacityTokens
			parts += len(st.parts)
		}
	}

	return held, capacity, parts
}
