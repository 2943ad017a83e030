package event

// Events of the log service's client.
var (
	JournalUnreachable     = register(1300, "journal_unreachable", "A stream of the log can't be read; the reader keeps retrying. `behind` is the time since the reader was last known to be at the end of the stream, or since its start.")
	JournalReached         = register(1301, "journal_reached", "A stream of the log can be read again after an outage.")
	JournalTrimmed         = register(1302, "journal_trimmed", "Records that a reader still needed were trimmed; it looks for a snapshot.")
	JournalRestored        = register(1303, "journal_restored", "A reader restored a snapshot and continues with the records after it.")
	JournalGap             = register(1304, "journal_gap", "Records were lost and no snapshot covers them. The state that they held is lost; see the events of its owner.")
	JournalBadRecord       = register(1305, "journal_bad_record", "A record of a stream could not be decoded and was skipped.")
	JournalAppendUnknown   = register(1306, "journal_append_unknown", "The response to an append was lost; the writer reads the stream to find out whether the append succeeded.")
	JournalAppendResolved  = register(1307, "journal_append_resolved", "The outcome of an append whose response was lost is known.")
	JournalSnapshotWritten = register(1308, "journal_snapshot_written", "A snapshot of the state was written before the log trims the records.")
	JournalSnapshotFailed  = register(1309, "journal_snapshot_failed", "A snapshot could not be written; it is retried.")
	LeaseTaken             = register(1310, "lease_taken", "This process acquired a lease; `fence` is its fencing number.")
	LeaseLost              = register(1311, "lease_lost", "This process stopped acting under a lease, because it could not renew it in time or another process holds it.")
)
