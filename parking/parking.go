// Package parking decides what becomes of a context between its visits: whether
// it is copied to a store, to which, what a full store drops, and whether it is
// brought back to an engine before its return is seen.
//
// # Model
//
// A context returns after a gap, or not at all. Gaps learns for each workload
// how long its gaps are and how many visits are the last. A copy saves the prefill of its tokens when the
// context returns after the engine evicted it and before the store does. It
// costs time on the link, which imports need first, and room in the store. All
// is weighed in seconds, so that one Config serves small and large models.
//
// # Example
//
//	d := parking.Decide(now, cfg, ctx, view)
//	if d.Export() {
//		copyTo(view.Stores[d.First()].Name)
//	}
package parking

import "time"

// Config weighs the decisions. Zero fields take their defaults.
type Config struct {
	// MinTokens is the shortest context worth a copy; 256 when zero.
	MinTokens int
	// LinkWeight is the cost of one second of link time, against one second of
	// prefill saved; 0.2 when zero.
	LinkWeight float64
}

// worthwhile is the least expected saving, in seconds of prefill, that is worth
// the trouble of a copy.
const worthwhile = 0.001

// The defaults of Config.
const (
	defaultMinTokens  = 256
	defaultLinkWeight = 0.2
)

func (c Config) withDefaults() Config {
	if c.MinTokens <= 0 {
		c.MinTokens = defaultMinTokens
	}

	if c.LinkWeight <= 0 {
		c.LinkWeight = defaultLinkWeight
	}

	return c
}

// Context is what is to be kept or not.
type Context struct {
	// Tokens is its length.
	Tokens int
	// Parked is how many of its leading tokens a store already has.
	Parked int
	// Bytes is the size of a copy of what no store has yet.
	Bytes int64
	// PrefillTokensPerSecond is the speed at which it would be recomputed.
	PrefillTokensPerSecond float64
	// Seen is when it was last used.
	Seen time.Time
	// Gaps is what is known of the gaps of its workload; it is needed.
	Gaps *Gaps
}

// Room is a store as it is believed to be.
type Room struct {
	// Name is the store's VM name.
	Name string
	// Free and Total are its room in bytes.
	Free, Total int64
	// Transfer is the estimated time of the copy, behind what is promised.
	Transfer time.Duration
	// Density is that of the least valuable copy in it, which is dropped to
	// make room.
	Density float64
	// Down says that it doesn't answer.
	Down bool
}

// View is what is known around a context.
type View struct {
	// Stays is how long the engine is expected to keep the context.
	Stays time.Duration
	// Stores are the stores; at most MaxStores are looked at.
	Stores []Room
}

// MaxStores is how many stores a decision weighs.
const MaxStores = 16

// Reason says why a context gets a copy or none. The zero Reason is Worth.
type Reason uint8

// The reasons.
const (
	// Worth means that the copy is expected to save more than it costs.
	Worth Reason = iota
	// TooShort means that the context is not worth the trouble.
	TooShort
	// StaysWarm means that it will most likely return before it is evicted.
	StaysWarm
	// TooDear means that the link's time and what a full store would have to
	// drop cost more than the copy saves.
	TooDear
	// NoRoom means that every store is down or too small.
	NoRoom
)

// String returns the snake-case name of r.
func (r Reason) String() string {
	return [...]string{"worth", "too_short", "stays_warm", "too_dear", "no_room"}[r]
}

// Decision is the outcome of Decide.
type Decision struct {
	reason       Reason
	store        int
	saving, cost float64
}

// Export reports whether the context is to be copied.
func (d Decision) Export() bool { return d.reason == Worth }

// Reason returns why.
func (d Decision) Reason() Reason { return d.reason }

// First returns the index of the store for the copy, -1 for none.
func (d Decision) First() int { return d.store }

// Saving returns the expected seconds of prefill saved.
func (d Decision) Saving() float64 { return d.saving }

// Fields returns the decision as keys and values of one log line.
func (d Decision) Fields(v View) []any {
	fields := []any{"reason", d.reason.String(), "saving_s", d.saving, "cost_s", d.cost}
	if d.store >= 0 {
		fields = append(fields, "store", v.Stores[d.store].Name)
	}

	return fields
}

// Decide returns whether a context is copied to a store, and to which.
func Decide(now time.Time, cfg Config, c Context, v View) Decision {
	cfg = cfg.withDefaults()
	d := Decision{store: -1}

	if c.Tokens < cfg.MinTokens {
		d.reason = TooShort
		return d
	}

	d.saving = Saving(c, v.Stays)
	if d.saving < worthwhile {
		d.reason = StaysWarm
		return d
	}

	d.place(now, cfg, c, v)

	return d
}

// place chooses the store where a copy costs least.
func (d *Decision) place(now time.Time, cfg Config, c Context, v View) {
	p := placing{cfg: cfg, c: c, saving: d.saving, density: Density(now, c)}
	d.reason = NoRoom

	for i := range min(len(v.Stores), MaxStores) {
		cost, ok := p.cost(&v.Stores[i])
		if ok && (d.store < 0 || cost < d.cost) {
			d.store, d.cost = i, cost
		}
	}

	if d.store < 0 {
		return
	}

	d.reason = Worth

	if d.cost >= d.saving {
		d.store, d.reason = -1, TooDear
	}
}

// placing holds what the costs of all stores have in common.
type placing struct {
	cfg             Config
	c               Context
	saving, density float64
}

// cost returns the cost of a copy in s in seconds of prefill: its time on the
// link and, in a full store, what has to be dropped for it.
func (p *placing) cost(s *Room) (float64, bool) {
	if s.Down || p.c.Bytes > s.Total {
		return 0, false
	}

	cost := p.cfg.LinkWeight * s.Transfer.Seconds()
	if p.c.Bytes > s.Free && p.density > 0 {
		// Room is exchanged byte for byte, so values compare as densities do.
		cost += p.saving * s.Density / p.density
	}

	return cost, true
}

// Saving returns the expected seconds of prefill that a copy of c saves: its
// tokens times the chance that it returns only after the engine evicted it.
func Saving(c Context, stays time.Duration) float64 {
	if c.PrefillTokensPerSecond <= 0 {
		return 0
	}

	return float64(c.Tokens-c.Parked) / c.PrefillTokensPerSecond * c.Gaps.After(stays)
}

// Density returns the value of a stored copy a byte and a second: what a store
// that is full drops the least of first. The time until the return counts, since
// the same room can serve several contexts that return soon in place of one.
func Density(now time.Time, c Context) float64 {
	if c.PrefillTokensPerSecond <= 0 {
		return 0
	}

	prefill := float64(c.Tokens-c.Parked) / c.PrefillTokensPerSecond
	away := max(now.Sub(c.Seen), 0)

	return prefill * c.Gaps.Index(away) / float64(max(c.Bytes, 1))
}
