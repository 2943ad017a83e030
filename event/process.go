package event

// Events of every process.
var (
	ProcessStarted  = register(1000, "process_started", "A process is up and has its addresses.")
	ProcessStopping = register(1001, "process_stopping", "A process got SIGTERM or SIGINT and winds down.")
	ProcessStopped  = register(1002, "process_stopped", "A process ended in order.")
	ProcessFailed   = register(1003, "process_failed", "A process could not start or go on.")
	SettingsReread  = register(1004, "settings_reread", "The platform says that the settings file changed; addresses stay as they are until the next start.")
	PortClosed      = register(1005, "port_closed", "A stopping process closed its callers' port and connections: how many were opened without a request yet, busy, idle, and how many of the first and last had a request that arrived and was not served (pending). Busy and pending are zero unless the time to stop ran out.")
	VMListChanged   = register(1010, "vm_list_changed", "The platform's list of VMs has a new version.")
	VMListLost      = register(1011, "vm_list_lost", "The platform's list of VMs does not answer; the last one stays in use.")
)
