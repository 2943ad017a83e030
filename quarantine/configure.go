package quarantine

// Configure changes how many crashes refuse a request and how long they count,
// as when operators publish other settings. Zero fields stay as they are; the
// bounds of memory are not changed.
func (w *Ward) Configure(cfg WardConfig) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if cfg.Crashes > 0 {
		w.cfg.Crashes = cfg.Crashes
	}

	if cfg.Memory > 0 {
		w.cfg.Memory = cfg.Memory
	}
}
