package route

import "time"

// settling is how long an import may run before it is judged.
const settling = 50 * time.Millisecond

// GiveUpImport reports whether an import that has run for elapsed, and of which
// a part between 0 and 1 has come, is given up for computing what is missing,
// which would take recompute. A link that slows down while an import runs would
// otherwise hold its caller for as long as the link likes, since the estimate
// that chose the import was made before. Where recomputing weighs more, callers
// wait longer.
func GiveUpImport(cfg Config, elapsed time.Duration, part float64, recompute time.Duration) bool {
	if elapsed < settling {
		return false
	}

	cfg = cfg.withDefaults()
	left := float64(elapsed)

	if part > 0 {
		left *= (1 - part) / part
	}

	return cfg.FirstTokenWeight*left > (cfg.FirstTokenWeight+cfg.RecomputedWeight)*float64(recompute)
}
