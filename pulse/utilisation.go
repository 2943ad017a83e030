package pulse

import (
	"slices"
	"sync"
	"time"
)

// maxUtilisation is the greatest valid utilisation, in percent.
const maxUtilisation = 100

// sentUtilisations are the utilisations last sent to the side processes, by engine. They are sent
// again with subscriptions outside the interval, which would otherwise reset them.
type sentUtilisations struct {
	mu       sync.Mutex
	byEngine map[string]int
}

func (u *sentUtilisations) set(all map[string]int) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.byEngine = all
}

func (u *sentUtilisations) get(engine string) int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.byEngine[engine]
}

// measureUtilisations returns the utilisation for each of some engines, without unknown ones, and
// keeps it for Notify.
func (l *Listener) measureUtilisations(now time.Time, engines []string) map[string]int {
	if l.cfg.Utilisation == nil {
		return nil
	}

	all := make(map[string]int)

	for _, engine := range engines {
		if u := l.cfg.Utilisation(now, engine); u > 0 {
			all[engine] = u
		}
	}

	l.utilisations.set(all)

	return all
}

// reportedUtilisation is the utilisation that a subscriber sent, in percent; zero for none.
type reportedUtilisation struct {
	percent int
	at      time.Time
}

// newReportedUtilisation returns a subscriber's value; an invalid one counts as none.
func newReportedUtilisation(now time.Time, percent int) reportedUtilisation {
	if percent < 0 || percent > maxUtilisation {
		percent = 0
	}

	return reportedUtilisation{percent, now}
}

// Utilisation returns the median of the utilisations that live subscribers sent, from 0 to 1, and
// the age of the oldest of them. The share is zero when no subscriber sent one.
func (r *Reporter) Utilisation(now time.Time) (share float64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()

	var values []int

	for _, s := range r.subscribers {
		if u := s.utilisation; u.percent > 0 && !now.After(s.expiresAt) {
			values = append(values, u.percent)
			age = max(age, now.Sub(u.at))
		}
	}

	if len(values) == 0 {
		return 0, 0
	}

	slices.Sort(values)

	n := len(values)

	return float64(values[(n-1)/2]+values[n/2]) / (2 * maxUtilisation), age
}
