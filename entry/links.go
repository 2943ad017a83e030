package entry

import (
	"sync"
	"time"

	"boragehub/link"
	"boragehub/setting"
)

// The rates of links that the settings don't list, within a data centre and between
// two, in bytes a second.
const (
	localBytesPerSecond  = 10e9
	remoteBytesPerSecond = 1e9
)

// linkTable holds this entry's reservations on the links between data centres.
// Reservations of other entries are not known here; they show only in the measured
// rates.
type linkTable struct {
	mu         sync.Mutex
	table      *link.Table
	configured map[[2]string]setting.Link
}

func newLinkTable() *linkTable {
	return &linkTable{
		table:      link.NewTable(link.Config{BytesPerSecond: localBytesPerSecond}, link.Config{BytesPerSecond: remoteBytesPerSecond}),
		configured: map[[2]string]setting.Link{},
	}
}

// configure applies the links of new settings. Links that did not change keep their
// reservations.
func (l *linkTable) configure(all []setting.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, s := range all {
		if l.configured[s.Between] == s {
			continue
		}

		l.configured[s.Between] = s
		l.table.Set(s.Between[0], s.Between[1], link.Config{
			BytesPerSecond: float64(s.BytesPerSecond),
			Latency:        time.Duration(s.Delay),
		})
	}
}

// WaitAndRate implements route.Links.
func (l *linkTable) WaitAndRate(now time.Time, from, to string) (time.Duration, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.table.WaitAndRate(now, from, to)
}

// reservation identifies a reserved window on a link; the zero reservation is none.
type reservation struct {
	from, to string
	id       uint64
}

func (l *linkTable) reserve(now time.Time, from, to string, q link.Request) reservation {
	l.mu.Lock()
	defer l.mu.Unlock()

	w, ok := l.table.Between(from, to).Reserve(now, q)
	if !ok {
		return reservation{}
	}

	return reservation{from: from, to: to, id: w.ID}
}

// release ends a reservation after bytes were transferred and updates the measured rate
// of the link. With zero bytes it cancels the reservation without a measurement.
func (l *linkTable) release(now time.Time, r reservation, bytes int64) {
	if r.id == 0 {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if bytes == 0 {
		l.table.Between(r.from, r.to).Cancel(now, r.id)

		return
	}

	l.table.Between(r.from, r.to).Done(now, r.id, bytes)
}
