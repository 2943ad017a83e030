// Package route selects the engine for a prompt and the target for a call of a plain
// service.
//
// # Model
//
// For each engine that may take the prompt, Decide estimates the seconds until
// the first token:
//
//	round trip + max(queue wait, import) + prefill of the missing tokens
//
// for each strategy by which the engine can get the prompt's context: it is warm
// (in the engine's cache), it is imported from a store or another engine, or it is
// recomputed. An import runs while the prompt waits in the queue, so only the longer
// of the two counts. The queue is that of the last load report plus the requests that
// this entry has sent since. A stale report is less reliable, so a random penalty that
// grows with the report's age, seeded by the request, is added to the wait: entries
// that act on the same stale report then spread over the engines of similar cost
// instead of all choosing the same one.
//
// The cost of a strategy is the weighted sum of its time to first token and the
// prefill time of tokens that were computed before, with the cost weights in force.
// The candidate with the least cost is chosen.
//
// # Example
//
//	d := route.Decide(now, cfg, route.Request{Tokens: 8_000, Seed: seed}, candidates)
//	if !d.Found() {
//		return failure.New(failure.Unavailable, "no engine")
//	}
//	engine := candidates[d.Target()]
//	event.Log(l, event.RouteDecided, d.Fields(candidates)...)
package route

import "time"

// MaxCandidates is the maximum number of candidates that a decision evaluates; further
// ones are ignored.
const MaxCandidates = 64

// Strategy is the strategy by which an engine gets a prompt's context. The zero Strategy is
// Recompute.
type Strategy uint8

// The strategies.
const (
	// Recompute means that the engine computes the whole prompt.
	Recompute Strategy = iota
	// Warm means that the engine uses blocks that it is believed to hold.
	Warm
	// Import means that blocks are copied from a store or another engine.
	Import
)

// String returns the snake-case name of s.
func (s Strategy) String() string {
	switch s {
	case Warm:
		return "warm"
	case Import:
		return "import"
	default:
		return "recompute"
	}
}

// Request is the prompt to be routed.
type Request struct {
	// Tokens is the length of the prompt.
	Tokens int
	// Computed is the number of leading tokens that were computed before, on any engine.
	// It is the upper bound of what counts as recomputed.
	Computed int
	// Version is the weight version that the request must use; any when empty.
	Version string
	// BytesPerToken is the size of a token in the KV cache.
	BytesPerToken int64
	// Seed differs for each request; it randomises the choice between candidates of similar cost.
	Seed uint64
	// Sources are the copies that can be imported.
	Sources []Source
	// Links estimates imports; when nil, nothing is imported.
	Links Links
}

// Source is a copy of leading tokens of the prompt, held by a store or an engine.
type Source struct {
	// Name is the holder's VM name.
	Name string
	// DataCentre is where the holder is.
	DataCentre string
	// Tokens is the number of leading tokens of the prompt in the copy.
	Tokens int
	// Store says that the holder is a store and the copy sealed; otherwise the holder
	// is an engine, which may have evicted the copy from its cache.
	Store bool
	// LastSeen is the time at which the copy was last known to exist.
	LastSeen time.Time
}

// Candidate is an engine, with the state known to the entry.
type Candidate struct {
	// Name is the VM name.
	Name string
	// DataCentre is where the engine runs.
	DataCentre string
	// Version is the weight version loaded.
	Version string
	// Draining says that the engine takes no new work.
	Draining bool
	// Suspected says that the engine failed recently.
	Suspected bool
	// Tried says that this request was sent to the engine before.
	Tried bool
	// RoundTrip is the round-trip time between the entry and the engine.
	RoundTrip time.Duration
	// LoadAt is the time at which the load report was measured.
	LoadAt time.Time
	// Running and Waiting are the numbers of requests in the load report.
	Running, Waiting int
	// WaitingPrefillTokens is the number of tokens in the load report that are to be
	// computed before a new request of the same priority.
	WaitingPrefillTokens int
	// LowerPriorityTokens is the number of tokens of lower-priority prefill that are expected to
	// run first, to the end of their chunk: half a chunk if there is any such prefill.
	LowerPriorityTokens int
	// SentTokens and SentRequests are the tokens to be computed and the number of the
	// requests that this entry has sent there since the load report.
	SentTokens, SentRequests int
	// MaxRunning is the number of requests that run concurrently; no limit when zero.
	MaxRunning int
	// SlotTime is the mean time for which a request occupies its batch slot.
	SlotTime time.Duration
	// PrefillTokensPerSecond is the prefill speed with an empty batch; the engine is excluded when zero.
	PrefillTokensPerSecond float64
	// WarmTokens is the number of leading tokens of the prompt that the engine is believed to hold.
	WarmTokens int
	// WarmAt is the time at which that was last known.
	WarmAt time.Time
}

// Exclusion is the reason why a candidate was not evaluated. The zero Exclusion is None.
type Exclusion uint8

// The exclusions.
const (
	// None means that the candidate was evaluated.
	None Exclusion = iota
	// Draining means that the candidate takes no new work.
	Draining
	// Suspected means that the candidate failed recently.
	Suspected
	// OtherVersion means that the candidate has another weight version.
	OtherVersion
	// AlreadyTried means that this request was sent to the candidate before.
	AlreadyTried
	// SpeedUnknown means that the candidate's prefill speed is not known yet.
	SpeedUnknown
	// NoRoom means that the candidate has as much work as its memory allows.
	NoRoom
	// Throttled means that the candidate has a cold cache after its start and has
	// reached its limit of requests for now.
	Throttled
)

// String returns the snake-case name of x.
func (x Exclusion) String() string {
	return [...]string{"none", "draining", "suspected", "other_version", "already_tried", "no_speed", "no_room", "throttled"}[x]
}

// Cost is the estimate for one candidate with its cheapest strategy.
type Cost struct {
	// Excluded is the reason why the candidate was not evaluated.
	Excluded Exclusion
	// Strategy is the cheapest strategy for the candidate.
	Strategy Strategy
	// Source is the index of the source to import from, -1 for none.
	Source int8
	// Wait is the estimated queue wait in seconds, without the penalty for a stale load report.
	Wait float32
	// Transfer is the estimated duration of the import in seconds.
	Transfer float32
	// Prefill is the estimated duration of the prefill in seconds.
	Prefill float32
	// Recomputed is the number of tokens computed before that would be computed again.
	Recomputed int32
	// FirstToken is the estimated time to first token in seconds.
	FirstToken float32
	// Total is the weighted cost by which candidates are compared.
	Total float32
}

// Decide returns the engine for a prompt. Candidates that are draining, suspected, of
// another version, of unknown speed or already tried are excluded. When that leaves none,
// suspected candidates are evaluated too, since a suspicion can be wrong and an empty
// pool serves no requests.
func Decide(now time.Time, cfg Config, q Request, candidates []Candidate) Decision {
	cfg = cfg.withDefaults()
	d := Decision{target: -1, runnerUp: -1, count: min(len(candidates), MaxCandidates)}

	s := newShared(now, cfg, q)
	d.evaluate(&s, candidates, false)

	if d.target < 0 {
		d.evaluate(&s, candidates, true)
	}

	return d
}

func (d *Decision) evaluate(s *shared, candidates []Candidate, allowSuspected bool) {
	for i := range d.count {
		c := &candidates[i]
		d.costs[i] = Cost{Source: -1, Excluded: exclusion(&s.q, c, allowSuspected)}

		if d.costs[i].Excluded != None {
			continue
		}

		d.costs[i] = s.bestCost(c, i)
		d.updateBest(i)
	}
}

// updateBest updates the best and second-best candidates with candidate i.
func (d *Decision) updateBest(i int) {
	switch {
	case d.target < 0 || d.costs[i].Total < d.costs[d.target].Total:
		d.runnerUp = d.target
		d.target = i
	case d.runnerUp < 0 || d.costs[i].Total < d.costs[d.runnerUp].Total:
		d.runnerUp = i
	}
}

func exclusion(q *Request, c *Candidate, allowSuspected bool) Exclusion {
	switch {
	case c.Tried:
		return AlreadyTried
	case c.Draining:
		return Draining
	case q.Version != "" && c.Version != q.Version:
		return OtherVersion
	case c.PrefillTokensPerSecond <= 0:
		return SpeedUnknown
	case c.Suspected && !allowSuspected:
		return Suspected
	default:
		return None
	}
}
