package retry

import (
	"time"

	"boragehub/failure"
)

// Attempt is one attempt that failed.
type Attempt struct {
	// Idempotent says that the request may run twice.
	Idempotent bool
	// Sent says that some of the request may have reached the target's side.
	Sent bool
	// Kind is how the attempt failed.
	Kind failure.Kind
	// Number counts attempts from 1.
	Number int
	// Most bounds the number of attempts; zero allows no repeat.
	Most int
	// Answered says that part of the answer has gone to the caller; only an
	// engine that resumes can go on from there, which is not a repeat.
	Answered bool
}

// May reports whether the rules allow the request to be tried on another
// target. Whether there is room for it is the Budget's word.
func May(a Attempt) bool {
	if a.Number >= a.Most || a.Answered || !elsewhere(a.Kind) {
		return false
	}

	if a.Idempotent || !a.Sent {
		return true
	}

	// A non-idempotent request that may have run would run twice: only a
	// refusal that is known to be true lets it go elsewhere.
	return a.Kind.Answer().Ran == failure.NotRun
}

// elsewhere reports whether another target may do what one could not.
func elsewhere(k failure.Kind) bool {
	switch k { //nolint:exhaustive // all others say something of the request, not of the target
	case failure.Internal, failure.QueueFull, failure.Unavailable, failure.NotReady, failure.Draining,
		failure.WrongVersion, failure.TargetLost, failure.ProtocolMismatch, failure.BadMessage:
		return true
	default:
		return false
	}
}

// Hedge describes a request that waits for its first token.
type Hedge struct {
	// Idempotent says that the request may run twice.
	Idempotent bool
	// Suspect says that the request ran on a target that died; it must not be
	// on two targets at once.
	Suspect bool
	// Waited is how long it has waited.
	Waited time.Duration
	// Usual is how long 95 in 100 such requests wait; zero when not known.
	Usual time.Duration
	// Left is the time until its deadline.
	Left time.Duration
	// Hedged says that it was hedged already.
	Hedged bool
}

// MayHedge reports whether a second run beside the first is worth trying: only
// for an idempotent request that has waited longer than nearly all others and
// can still make its deadline. The Budget has the last word.
func MayHedge(h Hedge) bool {
	if !h.Idempotent || h.Suspect || h.Hedged || h.Usual <= 0 {
		return false
	}

	return h.Waited > h.Usual && h.Left > 0
}
