package event

// Events of the client of the log service.
var (
	JournalUnreachable     = register(1300, "journal_unreachable", "A stream of the log can't be read; the reader goes on trying. The field `behind` says since when.")
	JournalReached         = register(1301, "journal_reached", "A stream of the log can be read again after an outage.")
	JournalTrimmed         = register(1302, "journal_trimmed", "Records that a reader still needed are no longer kept; it looks for a snapshot.")
	JournalRestored        = register(1303, "journal_restored", "A reader took a snapshot and goes on with what follows it.")
	JournalGap             = register(1304, "journal_gap", "Records were lost and no snapshot covers them. State that they held is gone; see what its owner says about it.")
	JournalBadRecord       = register(1305, "journal_bad_record", "A record of a stream can't be understood and is passed over.")
	JournalAppendUnknown   = register(1306, "journal_append_unknown", "The answer to an append was lost; the writer reads on to find out.")
	JournalAppendResolved  = register(1307, "journal_append_resolved", "It is known what became of an append whose answer was lost.")
	JournalSnapshotWritten = register(1308, "journal_snapshot_written", "State was written again before the log forgets it.")
	JournalSnapshotFailed  = register(1309, "journal_snapshot_failed", "A snapshot could not be written; it is tried again.")
	LeaseTaken             = register(1310, "lease_taken", "This process took a lease; `fence` is its fencing number.")
	LeaseLost              = register(1311, "lease_lost", "This process stopped acting on a lease, as it could not renew it in time or another holds it.")
)
