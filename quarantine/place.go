package quarantine

// Places returns the VMs that died while f ran there, in no order. A suspect is
// kept from them: they may not be up again, and entries that merged the same
// reports then choose its Home among the same VMs.
func (t *Tracker) Places(f Fingerprint) []string {
	t.mu.Lock()
	defer t.mu.Unlock()

	var vms []string

	for _, k := range t.suspects[f] {
		if t.counts(f, k) {
			vms = append(vms, k.target)
		}
	}

	return vms
}
