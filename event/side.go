package event

// Events of side processes.
var (
	TargetUp      = register(1200, "target_up", "A side process's target answers and is ready.")
	TargetDown    = register(1201, "target_down", "A side process's target does not answer.")
	TargetCrashed = register(1202, "target_crashed", "A target died while requests ran on it; their fingerprints go to the entries.")
	RunAdmitted   = register(1210, "run_admitted", "A run was admitted to the engine; the line tells what its context cost.")
	RunEnded      = register(1211, "run_ended", "A run ended; the line tells how.")
	RunRefused    = register(1212, "run_refused", "A run was refused before anything ran.")
	CallEnded     = register(1213, "call_ended", "A plain call ended; the line tells how.")
	CopyImported  = register(1220, "copy_imported", "A sealed copy was verified and given to the engine.")
	CopyRejected  = register(1221, "copy_rejected", "A copy was cut, altered, foreign or gone; the run goes on without it.")
	CopyParked    = register(1222, "copy_parked", "A context was exported and sealed in a store.")
	CopyNotParked = register(1223, "copy_not_parked", "A context was not exported; the line tells why.")
	EventsGap     = register(1230, "cache_events_gap", "The engine's cache events have a gap or a new boot; its list of blocks is read anew.")
	EventsLost    = register(1231, "cache_events_lost", "The engine's cache events can't be read; what it holds is a guess meanwhile.")
	DrainBegan    = register(1240, "drain_began", "A side process takes no new work and waits for what runs.")
	DrainEnded    = register(1241, "drain_ended", "A side process has nothing left to run, or its drain timeout passed.")
	ReportLost    = register(1250, "report_lost", "A report to an entry could not be delivered; what it told is learned again later.")
)
