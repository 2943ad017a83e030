package event

// Events of every process.
var (
	ProcessStarted  = register(1000, "process_started", "A process has started and listens on its addresses.")
	ProcessStopping = register(1001, "process_stopping", "A process got SIGTERM or SIGINT and is shutting down.")
	ProcessStopped  = register(1002, "process_stopped", "A process shut down gracefully.")
	ProcessFailed   = register(1003, "process_failed", "A process could not start or continue.")
	ProcessStalled  = register(1006, "process_stalled", "This process did not run for a while: `gap_ms` on its monotonic clock, which stands still while its VM is suspended, and `wall_ms` on the wall clock.")
	SettingsReread  = register(1004, "settings_reread", "The platform reported a change of the settings file; addresses stay as they are until the next start.")
	PortClosed      = register(1005, "port_closed", "A stopping process closed its callers' port and connections: the numbers of connections opened without a request yet, busy, idle, and of opened and idle ones with a request that arrived and was not served (pending). Busy and pending are zero unless the shutdown timeout expired.")
	VMListChanged   = register(1010, "vm_list_changed", "The platform's list of VMs has a new version.")
	VMUnreadable    = register(1012, "vm_unreadable", "VMs of the platform's list could not be decoded and were left out: `version` of the list, `vms` (their number); the error is that of the first one.")
	VMListLost      = register(1011, "vm_list_lost", "The platform's list of VMs is unreachable; the last one stays in use.")
)
