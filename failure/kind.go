// Package failure is the closed list of reasons for which boragehub refuses or
// fails a request, with one table that maps each of them to the error response.
//
// # Model
//
// A Kind names what happened. Kind.Response returns, for each Kind, the HTTP status,
// the type and code of an OpenAI error object, and whether the request may have
// run. A response with NotRun guarantees that it did not and will not, so code may use
// a NotRun kind only while nothing has been sent that could still run.
//
// # Example
//
//	err := failure.New(failure.QueueFull, "all engines of %s are full", model).WithRetryAfter(2 * time.Second)
//	kind := failure.KindOf(err) // failure.QueueFull
package failure

// Kind is one reason for which a request fails. The zero Kind is Internal.
type Kind uint8

// The closed list of kinds. Kind.Response maps each of them to its response.
const (
	// Internal means an error within boragehub; whether the request ran is unknown.
	Internal Kind = iota
	// BadRequest means that a body or header is malformed.
	BadRequest
	// TooLarge means that a body or header exceeds its limit.
	TooLarge
	// Unauthenticated means that the credential is missing or wrong.
	Unauthenticated
	// Forbidden means that the credential does not permit the request.
	Forbidden
	// UnknownModel means that no service offers the model.
	UnknownModel
	// UnknownService means that the plain service is not configured.
	UnknownService
	// UnknownPath means that the path or method doesn't exist.
	UnknownPath
	// RateLimited means that the organisation exceeds its request rate.
	RateLimited
	// ShareExceeded means that the organisation already uses more than its fair share.
	ShareExceeded
	// QueueFull means that no target or queue has free capacity.
	QueueFull
	// DeadlineHopeless means that the deadline can't be met.
	DeadlineHopeless
	// Unavailable means that no usable target is known.
	Unavailable
	// NotReady means that this process, or the target, can't take the request yet or
	// any more, for example because it has no configuration yet or is stopping.
	NotReady
	// Draining means that a target takes no new work.
	Draining
	// StaleFence means that an order has a stale fencing number.
	StaleFence
	// WrongVersion means that a target has not loaded the requested weight version.
	WrongVersion
	// Quarantined means that targets crashed while this request was running before.
	Quarantined
	// KeyRequired means that a non-idempotent call came without an Idempotency-Key.
	KeyRequired
	// KeyExpired means that an Idempotency-Key is older than the retention of keys; an
	// earlier call with it may have run.
	KeyExpired
	// KeyReused means that an Idempotency-Key was used before with other content.
	KeyReused
	// KeyBusy means that the request with this Idempotency-Key is still running.
	KeyBusy
	// LogUnavailable means that a claim could not be recorded, so nothing was run.
	LogUnavailable
	// OutcomeUnknown means that a non-idempotent request may have run and will not be run again.
	OutcomeUnknown
	// TargetLost means that a target crashed, was unreachable or became unresponsive, and
	// no retry succeeded.
	TargetLost
	// Timeout means that the deadline passed while the request was running.
	Timeout
	// Cancelled means that the caller cancelled the request or disconnected.
	Cancelled
	// ProtocolMismatch means that a peer uses another message version.
	ProtocolMismatch
	// BadMessage means that a peer sent a malformed or unexpected message.
	BadMessage
	// BadSettings means that a settings file or published tree is invalid.
	BadSettings
	// Conflict means that a change was based on a version that is no longer the newest.
	Conflict
	// TornCopy means that a stored copy is truncated, altered, missing or of another
	// context.
	TornCopy
	// StoreFull means that a store VM has no free space.
	StoreFull
	// Throttled means that a target takes no request now, by a limit that it names itself.
	Throttled
	// IntakeFull means that this process has no memory for the request, which was not read completely.
	IntakeFull
	// BodyTimeout means that the body of the request was not complete in time.
	BodyTimeout

	kinds int = iota
)

// Kinds returns all kinds in the order of their declaration.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}

	return all
}

// String returns the snake-case code of k, as used in responses and logs.
func (k Kind) String() string {
	return k.Response().Code
}
