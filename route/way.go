package route

import "time"

// Links tells how busy the links between data centres are.
type Links interface {
	// Way returns how long a new import from one data centre to another would
	// wait for what is promised, and the link's rate in bytes a second.
	Way(now time.Time, from, to string) (wait time.Duration, bytesPerSecond float64)
}

// MaxSources is how many sources a Decision weighs; further ones are not looked at.
const MaxSources = 8

// memoWays is how many ways from one source are remembered during a decision.
// Candidates come from few data centres; a further one is asked for each time.
const memoWays = 4

// way is the answer of Links for one source and one data centre.
type way struct {
	to      string
	wait    float64
	perByte float64
}

// wayMemo spares a look into Links for each pair of candidate and source.
type wayMemo struct {
	ways  [MaxSources][memoWays]way
	count [MaxSources]int
}

func (m *wayMemo) get(v *view, source int, to string) way {
	for i := range m.count[source] {
		if m.ways[source][i].to == to {
			return m.ways[source][i]
		}
	}

	wait, rate := v.q.Links.Way(v.now, v.q.Sources[source].DataCentre, to)
	w := way{to: to, wait: seconds(wait)}

	if rate > 0 {
		w.perByte = 1 / rate
	}

	if n := m.count[source]; n < memoWays {
		m.ways[source][n] = w
		m.count[source]++
	}

	return w
}
