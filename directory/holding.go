package directory

import "time"

// Kind is the kind of process that holds blocks of a context. The zero Kind is Engine.
type Kind uint8

// The kinds of holder.
const (
	// Engine holds blocks in its KV cache, which may evict them at any time.
	Engine Kind = iota
	// Store holds a sealed copy, one that is complete and no longer changes.
	Store
)

// String returns the snake-case name of k.
func (k Kind) String() string {
	if k == Store {
		return "store"
	}

	return "engine"
}

// Source is the kind of evidence for a Holding. The zero Source is Answered.
type Source uint8

// The sources, from the weakest evidence to the strongest.
const (
	// Answered means that an engine completed a prompt and held its blocks at that time.
	Answered Source = iota
	// Reported means that an engine's cache events listed the blocks. Events are
	// delayed and may be incomplete.
	Reported
	// Sealed means that a store acknowledged the complete copy.
	Sealed
)

// String returns the snake-case name of s.
func (s Source) String() string {
	switch s {
	case Reported:
		return "reported"
	case Sealed:
		return "sealed"
	default:
		return "answered"
	}
}

// Holding records that one holder has the leading blocks of a context. It may be
// out of date.
type Holding struct {
	// Kind is the kind of holder.
	Kind Kind
	// Name is the holder's VM name.
	Name string
	// DataCentre is the holder's data centre.
	DataCentre string
	// Blocks is the number of leading blocks held. In a result of Lookup it is the
	// number of leading blocks shared with the given chain.
	Blocks int
	// Version is the weight version that computed the blocks.
	Version string
	// Copy is the id of the sealed copy in a store; empty for an engine.
	Copy string
	// Bytes is the size of the blocks held, in bytes.
	Bytes int64
	// LastSeen is when the holding was last confirmed.
	LastSeen time.Time
	// Source is the kind of evidence.
	Source Source
}

// Age returns the time since the holding was last confirmed; never less than zero.
func (h Holding) Age(now time.Time) time.Duration {
	return max(now.Sub(h.LastSeen), 0)
}
