package event

// Events of what an entry believes of targets.
var (
	TargetChanged     = register(1700, "target_changed", "A target's standing changed: `vm`, `reason` (said_draining, listed_leaving, listed_gone, listed_live, list_doubted, new_boot, ejected, restored, said_ready, said_loading), `until` for an ejection.")
	RequestSuspect    = register(1701, "request_suspect", "A target died while this request was running on it; it runs apart from other suspects until it completes: `fingerprint`, `vm`.")
	RequestQuarantine = register(1702, "request_quarantined", "A request was running on a second target that died and is refused from now on: `fingerprint`, `vm`, `crashes`.")
	RequestRepeated   = register(1703, "request_repeated", "An attempt failed and another one is made: `request_id`, `attempt`, `kind`, `vm`, `wait_ms`.")
	RepeatRefused     = register(1704, "repeat_refused", "An attempt failed and none is made: `request_id`, `attempt`, `kind`, `reason` (not_allowed, budget, attempts, deadline).")
)
