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
	RequestServed       = register(2301, "request_served", "A request got its complete response: `request_id`, `route`, `target`, `status`, `first_ms`, `total_ms`, `attempts`, `target_ms` (its latency target, 0 for none).")
	RequestGivenUp      = register(2302, "request_given_up", "A request got an error from this entry: `request_id`, `route`, `kind`, `status`, `retry_after_ms`, `ran`, `attempts`.")
	AttemptFailed       = register(2303, "attempt_failed", "An attempt did not yield a complete response: `request_id`, `target`, `attempt`, `outcome`, `ran`, `retry_after_ms` (for how long the target wants nothing from this entry).")
	CallerLeft          = register(2304, "caller_left", "A caller closed its connection before the response was complete; the target's work was cancelled.")
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
	PromptQueued        = register(2340, "prompt_queued", "A prompt of a contended service waits for an engine: `request_id`, `route`, `rank`, `organisation`, `in_use` (tokens of memory of that organisation's prompts in flight), `tokens` that it takes, `short`, `late` (its first event can't be on time), `started`, `cause`, `ahead` and `waiting` (prompts), `per_second` (admissions, 0 while unknown), `rate_age_ms`, `target_left_ms` (time within which it has to be sent to be on time), `due_ms` (time within which it has to be sent).")
	PromptAdmitted      = register(2341, "prompt_admitted", "A prompt that waited is sent: `request_id`, `waited_ms`, `ahead` (prompts before it when it came), `overtaken` (prompts behind it that were sent before it), `reserved`, `late`, `waiting`, `per_second`, `rate_age_ms`.")
	PromptRefused       = register(2342, "prompt_refused", "A prompt of a contended service is refused without having run: `request_id`, `reason` (full, expected_wait, half_time, expired, stopping), `waited_ms`, `ahead`, `waiting`, `expected_wait_ms`, `per_second`, `rate_age_ms`, `due_ms` (time left to send it), `deadline_ms`, `retry_after_ms`, `cause` (what kept it from being sent).")
	PromptReserved      = register(2343, "prompt_reserved", "A prompt was overtaken for a quarter of its latency target; until it is sent, no other long prompt of its rank or a worse one is: `request_id`, `rank`, `waited_ms`, `overtaken`, `tokens`, `waiting`.")
	PromptWithdrawn     = register(2344, "prompt_withdrawn", "A prompt left the queue without a decision about it: `request_id`, `waited_ms`, `ahead`, `overtaken`, `cause` (its caller left, or no engine is available at all).")
	LinesLeftOut        = register(2320, "lines_left_out", "Log lines were dropped to bound their volume: `lines` since the last such line.")
)

// Events of a loader that loads a weight version into its engine.
var (
	TurnPlanned    = register(2400, "turn_planned", "This engine's rollout slot for a weight version: `model`, `version`, `rank`, `of`, `wait_ms`.")
	VersionOrdered = register(2401, "version_ordered", "An order was sent to the engine: `version`, `fence`, `expected`, `status`.")
	VersionLoaded  = register(2402, "version_loaded", "The engine has loaded a weight version: `version`, `after_ms`.")
	EngineSilent   = register(2403, "engine_silent", "The engine of this side process is unresponsive.")
	EngineAnswers  = register(2404, "engine_answers", "The engine of this side process responds again.")
	StandbyOrders  = register(2405, "standby_orders", "This entry orders a target without a loader to load a weight version: `target`, `model`, `version`, `has`, `slot`.")
	StandbyUnheard = register(2406, "standby_unheard", "A target without a loader that is to load a weight version is unresponsive: `target`, `model`, `version`.")
)

// Events of context stores.
var (
	VaultLost     = register(2500, "vault_lost", "A context store is unreachable; nothing is fetched from it.")
	VaultRegained = register(2501, "vault_regained", "A context store is reachable: `vault`, `held`, `room`, `parts`.")
	VaultFreed    = register(2502, "vault_freed", "Stored parts of an old weight version were released: `vault`, `parts`, `tokens`, `model`, `before`.")
	VaultGap      = register(2503, "vault_gap", "A store's events have a gap or a new epoch; its list of parts is read again.")
)
