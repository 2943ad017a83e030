package event

// Events of an entry's view of the targets.
var (
	TargetChanged      = register(1700, "target_changed", "The state of a target changed: `vm`, `reason` (said_draining, listed_leaving, listed_gone, listed_live, list_doubted, new_boot, ejected, restored, said_ready, said_loading), `until` for an ejection.")
	TargetSignals      = register(1705, "target_signals", "A target changed what it asks of its callers: `rate_limit` in requests a second of all entries together (zero for none), `leaving`, `retry_after_ms` of a refusal; for a target without a side process also `vm` and the `entries` that share the limit.")
	TargetThrottled    = register(1706, "target_throttled", "A target, or its side process for it, refused a request because of a limit that the target stated; it gets no other one until then: `vm`, `retry_after_ms`.")
	RequestSuspect     = register(1701, "request_suspect", "A target crashed while this request was running on it; the request runs isolated from other suspects until it completes: `fingerprint`, `vm`.")
	RequestQuarantined = register(1702, "request_quarantined", "A request was running on as many crashing targets as the settings allow and is refused from now on: `fingerprint`, `vm`.")
	RequestRepeated    = register(1703, "request_repeated", "An attempt failed and another one is made: `request_id`, `attempt`, `kind`, and `wait_ms` (backoff) or `left_ms` (time to the deadline); `budget_used` and `budget`: the repeats that this entry counts in the window of the service's retry budget, this one included, and how many are allowed there.")
	RepeatRefused      = register(1704, "repeat_refused", "An attempt failed and no other is made: `request_id`, `attempt`, `kind`, `reason` (not_allowed, budget, quarantined, suspect); `budget_used` and `budget` as in `request_repeated`.")
)
