// Package vault knows which contexts the stores beside the engines keep, and
// when one may be fetched, saved or freed.
//
// # Model
//
// The stores drop nothing by themselves and don't know who reads from them. A
// context that is freed while an engine fetches it would give that engine a
// broken context, so this package frees nothing that anybody may still fetch:
//
//   - A context belongs to a Scope: model, weight version and, for isolated
//     organisations, the organisation. Only contexts of replaced weight versions
//     are freed.
//   - A process fetches a context of a version only until a grace time after it
//     last surely knew that no newer version was named (Part.Right). A fetch that
//     was granted ends by itself at a time that goes with it.
//   - A process frees a context only when its grace time and the longest fetch
//     have passed since it learned of a newer version (Part.FreeAfter). Whoever
//     did not know of it by then has lost its right to fetch.
//   - Grace times are short, so that room comes free, and would end in an outage of
//     the log. So a process registers in the log before it makes use of a longer
//     one, and whoever frees asks all that are registered first: one that read the
//     log before the newer version was named stands in the register that is read
//     after it.
//   - A store may restart and lose everything. A process fetches from it only until a
//     grace time after the store was last known to be in its epoch. It saves nothing in
//     a new epoch until every process that does not know of it has lost its right to
//     fetch.
//
// So it doesn't matter how many processes free, or which of them are cut off.
//
// A Directory learns from the stores' events, late and with gaps. Whatever it
// gets wrong is a miss: the engine then reads the prompt.
//
// # Example
//
//	d := vault.NewDirectory()
//	d.Learn(now, address, listing)
//	if c, ok := d.Find(now, part, "yvr-east"); ok { … }
package vault

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Scope says who may use a cached part: only requests with the same model, weight
// version and wall.
type Scope struct {
	// Model is the model's name.
	Model string
	// Version is its weight version.
	Version int64
	// Wall is the organisation whose parts nobody else may use; empty for those
	// that all others share.
	Wall string
}

// Salt returns the text under which engines and stores keep the parts of the
// scope.
func (s Scope) Salt() string {
	return s.Model + "/" + strconv.FormatInt(s.Version, 10) + "/" + s.Wall
}

// ParseSalt reads what Salt wrote.
func ParseSalt(salt string) (Scope, bool) {
	model, rest, ok := strings.Cut(salt, "/")
	if !ok {
		return Scope{}, false
	}

	version, wall, ok := strings.Cut(rest, "/")
	if !ok {
		return Scope{}, false
	}

	v, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return Scope{}, false
	}

	return Scope{Model: model, Version: v, Wall: wall}, true
}

// Part is one part of a prompt as a store keeps it.
type Part struct {
	// Salt is the scope's salt.
	Salt string `cbor:"1,keyasint"`
	// ID is the part's id.
	ID string `cbor:"2,keyasint"`
}

// Held is a part that a store holds whole.
type Held struct {
	Part
	// Tokens is its length.
	Tokens int `cbor:"3,keyasint"`
}

// Event is one change of what a store holds.
type Event struct {
	Held
	// Added says that the part is there now; otherwise it is gone.
	Added bool `cbor:"4,keyasint"`
}

// Events is the answer to the question what changed.
type Events struct {
	// Epoch is new at each start of the store.
	Epoch int64
	// Next is where to go on.
	Next int64
	// Lost says that events before these are missing.
	Lost bool
	// Clock is the engines' clock in ms, zero when not told.
	Clock int64
	// Events are in order.
	Events []Event
}

// Listing is all that a store holds.
type Listing struct {
	// Epoch, Next and Clock are as in Events.
	Epoch, Next, Clock int64
	// Held are the parts that are whole.
	Held []Held
}

// Timing of fetches and frees.
const (
	// graceLeast and graceMost bound how long after a process surely knew that a
	// version was the newest it may still fetch contexts of it. What it knows is
	// two long polls of the log old at most, 2 s, while the log answers. Parts
	// differ, so that the room of replaced contexts comes free bit by bit while
	// engines change over to the new weights, which takes some seven seconds: all
	// at once would leave either the engines that have yet to change without
	// contexts, or those that have without room to keep new ones.
	graceLeast = 2500 * time.Millisecond
	graceMost  = 7000 * time.Millisecond
	// MaxFetch is how long a fetch may take before the engine throws it away. The
	// largest context takes 0.3 s between data centres, with a few others before it,
	// and the request may wait for its engine first.
	MaxFetch = 2000 * time.Millisecond
	// MostWait is how long a transfer may wait for links; one that would wait longer
	// isn't started, and the engine reads the prompt.
	MostWait = 2 * time.Second
	// epochGrace is how long engines may fetch from a store after it was last known to be
	// in its epoch. Nothing is saved in a new epoch until epochGrace and freeMargin have
	// passed since it was first known: an engine whose process does not know of the
	// restart could otherwise fetch a context that is only partly saved. In normal
	// operation, what entries know of a store is at most 1.8 s old: one event call and
	// two polls between entries.
	epochGrace = 3 * time.Second
	// minFetch is the least time that must be left for a fetch to be granted.
	minFetch = 300 * time.Millisecond
	// freeMargin is for what clocks and messages differ by.
	freeMargin = 300 * time.Millisecond
)

// grace returns how long a part may be fetched after its version was surely the
// newest. All processes agree on it.
func (p Part) grace() time.Duration {
	const steps = 1024

	step := time.Duration(xxhash.Sum64String("grace|"+p.ID) % steps)

	return graceLeast + (graceMost-graceLeast)*step/steps
}

// LongGrace is how long a registered process may fetch contexts of a version that it
// takes for the newest. An outage of the log lasts some seconds; without it all
// contexts would be read anew meanwhile.
const LongGrace = 15 * time.Second

// Right reports whether the part may be fetched at now, when the process last
// surely knew at current that no newer version was named. Asked says that the
// process is registered and knows of no newer version, so that nothing is freed
// before it was asked, or LongGrace has passed.
func (p Part) Right(now, current time.Time, asked bool) bool {
	g := p.grace()
	if asked {
		g = LongGrace
	}

	return !current.IsZero() && now.Before(current.Add(g))
}

// FreeAfter returns how long after learning of a newer version the part is freed.
// Answered says that every registered process has answered that it knows the newer
// version; who has not registered, or was not reached, loses its right by time.
func (p Part) FreeAfter(answered bool) time.Duration {
	g := p.grace()
	if !answered {
		g = LongGrace
	}

	return g + MaxFetch + freeMargin
}
