package route

import "time"

// minImportTime is how long an import runs before its progress is judged.
const minImportTime = 50 * time.Millisecond

// GiveUpImport reports whether to abandon an import and compute the missing tokens
// instead. elapsed is how long the import has run, fraction between 0 and 1 how much
// of it has arrived, and recompute the time that computing the missing tokens takes.
// The import was chosen by an estimate made before it began; without this check a
// link that slows down during the import would delay the caller without limit. A
// higher RecomputedWeight makes callers wait longer for the import.
func GiveUpImport(cfg Config, elapsed time.Duration, fraction float64, recompute time.Duration) bool {
	if elapsed < minImportTime {
		return false
	}

	cfg = cfg.withDefaults()
	remaining := float64(elapsed)

	if fraction > 0 {
		remaining *= (1 - fraction) / fraction
	}

	return cfg.FirstTokenWeight*remaining > (cfg.FirstTokenWeight+cfg.RecomputedWeight)*float64(recompute)
}
