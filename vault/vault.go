// Package vault tracks which parts of prompts' KV caches the stores hold, and decides when
// a part may be fetched, saved or freed.
//
// # Model
//
// Stores evict nothing by themselves and do not know which engines read from them. An
// engine that fetches a part while it is freed would get corrupt KV cache, so this
// package frees nothing that a process may still fetch:
//
//   - A part belongs to a Scope: model, weight version and, for isolated organisations,
//     the organisation. Only parts of replaced weight versions are freed.
//   - A process allows fetches of a version's parts only until a grace period after the
//     last time at which it was certain that no newer version was published (FetchRight).
//     Each granted fetch carries a deadline, at which the engine discards it. The deadline is
//     never later than that time, the grace period and the longest fetch, all on the clock
//     that the engines share: the clock of a process stands still while its VM is suspended.
//   - A process frees a part only when its grace period and the longest fetch have passed
//     since the process learned of a newer version (Part.FreeAfter). By then, processes
//     that do not know of the newer version may no longer fetch the part.
//   - A VM may be paused with a fetch in flight, which continues past its deadline when the VM
//     does. A part is therefore freed only when all engines are known to have run past the
//     deadlines (Engines), or after pausedGrace.
//   - Grace periods are short, so that space is freed soon, and would expire during an
//     outage of the log service. A process therefore registers in the log before it uses
//     a longer grace period, and a process that frees parts first asks all registered
//     processes whether they know the newer version. The register, read after the
//     publication, lists every process that may use the longer period, since each
//     registered before it last read the log without the newer version. A process may grant
//     a fetch until the moment at which it responds, so the longest fetch counts from there.
//   - A store may restart and lose everything. A process fetches from it only until a
//     grace period after the store was last known to be in its epoch. It saves nothing in
//     a new epoch until all processes that do not know of that epoch may no longer fetch.
//
// Parts are therefore safe from early freeing no matter how many processes free them, or
// which processes are partitioned.
//
// A Directory learns from the stores' events, which may be late or missing. Stale
// knowledge only causes misses: the engine then prefills the prompt.
//
// # Example
//
//	d := vault.NewDirectory(time.Now().UnixNano())
//	d.ApplyListing(now, address, listing)
//	if c, ok := d.FindFetchable(now, part, right, "yvr-east"); ok { … }
package vault

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehub/mirror"
)

// Scope limits which requests may use a cached part: only those with the same model,
// weight version, Organisation and Apart.
type Scope struct {
	// Model is the name of the model.
	Model string
	// Version is its weight version.
	Version int64
	// Organisation is the isolated organisation that alone may use the part; empty for parts
	// that all other organisations share.
	Organisation string
	// Apart identifies the set of isolated organisations, which share nothing with the others, for parts that
	// the others share; empty if there are none. See site.Configuration.Apart.
	Apart string
}

// Salt returns the cache salt with which engines and stores keep the parts of the scope.
func (s Scope) Salt() string {
	salt := s.Model + "/" + strconv.FormatInt(s.Version, 10) + "/"

	switch {
	case s.Organisation != "":
		return salt + url.PathEscape(s.Organisation)
	case s.Apart != "":
		return salt + "/" + s.Apart
	default:
		return salt
	}
}

// ParseSalt returns the scope of a text that Salt returned, and false for any other text.
func ParseSalt(salt string) (Scope, bool) {
	model, rest, ok := strings.Cut(salt, "/")
	if !ok {
		return Scope{}, false
	}

	version, rest, ok := strings.Cut(rest, "/")
	if !ok {
		return Scope{}, false
	}

	v, err := strconv.ParseInt(version, 10, 64)
	if err != nil {
		return Scope{}, false
	}

	s := Scope{Model: model, Version: v}

	// The escaped name of an organisation has no slash.
	if apart, ok := strings.CutPrefix(rest, "/"); ok {
		s.Apart = apart

		return s, true
	}

	s.Organisation, err = url.PathUnescape(rest)

	return s, err == nil
}

// Part identifies one part of a prompt's KV cache in a store.
type Part struct {
	// Salt is the salt of its scope.
	Salt string `cbor:"1,keyasint"`
	// ID is its id within the scope.
	ID string `cbor:"2,keyasint"`
}

// Held is a part that a store holds completely.
type Held struct {
	Part
	// Tokens is its length in tokens.
	Tokens int `cbor:"3,keyasint"`
}

// Event is one change of the parts that a store holds.
type Event struct {
	Held
	// Added is set if the part is held now; otherwise it no longer is.
	Added bool `cbor:"4,keyasint"`
}

// Events is a store's response to a request for changes.
type Events struct {
	// Epoch identifies the start of the store; each start has a new one.
	Epoch int64
	// Next is the sequence number from which to request further events.
	Next int64
	// Lost is set if events before these are missing.
	Lost bool
	// Clock is the engines' clock in ms; zero if the response does not report it.
	Clock int64
	// Events are the changes, in order.
	Events []Event
}

// Listing is the full list of the parts that a store holds.
type Listing struct {
	// Epoch, Next and Clock are as in Events.
	Epoch, Next, Clock int64
	// Held are the parts that the store holds completely.
	Held []Held
}

// Timing of fetches and frees.
const (
	// minGrace and maxGrace bound how long a process may still fetch a version's parts after
	// it was last certain that the version was the newest. While the log service responds,
	// that was at most two long polls, 2 s, ago. The period differs between parts, so that
	// the space of replaced parts is freed gradually while engines load the new weights,
	// which takes about 7 s. Freeing all at once would leave either the engines that have
	// yet to reload without parts, or those that have reloaded without space to save new
	// ones.
	minGrace = 2500 * time.Millisecond
	maxGrace = 7000 * time.Millisecond
	// MaxFetch is how long a fetch may take before the engine discards it. The largest
	// prompt takes 0.3 s between data centres, a few other transfers may precede it, and the
	// request may first wait for its engine.
	MaxFetch = 2000 * time.Millisecond
	// MaxLinkWait is how long a transfer may wait for a link. One that would wait longer
	// is not started, and the engine prefills the prompt instead.
	MaxLinkWait = 2 * time.Second
	// epochGrace is how long engines may fetch from a store after it was last known to be
	// in its epoch. Nothing is saved in a new epoch until epochGrace and freeMargin have
	// passed since it was first known: an engine whose process does not know of the
	// restart could otherwise fetch a part that is only partly saved. In normal
	// operation, what processes know of a store is at most 1.8 s old: one event call and
	// two polls between processes.
	epochGrace = 3 * time.Second
	// minFetchTime is the minimum time to its deadline for a fetch to be granted.
	minFetchTime = 300 * time.Millisecond
	// freeMargin allows for clock differences and message delays.
	freeMargin = 300 * time.Millisecond
)

// grace returns how long a part may be fetched after its version was last certain to be the
// newest. It is a function of the part's id, so that all processes use the same value.
func (p Part) grace() time.Duration {
	const steps = 1024

	step := time.Duration(xxhash.Sum64String("grace|"+p.ID) % steps)

	return minGrace + (maxGrace-minGrace)*step/steps
}

// RegisteredGrace is how long a registered process may fetch parts of the version that is
// the newest to its knowledge. It bridges outages of the log service, which last some
// seconds and during which all prompts would otherwise be recomputed.
const RegisteredGrace = 15 * time.Second

// FetchRight is what a process's right to fetch the parts of a weight version rests on.
type FetchRight struct {
	// NewestAt is the last moment at which the process was certain that no newer version was
	// published; zero means never. The shared clock is that of the engines.
	NewestAt mirror.Moment
	// Registered is set if the process is registered and knows of no newer version: nothing is
	// then freed before the process has confirmed the newer version or RegisteredGrace has passed.
	Registered bool
}

// grace returns how long after NewestAt the part may be fetched.
func (r FetchRight) grace(p Part) time.Duration {
	if r.Registered {
		return RegisteredGrace
	}

	return p.grace()
}

// Allows reports whether a fetch of the part may begin at now.
func (r FetchRight) Allows(now time.Time, p Part) bool {
	return r.NewestAt.Shared > 0 && now.Before(r.NewestAt.Local.Add(r.grace(p)))
}

// Until returns when a fetch of the part has to end, on the engines' clock in ms. Whatever time the
// process takes to use the right, the engine discards a fetch that outlasts it.
func (r FetchRight) Until(p Part) int64 {
	return r.NewestAt.Shared + (r.grace(p) + MaxFetch).Milliseconds()
}

// Unconfirmed is how long it takes until every registered process knows a newer version while one of them has
// not confirmed it.
const Unconfirmed = time.Duration(math.MaxInt64)

// FreeAfter returns how long after learning of a newer version a process frees the part.
// ConfirmedAfter is how long after that every registered process had responded that it knows the newer
// version: until then, each may fetch by the longer grace period. For processes that have not registered or could
// not be reached, the right to fetch expires by time.
func (p Part) FreeAfter(confirmedAfter time.Duration) time.Duration {
	return min(max(p.grace(), confirmedAfter), RegisteredGrace) + MaxFetch + freeMargin
}
