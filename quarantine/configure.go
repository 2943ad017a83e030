package quarantine

// Configure changes how many crashes a request may be involved in and how long they
// count, as when operators publish new settings. Zero fields keep their value, and the
// memory bounds MaxCrashes and MaxRunning are not changed.
func (t *Tracker) Configure(cfg TrackerConfig) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if cfg.Crashes > 0 {
		t.cfg.Crashes = cfg.Crashes
	}

	if cfg.Memory > 0 {
		t.cfg.Memory = cfg.Memory
	}
}
