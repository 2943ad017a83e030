// Package setting is the tree of settings that operators publish, and the
// settings of one process.
//
// # The tree
//
// The root holds defaults. Below it stand sites, in them services, in these
// organisations, in these workloads. Each level overrides what it names and
// inherits the rest, so the Values in force for one request are found by going
// down from the root along its Path.
package setting

import "time"

// Class orders requests by how soon they need an answer. The zero Class is Standard.
type Class uint8

// The classes, and the words for them in settings.
const (
	// Standard is for requests that say nothing else.
	Standard Class = iota
	// Urgent is for a person who waits at the curb or at a desk.
	Urgent
	// Interactive is for a person who reads along.
	Interactive
	// Background is for work that may wait.
	Background
)

// Values are the settings in force for one request. A zero value is never in
// force: the root gives each of them a default.
type Values struct {
	// Class orders the request among those that wait.
	Class Class
	// Deadline is how long after its arrival the first token is still of use.
	Deadline time.Duration
	// Timeout is how long the whole answer may take.
	Timeout time.Duration
	// UsualGap is the usual time until the context returns.
	UsualGap time.Duration
	// FirstTokenWeight is the cost of one second until the first token.
	FirstTokenWeight float64
	// RecomputedWeight is the cost of one second of prefill for tokens that were computed before.
	RecomputedWeight float64
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxOutputTokens bounds an answer.
	MaxOutputTokens int
	// RequestsPerSecond is the organisation's rate at one site.
	RequestsPerSecond float64
	// RequestBurst is how many requests may come at once.
	RequestBurst int
	// Share is the organisation's weight when there is too little for all.
	Share float64
	// MaxAttempts bounds how often an idempotent request is tried.
	MaxAttempts int
	// RetryRatio bounds retries to this part of first attempts.
	RetryRatio float64
	// KeyMemory is how long an Idempotency-Key is remembered.
	KeyMemory time.Duration
	// ParkMinTokens is the shortest context worth a copy in a store.
	ParkMinTokens int
	// QuarantineCrashes is how many targets one request may crash before it is refused.
	QuarantineCrashes int
	// IdempotentMethods are the methods of a plain service that may be repeated.
	IdempotentMethods []string
}
