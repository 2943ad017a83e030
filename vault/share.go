package vault

import (
	"slices"
	"time"
)

// Position is how far a process has followed another process's updates on a store.
type Position struct {
	// Address is the store's address.
	Address string `cbor:"1,keyasint"`
	// Reporter is the incarnation of the process that sent the updates, and Sequence the
	// number of its last change.
	Reporter int64  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// Update is what one process reports to another about a store.
type Update struct {
	Position
	// Reachable is set if the reporter follows the store, directly or through another process,
	// and the store responds.
	Reachable bool `cbor:"4,keyasint"`
	// Epoch is the store's epoch.
	Epoch int64 `cbor:"5,keyasint"`
	// Snapshot is set if Events hold all parts; otherwise they are the changes since the
	// receiver's position, in order.
	Snapshot bool    `cbor:"6,keyasint"`
	Events   []Event `cbor:"7,keyasint"`
	// Unreachable is set if the reporter follows the store, directly or through another
	// process, and the store does not respond.
	Unreachable bool `cbor:"8,keyasint,omitempty"`
	// Clock is the engines' clock in ms, never ahead of it; zero if the reporter does not
	// know it.
	Clock int64 `cbor:"9,keyasint"`
	// EpochFirstSeen and EpochLastSeen are when the store was first and last known to be
	// in Epoch, on the engines' clock in ms; zero if unknown.
	EpochFirstSeen int64 `cbor:"10,keyasint"`
	EpochLastSeen  int64 `cbor:"11,keyasint"`
}

// keptChanges is how many changes of a store are kept for other processes. A few hundred
// parts a second change after new weights, so this covers several polls. Processes that are
// further behind get all parts.
const keptChanges = 512

// changeLog holds the most recent changes of a store.
type changeLog struct {
	sequence uint64 // of the newest change
	kept     []Event
}

// record appends a change and trims the log.
func (c *changeLog) record(e Event) {
	c.sequence++
	c.kept = append(c.kept, e)

	if len(c.kept) > 2*keptChanges {
		c.kept = append(c.kept[:0], c.kept[len(c.kept)-keptChanges:]...)
	}
}

// reset discards all changes, so that other processes get all parts in the next update.
func (c *changeLog) reset() {
	c.sequence++
	c.kept = nil
}

// since returns the changes after a sequence number, and false if they are not kept.
func (c *changeLog) since(sequence uint64) (events []Event, ok bool) {
	if sequence > c.sequence || c.sequence-sequence > uint64(len(c.kept)) {
		return nil, false
	}

	return c.kept[uint64(len(c.kept))-(c.sequence-sequence):], true
}

// Updates returns the updates since the positions, one for each position.
func (d *Directory) Updates(now time.Time, positions []Position) []Update {
	clock, known := d.Clock(now)
	if !known {
		clock = 0
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	updates := make([]Update, 0, len(positions))

	for _, p := range positions {
		u := Update{Position: Position{Address: p.Address, Reporter: d.incarnation}, Clock: clock}

		if st := d.stores[p.Address]; st != nil && st.follows(now) {
			if st.listed && !st.unreachable {
				st.fillUpdate(&u, p, d.incarnation)
			} else {
				u.Unreachable = st.unreachable
			}
		}

		updates = append(updates, u)
	}

	return updates
}

// maxPeerUpdateAge is the maximum age of updates from another process that are passed on.
const maxPeerUpdateAge = 2 * peerPollInterval

// follows reports whether this process follows the store, directly or through another process.
func (s *storeState) follows(now time.Time) bool {
	return s.direct || s.callFailed || now.Sub(s.peerUpdateAt) < maxPeerUpdateAge
}

// fillUpdate fills in an update since a position.
func (s *storeState) fillUpdate(u *Update, p Position, incarnation int64) {
	u.Reachable, u.Epoch, u.Sequence = true, s.epoch, s.changes.sequence
	u.EpochFirstSeen, u.EpochLastSeen = s.epochFirstSeen, s.epochLastSeen

	events, ok := s.changes.since(p.Sequence)
	if p.Reporter != incarnation || !ok {
		u.Snapshot = true

		for part, tokens := range s.parts {
			u.Events = append(u.Events, Event{Held: Held{Part: part, Tokens: tokens}, Added: true})
		}

		return
	}

	u.Events = slices.Clone(events)
}

// PeerPosition returns how far this process has followed other processes' updates on a store.
func (d *Directory) PeerPosition(address string) Position {
	d.mu.Lock()
	defer d.mu.Unlock()

	p := Position{Address: address}
	if st := d.stores[address]; st != nil {
		p = st.peerPosition
		p.Address = address
	}

	return p
}

// ApplyUpdate applies an update from another process. It returns false if that process does not
// follow the store or gets no response from it, or if the store is not configured here.
func (d *Directory) ApplyUpdate(now time.Time, u Update) bool {
	if !u.Reachable {
		return false
	}

	d.mu.Lock()
	defer d.mu.Unlock()

	d.setClock(now, u.Clock)

	st := d.stores[u.Address]
	if st == nil {
		return false
	}

	if u.Epoch != st.epoch && u.EpochLastSeen > 0 && u.EpochLastSeen < st.epochFirstSeen {
		return false // the other process doesn't know yet that the store has restarted
	}

	if u.Snapshot {
		clear(st.parts)
		st.tokens, st.shortTokens = 0, 0
		st.changes.reset()
	}

	st.apply(u.Events)

	st.observeEpoch(u.Epoch, u.EpochFirstSeen, u.EpochLastSeen)
	st.listed, st.unreachable, st.direct, st.callFailed = true, false, false, false
	st.peerPosition, st.peerUpdateAt = u.Position, now

	return true
}

// ApplyUnreachableReport records that a store does not respond to the processes that follow it.
func (d *Directory) ApplyUnreachableReport(now time.Time, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	if st := d.stores[address]; st != nil {
		st.unreachable, st.direct, st.callFailed, st.peerUpdateAt = true, false, false, now
	}
}
