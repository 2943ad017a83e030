package event

// Events of entries.
var (
	RequestArrived  = register(1100, "request_arrived", "A caller's request was read and its organisation is known.")
	RequestAnswered = register(1101, "request_answered", "A request got its complete response; the fields give what it cost.")
	RequestFailed   = register(1102, "request_failed", "A request got an error; `kind` is the kind of error, `retry_after_ms` the time after which the caller may retry.")
	AttemptEnded    = register(1103, "attempt_ended", "One attempt at a target ended: `vm`, `attempt`, `outcome`, `tokens`.")
	AnswerCrossed   = register(1104, "answer_crossed", "A token from a target had another index than the next one expected; the attempt is abandoned, so that no token is repeated or skipped.")
	ContextLocated  = register(1110, "context_located", "The engines and stores reported to hold a prompt's context, and the duration of the query to its owner.")
	OwnerSilent     = register(1111, "owner_silent", "The owner of a context did not respond in time; the request continues without its information.")
	PolicyChanged   = register(1121, "policy_changed", "A new version of the settings is in force in this process.")
)
