package event

// Events of claims for non-idempotent requests.
var (
	ClaimHomeTaken       = register(1600, "claim_home_taken", "This process became the owner of a shard of a plain service's keys; `basis` gives the reason.")
	ClaimHomeLost        = register(1601, "claim_home_lost", "This process is no longer the owner of a shard.")
	ClaimHomeReleased    = register(1602, "claim_home_released", "This process released a shard after all requests that it ran were recorded in the log.")
	ClaimOutageBegan     = register(1603, "claim_outage_began", "The log is unreachable. The owner of a shard continues from its own memory where the settings allow it, otherwise it refuses requests.")
	ClaimOutageEnded     = register(1604, "claim_outage_ended", "The log is reachable again and all requests that the owner of a shard ran in the meantime are recorded.")
	ClaimRefused         = register(1605, "claim_refused", "A request with an Idempotency-Key was refused; `kind` gives the reason.")
	ClaimReplayed        = register(1606, "claim_replayed", "A retry with an Idempotency-Key got the recorded response.")
	ClaimOutcomeUnknown  = register(1607, "claim_outcome_unknown", "A request may have run before and will not be run again.")
	ClaimUncertainWindow = register(1608, "claim_uncertain_window", "A shard was taken over from an owner that may have run requests without recording them. Requests whose key was issued before `cut` and has no record get an error that says that the outcome is unknown.")
	ClaimPaused          = register(1609, "claim_paused", "This process was paused; it serves from its own memory again only after it has read the log.")
	ClaimDecided         = register(1610, "claim_decided", "A request with an Idempotency-Key may run; `log_less` means that its claim is not in the log yet.")
)
