package quarantine

// CrashedTargets returns the VMs whose targets crashed while f ran there, in no order. A
// suspect is not sent to them: they may not have restarted, and without them all entries
// that merged the same reports choose its IsolationVM from the same VMs.
func (t *Tracker) CrashedTargets(f Fingerprint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var vms []string

	for _, k := range t.suspects[f] {
		if t.countsAgainst(f, k) {
			vms = append(vms, k.target)
		}
	}

	return vms
}
