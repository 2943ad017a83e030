package target

import "time"

// outlier tracks consecutive failures and ejections of one target.
type outlier struct {
	failures  int       // consecutive
	ejections int       // counted for the backoff of the next one
	until     time.Time // end of the current or last ejection
	probation bool      // ejected, without a success since
	probeAt   time.Time // when the probe in flight was sent
	probing   bool      // a probe is in flight
}

// ejected reports whether the target takes no work at now.
func (o *outlier) ejected(now time.Time) bool {
	return o.probation && now.Before(o.until)
}

// probeOpen reports whether one request may probe the target at now. A probe whose end was
// never recorded (its request's goroutine died) must not keep the target out for good, so
// it only blocks the next one for timeout.
func (o *outlier) probeOpen(now time.Time, timeout time.Duration) bool {
	if !o.probation || now.Before(o.until) {
		return false
	}

	return !o.probing || now.Sub(o.probeAt) > timeout
}

// eject starts an ejection of base, doubled for each counted ejection before, up to maxDuration.
func (o *outlier) eject(now time.Time, base, maxDuration time.Duration) {
	d := base << min(o.ejections, maxDoublings)
	o.until = now.Add(min(d, maxDuration))
	o.ejections++
	o.probation = true
	o.probing = false
}

// recordSuccess records a success and reports whether it ended an ejection. The backoff is
// reset when the last ejection ended more than resetAfter ago.
func (o *outlier) recordSuccess(now time.Time, resetAfter time.Duration) bool {
	o.failures = 0
	if !o.probation {
		if now.Sub(o.until) > resetAfter {
			o.ejections = 0
		}

		return false
	}

	o.probation = false
	o.probing = false

	return true
}

const maxDoublings = 16
