package limit

import (
	"math"
	"time"

	"boragehub/setting"
)

// retrySchedule assigns retry slots to refused callers one after the other, so that they don't
// retry at the same time.
type retrySchedule struct {
	lastSlot time.Time // time of the slot that was assigned last
}

// nextSlot assigns the next slot and returns the time until it. The slot is not before first and
// at least period after the one assigned last, but no later than maxSlotDelay.
func (s *retrySchedule) nextSlot(now time.Time, first, period time.Duration) time.Duration {
	at := now.Add(first)
	if after := s.lastSlot.Add(period); after.After(at) {
		at = after
	}

	// Without this bound a flood of requests would extend the schedule by hours. Slots
	// beyond it coincide, but callers wouldn't keep the order over such a time anyway.
	at = earlier(at, now.Add(maxSlotDelay))
	s.lastSlot = at

	return at.Sub(now)
}

// maxSlotDelay is how far ahead slots are assigned.
const maxSlotDelay = time.Minute

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// meterHalfLife is the half-life of a rateMeter's sum.
const meterHalfLife = 5 * time.Second

// rateMeter measures the rate of released places as an exponentially decaying sum.
type rateMeter struct {
	sum float64
	at  time.Time
}

func (m *rateMeter) add(now time.Time, v float64) {
	m.sum = m.decayedSum(now) + v
	m.at = now
}

// decayedSum returns the sum at now. It also decays while no place is released: when engines
// hang, the rate from before would be too high.
func (m *rateMeter) decayedSum(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}

	return m.sum * math.Exp2(-max(now.Sub(m.at).Seconds(), 0)/meterHalfLife.Seconds())
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	return m.decayedSum(now) * math.Ln2 / meterHalfLife.Seconds()
}

// numClasses is the number of priority classes.
const numClasses = 4

// classRank returns the position of a class, from 0 for the most urgent one. Unknown classes
// rank as standard.
func classRank(c setting.Class) int {
	switch c {
	case setting.Urgent:
		return 0
	case setting.Interactive:
		return 1
	case setting.Standard:
		return 2
	case setting.Background:
		return 3
	default:
		return 2
	}
}

// classFractions holds, by rank, the fraction of the places that each class may use. The rest
// is available to more urgent classes at once, without waiting for a request to end.
var classFractions = [numClasses]float64{1, 0.95, 0.9, 0.75}

func classFraction(c setting.Class) float64 { return classFractions[classRank(c)] }
