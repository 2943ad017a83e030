package admission

import "time"

const (
	// ratedAdmissions is the number of last admissions by which the rate is measured,
	// minAdmissions the number from which on it counts as known.
	ratedAdmissions = 16
	minAdmissions   = 8
	// rateTTL is how long the rate is kept while no prompt waits: engines and load have changed by
	// the next time that prompts have to wait.
	rateTTL = 5 * time.Second
)

// rateMeter measures the rate of admissions. Only time in which prompts wait counts: otherwise the
// rate after a quiet minute would be near zero, and the first prompts of a burst would be refused.
type rateMeter struct {
	admitted [ratedAdmissions]time.Duration // times of the last admissions, by the meter's clock
	n        int                            // number of admissions since the last reset
	elapsed  time.Duration                  // of the meter's clock, up to runningSince or until it stopped
	// runningSince is since when prompts wait, stoppedAt since when none does; zero if not so.
	runningSince, stoppedAt time.Time
	lastAt                  time.Time
}

// clock returns the total time in which prompts waited.
func (m *rateMeter) clock(now time.Time) time.Duration {
	if m.runningSince.IsZero() {
		return m.elapsed
	}

	return m.elapsed + max(now.Sub(m.runningSince), 0)
}

// start runs the clock, since a prompt waits.
func (m *rateMeter) start(now time.Time) {
	if !m.runningSince.IsZero() {
		return
	}

	if !m.stoppedAt.IsZero() && now.Sub(m.stoppedAt) > rateTTL {
		m.n = 0
	}

	m.runningSince, m.stoppedAt = now, time.Time{}
}

// stop stops the clock, since no prompt waits any more.
func (m *rateMeter) stop(now time.Time) {
	m.elapsed = m.clock(now)
	m.runningSince, m.stoppedAt = time.Time{}, now
}

// record records an admission.
func (m *rateMeter) record(now time.Time) {
	m.admitted[m.n%ratedAdmissions] = m.clock(now)
	m.n++
	m.lastAt = now
}

// period returns the mean time between two admissions; zero while it is unknown. It grows while no
// prompt is admitted.
func (m *rateMeter) period(now time.Time) time.Duration {
	if m.n < minAdmissions {
		return 0
	}

	kept := min(m.n, ratedAdmissions)
	oldest := m.admitted[(m.n-kept)%ratedAdmissions]

	return max((m.clock(now)-oldest)/time.Duration(kept), time.Microsecond)
}

// rate returns the rate for the log.
func (m *rateMeter) rate(now time.Time) Rate {
	var r Rate

	if p := m.period(now); p > 0 {
		r.PerSecond = 1 / p.Seconds()
	}

	if !m.lastAt.IsZero() {
		r.Age = now.Sub(m.lastAt)
	}

	return r
}
