package quarantine

// Configure changes how many crashes a request may be involved in and how long they
// count, as when operators publish new settings. Zero fields keep their value, and the
// memory bounds MaxCrashes and MaxRunning are not changed.
func (t *Tracker) Configure(cfg TrackerConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if cfg.CrashLimit > 0 {
		t.cfg.CrashLimit = cfg.CrashLimit
	}

	if cfg.Retention > 0 {
		t.cfg.Retention = cfg.Retention
	}
}
