// Package failure is the closed list of ways in which boragehub declines or
// loses a request, and the one table from each of them to the answer that a
// caller gets.
//
// # Model
//
// A Kind names what happened. Table gives, for each Kind, the HTTP status, the
// error type and code of the OpenAI error shape, and what the answer says about
// the request having been run: a refusal that says NotRun has to be true, so a
// piece of code may use a NotRun kind only while nothing has been sent that
// could still run.
//
// # Example
//
//	err := failure.New(failure.QueueFull, "all engines of %s are full", model).After(2 * time.Second)
//	kind := failure.KindOf(err) // failure.QueueFull
package failure

// Kind is one way in which a request fails. The zero Kind is Internal.
type Kind uint8

// The closed list of kinds. Table maps each of them to its answer.
const (
	// Internal is a fault of boragehub itself; whether the request ran is not known.
	Internal Kind = iota
	// BadRequest is a body or header that can't be understood.
	BadRequest
	// TooLarge is a body or header over its limit.
	TooLarge
	// Unauthenticated is a missing or wrong credential.
	Unauthenticated
	// Forbidden is a credential that doesn't cover what was asked for.
	Forbidden
	// UnknownModel is a model that no service offers.
	UnknownModel
	// UnknownService is a plain service that is not configured.
	UnknownService
	// UnknownPath is a path or method that doesn't exist.
	UnknownPath
	// RateLimited is a request over its organisation's rate.
	RateLimited
	// ShareExceeded is a request refused because its organisation has more than its fair share.
	ShareExceeded
	// QueueFull is a request refused because no target has room.
	QueueFull
	// DeadlineHopeless is a request refused because its deadline can't be met.
	DeadlineHopeless
	// Unavailable means that no usable target is known.
	Unavailable
	// NotReady means that this process has no configuration yet, or is stopping.
	NotReady
	// Draining means that a target takes no new work.
	Draining
	// StaleFence means that an order bears an old fencing number.
	StaleFence
	// WrongVersion means that a target does not hold the weight version asked for.
	WrongVersion
	// Quarantined means that this request crashed targets before.
	Quarantined
	// KeyRequired means that a non-idempotent call came without an Idempotency-Key.
	KeyRequired
	// KeyExpired means that an Idempotency-Key is older than keys are remembered; an
	// earlier call with it may have run.
	KeyExpired
	// KeyReused means that an Idempotency-Key came again with another content.
	KeyReused
	// KeyBusy means that the request with this Idempotency-Key is still running.
	KeyBusy
	// LogUnavailable means that a claim could not be recorded, so nothing was run.
	LogUnavailable
	// OutcomeUnknown means that a non-idempotent request may have run and will not be run again.
	OutcomeUnknown
	// TargetLost means that a target died or fell silent and retries are used up.
	TargetLost
	// Timeout means that the deadline passed while the request was running.
	Timeout
	// Cancelled means that the caller went away.
	Cancelled
	// ProtocolMismatch means that a peer speaks another message version.
	ProtocolMismatch
	// BadMessage means that a peer sent a message that can't be understood.
	BadMessage
	// BadSettings means that a settings file or published tree is wrong.
	BadSettings
	// Conflict means that a change was based on a version that is no longer the newest.
	Conflict
	// TornCopy means that a stored copy is cut, altered or foreign.
	TornCopy
	// StoreFull means that a store VM has no room.
	StoreFull

	kinds int = iota
)

// Kinds returns all kinds in order.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}

	return all
}

// String returns the snake-case code of k, as it stands in answers and logs.
func (k Kind) String() string {
	return k.Answer().Code
}
