package quarantine

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Digest returns a hash of what Crashes returns, apart from times.
func (t *Tracker) Digest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.expire(now)

	if t.digestValid {
		return t.digest
	}

	t.digest, t.digestValid = 0, true

	for _, k := range t.byTime {
		h := xxh3.HashString(k.target + "\x00" + k.boot)
		for _, f := range k.running {
			if t.countsAgainst(f, k) {
				t.digest += xxh3.HashSeed(f[:], h)
			}
		}
	}

	return t.digest
}
