package target

import "time"

// outlier is the record of one target's failures in a row.
type outlier struct {
	failures  int       // in a row
	ejections int       // that count for the length of the next one
	until     time.Time // end of the present or last ejection
	probation bool      // ejected, and not yet succeeded since
	probeAt   time.Time // when the probe under way was sent
	probing   bool      // a probe is under way
}

// ejected reports whether o takes no work at now.
func (o *outlier) ejected(now time.Time) bool {
	return o.probation && now.Before(o.until)
}

// probeOpen reports whether one request may try the target at now. A probe that
// was never taken back (its request's goroutine died) must not keep the target
// out for good, so it counts only for patience.
func (o *outlier) probeOpen(now time.Time, patience time.Duration) bool {
	if !o.probation || now.Before(o.until) {
		return false
	}

	return !o.probing || now.Sub(o.probeAt) > patience
}

// eject starts an ejection that is twice as long as the one before.
func (o *outlier) eject(now time.Time, base, most time.Duration) {
	d := base << min(o.ejections, maxDoublings)
	o.until = now.Add(min(d, most))
	o.ejections++
	o.probation = true
	o.probing = false
}

// succeed records a success and reports whether it ended an ejection.
func (o *outlier) succeed(now time.Time, forget time.Duration) bool {
	o.failures = 0
	if !o.probation {
		if now.Sub(o.until) > forget {
			o.ejections = 0
		}

		return false
	}

	o.probation = false
	o.probing = false

	return true
}

const maxDoublings = 16
