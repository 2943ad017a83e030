package event

// Events of the settings.
var (
	SettingsInForce        = register(1400, "settings_in_force", "A published version of the settings is in force in this process.")
	SettingsRefused        = register(1401, "settings_refused", "A published change was rejected: it was based on an older version or damaged. Its author gets an error.")
	SettingsNotUnderstood  = register(1402, "settings_not_understood", "This release can't decode the newest version of the settings; the last one that it could decode stays in force.")
	SettingsLogLost        = register(1403, "settings_log_lost", "The log with the settings can't be read; the version in force stays and peers are polled for newer ones.")
	SettingsLogBack        = register(1404, "settings_log_back", "The log with the settings can be read again.")
	SettingsTrimmed        = register(1405, "settings_trimmed", "The log has trimmed the records that this process would read next; it looks for a snapshot or a peer's newer version.")
	SettingsDiverged       = register(1406, "settings_diverged", "A snapshot differs from what this process holds at the same version; compare both, and restart the process that is wrong.")
	SettingsSnapshot       = register(1407, "settings_snapshot", "A snapshot of the settings in force was written to the log before retention would trim them.")
	SettingsOfferRefused   = register(1408, "settings_offer_refused", "A peer passed on damaged settings; they were rejected.")
	SettingsSnapshotFailed = register(1409, "settings_snapshot_failed", "A snapshot of the settings in force could not be written to the log; it is retried.")
	CertificateReloaded    = register(1410, "certificate_reloaded", "Rotated keys were loaded and are used for new connections.")
	CertificateRefused     = register(1411, "certificate_refused", "Changed key files can't be used; the last valid ones stay in use.")
)
