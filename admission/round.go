package admission

import (
	"math"
	"time"
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

// overtakenShare is the part of its latency target for which a prompt is overtaken before it gets a
// reservation.
const overtakenShare = 0.25

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
