package loader

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sibling is an engine of the same service, as listed in the register.
type Sibling struct {
	// ID is the target id of the engine's current start.
	ID string
	// Version is the loaded weight version.
	Version int64
}

// RolloutConfig configures the rollout slots. Zero values get a default.
type RolloutConfig struct {
	// MaxLoadingShare is the share of the engines that load at once: 0.2 when zero.
	// More concurrent loads would slow each other down and leave too few engines
	// serving.
	MaxLoadingShare float64
	// InitialDelay is the time until the first slot: 1.2 s when zero. Until 1.5 s
	// after a version is published, answers with the previous one are equally
	// valid, and contexts are cached only for that one.
	InitialDelay time.Duration
	// MaxInterval is the longest time from the start of one slot to the next: 1.1 s
	// when zero. Every context has to be prefilled again for new weights; at shorter
	// intervals the engines can't keep up with that work.
	MaxInterval time.Duration
	// MaxDuration is the time within which all engines must have the version: 8 s when zero.
	MaxDuration time.Duration
	// Utilisation is the part of the engines' prefill capacity that is in use, from 0 to 1; zero
	// when unknown.
	Utilisation float64
}

// expectedLoadTime is the usual upper bound of a load's duration, including the requests
// that run to their end before it.
const expectedLoadTime = 1500 * time.Millisecond

func (c RolloutConfig) withDefaults() RolloutConfig {
	if c.MaxLoadingShare <= 0 {
		c.MaxLoadingShare = 0.2
	}

	if c.InitialDelay <= 0 {
		c.InitialDelay = 1200 * time.Millisecond
	}

	if c.MaxInterval <= 0 {
		c.MaxInterval = 1100 * time.Millisecond
	}

	if c.MaxDuration <= 0 {
		c.MaxDuration = 8 * time.Second
	}

	return c
}

// expeditedDuration is the time within which all engines must have a version that was
// published before their loaders started.
const expeditedDuration = 3 * time.Second

// expedited returns the configuration for a version that was published at an unknown
// time: the slots start at once and follow each other quickly.
func (c RolloutConfig) expedited() RolloutConfig {
	c.InitialDelay = time.Millisecond
	c.MaxDuration = expeditedDuration
	c.Utilisation = 0

	return c
}

// Pace at high load. After a load all contexts are prefilled again, and engines whose capacity is
// in use already fall behind. Callers lose less by responses on replaced weights than by late ones.
const (
	// slowFromUtilisation is the utilisation from which the interval grows, slowestUtilisation that
	// at which it reaches its bound.
	slowFromUtilisation = 0.5
	slowestUtilisation  = 0.9
	// slowedDurationShare is the part of MaxDuration within which all engines have the version at
	// the slowest pace. The rest is left for lost orders and overdue loads.
	slowedDurationShare = 0.8
	// maxSlowdown limits the interval to a multiple of MaxInterval: every engine on replaced weights
	// loses some of the worth of its responses meanwhile.
	maxSlowdown = 2
)

// interval returns the time from the start of one slot to the next.
func (c RolloutConfig) interval(slots int) time.Duration {
	if slots < 2 {
		return c.MaxInterval
	}

	usual := max(min(c.MaxInterval, c.latestInterval(c.MaxDuration, slots)), 0)
	// Where the usual interval is beyond the bound already, the pace stays the same at any load.
	latest := c.latestInterval(time.Duration(slowedDurationShare*float64(c.MaxDuration)), slots)
	slowest := max(min(latest, maxSlowdown*c.MaxInterval), usual)

	slowed := 0.0
	if c.Utilisation > slowFromUtilisation {
		slowed = min((c.Utilisation-slowFromUtilisation)/(slowestUtilisation-slowFromUtilisation), 1)
	}

	return usual + time.Duration(slowed*float64(slowest-usual))
}

// latestInterval returns the longest interval at which all engines have the version within a
// duration.
func (c RolloutConfig) latestInterval(within time.Duration, slots int) time.Duration {
	return (within - c.InitialDelay - expectedLoadTime) / time.Duration(slots-1)
}

// RolloutSlot is the time at which an engine loads a version. Several engines share a slot.
type RolloutSlot struct {
	// Rank is the engine's position, from zero, among the engines that lack the
	// version, and Of is their number.
	Rank, Of int
	// Wait is the time until the slot starts.
	Wait time.Duration
	// Interval is the time from the start of one slot to the next.
	Interval time.Duration
}

// AssignSlot returns the slot in which the engine self loads a version; an engine that
// isn't among the siblings gets the first slot. Each side process computes it for its
// own engine from the same list, in an order by hash that mixes data centres, so no
// leader is needed.
func AssignSlot(cfg RolloutConfig, self string, version int64, siblings []Sibling) RolloutSlot {
	cfg = cfg.withDefaults()

	var pending []string

	for _, s := range siblings {
		if s.Version < version {
			pending = append(pending, s.ID)
		}
	}

	sort.Slice(pending, func(i, j int) bool {
		a, b := xxhash.Sum64String(pending[i]), xxhash.Sum64String(pending[j])
		if a != b {
			return a < b
		}

		return pending[i] < pending[j]
	})

	pending = spread(pending)

	concurrent := max(int(cfg.MaxLoadingShare*float64(len(siblings))), 1)
	slot := RolloutSlot{Of: len(pending)}

	for i, id := range pending {
		if id == self {
			slot.Rank = i
		}
	}

	slots := (slot.Of + concurrent - 1) / concurrent
	slot.Interval = cfg.interval(slots)
	slot.Wait = cfg.InitialDelay + time.Duration(slot.Rank/concurrent)*slot.Interval

	return slot
}

// spread interleaves the two halves of the order, so that engines next to each other
// in it don't load in the same slot. Other code may rank the engines in the same order,
// for example by a hash of the id, and several neighbours would be unavailable to it at
// the same time.
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
