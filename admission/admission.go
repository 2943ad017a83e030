// Package admission decides which prompts of a contended service wait at an entry, in which order
// they are tried at engines, which ones are refused, and when the refused ones return.
//
// # Model
//
// A Queue holds the prompts of one service for which no engine has capacity. Their order is, from
// the first criterion to the last: streams that have started; the rank; prompts that can still meet
// their latency target before those that can't; organisations below their fair share of the memory
// in use before the others; the time by which they have to be sent to be on time or, for late prompts,
// the deadline.
//
// The order is not strict. A prompt that finds no engine doesn't block smaller ones behind it
// (backfilling, Mu'alem and Feitelson 2001). One that was overtaken by long prompts for a quarter of
// its latency target holds a reservation: until it is sent, no other long prompt of its rank or a
// worse one is.
//
// Each prompt has to be sent within half of its time to the deadline or, if that is earlier, to when
// its caller leaves. One for which the prompts ahead of it, at the recent rate of admissions, take
// longer than that is refused at once, also while it waits, starting with the last in order. Its
// Retry-After is a slot of a schedule at that rate.
//
// A Queue does no I/O, starts no goroutine and has no clock. It tries prompts in rounds: StartRound,
// then for each prompt that Next returns one call of Admit, Failed or Leave.
//
// # Example
//
//	t, refused := q.Enter(now, prompt)
//	…
//	q.StartRound(now)
//	for t := q.Next(now); t != nil; t = q.Next(now) {
//		if sent(t) {
//			q.Admit(now, t)
//		} else {
//			q.Failed(t, admission.Obstacle{})
//		}
//	}
package admission

import "time"

// Prompt describes a prompt that is to wait.
type Prompt struct {
	// Organisation is the caller's organisation; empty for none.
	Organisation string
	// Rank is the prompt's rank; 0 comes first. Negative ranks count as 0.
	Rank int
	// Started says that the caller has part of the stream already.
	Started bool
	// Short says that the prompt has no more tokens to prefill than the service's mean.
	Short bool
	// MemoryTokens is the number of tokens of an engine's memory that the prompt takes,
	// at least 1.
	MemoryTokens int
	// Target is when the prompt has to be sent for its first event to be on time, LatencyTarget the
	// length of its latency target.
	Target        time.Time
	LatencyTarget time.Duration
	// Deadline is when the caller needs no response any more, LeavesAt when it leaves if nothing has
	// arrived; zero if unknown.
	Deadline, LeavesAt time.Time
	// Obstacle is what kept the prompt from being sent at once.
	Obstacle Obstacle
}

// Obstacle is why a prompt could not be sent now.
type Obstacle struct {
	// Late says that engines have so much to prefill that the first event can't be on time.
	Late bool
	// NotBefore is the earliest time at which an engine takes the prompt; zero when unknown.
	NotBefore time.Time
}

// Reason is why a prompt is refused.
type Reason uint8

// The reasons.
const (
	// Full means that the queue holds as many prompts as it may.
	Full Reason = iota
	// ExpectedWait means that the prompt could be sent only after half of its time to the deadline.
	ExpectedWait
	// HalfTime means that the prompt has waited for half of its time to the deadline.
	HalfTime
	// Expired means that the deadline of a started stream has passed.
	Expired
	// Stopping means that a planned stop of the entry ends.
	Stopping
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{Full, ExpectedWait, HalfTime, Expired, Stopping} }

// String returns the snake-case name of r.
func (r Reason) String() string {
	return [...]string{"full", "expected_wait", "half_time", "expired", "stopping"}[min(r, Stopping)]
}

// Refusal is the decision to refuse a prompt, with the figures that it is based on.
type Refusal struct {
	// Ticket is the refused prompt.
	Ticket *Ticket
	// Reason is why it is refused.
	Reason Reason
	// Ahead is the number of prompts before it in order, for a short one only the short ones of them.
	// Waiting is the number of all others.
	Ahead, Waiting int
	// ExpectedWait is how long it would have had to wait from now on.
	ExpectedWait time.Duration
	// Rate is the rate of admissions that the expected wait is based on.
	Rate Rate
	// RetryAfter is when the caller should return.
	RetryAfter time.Duration
}

// Rate is the recent rate of admissions.
type Rate struct {
	// PerSecond is the number of prompts admitted per second while others waited; zero when
	// unknown.
	PerSecond float64
	// Age is the time since the last admission; zero when there was none.
	Age time.Duration
}

// Admission is the decision to send a prompt that has waited.
type Admission struct {
	// Waited is the time since the prompt entered the queue.
	Waited time.Duration
	// Ahead is the number of prompts that it had to wait for when it entered, Overtaken the number of
	// prompts behind it that were admitted before it.
	Ahead, Overtaken int
	// Reserved says that it held a reservation.
	Reserved bool
	// Rate is the rate of admissions, this one included.
	Rate Rate
}
