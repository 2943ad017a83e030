package vault

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// savePatience is how long a save that was asked for may take until its event
// arrives. A prompt is read in under a second, and events come a little later.
const savePatience = 2500 * time.Millisecond

// shelf is what is known of one store.
type shelf struct {
	store   Store
	epoch   int64
	next    int64
	known   bool // its list was read in this epoch
	away    bool // it doesn't answer
	parts   map[Part]int
	tokens  int
	short   int // of tokens, those of short parts
	pending map[Part]pending
	busy    time.Time // until when the link is expected to be taken

	// When the store was first and last known to be in epoch, on the engines' clock in
	// ms; zero if unknown.
	epochFirstSeen, epochLastSeen int64

	direct       bool      // its events are read by this process
	callFailed   bool      // the last direct call failed, and no other process has told of it since
	peerUpdateAt time.Time // when another process last told of it
	changes      changes   // for other processes
	followed     Position  // how far another process's changes were followed
}

type pending struct {
	tokens int
	until  time.Time
}

// Directory is what one process knows of the stores. Use NewDirectory; its
// methods may be called from many goroutines.
type Directory struct {
	mu      sync.Mutex
	shelves map[string]*shelf
	sharers int       // processes that use the stores alike, this one included
	started int64     // tells this start of the process from others
	clock   int64     // the engines' clock in ms …
	clockAt time.Time // … not later than at this time
}

// NewDirectory returns an empty Directory. Started is any number that differs from
// that of other starts of the process, as the time in ns.
func NewDirectory(started int64) *Directory {
	return &Directory{shelves: make(map[string]*shelf), started: started, sharers: 1}
}

// SetSharers sets how many processes use the stores, this one included. Each sees
// only its own transfers, and takes those of the others to be as many.
func (d *Directory) SetSharers(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.sharers = max(n, 1)
}

// Promise notes that a copy will be fetched.
func (d *Directory) Promise(now time.Time, c Copy) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if sh := d.shelves[c.Address]; sh != nil {
		d.promise(now, sh, c.Transfer)
	}
}

// promise takes a store's link for a transfer. The caller holds mu.
func (d *Directory) promise(now time.Time, s *shelf, t time.Duration) {
	if s.busy.Before(now) {
		s.busy = now
	}

	// A transfer that would wait for longer isn't started.
	if s.busy.Sub(now) < MostWait {
		s.busy = s.busy.Add(t * time.Duration(d.sharers))
	}
}

// Configure sets the stores that there are.
func (d *Directory) Configure(stores []Store) {
	d.mu.Lock()
	defer d.mu.Unlock()

	kept := make(map[string]*shelf, len(stores))

	for _, s := range stores {
		sh, ok := d.shelves[s.Address]
		if !ok {
			sh = &shelf{away: true, parts: make(map[Part]int), pending: make(map[Part]pending)}
		}

		sh.store = s
		kept[s.Address] = sh
	}

	d.shelves = kept
}

// Position returns where a store's events go on; ok is false when its list has
// to be read first.
func (d *Directory) Position(address string) (next int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	sh := d.shelves[address]
	if sh == nil || !sh.known || !sh.direct {
		return 0, false
	}

	return sh.next, true
}

// Learn takes a store's whole list.
func (d *Directory) Learn(now time.Time, address string, l Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.setClock(now, l.Clock)

	sh := d.shelves[address]
	if sh == nil {
		return
	}

	sh.observeEpoch(l.Epoch, l.Clock, l.Clock)
	sh.next, sh.known, sh.away, sh.direct, sh.callFailed = l.Next, true, false, true, false
	sh.tokens, sh.short = 0, 0
	sh.changes.forget()

	sh.parts = make(map[Part]int, len(l.Held))

	for _, h := range l.Held {
		sh.add(h)
	}
}

// Follow takes what changed. It returns false when the list has to be read anew:
// the store restarted, or events are missing.
func (d *Directory) Follow(now time.Time, address string, e Events) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.setClock(now, e.Clock)

	sh := d.shelves[address]
	if sh == nil {
		return true
	}

	sh.away, sh.callFailed = false, false

	restarted := e.Epoch != sh.epoch
	sh.observeEpoch(e.Epoch, e.Clock, e.Clock)

	if e.Lost || restarted {
		// Nothing of an earlier epoch is there any more.
		sh.known, sh.tokens, sh.short = false, 0, 0
		clear(sh.parts)
		sh.changes.forget()

		return false
	}

	sh.next = e.Next

	sh.apply(e.Events)

	return true
}

// observeEpoch records that the store was in an epoch from firstSeen until lastSeen, in ms
// on the engines' clock; zero means unknown. Times of a different epoch are discarded.
func (s *shelf) observeEpoch(epoch, firstSeen, lastSeen int64) {
	if epoch != s.epoch {
		s.epoch, s.epochFirstSeen, s.epochLastSeen = epoch, firstSeen, lastSeen

		return
	}

	if s.epochFirstSeen == 0 || (firstSeen > 0 && firstSeen < s.epochFirstSeen) {
		s.epochFirstSeen = firstSeen
	}

	s.epochLastSeen = max(s.epochLastSeen, lastSeen)
}

// apply takes changes in order.
func (s *shelf) apply(events []Event) {
	for _, e := range events {
		if e.Added {
			s.add(e.Held)
		} else {
			s.remove(e.Part)
		}
	}
}

// Lose takes that a store doesn't answer.
func (d *Directory) Lose(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if sh := d.shelves[address]; sh != nil {
		sh.away, sh.callFailed = true, true
	}
}

func (s *shelf) add(h Held) {
	delete(s.pending, h.Part)
	s.count(-s.parts[h.Part])
	s.count(h.Tokens)
	s.parts[h.Part] = h.Tokens
	s.changes.note(Event{Held: h, Added: true})
}

// count adds tokens of one part, or takes them off.
func (s *shelf) count(tokens int) {
	s.tokens += tokens
	if max(tokens, -tokens) < longPart {
		s.short += tokens
	}
}

func (s *shelf) remove(p Part) {
	s.count(-s.parts[p])
	delete(s.parts, p)
	s.changes.note(Event{Held: Held{Part: p}})
}

// setClock keeps the engines' clock. The caller holds mu.
func (d *Directory) setClock(now time.Time, clock int64) {
	if clock > 0 {
		d.clock, d.clockAt = clock, now
	}
}

// Hear takes the engines' clock as one of them told it.
func (d *Directory) Hear(now time.Time, clock int64) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.setClock(now, clock)
}

// Clock returns the engines' clock in ms: never ahead of it, as what it told was
// on its way for a while. ok is false until it was told.
func (d *Directory) Clock(now time.Time) (ms int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.clockNow(now), d.clock > 0
}

// clockNow returns the engines' clock in ms. The caller holds mu.
func (d *Directory) clockNow(now time.Time) int64 {
	return d.clock + now.Sub(d.clockAt).Milliseconds()
}

// fetchUntil returns the time on the engines' clock, in ms, by which fetches from the store
// must end.
func (s *shelf) fetchUntil() int64 { return s.epochLastSeen + epochGrace.Milliseconds() }

// earlierFetchesEnded reports whether all fetches granted in earlier epochs have ended.
func (s *shelf) earlierFetchesEnded(clock int64) bool {
	return s.epochFirstSeen > 0 && clock >= s.epochFirstSeen+(epochGrace+freeMargin).Milliseconds()
}

// Find returns the copy of a part that is there soonest for an engine in a data
// centre.
func (d *Directory) Find(now time.Time, p Part, dataCentre string) (Copy, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	var best Copy

	clock, found := d.clockNow(now), false

	for address, sh := range d.shelves {
		tokens, ok := sh.parts[p]
		if !ok || sh.away || clock+minFetch.Milliseconds() > sh.fetchUntil() {
			continue
		}

		near := sh.store.DataCentre == dataCentre
		c := Copy{Address: address, Tokens: tokens, FetchUntil: min(clock+MaxFetch.Milliseconds(), sh.fetchUntil()), Near: near, Wait: max(sh.busy.Sub(now), 0), Transfer: sh.store.transfer(tokens, near)}

		if !found || c.Wait+c.Transfer < best.Wait+best.Transfer || (c == best && address < best.Address) {
			best, found = c, true
		}
	}

	return best, found
}

// Place returns the store in which a part is to be saved, if it is in none, is
// not being saved and one has room, and notes that it is being saved. Long parts go
// to quick stores only when the others are full, short ones to those alone. Stores
// get parts in proportion to their room, each part always the same one while that
// has room, so that entries which don't know of each other choose alike.
func (d *Directory) Place(now time.Time, h Held) (address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if d.held(now, h.Part) {
		return "", false
	}

	best, second := 0.0, false
	clock := d.clockNow(now)

	for a, sh := range d.shelves {
		if !sh.earlierFetchesEnded(clock) || !sh.takes(now, h.Tokens) {
			continue
		}

		s, last := weight(a, h.Part, sh.store.Room), h.Tokens >= longPart && sh.store.quick()
		if address == "" || (second && !last) || (second == last && s > best) {
			address, best, second = a, s, last
		}
	}

	if address == "" {
		return "", false
	}

	sh := d.shelves[address]
	d.promise(now, sh, sh.store.transfer(h.Tokens, false))
	sh.pending[h.Part] = pending{tokens: h.Tokens, until: now.Add(savePatience)}

	return address, true
}

// held reports whether a part is in a store or on its way to one. The caller
// holds mu.
func (d *Directory) held(now time.Time, p Part) bool {
	for _, sh := range d.shelves {
		if _, ok := sh.parts[p]; ok {
			return true
		}

		if w, ok := sh.pending[p]; ok && now.Before(w.until) {
			return true
		}
	}

	return false
}

// takes reports whether the store may take a part of a length.
func (s *shelf) takes(now time.Time, tokens int) bool {
	if s.away || !s.known {
		return false
	}

	if tokens >= longPart {
		return s.free(now) >= tokens
	}

	return s.store.quick() && s.free(now) >= tokens && float64(s.short) < shortRoom*float64(s.store.Room)
}

// free returns the tokens that fit, saves under way taken off.
func (s *shelf) free(now time.Time) int {
	free := s.store.Room - s.tokens

	for p, w := range s.pending {
		if now.After(w.until) {
			delete(s.pending, p)

			continue
		}

		free -= w.tokens
	}

	return free
}

// weight is the score of weighted rendezvous hashing.
func weight(address string, p Part, room int) float64 {
	h := xxhash.Sum64String(address + "|" + p.Salt + "|" + p.ID)
	u := (float64(h>>11) + 0.5) / (1 << 53)

	return -float64(room) / math.Log(u)
}

// Replaced is what may be freed in one store.
type Replaced struct {
	// Address and Epoch are the store's.
	Address string
	Epoch   int64
	// Parts are those of replaced weight versions.
	Parts []Part
	// Tokens is their sum.
	Tokens int
}

// Replaced returns the parts that are due to be freed, when a newer version of
// their model than theirs was learned of so long ago, at most so many a store.
// Answered is as for Part.FreeAfter.
func (d *Directory) Replaced(model string, before int64, ago func(address string) time.Duration, answered bool, most int) []Replaced {
	d.mu.Lock()
	defer d.mu.Unlock()

	var all []Replaced

	for address, sh := range d.shelves {
		if sh.away || !sh.known {
			continue
		}

		r := Replaced{Address: address, Epoch: sh.epoch}
		since := ago(address)

		for p, tokens := range sh.parts {
			s, ok := ParseSalt(p.Salt)
			if ok && s.Model == model && s.Version < before && since >= p.FreeAfter(answered) && len(r.Parts) < most {
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

// Freed takes that parts were freed, as the store's events come late.
func (d *Directory) Freed(r Replaced) {
	d.mu.Lock()
	defer d.mu.Unlock()

	sh := d.shelves[r.Address]
	if sh == nil || sh.epoch != r.Epoch {
		return
	}

	for _, p := range r.Parts {
		sh.remove(p)
	}
}

// Usage returns the tokens held and the room of all stores that answer.
func (d *Directory) Usage() (held, room, parts int) {
	d.mu.Lock()
	defer d.mu.Unlock()

	for _, sh := range d.shelves {
		if !sh.away {
			held += sh.tokens
			room += sh.store.Room
			parts += len(sh.parts)
		}
	}

	return held, room, parts
}
