// Package skewed simulates entries one of which gets most new connections for some time.
//
// # Model
//
// Each client has one connection, sends a request at fixed times and waits for its response. It opens a
// new connection for some of the requests. A balancer hands new connections to a random entry, and for some
// time a share of them to the first one. One resource at a time is bounded: the processor of an entry,
// which serves requests in order; the connections that fit into its memory; the rate limits that targets
// name, divided by package quota; or repeats, where targets refuse a tenth of what they are sent, divided
// by package retry. A request is served at the first attempt unless that resource fails it.
//
// # Example
//
//	d := skewed.Deployment{Entries: 24, Share: 0.8, Reopen: 1, For: 10 * time.Second}
//	for _, r := range skewed.Resources() {
//		fmt.Println(r, skewed.Simulate(d, r, 1))
//	}
package skewed

import (
	"math/rand/v2"
	"time"

	"boragehub/quota"
	"boragehub/retry"
)

// Deployment describes a fleet, and what its balancer does.
type Deployment struct {
	// Entries is their number, and Share the fraction of the new connections that the first one gets.
	Entries int
	Share   float64
	// Reopen is the fraction of the requests for which clients open a new connection.
	Reopen float64
	// For is how long the first entry gets them.
	For time.Duration
}

// Resource is what is bounded.
type Resource uint8

// The resources.
const (
	// Processor is the time of an entry's processor.
	Processor Resource = iota
	// Connections are those of clients that fit into an entry's memory.
	Connections
	// TargetLimits are the rate limits that targets name, with room for all requests.
	TargetLimits
	// Repeats are the requests that an entry may send again.
	Repeats
)

var resourceNames = [...]string{"processor", "connections", "target_limits", "repeats"}

// String returns the snake-case name of r.
func (r Resource) String() string { return resourceNames[r] }

// Resources returns all resources.
func Resources() []Resource { return []Resource{Processor, Connections, TargetLimits, Repeats} }

// Result is what was served.
type Result struct {
	// Before and During are the fractions of the requests that were served at the first attempt before and
	// while the first entry got most new connections.
	Before, During float64
	// Rate is the rate of those served during that time, as a fraction of the rate before.
	Rate float64
	// EndedAfter is how long after the beginning of that time the resource first failed a request of the
	// first entry; negative if it never did.
	EndedAfter time.Duration
}

// Parameters of a simulation.
const (
	step = 5 * time.Millisecond
	// settling is the time before anything is measured; repeats count three windows.
	settling, before = 30 * time.Second, 5 * time.Second
	// perEntry is the mean number of requests a second at an entry, and interval the time between two of a client.
	perEntry = 100
	interval = 400 * time.Millisecond
	// usual is how long a response takes, and patience how long a client waits for one.
	usual, patience = 20 * time.Millisecond, 1500 * time.Millisecond

	// processorHeadroom and connectionHeadroom are how many times its mean load an entry can serve.
	processorHeadroom, connectionHeadroom = 3, 5
	// processorTime is what one request takes.
	processorTime = time.Second / (processorHeadroom * perEntry)
	// limitHeadroom is the sum of the targets' limits as a multiple of the requests.
	limitHeadroom = 2
	// targetsPerEntry is the number of targets for each entry.
	targetsPerEntry = 2

	retryRatio, retryWindow, retrySlack = 0.2, 10 * time.Second, 52
	// refused is the fraction of what targets refuse.
	refused = 0.1
)

// entry is the state of one entry.
type entry struct {
	busyUntil   time.Duration // when its processor has done all that it has read
	connections int
	limits      []quota.Share // by target
	budget      *retry.Budget
}

// client is the state of one client.
type client struct {
	next  time.Duration // when it sends its next request
	entry *entry        // of its connection; nil for none
}

// simulation is the state of one run.
type simulation struct {
	d       Deployment
	r       Resource
	rng     *rand.Rand
	entries []*entry
}

var start = time.Unix(0, 0)

// Simulate plays a load, determined by a seed, with one resource bounded.
func Simulate(d Deployment, r Resource, seed uint64) Result {
	s := &simulation{d: d, r: r, rng: rand.New(rand.NewPCG(seed, 7))}

	for i := range d.Entries {
		s.entries = append(s.entries, s.newEntry(i))
	}

	clients := make([]client, int(float64(d.Entries)*perEntry*interval.Seconds()))
	for i := range clients {
		clients[i].next = time.Duration(s.rng.Int64N(int64(interval)))
	}

	var requests, served [2]int

	result := Result{EndedAfter: -1}
	skewAt := settling + before

	for at := time.Duration(0); at < skewAt+d.For; at += step {
		phase := 0
		if at >= skewAt {
			phase = 1
		}

		for i := range clients {
			c := &clients[i]
			if c.next > at {
				continue
			}

			ok := s.request(at, phase == 1, c)

			if at < settling {
				continue
			}

			requests[phase]++

			if ok {
				served[phase]++
			} else if phase == 1 && result.EndedAfter < 0 && c.entry == s.entries[0] {
				result.EndedAfter = at - skewAt
			}
		}
	}

	result.Before = float64(served[0]) / float64(requests[0])
	result.During = float64(served[1]) / float64(max(requests[1], 1))
	result.Rate = float64(served[1]) / d.For.Seconds() / (float64(served[0]) / before.Seconds())

	return result
}

func (s *simulation) newEntry(i int) *entry {
	e := &entry{}

	switch s.r {
	case TargetLimits:
		targets := targetsPerEntry * s.d.Entries
		e.limits = make([]quota.Share, targets)

		for t := range e.limits {
			phase := float64((i+t)%s.d.Entries) / float64(s.d.Entries)
			e.limits[t].Set(start, limitHeadroom*perEntry*float64(s.d.Entries)/float64(targets), s.d.Entries, phase)
		}
	case Repeats:
		var share retry.Share
		share.Set(start, s.d.Entries, true)

		e.budget = retry.NewBudget(start, retry.BudgetConfig{Ratio: retryRatio, Window: retryWindow, Floor: max(share.Of(retrySlack), 0)})
	case Processor, Connections:
	}

	return e
}

// request sends a client's next request, and reports whether it is served at the first attempt.
func (s *simulation) request(at time.Duration, skewed bool, c *client) bool {
	if c.entry != nil && s.rng.Float64() < s.d.Reopen {
		c.close()
	}

	if c.entry == nil {
		c.entry = s.pick(skewed)
		c.entry.connections++
	}

	took, ok := s.serve(at, c.entry)
	c.next = max(c.next+interval, at+took)

	return ok
}

func (c *client) close() {
	c.entry.connections--
	c.entry = nil
}

// pick returns the entry of a new connection.
func (s *simulation) pick(skewed bool) *entry {
	switch {
	case skewed && s.rng.Float64() < s.d.Share:
		return s.entries[0]
	case skewed:
		return s.entries[1+s.rng.IntN(len(s.entries)-1)]
	default:
		return s.entries[s.rng.IntN(len(s.entries))]
	}
}

// serve returns how long a client waits for its response, and whether it is served.
func (s *simulation) serve(at time.Duration, e *entry) (took time.Duration, ok bool) {
	now := start.Add(at)

	switch s.r {
	case Processor:
		e.busyUntil = max(e.busyUntil, at) + processorTime
		took = e.busyUntil - at

		return min(took, patience), took <= patience
	case Connections:
		// Those that don't fit wait to be accepted.
		if float64(e.connections) > connectionHeadroom*perEntry*interval.Seconds() {
			return patience, false
		}
	case TargetLimits:
		return usual, takeLimit(now, e.limits, s.rng.IntN(len(e.limits)))
	case Repeats:
		e.budget.CountRequest(now)

		return usual, s.rng.Float64() >= refused || e.budget.Allow(now)
	}

	return usual, true
}

// takeLimit sends a request to a target whose limit allows it, and reports whether there is one.
func takeLimit(now time.Time, limits []quota.Share, first int) bool {
	for i := range limits {
		l := &limits[(first+i)%len(limits)]
		if l.Wait(now) == 0 {
			l.Take(now)

			return true
		}
	}

	return false
}
