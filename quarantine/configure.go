package quarantine

// Configure changes how many crashes refuse a request and how long they count,
// as when operators publish other settings. Zero fields stay as they are; the
// bounds of memory are not changed.
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
