// Package setting is the tree of settings that operators publish, and the
// settings of one process.
//
// # The tree
//
// The root holds defaults. Below it stand sites, in them services, in these
// organisations, in these workloads. Each level overrides what it names and
// inherits the rest, so the Values in force for one request are found by going
// down from the root along its Path. Beside the inherited values the tree holds
// the objects of the operators' world: data centres, links, services,
// organisations, and what they wish of weights and of targets to be drained.
//
// Parse reads and checks a tree; an error names file, line and key of every
// fault. Effective is called for each request: it neither locks nor allocates.
//
//	tree, err := setting.Parse("settings.toml", text)
//	values := tree.Effective(setting.Path{Site: "bc-south", Service: "boragehub-llm"})
//
// # A process
//
// LoadProcess reads the file of one process: its role, addresses and keys,
// which the tree can't hold because a process needs them to reach the tree.
package setting

import (
	"fmt"
	"time"
)

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

// classWords is indexed by Class.
var classWords = [...]string{
	Standard:    "standard",
	Urgent:      "urgent",
	Interactive: "interactive",
	Background:  "background",
}

// String returns the word for c in settings.
func (c Class) String() string {
	if int(c) >= len(classWords) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}

	return classWords[c]
}

// MarshalText returns the word for c.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText sets c by its word.
func (c *Class) UnmarshalText(text []byte) error {
	for i, word := range classWords {
		if word == string(text) {
			*c = Class(i)

			return nil
		}
	}

	return fmt.Errorf("%q is no class, want one of %v", text, classWords)
}

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
	// HedgeAfter is how long an idempotent request of a plain service waits before it is sent a second time; 0s never hedges.
	HedgeAfter time.Duration
	// ParkMinTokens is the shortest context worth a copy in a store.
	ParkMinTokens int
	// QuarantineCrashes is how many targets one request may crash before it is refused.
	QuarantineCrashes int
	// QuarantineMemory is how long a request that crashed targets stays refused.
	QuarantineMemory time.Duration
	// IdempotentMethods are the methods of a plain service that may be repeated.
	IdempotentMethods []string
}

// Defaults returns the values that the root has where it names none.
func Defaults() Values {
	return Values{
		Class:             Standard,
		Deadline:          10 * time.Second,
		Timeout:           5 * time.Minute,
		UsualGap:          10 * time.Minute,
		FirstTokenWeight:  1,
		RecomputedWeight:  1,
		MaxBodyBytes:      8 << 20,
		MaxOutputTokens:   16384,
		RequestsPerSecond: 50,
		RequestBurst:      100,
		Share:             1,
		MaxAttempts:       3,
		RetryRatio:        0.2,
		HedgeAfter:        0,
		ParkMinTokens:     512,
		QuarantineCrashes: 2,
		QuarantineMemory:  24 * time.Hour,
		IdempotentMethods: []string{"GET", "HEAD", "OPTIONS"},
	}
}
