package directory

import "time"

// Kind says what sort of holder has a context. The zero Kind is Engine.
type Kind uint8

// The kinds of holder.
const (
	// Engine holds blocks in its cache, from where they may be evicted at any time.
	Engine Kind = iota
	// Store holds a sealed copy.
	Store
)

// String returns the snake-case name of k.
func (k Kind) String() string {
	if k == Store {
		return "store"
	}

	return "engine"
}

// Source says where a belief comes from. The zero Source is Answered.
type Source uint8

// The sources of a belief, from the weakest to the strongest.
const (
	// Answered means that an engine finished a prompt, so that it held the blocks then.
	Answered Source = iota
	// Reported means that an engine's cache events said so, late and maybe with gaps.
	Reported
	// Sealed means that a store acknowledged the whole copy.
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

// Holding is the belief that one holder has the leading blocks of a context.
type Holding struct {
	// Kind is the sort of holder.
	Kind Kind
	// Name is the holder's VM name.
	Name string
	// DataCentre is where the holder is.
	DataCentre string
	// Blocks is how many leading blocks are held. From Lookup it is how many
	// of them the chain looked up shares.
	Blocks int
	// Version is the weight version that computed the blocks.
	Version string
	// Copy is the id of the sealed copy in a store, empty for an engine.
	Copy string
	// Bytes is the size of what is held.
	Bytes int64
	// Learned is when the belief was last confirmed.
	Learned time.Time
	// Source is where the belief comes from.
	Source Source
}

// Age returns how old the belief is; never less than zero.
func (h Holding) Age(now time.Time) time.Duration {
	return max(now.Sub(h.Learned), 0)
}
