// Package slowstart limits the rate of requests to targets that have just started.
//
// # Model
//
// A target that has just started is cold for some seconds and crashes when it gets many more
// requests a second than it tolerates. It looks idle to every entry, so together the entries
// would send it far more than that. Its rate is shared among the entries in two ways:
//
//   - The process beside the target issues permits with its load reports (Guard). Each permit
//     allows one request and expires soon, so the sum is limited whatever the entries know.
//   - Without permits, only the first few entries in an order by hash, which is the same for
//     all, send requests, each at a fixed interval (Limit.Share). That relies on entries
//     knowing each other, so it uses only a part of the rate.
//
// # Example
//
//	g := slowstart.NewGuard(slowstart.Limit{Duration: 3 * time.Second, PerSecond: 32, MaxPerSecond: 53}, seed)
//	g.Started(now, 0)
//	permits := g.Permits(now, entries)
package slowstart

import "time"

// Limit limits the requests to a cold target. The zero Limit limits nothing.
type Limit struct {
	// Duration is how long a target is cold after its start.
	Duration time.Duration
	// PerSecond is the rate of requests that it tolerates while it is cold.
	PerSecond float64
	// MaxPerSecond is the maximum number of requests that may reach it within any one second.
	MaxPerSecond int
}

// NewLimit returns the Limit of a target that is cold for a duration and then tolerates
// perSecond requests a second. Within any one second it may get that number times overage,
// which counts as at least 1, plus slack.
func NewLimit(duration time.Duration, perSecond, overage float64, slack int) Limit {
	return Limit{Duration: duration, PerSecond: perSecond, MaxPerSecond: int(perSecond*max(overage, 1)) + slack}
}

// Bounded reports whether the Limit limits anything.
func (l Limit) Bounded() bool { return l.PerSecond > 0 && l.Duration > 0 }

const (
	// PermitLife is how long a permit is valid at the entry that got it. Requests that arrive
	// within one second may use permits that were issued up to PermitLife earlier.
	PermitLife = 300 * time.Millisecond
	// permitDelay is how long a permit and its request may be in flight.
	permitDelay = 50 * time.Millisecond
	// reservedShare is the share of MaxPerSecond that is reserved for entries without permits.
	reservedShare = 0.1
	// uncoordinatedShare is the share of MaxPerSecond that entries use where no permits are
	// issued: not all entries know those that have just started.
	uncoordinatedShare = 0.8
)

// permitRate returns the number of permits issued per second.
func (l Limit) permitRate() float64 {
	window := (time.Second + PermitLife + permitDelay + maxAccrualTime).Seconds()
	left := float64(l.MaxPerSecond) - float64(l.reserved()) - 1 // one permit may have accrued before the window

	return max(min(l.PerSecond, left/window), 0)
}

// reserved returns the number of requests per second reserved for entries without permits.
func (l Limit) reserved() int { return int(reservedShare * float64(l.MaxPerSecond)) }

// Share returns how many of the entries may send to a cold target without permits, and the
// minimum interval between two requests of one of them. PermitsIssued is set if other entries
// get permits.
func (l Limit) Share(entries int, permitsIssued bool) (senders int, interval time.Duration) {
	if permitsIssued {
		// Half of the reserve, because entries may disagree on the order.
		return min(entries, max(l.reserved()/2, 1)), time.Second + permitDelay
	}

	budget := max(int(uncoordinatedShare*float64(l.MaxPerSecond)), 1)
	senders = max(min(entries, budget/2), 1)
	perSender := budget / senders // within any one second

	interval = time.Duration(float64(senders) / l.PerSecond * float64(time.Second))

	return senders, max(interval, time.Second/time.Duration(perSender)+permitDelay/time.Duration(perSender))
}
