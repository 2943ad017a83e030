package admission

import (
	"math"
	"slices"
	"time"

	"boragehub/retry"
)

const (
	// DefaultSize bounds the prompts that wait, and so the memory that they take.
	DefaultSize = 256
	// dueShare is the part of the time to the deadline within which a prompt has to be sent: the
	// rest is for the response, or for an attempt of the caller elsewhere.
	dueShare = 0.5
	// returnShare is the part of the caller's remaining time after which it returns at the latest,
	// so that it can be served then, or return once more.
	returnShare = 1.0 / 3
	// overtakenShare is the part of its latency target for which a prompt is overtaken before it
	// gets a reservation.
	overtakenShare = 0.25
	// usualPeriod is the time between callers that return while the rate is unknown: engines report
	// their load at about this interval.
	usualPeriod = 100 * time.Millisecond
)

// A round ends after maxFailures prompts have found no engine. Up to orderedFailures, prompts are
// tried in order, since the first ones may want other engines than the rest. After that only those
// are tried that take less memory than each one that failed, and at last the smallest one, so that
// capacity which any prompt fits into is used. After maxRoundTime only short prompts are tried: for a
// long one, the process beside each engine may have to be asked, which takes up to 25 ms if it is
// unresponsive, and short ones would wait for these tries.
const (
	orderedFailures = 4
	maxFailures     = 8
	maxRoundTime    = 25 * time.Millisecond
)

// Config configures a Queue.
type Config struct {
	// Size is the number of prompts that may wait; DefaultSize when zero.
	Size int
}

// Queue holds the prompts that wait. Use New. It is not safe for concurrent use.
type Queue struct {
	size          int
	waiting       []*Ticket // in order as of the last call of order
	organisations map[string]*organisation
	inUse         int // tokens of memory of all organisations' prompts in flight
	entered       uint64
	rate          rateMeter
	returns       retry.Schedule

	round          uint64
	roundBegan     time.Time
	failures       int // in this round
	smallestFailed int // least memory of a prompt that failed in this round
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	if cfg.Size <= 0 {
		cfg.Size = DefaultSize
	}

	return &Queue{size: cfg.Size, organisations: make(map[string]*organisation)}
}

// due returns when the prompt has to be sent, if it enters the queue now.
func (p *Prompt) due(now time.Time) time.Time {
	end := p.Deadline
	if !p.LeavesAt.IsZero() && p.LeavesAt.Before(end) {
		end = p.LeavesAt
	}

	if p.Started {
		return end
	}

	return now.Add(time.Duration(dueShare * float64(end.Sub(now))))
}

// Ticket is a prompt in a Queue.
type Ticket struct {
	prompt       Prompt
	sequence     uint64
	enteredAt    time.Time
	due          time.Time // when it has to be sent
	organisation *organisation
	class        int // as of the last order; lower ones come first
	late         bool
	ahead        int       // prompts before it when it entered
	overtaken    int       // prompts behind it that were admitted
	overtakenAt  time.Time // when a long one of these was first admitted
	reservedAt   time.Time // when it first held the reservation
	round        uint64    // in which it was tried last
	trying       bool      // returned by Next
}

// Prompt returns the prompt.
func (t *Ticket) Prompt() Prompt { return t.prompt }

// Ahead returns the number of prompts that were before it when it entered.
func (t *Ticket) Ahead() int { return t.ahead }

// Overtaken returns the number of prompts behind it that were admitted before it.
func (t *Ticket) Overtaken() int { return t.overtaken }

// Late reports whether the prompt can't meet its latency target, as of the last order.
func (t *Ticket) Late() bool { return t.late }

// Due returns when the prompt has to be sent.
func (t *Ticket) Due() time.Time { return t.due }

// Waited returns the time since the prompt entered the queue.
func (t *Ticket) Waited(now time.Time) time.Duration { return now.Sub(t.enteredAt) }

// Len returns the number of prompts that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// Rate returns the recent rate of admissions.
func (q *Queue) Rate(now time.Time) Rate { return q.rate.rate(now) }

// MayPass reports whether a new prompt may be sent without entering the queue: no prompt of its rank
// or a better one waits, or the new one is short and these are long.
func (q *Queue) MayPass(p Prompt) bool {
	if p.Started {
		return true
	}

	for _, t := range q.waiting {
		if max(t.prompt.Rank, 0) <= max(p.Rank, 0) && (!p.Short || t.prompt.Short) {
			return false
		}
	}

	return true
}

// Enter adds a prompt. It also returns the prompts that are refused because of it: the new one
// itself, or the last one of a full queue if that has a worse rank.
func (q *Queue) Enter(now time.Time, p Prompt) (*Ticket, []Refusal) {
	p.Rank, p.MemoryTokens = max(p.Rank, 0), countedTokens(p.MemoryTokens)
	t := &Ticket{prompt: p, sequence: q.entered, enteredAt: now, due: p.due(now)}
	q.entered++
	q.add(now, t)
	q.order(now)

	t.ahead = q.ahead(t)

	if reason, ok := q.refuses(now, t, t.ahead); ok {
		return t, q.returning(now, []Refusal{q.remove(now, t, t.ahead, reason)})
	}

	if len(q.waiting) <= q.size {
		return t, nil
	}

	// Among prompts of equal rank the new one is refused: otherwise each new one with a short
	// latency target would push out one that has waited.
	for _, last := range slices.Backward(q.waiting) {
		if last != t && !last.trying && !last.prompt.Started && (p.Started || last.prompt.Rank > p.Rank) {
			return t, q.returning(now, []Refusal{q.remove(now, last, q.ahead(last), Full)})
		}
	}

	return t, q.returning(now, []Refusal{q.remove(now, t, t.ahead, Full)})
}

// Sweep refuses the prompts that can't be sent in time any more, the last one in order first.
func (q *Queue) Sweep(now time.Time) []Refusal {
	q.order(now)

	var refused []Refusal

	short := 0 // number of short prompts up to the present one

	for _, t := range q.waiting {
		if t.prompt.Short {
			short++
		}
	}

	for i, t := range slices.Backward(q.waiting) {
		ahead := i
		if t.prompt.Short {
			short--
			ahead = short
		}

		if reason, ok := q.refuses(now, t, ahead); ok && !t.trying {
			refused = append(refused, q.remove(now, t, ahead, reason))
		}
	}

	return q.returning(now, refused)
}

// Refuse removes a prompt for a reason that the queue doesn't know by itself.
func (q *Queue) Refuse(now time.Time, t *Ticket, r Reason) Refusal {
	return q.returning(now, []Refusal{q.remove(now, t, q.ahead(t), r)})[0]
}

// ahead returns the number of prompts before a waiting one that it has to wait for. A short one passes
// the long ones.
func (q *Queue) ahead(t *Ticket) int {
	n := 0

	for _, other := range q.waiting {
		if other == t {
			break
		}

		if other.prompt.Short || !t.prompt.Short {
			n++
		}
	}

	return n
}

// refuses returns whether and why a prompt behind a number of others is refused.
func (q *Queue) refuses(now time.Time, t *Ticket, ahead int) (Reason, bool) {
	switch {
	case t.prompt.Started:
		return Expired, !now.Before(t.due)
	case !now.Before(t.due):
		return HalfTime, true
	default:
		return ExpectedWait, now.Add(q.expectedWait(now, t, ahead)).After(t.due)
	}
}

// expectedWait returns the time that the prompts ahead take at the recent rate of admissions, at
// least the time until an engine may take the prompt.
func (q *Queue) expectedWait(now time.Time, t *Ticket, ahead int) time.Duration {
	wait := time.Duration(ahead) * q.rate.period(now)

	if at := t.prompt.Obstacle.NotBefore; !at.IsZero() {
		wait = max(wait, at.Sub(now))
	}

	return wait
}

// remove removes a prompt that has a number of others ahead and returns its refusal, without a time
// to return.
func (q *Queue) remove(now time.Time, t *Ticket, ahead int, reason Reason) Refusal {
	r := Refusal{
		Ticket: t, Reason: reason, Ahead: ahead, Waiting: len(q.waiting) - 1, ExpectedWait: q.expectedWait(now, t, ahead), Rate: q.rate.rate(now),
	}

	q.Leave(now, t)

	return r
}

// returning sets when the callers of refused prompts return. Those that were first in order return
// first, one for each admission: by then one more prompt can be sent in time than now. A caller
// whose wait is too long by more than that returns later by as much.
func (q *Queue) returning(now time.Time, refused []Refusal) []Refusal {
	period := q.rate.period(now)
	if period == 0 {
		period = usualPeriod
	}

	for i := range slices.Backward(refused) {
		r := &refused[i]
		excess := now.Add(r.ExpectedWait).Sub(r.Ticket.due)
		latest := time.Duration(returnShare * float64(r.Ticket.prompt.Deadline.Sub(now)))
		r.RetryAfter = q.returns.NextSlotWithin(now, max(excess, period), period, latest)
	}

	return refused
}

// Leave removes a prompt whose caller has left, or that was answered otherwise. It does nothing if
// the prompt is not in the queue.
func (q *Queue) Leave(now time.Time, t *Ticket) {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return
	}

	q.waiting = slices.Delete(q.waiting, i, i+1)
	t.organisation.waiting -= t.prompt.MemoryTokens
	q.forget(t.prompt.Organisation)

	if len(q.waiting) == 0 {
		q.rate.stop(now)
	}
}

func (q *Queue) add(now time.Time, t *Ticket) {
	t.organisation = q.organisation(t.prompt.Organisation)
	t.organisation.waiting += t.prompt.MemoryTokens
	q.waiting = append(q.waiting, t)
	q.rate.start(now)
}

// Admit removes a prompt that is being sent.
func (q *Queue) Admit(now time.Time, t *Ticket) Admission {
	q.order(now)

	for _, other := range q.waiting[:max(slices.Index(q.waiting, t), 0)] {
		other.overtaken++

		if other.overtakenAt.IsZero() && !t.prompt.Short {
			other.overtakenAt = now
		}
	}

	q.rate.record(now)
	q.Leave(now, t)

	return Admission{
		Waited: now.Sub(t.enteredAt), Ahead: t.ahead, Overtaken: t.overtaken, Reserved: !t.reservedAt.IsZero(), Rate: q.rate.rate(now),
	}
}

// StartRound begins a round of tries.
func (q *Queue) StartRound(now time.Time) {
	q.round++
	q.roundBegan, q.failures, q.smallestFailed = now, 0, math.MaxInt
}

// Next returns the prompt to try next, nil at the end of the round.
func (q *Queue) Next(now time.Time) *Ticket {
	if q.failures >= maxFailures {
		return nil
	}

	q.order(now)

	var (
		next   *Ticket
		holder = q.Holder(now)
		last   = q.failures == maxFailures-1
	)

	for _, t := range q.waiting {
		if t.round == q.round || !t.mayBeSent(holder) || !q.mayBeTried(now, t) {
			continue
		}

		if next == nil || last && t.prompt.MemoryTokens < next.prompt.MemoryTokens {
			next = t
		}

		if !last {
			break
		}
	}

	if next != nil {
		next.round, next.trying = q.round, true
	}

	return next
}

// mayBeTried reports whether a prompt may be tried in this round after those that failed.
func (q *Queue) mayBeTried(now time.Time, t *Ticket) bool {
	if now.Sub(q.roundBegan) > maxRoundTime && !t.prompt.Short && !t.prompt.Started {
		return false
	}

	return q.failures < orderedFailures || t.prompt.MemoryTokens < q.smallestFailed
}

// Failed records that a prompt returned by Next found no engine.
func (q *Queue) Failed(t *Ticket, o Obstacle) {
	t.trying = false
	t.prompt.Obstacle = o
	q.failures++
	q.smallestFailed = min(q.smallestFailed, t.prompt.MemoryTokens)
}

// Holder returns the prompt that holds the reservation, nil for none: of those that were overtaken
// for long enough, the one with the best rank and then the one that was overtaken first.
func (q *Queue) Holder(now time.Time) *Ticket {
	var holder *Ticket

	for _, t := range q.waiting {
		if t.mayReserve(now) && (holder == nil || t.reservesBefore(holder)) {
			holder = t
		}
	}

	if holder != nil && holder.reservedAt.IsZero() {
		holder.reservedAt = now
	}

	return holder
}

// mayReserve reports whether the prompt was overtaken for long enough to get a reservation. A
// reservation lasts for a latency target at most: a prompt that finds no engine in that time wants
// one that is not available, and the others would wait for nothing.
func (t *Ticket) mayReserve(now time.Time) bool {
	if t.overtakenAt.IsZero() || now.Sub(t.overtakenAt) < time.Duration(overtakenShare*float64(t.prompt.LatencyTarget)) {
		return false
	}

	return t.reservedAt.IsZero() || now.Sub(t.reservedAt) <= t.prompt.LatencyTarget
}

func (t *Ticket) reservesBefore(other *Ticket) bool {
	switch {
	case t.prompt.Rank != other.prompt.Rank:
		return t.prompt.Rank < other.prompt.Rank
	case !t.overtakenAt.Equal(other.overtakenAt):
		return t.overtakenAt.Before(other.overtakenAt)
	default:
		return t.sequence < other.sequence
	}
}

// mayBeSent reports whether a reservation allows the prompt to be sent.
func (t *Ticket) mayBeSent(holder *Ticket) bool {
	return holder == nil || t == holder || t.prompt.Short || t.prompt.Started || t.prompt.Rank < holder.prompt.Rank
}

// order sorts the prompts. They are nearly sorted from the time before, which makes it fast.
func (q *Queue) order(now time.Time) {
	q.share()

	for _, t := range q.waiting {
		t.late = t.prompt.Obstacle.Late || !now.Before(t.prompt.Target)
		t.class = t.orderClass()
	}

	slices.SortFunc(q.waiting, compareTickets)
}

// orderClass returns the part of a prompt's order that doesn't depend on its times: started or not,
// rank, late or not, and whether its organisation has its fair share.
func (t *Ticket) orderClass() int {
	if t.prompt.Started {
		return -1
	}

	class := 4 * min(t.prompt.Rank, math.MaxInt32)
	if t.late {
		class += 2
	}

	if !t.organisation.underShare() {
		class++
	}

	return class
}

func compareTickets(a, b *Ticket) int {
	if a.class != b.class {
		return a.class - b.class
	}

	aAt, bAt := a.prompt.Target, b.prompt.Target
	if a.late || a.prompt.Started {
		aAt, bAt = a.prompt.Deadline, b.prompt.Deadline
	}

	if c := aAt.Compare(bAt); c != 0 {
		return c
	}

	if a.sequence < b.sequence {
		return -1
	}

	return 1
}
