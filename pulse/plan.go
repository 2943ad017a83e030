package pulse

import (
	"time"
)

// Bounds on the load reports that an entry receives. The more engines there are, the fewer of
// an entry's requests go to each, so fewer reports per engine suffice to know its load.
const (
	// maxReportsPerSecond is the upper bound.
	maxReportsPerSecond = 240
	// minReportsPerSecond is the bound in the largest fleets, 2 kilobytes a second.
	minReportsPerSecond = 20
	// maxSubscribedEngines is the number of engines above which the bound falls below
	// maxReportsPerSecond, and the largest number that an entry subscribes to.
	maxSubscribedEngines = 64
)

// PlanSubscriptions returns how many of the given number of engines an entry subscribes to, and
// the time between two load reports of one engine.
func PlanSubscriptions(engines int) (subscribed int, interval time.Duration) {
	maxReports := min(max(maxReportsPerSecond*maxSubscribedEngines/max(engines, 1), minReportsPerSecond), maxReportsPerSecond)
	subscribed = min(engines, maxReports, maxSubscribedEngines)
	interval = max(time.Duration((subscribed*1000+maxReports-1)/maxReports)*time.Millisecond, MinInterval)

	return subscribed, interval
}
