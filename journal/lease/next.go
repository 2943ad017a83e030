package lease

import "time"

// Step is an action of a Keeper.
type Step uint8

// The steps.
const (
	// Wait sends no record.
	Wait Step = iota
	// Take sends a record to take the lease.
	Take
	// Renew sends a record to renew the lease.
	Renew
)

// String returns the snake-case name of s.
func (s Step) String() string {
	switch s {
	case Take:
		return "take"
	case Renew:
		return "renew"
	default:
		return "wait"
	}
}

// Timing holds the durations of a lease.
type Timing struct {
	// Duration is how long after a renewal no other process may take the lease.
	Duration time.Duration
	// Margin is how long before the end of Duration the holder stops acting.
	Margin time.Duration
	// RenewInterval is the minimum time between two records, such as renewals.
	RenewInterval time.Duration
}

// View is what a process knows about one lease.
type View struct {
	// Self is the name of the process, as in Lease.Holder.
	Self string
	// Lease is the lease as last read from the stream; valid when Held is set.
	Lease Lease
	// Held says that a process holds the lease, perhaps past its Duration.
	Held bool
	// RenewalSeen is when, by its own clock, the process first read the newest
	// change of Lease.
	RenewalSeen time.Time
	// Fence is the fencing number of the lease that this process took; zero when
	// it took none.
	Fence uint64
	// RenewalSent is when it sent the last record that counts for Fence.
	RenewalSent time.Time
	// LastRequest is when it last sent a record, whatever the outcome.
	LastRequest time.Time
}

// Next returns the step that a process takes now to get or keep a lease.
func Next(now time.Time, timing Timing, v View) Step {
	if now.Sub(v.LastRequest) < timing.RenewInterval {
		return Wait
	}

	switch {
	case !v.Held:
		return Take
	case v.Fence != 0 && v.Lease.Fence == v.Fence:
		return Renew
	case now.Sub(v.RenewalSeen) >= v.Lease.Duration:
		return Take
	default:
		return Wait
	}
}

// Valid reports whether a process may act on the lease that it took.
//
// The service appended the last renewal no earlier than it was sent, so other
// processes can take the lease no earlier than Duration after RenewalSent. The
// holder measures from RenewalSent by its own clock, so the clocks need not
// agree; the margin covers clock drift and the time that an order takes.
func Valid(now time.Time, timing Timing, v View) bool {
	return v.Fence != 0 && v.Held && v.Lease.Fence == v.Fence && now.Sub(v.RenewalSent) < v.Lease.Duration-timing.Margin
}
