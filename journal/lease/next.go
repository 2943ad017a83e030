package lease

import "time"

// Step is what a Keeper does next.
type Step uint8

// The steps.
const (
	// Wait does nothing for now.
	Wait Step = iota
	// Take asks for the lease.
	Take
	// Renew prolongs it.
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

// Terms are the times of a lease.
type Terms struct {
	// Duration is how long nobody else may take the lease after a renewal.
	Duration time.Duration
	// Margin is how long before the end of Duration the holder stops.
	Margin time.Duration
	// Every is the time between renewals.
	Every time.Duration
}

// View is what a process knows about one lease.
type View struct {
	// Self is the process's name as holder.
	Self string
	// Lease is the lease as last read, when Held.
	Lease Lease
	// Held says that somebody holds the lease, perhaps past its Duration.
	Held bool
	// Seen is when, by the process's own clock, it first read the Lease's newest renewal.
	Seen time.Time
	// Fence is the lease that this process itself took; zero when none.
	Fence uint64
	// Sent is when it sent the last record that counts for Fence.
	Sent time.Time
	// Asked is when it last sent a record, whatever became of it.
	Asked time.Time
}

// Next returns what to do about a lease.
func Next(now time.Time, terms Terms, v View) Step {
	if now.Sub(v.Asked) < terms.Every {
		return Wait
	}

	switch {
	case !v.Held:
		return Take
	case v.Fence != 0 && v.Lease.Fence == v.Fence:
		return Renew
	case now.Sub(v.Seen) >= v.Lease.Duration:
		return Take
	default:
		return Wait
	}
}

// Valid tells whether a process may act on the lease that it took.
//
// The service took the last renewal no earlier than it was sent, so others may
// take over no earlier than Duration after Sent. Counting from Sent by the
// holder's own clock needs no agreement between clocks, and the margin covers
// their different speeds and the time that an order takes.
func Valid(now time.Time, terms Terms, v View) bool {
	return v.Fence != 0 && v.Held && v.Lease.Fence == v.Fence && now.Sub(v.Sent) < v.Lease.Duration-terms.Margin
}
