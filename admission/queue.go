package admission

import (
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
	// usualPeriod is the time between callers that return while the rate is unknown: engines report
	// their load at about this interval.
	usualPeriod = 100 * time.Millisecond
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
