// Package quota divides the rate limit that a target names among the entries that send to it.
//
// # Model
//
// A limit holds for all entries together, and no entry knows what the others send. Each one
// therefore gets the same share: one request per slot, and slots follow each other at the interval
// at which all entries together stay below the limit. A slot that isn't used expires. Otherwise
// entries that had nothing to send for a while would all use their saved slots at the same moment,
// and with hundreds of entries that moment exceeds the limit many times over.
//
// # Example
//
//	var s quota.Share
//	s.Set(now, 4.6, 4, 0.25)
//	if s.Wait(now) == 0 {
//		s.Take(now)
//	}
package quota

import "time"

const (
	// usedFraction is the fraction of a limit that the entries use. The rest allows for entries
	// that don't know each other yet.
	usedFraction = 0.9
	// slotLife is how long a slot may be used.
	slotLife = time.Second
	// maxInterval bounds the time between two slots, in which a share doesn't notice that its
	// limit has ended.
	maxInterval = time.Hour
)

// Share is one entry's share of a target's rate limit. The zero Share has no limit. Its methods
// are not safe for concurrent use.
type Share struct {
	limit    float64       // of all entries, in requests per second; zero for none
	interval time.Duration // between the starts of two slots
	next     time.Time     // start of the earliest slot that was not used
}

// Set sets the limit in requests per second, zero for none, and the number of entries that share
// it. Phase, at least 0 and below 1, is the time until the first slot as a fraction of the
// interval; it should differ between entries.
func (s *Share) Set(now time.Time, limit float64, entries int, phase float64) {
	if limit <= 0 {
		*s = Share{}

		return
	}

	interval := maxInterval
	if seconds := float64(max(entries, 1)) / (usedFraction * limit); seconds < maxInterval.Seconds() {
		interval = time.Duration(seconds * float64(time.Second))
	}

	switch left := s.next.Sub(now); {
	case s.limit <= 0:
		s.next = now.Add(time.Duration(phase * float64(interval)))
	case left > 0:
		// Starting anew at each change would postpone the slot again and again.
		s.next = now.Add(time.Duration(float64(left) * float64(interval) / float64(s.interval)))
	}

	s.limit, s.interval = limit, interval
}

// Limit returns the limit of all entries in requests per second; zero for none.
func (s *Share) Limit() float64 { return s.limit }

// Interval returns the time between two slots; zero without a limit.
func (s *Share) Interval() time.Duration { return s.interval }

// Wait returns the time until a request may be sent; zero if it may be sent now.
func (s *Share) Wait(now time.Time) time.Duration {
	if s.limit <= 0 {
		return 0
	}

	left := s.next.Sub(now)

	switch {
	case left > 0:
		return left
	case s.interval <= slotLife:
		return 0
	}

	since := -left % s.interval
	if since < slotLife {
		return 0
	}

	return s.interval - since
}

// Take uses the slot that Wait reported as open.
func (s *Share) Take(now time.Time) {
	late := now.Sub(s.next)

	switch {
	case s.limit <= 0:
	case s.interval > slotLife:
		s.next = s.next.Add((late/s.interval + 1) * s.interval)
	case late > slotLife:
		s.next = now.Add(s.interval - slotLife)
	default:
		s.next = s.next.Add(s.interval)
	}
}
