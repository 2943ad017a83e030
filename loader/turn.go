package loader

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sibling is an engine of the same service.
type Sibling struct {
	// ID is the id of its present start.
	ID string
	// Version is its weight version.
	Version int64
}

// TurnConfig says how engines take turns. Zero values get a default.
type TurnConfig struct {
	// Together is the part of the engines that load at once: 0.2 when zero. More
	// would slow each other down and leave too few that serve.
	Together float64
	// First is when the first turn starts: 1.2 s when zero. Until 1.5 s after a
	// version was named answers on the one before are as good, and contexts are
	// warm only there.
	First time.Duration
	// Each is the most time from the start of one turn to the next: 1.1 s when
	// zero. All contexts are read anew for new weights; taken faster, the engines
	// can't keep up with that.
	Each time.Duration
	// Within is the time in which all engines have to have the version: 8 s when zero.
	Within time.Duration
}

// loadTime is what a load takes with the runs before it, at most in usual times.
const loadTime = 1500 * time.Millisecond

func (c TurnConfig) withDefaults() TurnConfig {
	if c.Together <= 0 {
		c.Together = 0.2
	}

	if c.First <= 0 {
		c.First = 1200 * time.Millisecond
	}

	if c.Each <= 0 {
		c.Each = 1100 * time.Millisecond
	}

	if c.Within <= 0 {
		c.Within = 8 * time.Second
	}

	return c
}

// hurriedTime is the time in which all engines have to have a version that was
// named before their loaders started.
const hurriedTime = 3 * time.Second

// hurried returns turns for a version that was named nobody knows how long ago: at
// once, and soon after each other.
func (c TurnConfig) hurried() TurnConfig {
	c.First = time.Millisecond
	c.Within = hurriedTime

	return c
}

// each returns the time from one turn to the next.
func (c TurnConfig) each(turns int) time.Duration {
	if turns < 2 {
		return c.Each
	}

	return max(min(c.Each, (c.Within-c.First-loadTime)/time.Duration(turns-1)), 0)
}

// Turn is when an engine loads a version.
type Turn struct {
	// Rank is the engine's place among those that have yet to load, Of their number.
	Rank, Of int
	// Wait is how long it waits.
	Wait time.Duration
}

// TakeTurn returns when the engine self loads a version. Each side process works
// it out for its own engine from the same list, in an order by hash that mixes
// data centres, so that no process has to lead.
func TakeTurn(cfg TurnConfig, self string, version int64, siblings []Sibling) Turn {
	cfg = cfg.withDefaults()

	var due []string

	for _, s := range siblings {
		if s.Version < version {
			due = append(due, s.ID)
		}
	}

	sort.Slice(due, func(i, j int) bool {
		a, b := xxhash.Sum64String(due[i]), xxhash.Sum64String(due[j])
		if a != b {
			return a < b
		}

		return due[i] < due[j]
	})

	due = spread(due)

	together := max(int(cfg.Together*float64(len(siblings))), 1)
	t := Turn{Of: len(due)}

	for i, id := range due {
		if id == self {
			t.Rank = i
		}
	}

	turns := (t.Of + together - 1) / together
	t.Wait = cfg.First + time.Duration(t.Rank/together)*cfg.each(turns)

	return t
}

// spread reorders engines so that each turn takes some from all over the order, so
// that nothing else that goes by the same order, as a hash of the id may, loses
// neighbours together.
func spread(ids []string) []string {
	half := (len(ids) + 1) / 2
	out := make([]string, 0, len(ids))

	for i := range half {
		out = append(out, ids[i])
		if half+i < len(ids) {
			out = append(out, ids[half+i])
		}
	}

	return out
}
