// Package room decides whether an engine has room for one more long prompt, over all entries.
//
// # Model
//
// Long prompts take most of an engine's memory and prefill time, and an entry doesn't know what
// other entries have just sent. The process beside an engine therefore keeps the leases of room at
// that engine: an entry claims room before it sends a long prompt, and the claim is granted or
// denied at once.
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
