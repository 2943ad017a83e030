package event

// Events of the claims of non-idempotent requests.
var (
	ClaimHomeTaken       = register(1600, "claim_home_taken", "This process became the home of a shard of a plain service's keys; `basis` says why it might.")
	ClaimHomeLost        = register(1601, "claim_home_lost", "This process is no longer the home of a shard.")
	ClaimHomeReleased    = register(1602, "claim_home_released", "This process gave a shard back in order, all that it ran being written.")
	ClaimOutageBegan     = register(1603, "claim_outage_began", "The log gives no answer. A home goes on from its own memory where settings allow it, otherwise it refuses.")
	ClaimOutageEnded     = register(1604, "claim_outage_ended", "The log answers again and all that a shard's home ran meanwhile is written.")
	ClaimRefused         = register(1605, "claim_refused", "A request with an Idempotency-Key was refused; `kind` says why.")
	ClaimReplayed        = register(1606, "claim_replayed", "A repeated request got the recorded answer.")
	ClaimOutcomeUnknown  = register(1607, "claim_outcome_unknown", "A request may have run before and will not be run again.")
	ClaimUncertainWindow = register(1608, "claim_uncertain_window", "A shard was taken over from a home that may have run requests without writing them. Keys issued before `cut` and without a record are answered as unknown.")
	ClaimPaused          = register(1609, "claim_paused", "This process did not run for a while; it serves from its own memory only after it has read the log again.")
	ClaimDecided         = register(1610, "claim_decided", "A request with an Idempotency-Key may run; `log_less` says that the log does not hold its claim yet.")
)
