package entry

import (
	"sync"
	"time"

	"boragehub/link"
	"boragehub/setting"
)

// Rates where the settings say nothing, in bytes a second.
const (
	localBytesPerSecond  = 10e9
	remoteBytesPerSecond = 1e9
)

// links is what this entry has promised on the links between data centres. It
// does not know what others promised; the rate that it measures tells.
type links struct {
	mu    sync.Mutex
	table *link.Table
	known map[[2]string]setting.Link
}

func newLinks() *links {
	return &links{
		table: link.NewTable(link.Config{BytesPerSecond: localBytesPerSecond}, link.Config{BytesPerSecond: remoteBytesPerSecond}),
		known: map[[2]string]setting.Link{},
	}
}

// set takes the links of new settings in; those that did not change keep what is
// promised on them.
func (l *links) set(all []setting.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, s := range all {
		if l.known[s.Between] == s {
			continue
		}

		l.known[s.Between] = s
		l.table.Set(s.Between[0], s.Between[1], link.Config{
			BytesPerSecond: float64(s.BytesPerSecond),
			Latency:        time.Duration(s.Delay),
		})
	}
}

// Way implements route.Links.
func (l *links) Way(now time.Time, from, to string) (time.Duration, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.table.Way(now, from, to)
}

// promised is a window on a link; the zero promised is none.
type promised struct {
	from, to string
	id       uint64
}

func (l *links) reserve(now time.Time, from, to string, q link.Request) promised {
	l.mu.Lock()
	defer l.mu.Unlock()

	w, ok := l.table.Between(from, to).Reserve(now, q)
	if !ok {
		return promised{}
	}

	return promised{from: from, to: to, id: w.ID}
}

// done ends a promise after so many bytes came over the link, from which its
// rate is learned; none when nothing did.
func (l *links) done(now time.Time, p promised, bytes int64) {
	if p.id == 0 {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if bytes == 0 {
		l.table.Between(p.from, p.to).Cancel(now, p.id)

		return
	}

	l.table.Between(p.from, p.to).Done(now, p.id, bytes)
}
