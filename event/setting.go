package event

// Events of the settings.
var (
	SettingsInForce        = register(1400, "settings_in_force", "A published version of the settings is in force in this process.")
	SettingsRefused        = register(1401, "settings_refused", "A published change was not accepted: it was based on an older version or damaged. Its author is told.")
	SettingsNotUnderstood  = register(1402, "settings_not_understood", "The newest version can't be read by this release; the last one that could stays in force.")
	SettingsLogLost        = register(1403, "settings_log_lost", "The log with the settings can't be read; the version in force stays, peers are asked for newer ones.")
	SettingsLogBack        = register(1404, "settings_log_back", "The log with the settings can be read again.")
	SettingsTrimmed        = register(1405, "settings_trimmed", "The log no longer keeps what this process would read next; it looks for a snapshot or a peer's newer version.")
	SettingsDiverged       = register(1406, "settings_diverged", "A snapshot differs from what this process holds at the same version; compare both, and restart the process that is wrong.")
	SettingsSnapshot       = register(1407, "settings_snapshot", "The settings in force were written to the log again, before retention would pass them.")
	SettingsOfferRefused   = register(1408, "settings_offer_refused", "A peer handed on settings that are damaged; they were not taken.")
	SettingsSnapshotFailed = register(1409, "settings_snapshot_failed", "The settings in force could not be written to the log again; it is tried again.")
	CertificateReloaded    = register(1410, "certificate_reloaded", "Rotated keys were read and are used for new connections.")
	CertificateRefused     = register(1411, "certificate_refused", "Changed key files can't be used; the last good ones stay in use.")
)
