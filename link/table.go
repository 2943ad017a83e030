package link

import "time"

// direction identifies the link from one data centre to another.
type direction struct{ from, to string }

// Table holds the links within and between data centres. Use NewTable. It is not
// safe for concurrent use.
type Table struct {
	local  Config
	remote Config
	links  map[direction]*Link
}

// NewTable returns a Table that creates a link when it is first used: with local
// within a data centre, with remote between two.
func NewTable(local, remote Config) *Table {
	return &Table{local: local, remote: remote, links: map[direction]*Link{}}
}

// Between returns the link from one data centre to another, or within one when
// both are the same.
func (t *Table) Between(from, to string) *Link {
	d := direction{from, to}

	l, ok := t.links[d]
	if !ok {
		cfg := t.remote
		if from == to {
			cfg = t.local
		}

		l = New(cfg)
		t.links[d] = l
	}

	return l
}

// Set configures the links between two data centres in both directions and
// discards the windows reserved on them.
func (t *Table) Set(a, b string, cfg Config) {
	t.links[direction{a, b}] = New(cfg)
	t.links[direction{b, a}] = New(cfg)
}

// WaitAndRate returns the latency of the link from one data centre to another plus
// the time that a new import would wait for earlier transfers, and the link's rate
// in bytes per second.
func (t *Table) WaitAndRate(now time.Time, from, to string) (wait time.Duration, bytesPerSecond float64) {
	l := t.Between(from, to)

	return l.cfg.Latency + l.Wait(now), l.Rate(now)
}
