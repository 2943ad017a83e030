package event

// Events of entries.
var (
	RequestArrived  = register(1100, "request_arrived", "A caller's request was read and its organisation is known.")
	RequestAnswered = register(1101, "request_answered", "A request got its whole answer; the line tells what it cost.")
	RequestFailed   = register(1102, "request_failed", "A request got an error; `kind` names it, `retry_after_ms` when to come again.")
	AttemptEnded    = register(1103, "attempt_ended", "One attempt at a target ended: `vm`, `attempt`, `outcome`, `tokens`.")
	AnswerCrossed   = register(1104, "answer_crossed", "A target's token did not follow the one before; the attempt is given up, so that nothing is repeated or skipped.")
	ContextLocated  = register(1110, "context_located", "Who is said to hold a prompt's context, and how long asking its owner took.")
	OwnerSilent     = register(1111, "owner_silent", "The owner of a context did not answer in time; the request goes on without its knowledge.")
	PolicyChanged   = register(1121, "policy_changed", "A new version of the settings is in force in this process.")
)
