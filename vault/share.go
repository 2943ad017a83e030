package vault

import (
	"slices"
	"time"
)

// Position is how far a process has followed what another one knows of a store.
type Position struct {
	// Address is the store's.
	Address string `cbor:"1,keyasint"`
	// Teller is the start of the process that told, Sequence its last change.
	Teller   int64  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// Update is what one process tells another of a store.
type Update struct {
	Position
	// Watched is set if the teller follows the store, directly or through another process,
	// and the store answers.
	Watched bool `cbor:"4,keyasint"`
	// Epoch is the store's.
	Epoch int64 `cbor:"5,keyasint"`
	// Whole says that Events tell of all parts; otherwise they are changes, in order.
	Whole  bool    `cbor:"6,keyasint"`
	Events []Event `cbor:"7,keyasint"`
	// Away is set if the teller follows the store, directly or through another process,
	// and the store does not answer.
	Away bool `cbor:"8,keyasint,omitempty"`
	// Clock is the engines' clock in ms, never ahead of it.
	Clock int64 `cbor:"9,keyasint"`
	// EpochFirstSeen and EpochLastSeen are when the store was first and last known to be
	// in Epoch, on the engines' clock in ms; zero if unknown.
	EpochFirstSeen int64 `cbor:"10,keyasint"`
	EpochLastSeen  int64 `cbor:"11,keyasint"`
}

// keptChanges is how many changes of a store are kept for others to follow. At a
// few hundred parts a second that change after new weights, it covers several
// questions; who is further behind gets everything.
const keptChanges = 512

// changes are the last changes of a shelf.
type changes struct {
	sequence uint64 // of the newest
	kept     []Event
}

// note keeps a change.
func (c *changes) note(e Event) {
	c.sequence++
	c.kept = append(c.kept, e)

	if len(c.kept) > 2*keptChanges {
		c.kept = append(c.kept[:0], c.kept[len(c.kept)-keptChanges:]...)
	}
}

// forget makes all others start anew.
func (c *changes) forget() {
	c.sequence++
	c.kept = nil
}

// since returns the changes after a sequence number; ok is false when they are no
// longer kept.
func (c *changes) since(sequence uint64) (events []Event, ok bool) {
	if sequence > c.sequence || c.sequence-sequence > uint64(len(c.kept)) {
		return nil, false
	}

	return c.kept[uint64(len(c.kept))-(c.sequence-sequence):], true
}

// Tell returns what changed since the positions.
func (d *Directory) Tell(now time.Time, positions []Position) []Update {
	clock, known := d.Clock(now)
	if !known {
		clock = 0
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	updates := make([]Update, 0, len(positions))

	for _, p := range positions {
		u := Update{Position: Position{Address: p.Address, Teller: d.started}, Clock: clock}

		if sh := d.shelves[p.Address]; sh != nil && sh.follows(now) {
			if sh.known && !sh.away {
				sh.tell(&u, p, d.started)
			} else {
				u.Away = sh.away
			}
		}

		updates = append(updates, u)
	}

	return updates
}

// maxPeerUpdateAge bounds the age of updates from another process that are passed on.
const maxPeerUpdateAge = 2 * peerEvery

// follows reports whether this process follows the store, directly or through another process.
func (s *shelf) follows(now time.Time) bool {
	return s.direct || s.callFailed || now.Sub(s.peerUpdateAt) < maxPeerUpdateAge
}

// tell fills in an update.
func (s *shelf) tell(u *Update, p Position, started int64) {
	u.Watched, u.Epoch, u.Sequence = true, s.epoch, s.changes.sequence
	u.EpochFirstSeen, u.EpochLastSeen = s.epochFirstSeen, s.epochLastSeen

	events, ok := s.changes.since(p.Sequence)
	if p.Teller != started || !ok {
		u.Whole = true

		for part, tokens := range s.parts {
			u.Events = append(u.Events, Event{Held: Held{Part: part, Tokens: tokens}, Added: true})
		}

		return
	}

	u.Events = slices.Clone(events)
}

// Followed returns how far this process has followed what another one told.
func (d *Directory) Followed(address string) Position {
	d.mu.Lock()
	defer d.mu.Unlock()

	p := Position{Address: address}
	if sh := d.shelves[address]; sh != nil {
		p = sh.followed
		p.Address = address
	}

	return p
}

// Adopt takes what another process tells of a store. It returns false when that
// one doesn't follow the store or gets no answer from it.
func (d *Directory) Adopt(now time.Time, u Update) bool {
	if !u.Watched {
		return false
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.setClock(now, u.Clock)

	sh := d.shelves[u.Address]
	if sh == nil {
		return false
	}

	if u.Whole {
		clear(sh.parts)
		sh.tokens, sh.short = 0, 0
		sh.changes.forget()
	}

	sh.apply(u.Events)

	sh.observeEpoch(u.Epoch, u.EpochFirstSeen, u.EpochLastSeen)
	sh.known, sh.away, sh.direct, sh.callFailed = true, false, false, false
	sh.followed, sh.peerUpdateAt = u.Position, now

	return true
}

// AdoptAway records that a store does not answer the processes that follow it.
func (d *Directory) AdoptAway(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if sh := d.shelves[address]; sh != nil {
		sh.away, sh.direct, sh.callFailed, sh.peerUpdateAt = true, false, false, now
	}
}
