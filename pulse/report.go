// Package pulse sends load reports of engines directly to entries, several times a second.
//
// # Model
//
// Responses carry an engine's load too, but an entry gets one from each engine only about
// once a second, and they don't include memory use, which long prompts wait for. The side
// process can query its engine at no cost. An entry therefore subscribes to the engines
// that it may route to, with one UDP datagram a second. The side process sends its engine's
// load report at its next tick and then at the requested interval until the subscription
// expires. A lost datagram only makes the known load staler, and a side process needs no
// list of entries.
//
// The side process also grants leases of the engine's capacity (package room): an entry sends
// claims in a subscription datagram and gets a reply at once. When leases change, their
// figures are sent to all subscribers in a report without the rest (Report.LeasesOnly).
//
// A load report has about 60 bytes, and 12 more for each long part of a prompt in the
// engine's KV cache. At the default interval one engine costs an entry about 1.5 kilobytes
// a second, so an entry that may route to many engines subscribes to some of them only, at
// a longer interval (PlanSubscriptions).
//
// # Example
//
//	l, err := pulse.Listen(pulse.ListenerConfig{Address: "10.0.0.1:7712", Port: 7712, OnReport: …})
//	go l.Run(ctx)
package pulse

import (
	"time"

	"boragehub/resident"
	"boragehub/room"
)

// Report is a load report of an engine.
type Report struct {
	// Engine is the engine's address.
	Engine string `cbor:"1,keyasint"`
	// Sequence increases by one with each load report since the start of the side
	// process; SourceStart is the time of that start, in ns of its clock.
	Sequence    uint64 `cbor:"2,keyasint"`
	SourceStart int64  `cbor:"3,keyasint"`
	// Running and Waiting are the numbers of the engine's running and queued requests.
	Running int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint"`
	// Prefilling is the number of running requests that are still in prefill.
	Prefilling int `cbor:"13,keyasint,omitempty"`
	// UsedTokens is the part of the KV cache that requests hold, TotalTokens its size.
	UsedTokens  int `cbor:"7,keyasint"`
	TotalTokens int `cbor:"8,keyasint"`
	// Model and Version are the loaded model and its weight version.
	Model   string `cbor:"9,keyasint"`
	Version int64  `cbor:"10,keyasint"`
	// Clock is the engine's clock in ms when it was queried.
	Clock int64 `cbor:"12,keyasint,omitempty"`
	// StartedMs is the engine's start time in ms of its clock; zero when not reported.
	StartedMs int64 `cbor:"14,keyasint,omitempty"`
	// LoadInMs is the time until the engine's next weight load, at least 1; zero when
	// none is scheduled.
	LoadInMs int64 `cbor:"15,keyasint,omitempty"`
	// ColdMs is the time until the engine is warm after its start; zero when it isn't known
	// to be cold. Warm reports whether it is known to be warm.
	ColdMs int64 `cbor:"16,keyasint,omitempty"`
	Warm   bool  `cbor:"18,keyasint,omitempty"`
	// Permits is the number of requests that the subscriber may send while the engine is
	// cold, in addition to those permitted earlier.
	Permits int `cbor:"17,keyasint,omitempty"`
	// RateLimit is the limit that the engine names in the responses to the side process, in
	// requests a second from all entries together; zero for none.
	RateLimit float64 `cbor:"19,keyasint,omitempty"`
	// Leaving reports whether the engine says there that it is about to leave.
	Leaving bool `cbor:"20,keyasint,omitempty"`
	// Slowdown is how long work takes on the engine's host at this moment, in percent of the usual
	// time, SlowdownAgeMs the age of that figure; zero when not reported.
	Slowdown      int   `cbor:"21,keyasint,omitempty"`
	SlowdownAgeMs int64 `cbor:"22,keyasint,omitempty"`
	// Speed is the time that prefill takes on this engine in percent of the service's usual time, as
	// learned by the entries; zero when unknown.
	Speed int `cbor:"23,keyasint,omitempty"`
	// Backlog is the number of tokens that the engine still has to prefill for leased prompts,
	// Leased the number of memory tokens that count as taken for further leases (those of all leases,
	// or UsedTokens with what was granted and freed since, if that is more) and Leases the number of
	// leased prompts that have not started.
	Backlog int `cbor:"24,keyasint,omitempty"`
	Leased  int `cbor:"25,keyasint,omitempty"`
	Leases  int `cbor:"26,keyasint,omitempty"`
	// StateSequence increases by one each time the engine is queried. Two reports with the same
	// number differ only in what the side process itself knows. Zero means a new query each time.
	StateSequence uint64 `cbor:"27,keyasint,omitempty"`
	// LeasesOnly reports whether the report is sent because leases changed or as a reply to claims.
	// Of the engine's state it has Backlog, Leased and Leases only: the rest would be up to 100 ms
	// older than it seems.
	LeasesOnly bool `cbor:"29,keyasint,omitempty"`
	// StretchedMs is the time between two load reports to this subscriber if it is longer than the one
	// asked for, as there are many subscribers.
	StretchedMs int64 `cbor:"30,keyasint,omitempty"`
	// Refused reports whether the subscription that this report replies to was refused: no other
	// reports follow. LeasesOnly is set, too.
	Refused bool `cbor:"31,keyasint,omitempty"`
	// Grants are the replies to claims of the receiving entry.
	Grants []room.Grant `cbor:"28,keyasint,omitempty"`
	// Resident lists the long parts of prompts in the engine's KV cache.
	Resident []resident.Part `cbor:"11,keyasint,omitempty"`
	// Interval is the time between two load reports: the one that the listener asked for, or a longer
	// one that the side process names.
	Interval time.Duration `cbor:"-"`
}

// AfterRestart returns the part of p that stays valid when the engine has restarted: its
// address and the report interval.
func (p Report) AfterRestart() Report { return Report{Engine: p.Engine, Interval: p.Interval} }

// Subscription is the datagram that an entry sends to a side process.
type Subscription struct {
	// IntervalMs is the time between two load reports; zero means MinInterval.
	IntervalMs int64 `cbor:"1,keyasint,omitempty"`
	// Demand is the rate of prompts at the entry, per second.
	Demand int `cbor:"2,keyasint,omitempty"`
	// Slowdown is the slowdown of the engine's host that its last response reported, in percent;
	// zero for none.
	Slowdown int `cbor:"3,keyasint,omitempty"`
	// Speed is the time that prefill takes on the engine in percent of the service's usual time, as
	// learned by this entry from SpeedSamples prompts.
	Speed        int `cbor:"4,keyasint,omitempty"`
	SpeedSamples int `cbor:"5,keyasint,omitempty"`
	// Utilisation is the part of the prefill capacity of the service's engines in use, in percent;
	// zero when unknown.
	Utilisation int `cbor:"6,keyasint,omitempty"`
	// Claims are claims of room. Started are the claims whose prompt has been prefilled, Done those
	// whose request has ended.
	Claims  []room.Claim `cbor:"7,keyasint,omitempty"`
	Started []uint64     `cbor:"8,keyasint,omitempty"`
	Done    []uint64     `cbor:"9,keyasint,omitempty"`
	// Start is the start time of the entry's process, in ns of its clock. Zero means a build that
	// sends no claims, and that gets neither the fields about leases nor pushed reports.
	Start int64 `cbor:"10,keyasint,omitempty"`
}

// Has reports whether the engine's KV cache holds at least that many tokens of the part
// with the given key.
func (p Report) Has(key uint64, tokens int) bool {
	for _, r := range p.Resident {
		if r.Key == key {
			return r.Tokens >= tokens
		}
	}

	return false
}

// Timing.
const (
	// MinInterval is the shortest time between two load reports. Prefill of a long prompt
	// takes 0.1 to 0.4 s.
	MinInterval = 100 * time.Millisecond
	// subscribeInterval is the time between two subscription datagrams.
	subscribeInterval = time.Second
	// demandInterval replaces subscribeInterval while engines divide their permits by the reported demand.
	demandInterval = 250 * time.Millisecond
	// minProbeInterval is the shortest time between two load reports of an engine that is probed, maxProbesPerSecond
	// the most load reports of all of them.
	minProbeInterval   = 400 * time.Millisecond
	maxProbesPerSecond = 100
	// subscriptionTTL is the lifetime of a subscription; up to two datagrams in a row may be
	// lost.
	subscriptionTTL = 3500 * time.Millisecond
)

// Bounds.
const (
	// maxLegacyDatagram is the size of the receive buffers of builds without Subscription.Start, in
	// bytes. Load reports to them, and subscriptions to any side process, are not larger.
	maxLegacyDatagram = 512
	// maxDatagram is the size of the largest load report to other builds; it fits into one packet.
	maxDatagram = 1400
	// receiveBufferBytes is the size of receive buffers.
	receiveBufferBytes = 2048
	// maxSubscribers bounds the number of entries that get reports of one engine, and with it the memory
	// that they take; more than that are told that they get none.
	maxSubscribers = 4096
	// maxSentPerSecond bounds the load reports of one engine to all its subscribers.
	maxSentPerSecond = 640
	// maxPushedPerSecond bounds the reports that are sent because leases changed.
	maxPushedPerSecond = 1600
)
