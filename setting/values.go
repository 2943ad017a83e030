// Package setting parses and validates the tree of settings that operators
// publish, and the settings file of a process.
//
// # The tree
//
// The levels of the tree are the root, sites, services, organisations and
// workloads. The root holds the defaults. Each level overrides the values that
// it sets and inherits the others, so the Values in force for a request are
// found by descending from the root along its Path. Besides these values the
// tree defines objects: data centres, links, services and organisations, and the
// requested weight rollouts, drains and evacuations.
//
// Parse parses and validates a tree; an error gives the file, line and key of
// each problem. Effective is called for each request: it neither locks nor
// allocates.
//
//	tree, err := setting.Parse("settings.toml", text)
//	values := tree.Effective(setting.Path{Site: "bc-south", Service: "boragehub-llm"})
//
// # Process settings
//
// LoadProcess reads the settings file of one process: its role, addresses and
// keys. They can't be part of the tree because a process needs them to fetch the
// tree.
package setting

import (
	"fmt"
	"time"
)

// Class is the urgency of a request. The zero Class is Standard.
type Class uint8

// The classes.
const (
	// Standard is for requests without another class.
	Standard Class = iota
	// Urgent is for a person who can't go on without the response, such as a
	// passenger at the curb or an agent at a desk.
	Urgent
	// Interactive is for a person who reads the response as it arrives.
	Interactive
	// Background is for work that nobody waits for.
	Background
)

// classNames holds the names used in settings, indexed by Class.
var classNames = [...]string{
	Standard:    "standard",
	Urgent:      "urgent",
	Interactive: "interactive",
	Background:  "background",
}

// String returns the name of c in settings.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}

	return classNames[c]
}

// MarshalText returns the name of c.
func (c Class) MarshalText() ([]byte, error) {
	return []byte(c.String()), nil
}

// UnmarshalText sets c by its name.
func (c *Class) UnmarshalText(text []byte) error {
	for i, word := range classNames {
		if word == string(text) {
			*c = Class(i)

			return nil
		}
	}

	return fmt.Errorf("%q is not a class, want one of %v", text, classNames)
}

// Values holds the settings in force for one request. The zero value is never in
// force, since Defaults applies to the keys that the root doesn't set.
type Values struct {
	// Class is the priority of the request in the wait queue.
	Class Class
	// Deadline is the time from the request's arrival after which its first token is no longer of use.
	Deadline time.Duration
	// Timeout is the maximum time until the response is complete.
	Timeout time.Duration
	// UsualGap is the usual time until the next request with the same context.
	UsualGap time.Duration
	// FirstTokenWeight is the cost of each second until the first token.
	FirstTokenWeight float64
	// RecomputedWeight is the cost of each second of prefill for tokens that were computed before.
	RecomputedWeight float64
	// MaxBodyBytes is the maximum size of a request's body.
	MaxBodyBytes int64
	// MaxOutputTokens is the maximum number of tokens in a response.
	MaxOutputTokens int
	// RequestsPerSecond is the organisation's rate limit at one site.
	RequestsPerSecond float64
	// RequestBurst is how many requests may arrive at once.
	RequestBurst int
	// Share is the organisation's weight in fair sharing when capacity is short.
	Share float64
	// MaxAttempts is the maximum number of attempts for an idempotent request.
	MaxAttempts int
	// RetryRatio is the maximum ratio of retries to first attempts.
	RetryRatio float64
	// HedgeAfter is how long an idempotent request to a plain service waits for a response before it is sent a second time; 0s disables hedging.
	HedgeAfter time.Duration
	// ParkMinTokens is the minimum length of a context that is copied to a store.
	ParkMinTokens int
	// QuarantineCrashes is the number of target crashes after which a request is quarantined.
	QuarantineCrashes int
	// QuarantineMemory is how long a request that crashed targets stays quarantined.
	QuarantineMemory time.Duration
	// IdempotentMethods are the HTTP methods of a plain service that may be retried.
	IdempotentMethods []string
}

// Defaults returns the values in force where no level sets them.
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
