package pulse

import (
	"time"
)

// What pulses may cost an entry. With an engine more each of them gets less of an
// entry's requests, so that its load is known well enough from fewer pulses.
const (
	// mostPulses is how many pulses a second an entry gets at most.
	mostPulses = 240
	// leastPulses is how many it gets in the largest fleets: two kilobytes a second.
	leastPulses = 20
	// pulseEngines is how many engines there are when mostPulses begins to fall.
	pulseEngines = 64
)

// Share returns to how many of so many engines an entry subscribes, and at which pace.
func Share(engines int) (most int, pace time.Duration) {
	pulses := min(max(mostPulses*pulseEngines/max(engines, 1), leastPulses), mostPulses)
	most = min(engines, pulses, pulseEngines)
	pace = max(time.Duration((most*1000+pulses-1)/pulses)*time.Millisecond, Every)

	return most, pace
}
