package retry

import "time"

// Schedule assigns retry slots to refused callers one after the other, so that they don't retry at
// the same time. The zero Schedule is empty. Its methods are not safe for concurrent use.
type Schedule struct {
	lastSlot time.Time // time of the slot that was assigned last
}

// maxSlotDelay is how far ahead slots are assigned.
const maxSlotDelay = time.Minute

// NextSlot assigns the next slot and returns the time until it. The slot is not before first and
// at least period after the one assigned last, but no later than maxSlotDelay.
func (s *Schedule) NextSlot(now time.Time, first, period time.Duration) time.Duration {
	at := now.Add(first)
	if after := s.lastSlot.Add(period); after.After(at) {
		at = after
	}

	// Without this bound a flood of requests would extend the schedule by hours. Slots
	// beyond it coincide, but callers wouldn't keep the order over such a time anyway.
	if latest := now.Add(maxSlotDelay); at.After(latest) {
		at = latest
	}

	s.lastSlot = at

	return at.Sub(now)
}

// NextSlotWithin is NextSlot for a caller that has to return within latest. If the next slot is
// later than that, the caller is told latest and the slot remains free for another one.
func (s *Schedule) NextSlotWithin(now time.Time, first, period, latest time.Duration) time.Duration {
	before := s.lastSlot

	after := s.NextSlot(now, first, period)
	if after <= latest {
		return after
	}

	s.lastSlot = before

	return max(latest, 0)
}
