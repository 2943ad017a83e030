package route

import "time"

// Links estimates the load of the links between data centres.
type Links interface {
	// WaitAndRate returns how long a new import from one data centre to another would
	// wait for transfers that are already reserved, and the link's rate in bytes per
	// second.
	WaitAndRate(now time.Time, from, to string) (wait time.Duration, bytesPerSecond float64)
}

// MaxSources is the maximum number of sources that a Decision evaluates; further ones
// are ignored.
const MaxSources = 8

// cachedLinksPerSource is the number of link estimates per source that a decision
// caches. Candidates are in few data centres; further ones are looked up each time.
const cachedLinksPerSource = 4

// linkEstimate is the result of Links for one source and one destination data centre.
type linkEstimate struct {
	to      string
	wait    float64
	perByte float64
}

// linkCache avoids a call of Links for each pair of candidate and source.
type linkCache struct {
	estimates [MaxSources][cachedLinksPerSource]linkEstimate
	count     [MaxSources]int
}

func (m *linkCache) get(s *shared, source int, to string) linkEstimate {
	for i := range m.count[source] {
		if m.estimates[source][i].to == to {
			return m.estimates[source][i]
		}
	}

	wait, rate := s.q.Links.WaitAndRate(s.now, s.q.Sources[source].DataCentre, to)
	w := linkEstimate{to: to, wait: seconds(wait)}

	if rate > 0 {
		w.perByte = 1 / rate
	}

	if n := m.count[source]; n < cachedLinksPerSource {
		m.estimates[source][n] = w
		m.count[source]++
	}

	return w
}
