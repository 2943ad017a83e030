package link

import "time"

// route is one direction between two data centres.
type route struct{ from, to string }

// Table holds the links between data centres. Use NewTable. It is not safe for
// concurrent use.
type Table struct {
	local  Config
	remote Config
	links  map[route]*Link
}

// NewTable returns a Table whose links are made as they are first asked for:
// local within a data centre, remote between two.
func NewTable(local, remote Config) *Table {
	return &Table{local: local, remote: remote, links: map[route]*Link{}}
}

// Between returns the link from one data centre to another.
func (t *Table) Between(from, to string) *Link {
	r := route{from, to}

	l, ok := t.links[r]
	if !ok {
		cfg := t.remote
		if from == to {
			cfg = t.local
		}

		l = New(cfg)
		t.links[r] = l
	}

	return l
}

// Set describes the link between two data centres in both directions, and
// forgets what was promised on it.
func (t *Table) Set(a, b string, cfg Config) {
	t.links[route{a, b}] = New(cfg)
	t.links[route{b, a}] = New(cfg)
}

// Way returns how long a new import from one data centre to another would wait
// for what is promised, and the link's rate in bytes a second.
func (t *Table) Way(now time.Time, from, to string) (wait time.Duration, bytesPerSecond float64) {
	l := t.Between(from, to)

	return l.cfg.Latency + l.Wait(now), l.Rate(now)
}
