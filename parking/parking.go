// Package parking decides whether the KV cache of a context is copied to a store
// between its visits, and to which store. It also gives the value of a stored
// copy, by which a full store chooses what to evict.
//
// # Model
//
// A context returns after a gap, or not at all. Gaps measures per workload how
// long the gaps are and how many visits are followed by none. A copy saves the
// prefill of its tokens when the context returns after the engine evicted it and
// before the store does. It costs time on the link, where imports have priority,
// and capacity in the store. Savings and costs are in seconds of prefill, so that
// one Config fits small and large models.
//
// # Example
//
//	d := parking.Decide(now, cfg, ctx, view)
//	if d.Export() {
//		copyTo(view.Stores[d.StoreIndex()].Name)
//	}
package parking

import "time"

// Config holds the parameters of Decide. Zero fields take their defaults.
type Config struct {
	// MinTokens is the minimum length of a context to copy; 256 when zero.
	MinTokens int
	// LinkWeight is the cost of one second of link time, in seconds of prefill;
	// 0.2 when zero.
	LinkWeight float64
}

// minSavingSeconds is the minimum expected saving that justifies the effort of a
// copy, in seconds of prefill.
const minSavingSeconds = 0.001

// The default values of Config.
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

// Context describes the context that may be copied.
type Context struct {
	// Tokens is its length in tokens.
	Tokens int
	// StoredTokens is the number of its leading tokens that a store already has.
	StoredTokens int
	// Bytes is the size of the copy to make, without what a store already has.
	Bytes int64
	// PrefillTokensPerSecond is the rate at which it would be recomputed.
	PrefillTokensPerSecond float64
	// LastUsed is when it was last used.
	LastUsed time.Time
	// Gaps holds the gaps of its workload; it must not be nil.
	Gaps *Gaps
}

// Store is the state of a store as last reported.
type Store struct {
	// Name is the store's VM name.
	Name string
	// Free and Total are its free and total capacity in bytes.
	Free, Total int64
	// Transfer is the estimated time until the copy is done, after the transfers
	// that are already reserved.
	Transfer time.Duration
	// Density is the Density of the least valuable copy in the store, which is
	// evicted first.
	Density float64
	// Down says that the store is unreachable or leaving.
	Down bool
}

// View is the state of the engine and the stores on which a decision is based.
type View struct {
	// EngineRetention is how long the engine is expected to keep the context before
	// it evicts it.
	EngineRetention time.Duration
	// Stores are the stores; only the first MaxStores are considered.
	Stores []Store
}

// MaxStores is the maximum number of stores that a decision considers.
const MaxStores = 16

// Reason says why a context is copied or not. The zero Reason is Worthwhile.
type Reason uint8

// The reasons.
const (
	// Worthwhile means that the copy is expected to save more than it costs.
	Worthwhile Reason = iota
	// TooShort means that the context has fewer tokens than Config.MinTokens.
	TooShort
	// StaysWarm means that a copy would save almost nothing, because the context
	// most likely returns before the engine evicts it or is already stored.
	StaysWarm
	// TooCostly means that the link time and what a full store would have to evict
	// cost more than the copy saves.
	TooCostly
	// NoRoom means that there is no store, or each one is down or too small.
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
func (d Decision) Export() bool { return d.reason == Worthwhile }

// Reason returns the reason of the decision.
func (d Decision) Reason() Reason { return d.reason }

// StoreIndex returns the index in View.Stores of the store for the copy; -1 if no
// copy is to be made.
func (d Decision) StoreIndex() int { return d.store }

// Saving returns the expected saving of the copy in seconds of prefill; zero for
// a context that is too short.
func (d Decision) Saving() float64 { return d.saving }

// Fields returns the keys and values that describe the decision in a log line.
func (d Decision) Fields(v View) []any {
	fields := []any{"reason", d.reason.String(), "saving_s", d.saving, "cost_s", d.cost}
	if d.store >= 0 {
		fields = append(fields, "store", v.Stores[d.store].Name)
	}

	return fields
}

// Decide decides whether a context is copied to a store, and to which.
func Decide(now time.Time, cfg Config, c Context, v View) Decision {
	cfg = cfg.withDefaults()
	d := Decision{store: -1}

	if c.Tokens < cfg.MinTokens {
		d.reason = TooShort
		return d
	}

	d.saving = Saving(c, v.EngineRetention)
	if d.saving < minSavingSeconds {
		d.reason = StaysWarm
		return d
	}

	d.chooseStore(now, cfg, c, v)

	return d
}

// chooseStore chooses the store where a copy costs least, and decides against the
// copy if it costs at least as much as it saves.
func (d *Decision) chooseStore(now time.Time, cfg Config, c Context, v View) {
	p := storeCost{cfg: cfg, c: c, saving: d.saving, density: Density(now, c)}
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

	d.reason = Worthwhile

	if d.cost >= d.saving {
		d.store, d.reason = -1, TooCostly
	}
}

// storeCost holds the inputs of the cost that are the same for all stores.
type storeCost struct {
	cfg             Config
	c               Context
	saving, density float64
}

// cost returns the cost of a copy in s in seconds of prefill: its link time and,
// in a full store, the value of what is evicted for it. It returns false when s
// can't take the copy.
func (p *storeCost) cost(s *Store) (float64, bool) {
	if s.Down || p.c.Bytes > s.Total {
		return 0, false
	}

	cost := p.cfg.LinkWeight * s.Transfer.Seconds()
	if p.c.Bytes > s.Free && p.density > 0 {
		// The copy replaces as many bytes as it needs, so the ratio of the values
		// is that of the densities.
		cost += p.saving * s.Density / p.density
	}

	return cost, true
}

// Saving returns the expected saving of a copy of c in seconds of prefill: the
// prefill time of its tokens that no store has, times the probability that it
// returns after the engine evicted it. The engine keeps it for engineRetention.
func Saving(c Context, engineRetention time.Duration) float64 {
	if c.PrefillTokensPerSecond <= 0 {
		return 0
	}

	return float64(c.Tokens-c.StoredTokens) / c.PrefillTokensPerSecond * c.Gaps.ReturnProbabilityAfter(engineRetention)
}

// Density returns the value of a stored copy per byte and second; a full store
// evicts the copy with the lowest Density first. The time until the return counts,
// because the same capacity can serve several contexts that return soon, one
// after another, instead of one that returns late.
func Density(now time.Time, c Context) float64 {
	if c.PrefillTokensPerSecond <= 0 {
		return 0
	}

	prefill := float64(c.Tokens-c.StoredTokens) / c.PrefillTokensPerSecond
	away := max(now.Sub(c.LastUsed), 0)

	return prefill * c.Gaps.MaxReturnRate(away) / float64(max(c.Bytes, 1))
}
