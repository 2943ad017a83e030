package room

import (
	"math"
	"sync"
	"time"
)

// Key identifies a claim among those of all entries.
type Key struct {
	// Entry is the address that the claim came from, Start the start time of that process.
	Entry string
	Start int64
	// ID is Claim.ID.
	ID uint64
}

// State is what an engine reports about itself.
type State struct {
	// Running and Waiting are the numbers of its requests.
	Running, Waiting int
	// UsedTokens is the memory that its requests hold, TotalTokens its whole memory; zero when
	// unknown.
	UsedTokens, TotalTokens int
	// Slowdown is how long work takes there, in percent of the usual time; 100 when zero.
	Slowdown int
}

// Usage is what the leases at an engine hold.
type Usage struct {
	// Backlog is the number of tokens that the engine still has to prefill for leases that have
	// not started, Leases the number of those.
	Backlog, Leases int
	// Leased is the number of memory tokens of all leases, Held the number of all leases.
	Leased, Held int
	// Occupied is the memory that counts as taken when a claim is decided: that of the leases, or
	// what the engine reported, brought up to date with them, if that is more.
	Occupied int
}

// End is the reason why a lease ended without Done.
type End uint8

// The values of End.
const (
	// DeadlinePassed means that the deadline of the request passed.
	DeadlinePassed End = iota
	// PrefillOverdue means that the engine must have prefilled the prompt long ago; the lease keeps
	// its memory.
	PrefillOverdue
	// EngineIdle means that the engine reported twice that nothing runs or waits.
	EngineIdle
)

// String returns the snake-case name of e.
func (e End) String() string {
	return [...]string{"deadline", "prefill_overdue", "engine_idle"}[min(e, EngineIdle)]
}

// Ended is a lease that ended, in part or as a whole, without a message.
type Ended struct {
	// Key is that of its claim.
	Key Key
	// Reason is why it ended.
	Reason End
	// Age is the time since it was granted.
	Age time.Duration
	// PrefillTokens and MemoryTokens are those of its claim.
	PrefillTokens, MemoryTokens int
}

// Bounds and parameters.
const (
	// maxLeases bounds the leases of engines without a known number of slots.
	maxLeases = 1024
	// maxAnswered bounds the claims that are remembered after their lease ended or was denied. A
	// repeated claim arrives within tens of ms.
	maxAnswered = 1024
	// maxEnded bounds the ended leases that TakeEnded returns.
	maxEnded = 64
	// maxTokens bounds the figures of a claim, so that their sums do not overflow.
	maxTokens = 1 << 30
	// maxTimeLeft bounds the time that a lease lasts.
	maxTimeLeft = 10 * time.Minute
	// maxStateAge is the age up to which the engine's own report is used. Engines are queried every
	// 100 ms.
	maxStateAge = time.Second
	// memoryShare is the share of an engine's memory that is leased: the rest is for tokens that
	// running requests still generate.
	memoryShare = 0.95
	// overdueFactor is how many times as long as usual a prefill may take before it counts as done.
	overdueFactor = 4
	// minLeftShare is the share of its prefill tokens that a lease counts until its prompt is known
	// to have started: the engine may be slower than usual.
	minLeftShare = 0.25
	// defaultTokensPerMs is the prefill speed until a claim names it.
	defaultTokensPerMs = 50
	// maxTokensPerMs is the largest prefill speed that is believed.
	maxTokensPerMs = 1e6
	// doneDelay is how much later than the end of a request its Done may arrive. Memory counts as freed
	// since the engine's report only if the request certainly ran when the engine was queried.
	doneDelay = 20 * time.Millisecond
	// idleReports is the number of consecutive reports of an idle engine that end its leases.
	idleReports = 2
)

// lease is a claim that was granted.
type lease struct {
	key          Key
	claim        Claim
	grantedAt    time.Time
	endsAt       time.Time
	prefillUntil time.Time
	left         float64 // tokens that the engine has yet to prefill at the usual speed
	started      bool    // or taken to have started
	startedAt    time.Time
	idle         int // consecutive reports of an idle engine since it was granted
}

// backlog returns the tokens of the lease that count as backlog.
func (l *lease) backlog() float64 {
	if l.started {
		return 0
	}

	return max(l.left, minLeftShare*float64(l.claim.PrefillTokens))
}

// Ledger keeps the leases at one engine. Use NewLedger. Its methods are safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	slots       int
	memory      int // capacity in tokens, zero while unknown
	tokensPerMs float64
	state       State
	stateAt     time.Time // when the engine was queried, zero for never
	freed       freed
	leases      []*lease // in the order in which they were granted
	byKey       map[Key]*lease
	advancedAt  time.Time
	answered    map[Key]answer
	order       []Key // keys of answered, the oldest at next
	next        int
	ended       []Ended
}

// freed is what leases that were part of the engine's last report held and that have ended since.
type freed struct{ requests, tokens int }

// answer is what is remembered of a claim without a lease.
type answer struct {
	outcome Outcome // why it was denied
	ended   bool    // it was granted, and its lease has ended
}

// NewLedger returns a Ledger without leases, for an engine of unknown capacity.
func NewLedger() *Ledger {
	return &Ledger{byKey: make(map[Key]*lease), answered: make(map[Key]answer)}
}

// SetCapacity sets the engine's slots and its memory in tokens, as configured. Zero means unknown.
func (l *Ledger) SetCapacity(slots, memoryTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.slots = max(slots, 0)
	if memoryTokens > 0 {
		l.memory = memoryTokens
	}
}

// Observe applies what the engine reported when it was queried at a time, and reports whether that
// ended leases.
func (l *Ledger) Observe(now, queriedAt time.Time, s State) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	held := len(l.leases)

	l.advance(now)
	l.state, l.stateAt, l.freed = s, queriedAt, freed{}

	if s.TotalTokens > 0 {
		l.memory = s.TotalTokens
	}

	idle := s.Running+s.Waiting == 0

	l.endWhere(now, EngineIdle, func(x *lease) bool {
		if !idle || !x.grantedAt.Before(queriedAt) {
			x.idle = 0

			return false
		}

		x.idle++

		return x.idle >= idleReports
	})

	return len(l.leases) != held
}

// Claim decides on a claim. A repeated claim gets the same reply and changes nothing. There is no
// reply (ok is false) to an invalid claim, to one whose lease has ended, and while the engine's state
// or capacity is unknown.
func (l *Ledger) Claim(now time.Time, key Key, c Claim) (g Grant, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.advance(now)

	if !c.valid() {
		return Grant{}, false
	}

	if l.byKey[key] != nil {
		return Grant{ID: key.ID}, true
	}

	if a, repeated := l.answered[key]; repeated {
		return Grant{ID: key.ID, Outcome: a.outcome}, !a.ended
	}

	if l.memory <= 0 || l.stateAt.IsZero() || now.Sub(l.stateAt) > maxStateAge {
		return Grant{}, false
	}

	if c.TokensPerMs > 0 && c.TokensPerMs <= maxTokensPerMs {
		l.tokensPerMs = c.TokensPerMs
	}

	g = Grant{ID: key.ID, Outcome: l.decide(c)}
	if g.Outcome == Granted {
		l.add(now, key, c)
	} else {
		l.remember(key, answer{outcome: g.Outcome})
	}

	return g, true
}

// valid reports whether the figures of a claim can be used.
func (c Claim) valid() bool {
	return c.PrefillTokens >= 0 && c.PrefillTokens <= maxTokens && c.MemoryTokens > 0 && c.MemoryTokens <= maxTokens &&
		c.MaxBacklog >= 0 && c.TimeLeftMs > 0
}

// decide returns the outcome of a new claim. The caller holds mu.
func (l *Ledger) decide(c Claim) Outcome {
	requests, tokens := l.occupied()
	limit := int(memoryShare * float64(l.memory))

	if len(l.leases) == 0 && l.state.Running+l.state.Waiting <= 0 {
		tokens, limit = 0, l.memory
	}

	switch {
	case tokens+c.MemoryTokens > limit:
		return NoMemory
	case len(l.leases) >= maxLeases, l.slots > 0 && (len(l.leases) >= l.slots || requests > l.slots):
		// Short prompts leave their slots within some tens of ms, so an engine whose slots are taken
		// and at which none waits takes one more.
		return NoSlot
	case l.backlog() > float64(c.MaxBacklog):
		return Backlogged
	default:
		return Granted
	}
}

// occupied returns the requests and the memory tokens that count as taken: those of the leases, or what
// the engine reported, with what was granted and freed since, if that is more. The caller holds mu.
func (l *Ledger) occupied() (requests, tokens int) {
	requests = max(l.state.Running, 0) + max(l.state.Waiting, 0) - l.freed.requests
	tokens = min(max(l.state.UsedTokens, 0), maxTokens) - l.freed.tokens
	leased := 0

	for _, x := range l.leases {
		leased += x.claim.MemoryTokens

		// A report can't include a prompt whose lease was granted after it.
		if !x.grantedAt.Before(l.stateAt) {
			requests++
			tokens += x.claim.MemoryTokens
		}
	}

	return max(requests, len(l.leases)), max(tokens, leased)
}

// add adds a lease. The caller holds mu.
func (l *Ledger) add(now time.Time, key Key, c Claim) {
	overdueMs := overdueFactor * (l.backlog() + float64(c.PrefillTokens)) / l.speed()
	x := &lease{
		key: key, claim: c, grantedAt: now, endsAt: now.Add(min(time.Duration(min(c.TimeLeftMs, maxTimeLeft.Milliseconds()))*time.Millisecond, maxTimeLeft)),
		prefillUntil: now.Add(time.Duration(min(overdueMs, float64(maxTimeLeft.Milliseconds())) * float64(time.Millisecond))), left: float64(c.PrefillTokens),
	}
	l.leases = append(l.leases, x)
	l.byKey[key] = x
}

// Started records that the prompt of a lease was prefilled, and reports whether that changed
// anything.
func (l *Ledger) Started(now time.Time, key Key) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.advance(now)

	x := l.byKey[key]
	if x == nil || x.started {
		return false
	}

	x.started, x.startedAt = true, now

	return true
}

// Done ends a lease, and reports whether it had not ended before.
func (l *Ledger) Done(now time.Time, key Key) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.advance(now)

	x := l.byKey[key]
	if x == nil {
		return false
	}

	if !x.startedAt.IsZero() && x.startedAt.Before(l.stateAt) && now.Sub(l.stateAt) > doneDelay {
		l.freed.requests++
		l.freed.tokens += x.claim.MemoryTokens
	}

	l.remove(func(x *lease) bool { return x.key == key })

	return true
}

// Reset ends all leases, since the engine has restarted. Its requests are lost.
func (l *Ledger) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.remove(func(*lease) bool { return true })
	l.stateAt = time.Time{}
}

// Usage returns what the leases hold.
func (l *Ledger) Usage(now time.Time) Usage {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.advance(now)

	u := Usage{Backlog: int(l.backlog()), Held: len(l.leases)}
	_, u.Occupied = l.occupied()

	for _, x := range l.leases {
		u.Leased += x.claim.MemoryTokens

		if !x.started {
			u.Leases++
		}
	}

	return u
}

// Observed is what an engine reported last, and what has changed since.
type Observed struct {
	State

	// Age is the time since the engine was queried.
	Age time.Duration
	// FreedTokens is the memory of leases that the report included and that have ended since.
	FreedTokens int
}

// Observed returns what the engine reported last.
func (l *Ledger) Observed(now time.Time) Observed {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Observed{State: l.state, Age: now.Sub(l.stateAt), FreedTokens: l.freed.tokens}
}

// TakeEnded returns the leases that ended without a message since the last call, up to a bound.
func (l *Ledger) TakeEnded(now time.Time) []Ended {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.advance(now)

	all := l.ended
	l.ended = nil

	return all
}

// speed returns the engine's present prefill speed in tokens per ms.
func (l *Ledger) speed() float64 {
	speed := l.tokensPerMs
	if speed <= 0 {
		speed = defaultTokensPerMs
	}

	if l.state.Slowdown > 0 {
		speed *= 100 / min(max(float64(l.state.Slowdown), 50), 1000)
	}

	return speed
}

// backlog returns the tokens that the engine has yet to prefill. The caller holds mu.
func (l *Ledger) backlog() float64 {
	sum := 0.0
	for _, x := range l.leases {
		sum += x.backlog()
	}

	return sum
}

// advance applies the time that has passed: the engine prefills the leased prompts one after the
// other, and leases expire. The caller holds mu.
func (l *Ledger) advance(now time.Time) {
	tokens := 0.0

	if now.After(l.advancedAt) {
		tokens = l.speed() * float64(now.Sub(l.advancedAt)) / float64(time.Millisecond)
		l.advancedAt = now
	}

	for _, x := range l.leases {
		if x.started {
			continue
		}

		n := math.Min(x.left, tokens)
		x.left -= n
		tokens -= n

		if !now.Before(x.prefillUntil) {
			x.started = true
			l.recordEnd(now, x, PrefillOverdue)
		}
	}

	l.endWhere(now, DeadlinePassed, func(x *lease) bool { return !now.Before(x.endsAt) })
}

// endWhere ends the leases for which a function returns true. The caller holds mu.
func (l *Ledger) endWhere(now time.Time, reason End, ends func(*lease) bool) {
	l.remove(func(x *lease) bool {
		if !ends(x) {
			return false
		}

		l.recordEnd(now, x, reason)

		return true
	})
}

// remove removes the leases for which a function returns true. The caller holds mu.
func (l *Ledger) remove(ends func(*lease) bool) {
	kept := l.leases[:0]

	for _, x := range l.leases {
		if !ends(x) {
			kept = append(kept, x)

			continue
		}

		delete(l.byKey, x.key)
		l.remember(x.key, answer{ended: true})
	}

	clear(l.leases[len(kept):])
	l.leases = kept
}

// recordEnd adds to the leases that ended without a message. The caller holds mu.
func (l *Ledger) recordEnd(now time.Time, x *lease, reason End) {
	if len(l.ended) < maxEnded {
		l.ended = append(l.ended, Ended{Key: x.key, Reason: reason, Age: now.Sub(x.grantedAt), PrefillTokens: x.claim.PrefillTokens, MemoryTokens: x.claim.MemoryTokens})
	}
}

// remember keeps the answer to a claim for as long as it may be repeated. The caller holds mu.
func (l *Ledger) remember(key Key, a answer) {
	if _, ok := l.answered[key]; ok {
		l.answered[key] = a

		return
	}

	if len(l.order) < maxAnswered {
		l.order = append(l.order, key)
	} else {
		delete(l.answered, l.order[l.next])
		l.order[l.next] = key
		l.next = (l.next + 1) % maxAnswered
	}

	l.answered[key] = a
}
