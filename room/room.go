// Package room decides whether an engine has room for one more long prompt, over all entries.
//
// # Model
//
// Long prompts take most of an engine's memory and prefill time, and an entry doesn't know what
// other entries have just sent. The process beside an engine therefore keeps the leases of room at
// that engine: an entry claims room before it sends a long prompt, and the claim is granted or
// denied at once.
//
// A Ledger grants a claim if the engine has memory and slots for it besides all leases and the
// requests that it reports, and if no more than the claim accepts is to be prefilled first. A lease
// counts as backlog until the entry reports that its prompt was prefilled, and holds its memory until
// the entry reports that its request ended. Entries may die, and messages may be lost, so each lease
// also ends without a message: at the deadline of its request, or when the engine is idle.
//
// # Example
//
//	l := room.NewLedger()
//	l.Observe(now, now, room.State{TotalTokens: 107_770})
//	grant, ok := l.Claim(now, room.Key{Entry: from, Start: start, ID: c.ID}, c)
package room

import "time"

// Claim is an entry's request for room at an engine.
type Claim struct {
	// ID identifies the claim among those of one entry. A repeated claim has the same ID.
	ID uint64 `cbor:"1,keyasint"`
	// PrefillTokens is the number of tokens that the engine has to prefill.
	PrefillTokens int `cbor:"2,keyasint"`
	// MemoryTokens is the number of tokens of KV cache memory that the request takes.
	MemoryTokens int `cbor:"3,keyasint"`
	// MaxBacklog is the largest backlog, in tokens to prefill, that may be ahead of the prompt.
	MaxBacklog int `cbor:"4,keyasint"`
	// Rank is the request's rank; 0 comes first.
	Rank int `cbor:"5,keyasint,omitempty"`
	// TimeLeftMs is the time until the request's deadline, after which its lease ends.
	TimeLeftMs int64 `cbor:"6,keyasint"`
	// TokensPerMs is the prefill speed of the service's engines, as learned by the entry; zero while
	// unknown. The process beside the engine does not learn it.
	TokensPerMs float64 `cbor:"7,keyasint,omitempty"`
}

// TimeLeft returns the time until the request's deadline.
func (c Claim) TimeLeft() time.Duration { return time.Duration(c.TimeLeftMs) * time.Millisecond }

// Outcome is the outcome of a claim.
type Outcome uint8

// The values of Outcome.
const (
	// Granted means that the engine has room.
	Granted Outcome = iota
	// NoMemory means that the memory of the engine is leased or in use.
	NoMemory
	// NoSlot means that the engine runs as many requests as it can.
	NoSlot
	// Backlogged means that the engine has more to prefill than the claim accepts.
	Backlogged
)

// String returns the snake-case name of o.
func (o Outcome) String() string {
	return [...]string{"granted", "memory", "slots", "backlog"}[min(o, Backlogged)]
}

// Grant is the reply to a claim.
type Grant struct {
	// ID is that of the claim.
	ID uint64 `cbor:"1,keyasint"`
	// Outcome says whether room was granted, or why not.
	Outcome Outcome `cbor:"2,keyasint,omitempty"`
}
