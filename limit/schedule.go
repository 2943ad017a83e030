package limit

import (
	"math"
	"time"

	"boragehub/setting"
)

// schedule gives refused callers one slot after the other, so that they don't
// come back together.
type schedule struct {
	until time.Time // the last slot given
}

// next returns the wait until the next free slot: not before first, and period
// after the one given last.
func (s *schedule) next(now time.Time, first, period time.Duration) time.Duration {
	at := now.Add(first)
	if after := s.until.Add(period); after.After(at) {
		at = after
	}

	// What has been promised beyond the bound can't be kept in order anyway;
	// without this a flood would push the schedule out for hours.
	at = earlier(at, now.Add(horizon))
	s.until = at

	return at.Sub(now)
}

// horizon is how far ahead slots are given.
const horizon = time.Minute

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// meterHalf is the time in which a meter's memory falls to half.
const meterHalf = 5 * time.Second

// meter measures places given back each second, fading.
type meter struct {
	sum float64
	at  time.Time
}

func (m *meter) add(now time.Time, v float64) {
	m.sum = m.faded(now) + v
	m.at = now
}

// faded returns the sum as it counts at now. It fades also while nothing is
// given back: when engines hang, the rate of a moment ago promises too much.
func (m *meter) faded(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}

	return m.sum * math.Exp2(-max(now.Sub(m.at).Seconds(), 0)/meterHalf.Seconds())
}

func (m *meter) perSecond(now time.Time) float64 {
	return m.faded(now) * math.Ln2 / meterHalf.Seconds()
}

// classes is the number of priority classes.
const classes = 4

// rank orders classes from the most urgent.
func rank(c setting.Class) int {
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

// parts is the part of the places that each class may fill, by rank. What a
// class leaves is there for the more urgent ones at once, without waiting for
// a run to end.
var parts = [classes]float64{1, 0.95, 0.9, 0.75}

func part(c setting.Class) float64 { return parts[rank(c)] }
