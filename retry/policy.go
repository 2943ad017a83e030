package retry

import (
	"time"

	"boragehub/failure"
)

// Attempt describes a failed attempt.
type Attempt struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Sent says that part of the request may have reached the target or its side process.
	Sent bool
	// Kind is the kind of failure.
	Kind failure.Kind
	// Number is the number of the attempt, counted from 1.
	Number int
	// MaxAttempts is the maximum number of attempts; zero allows no retry.
	MaxAttempts int
	// Answered says that part of the answer was sent to the caller. Only an engine that can
	// resume the answer may then continue it, which is not a retry.
	Answered bool
}

// MayRetry reports whether the rules allow the request to be retried on another target. The
// caller has to check its Budget as well.
func MayRetry(a Attempt) bool {
	if a.Number >= a.MaxAttempts || a.Answered || !retryableElsewhere(a.Kind) {
		return false
	}

	if a.Idempotent || !a.Sent {
		return true
	}

	// A non-idempotent request that may have run would run twice: it is retried only if the
	// failure guarantees that nothing ran.
	return a.Kind.Response().Ran == failure.NotRun
}

// retryableElsewhere reports whether another target may succeed after a failure of kind k.
func retryableElsewhere(k failure.Kind) bool {
	switch k { //nolint:exhaustive // all other kinds concern the request, not the target
	case failure.Internal, failure.QueueFull, failure.Throttled, failure.Unavailable, failure.NotReady, failure.Draining,
		failure.WrongVersion, failure.TargetLost, failure.ProtocolMismatch, failure.BadMessage:
		return true
	default:
		return false
	}
}

// Hedge describes a request that waits for its first token.
type Hedge struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Suspect says that the request ran on a target that crashed; it must not run on two
	// targets at once.
	Suspect bool
	// Waited is how long the request has waited so far.
	Waited time.Duration
	// TypicalWait is the 95th percentile of the wait of such requests; zero, when not known,
	// allows no hedge.
	TypicalWait time.Duration
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Hedged says that the request was hedged before.
	Hedged bool
}

// MayHedge reports whether a second attempt in parallel is worthwhile: only for an
// idempotent request that has waited longer than 95 % of such requests and can still meet
// its deadline. The caller has to check its Budget as well.
func MayHedge(h Hedge) bool {
	if !h.Idempotent || h.Suspect || h.Hedged || h.TypicalWait <= 0 {
		return false
	}

	return h.Waited > h.TypicalWait && h.TimeLeft > 0
}
