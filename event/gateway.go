package event

// Events of the log topics that a process mirrors.
var (
	TopicLost        = register(2200, "topic_lost", "A topic of the log is unreachable; its last known records stay in force and other processes are polled.")
	TopicRegained    = register(2201, "topic_regained", "A topic of the log is reachable again; `after_ms` is the duration of the outage.")
	RecordUnreadable = register(2202, "record_unreadable", "A record of the log could not be decoded; the previous one stays in force: `topic`, `key`, `offset`.")
	ConfigInForce    = register(2203, "config_in_force", "A configuration is in force in this process: `version`, `offset`, `bytes`.")
	EntryRegistered  = register(2205, "entry_registered", "The log holds the address of this entry; the entry may fetch contexts for longer during an outage: `name`, `address`.")
	VersionNamed     = register(2204, "version_named", "A weight version was published: `model`, `version`, `offset`.")
)

// Events of the gateway: requests routed by host and path.
var (
	AttemptSent         = register(2300, "attempt_sent", "A request is sent to a target: `request_id`, `route`, `attempt`, `target`, `reason`, the candidates' figures and their age.")
	RequestServed       = register(2301, "request_served", "A request got its complete response: `request_id`, `route`, `target`, `status`, `first_ms`, `total_ms`, `attempts`.")
	RequestGivenUp      = register(2302, "request_given_up", "A request got an error from this entry: `request_id`, `route`, `kind`, `status`, `retry_after_ms`, `ran`, `attempts`.")
	AttemptFailed       = register(2303, "attempt_failed", "An attempt did not yield a complete response: `request_id`, `target`, `attempt`, `outcome`, `ran`, `retry_after_ms` (for how long the target wants nothing from this entry).")
	CallerLeft          = register(2304, "caller_left", "A caller closed its connection before the response was complete, or did not read it in time (`cause`); the target's work was cancelled.")
	StreamResumed       = register(2305, "stream_resumed", "A stream continues on another target: `request_id`, `target`, `after_id`.")
	RoomAwaited         = register(2306, "room_awaited", "A long prompt waited for an engine with free capacity: `request_id`, `waited_ms`, `waiting`.")
	TargetSilent        = register(2307, "target_silent", "A target sent nothing for over a second while others did; the attempts that wait for it are abandoned: `target`, `attempts`.")
	AttemptsOverdue     = register(2308, "attempts_overdue", "Requests still waited at engines with a superseded weight version when the time limit for starting there was near, and were withdrawn: `attempts`.")
	AttemptsLost        = register(2315, "attempts_lost", "A target restarted while requests waited for its responses, which will not arrive: `target`, `attempts`.")
	CrashSuspected      = register(2309, "crash_suspected", "Several requests were cut off at a target at once, or another entry reported it; they are suspects: `target`, `requests`, `basis`.")
	EngineListed        = register(2310, "engine_listed", "The register lists a new target, or a target with changed data: `target`, `address`, `service`, `draining`, `versions`.")
	DataCentreEvacuated = register(2319, "data_centre_evacuated", "Operators excluded the targets of a data centre from new work, or ended that: `data_centre`, `evacuated`, `known` (false if no data centre has that name).")
	EngineRestarted     = register(2314, "engine_restarted", "A target restarted under the same ID; the state known of it is dropped, and the attempts that wait for it are abandoned: `target`, `born`.")
	EngineDropped       = register(2311, "engine_dropped", "The register no longer lists a target; it gets no new work: `target`, `reason`.")
	EngineLoading       = register(2312, "engine_loading", "A target announced the load of a weight version; it gets no work until the load ends or its maximum duration has passed: `target`, `version`.")
	EngineVersion       = register(2313, "engine_version", "The weight version of a target changed: `target`, `version`, `basis`.")
	TargetRateLimit     = register(2321, "target_rate_limit", "A target named, changed or ended a limit on the requests a second that it takes from all entries together: `target`, `limit` (zero for none), `before`, `before_age_ms`, `basis` (where it was learned), `entries` that share it, `interval_ms` between two requests of this entry.")
	TargetLeaving       = register(2322, "target_leaving", "A target says that it is about to leave: `target`, `basis` (where it was learned), `listed_draining` (whether the register says so too).")
	TargetRetryAfter    = register(2323, "target_retry_after", "A target refused a request and wants no other one of this entry for a time: `target`, `retry_after_ms`, `until`.")
	RoomGranted         = register(2330, "room_granted", "A long prompt has a lease on the capacity of an engine: `request_id`, `target`, `claim`, the claim's `prefill_tokens`, `memory_tokens` and `max_backlog`, the engine's `backlog`, `occupied` memory and `leases` as known before, their age `backlog_age_ms`, that of the rest of the load report `pulse_age_ms`, and `wait_ms` until the reply.")
	RoomRefused         = register(2331, "room_refused", "A claim was denied, and the prompt is decided again without that engine: as 2330, with `reason` (`memory`, `slots` or `backlog`).")
	RoomUnanswered      = register(2332, "room_unanswered", "The process beside an engine did not reply to a claim, or is not asked after several claims without a reply: as 2330, with `sent` (whether the prompt is sent without a lease).")
	RoomReturned        = register(2333, "room_returned", "A lease was given back without a request having been sent: `request_id`, `target`, `claim`.")
	RoomExhausted       = register(2334, "room_exhausted", "Several engines in a row had no capacity for a prompt, which waits in the queue: `request_id`, `engines`.")
	ServiceContended    = register(2324, "service_contended", "A target of a service reported the slowdown of its host for the first time; from now on work is divided by the targets' slowdown and speed unless `setting` is off: `service`, `target`, `basis`, `setting` (of --contention).")
	TargetSlowdown      = register(2325, "target_slowdown", "A response reported a slowdown of its target's host that differs from the last one known by 10 points or more, or that has lasted; it is passed on to the process beside the target: `target`, `percent` (100 is usual), `before` (zero for none), `before_age_ms`, `basis`.")
	TargetSpeed         = register(2326, "target_speed", "The estimated time that prefill takes on a target changed by 10 points or more: `target`, `percent` of the service's usual time, `before`, `own_samples` (prompts of this entry behind it), `basis` (`load_report`: the estimate of all entries; `response`: of this one alone).")
	LinesLeftOut        = register(2320, "lines_left_out", "Log lines were dropped to bound their volume: `lines` since the last such line.")
)

// Events of a loader that loads a weight version into its engine.
var (
	TurnPlanned    = register(2400, "turn_planned", "This engine's rollout slot for a weight version: `model`, `version`, `rank`, `of`, `wait_ms`, `utilisation` (0 to 1, 0 when unknown or not used), `utilisation_age_ms`, `interval_ms`.")
	VersionOrdered = register(2401, "version_ordered", "An order was sent to the engine: `version`, `fence`, `expected`, `status`.")
	VersionLoaded  = register(2402, "version_loaded", "The engine has loaded a weight version: `version`, `after_ms`.")
	EngineSilent   = register(2403, "engine_silent", "The engine of this side process is unresponsive.")
	EngineAnswers  = register(2404, "engine_answers", "The engine of this side process responds again.")
	StandbyOrders  = register(2405, "standby_orders", "This entry orders a target without a loader to load a weight version: `target`, `model`, `version`, `has`, `slot`.")
	RoomDenied     = register(2410, "room_denied", "A claim of an entry on this engine's capacity was denied: `entry`, `claim`, `reason`, the claim's `prefill_tokens`, `memory_tokens`, `max_backlog` and `rank`, and the engine's `backlog`, memory `occupied` and of that `leased`, and `leases`. At most 20 lines a second with 2411 and 2412.")
	RoomExpired    = register(2411, "room_expired", "A lease ended without a message of its entry: `entry`, `claim`, `reason` (`deadline`, or `prefill_overdue` if only its share of the backlog ended), `age_ms`, `prefill_tokens`, `memory_tokens`.")
	RoomReleased   = register(2412, "room_released", "A lease ended because the engine reported twice that nothing runs or waits: as 2411.")
	StandbyUnheard = register(2406, "standby_unheard", "A target without a loader that is to load a weight version is unresponsive: `target`, `model`, `version`.")
)

// Events of context stores.
var (
	VaultLost     = register(2500, "vault_lost", "A context store is unreachable; nothing is fetched from it.")
	VaultRegained = register(2501, "vault_regained", "A context store is reachable: `vault`, `held`, `room`, `parts`.")
	VaultFreed    = register(2502, "vault_freed", "Stored parts of an old weight version were released: `vault`, `parts`, `tokens`, `model`, `before`.")
	VaultGap      = register(2503, "vault_gap", "A store's events have a gap or a new epoch; its list of parts is read again.")
)
