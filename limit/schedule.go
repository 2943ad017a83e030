package limit

import (
	"math"
	"time"

	"boragehub/setting"
)

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
