package claim

import (
	"time"

	"boragehub/failure"
)

// withoutClaims removes claims, which no longer count once another process is
// the owner.
func withoutClaims(records []record) []record {
	kept := records[:0]

	for _, r := range records {
		if r.Kind != kindClaim {
			kept = append(kept, r)
		}
	}

	return kept
}

// Synced records that at time at the process had read all records of the log,
// and that oldestOffset was the oldest offset kept.
func (c *Coordinator) Synced(at time.Time, oldestOffset uint64) {
	c.oldestOffset = max(c.oldestOffset, oldestOffset)

	if at.After(c.syncedAt) {
		c.syncedAt = at
		c.behind = false
	}

	if at.After(c.unsyncedPause) {
		c.unsyncedPause = time.Time{}
	}
}

// detectPause detects that the process was paused.
//
// A process that resumes from a pause during an outage of the log can't know
// whether the log was available meanwhile and holds a record of another owner.
// The wall clock is compared as well, since the monotonic clock of a suspended
// VM stops too.
func (c *Coordinator) detectPause(now time.Time) {
	if !c.lastTick.IsZero() && (now.Sub(c.lastTick) > c.cfg.MaxPause || now.Round(0).Sub(c.lastTick.Round(0)) > c.cfg.MaxPause) {
		c.unsyncedPause, c.lastPause = now, now
	}

	c.lastTick = now
}

// logUnresponsive reports whether reads or appends of the log have had no
// response for too long.
func (c *Coordinator) logUnresponsive(now time.Time) bool {
	if now.Sub(c.syncedAt) > logTimeout {
		return true
	}

	for len(c.unread) > 0 && (c.unread[0].readBack || c.pending[c.unread[0].keyID] != c.unread[0]) {
		c.unread = c.unread[1:]
	}

	return len(c.unread) > 0 && now.Sub(c.unread[0].claimedAt) >= c.cfg.ReadBackTimeout
}

// certainlyOwner reports whether no other process can have become the owner
// since this one last read the log to its end.
//
// A process that finds no owner in the kept part of the log becomes the owner.
// An owner is therefore certain only while the log must still keep the record
// that shows its ownership.
func (c *Coordinator) certainlyOwner(now time.Time) bool {
	confirmed := time.UnixMilli(c.state.Owner().ConfirmedMS)
	limit := c.cfg.LogRetention - 2*time.Duration(c.state.clockSkew)*time.Millisecond

	return c.unsyncedPause.IsZero() && !c.unlisted && !c.possiblyUnlisted(now) && now.Sub(confirmed) < limit
}

// possiblyUnlisted reports whether the platform may have removed the VM during
// a pause, while its list may not show that yet.
func (c *Coordinator) possiblyUnlisted(now time.Time) bool {
	return !c.lastPause.IsZero() && now.Sub(c.lastPause) < MaxListLag
}

// SetVMList sets the newest list of the platform.
func (c *Coordinator) SetVMList(f VMList) { c.unlisted = !f.Has(c.cfg.VM) }

// mayRunUnlogged reports whether the process may run requests before their
// claims are written.
func (c *Coordinator) mayRunUnlogged(now time.Time) bool {
	return !c.cfg.RefuseInOutage && c.certainlyOwner(now)
}

// outageError returns the error for a request while the log is unresponsive.
// LogUnavailable states that the key has not run at all, which a process that
// may no longer be the owner can't know.
func (c *Coordinator) outageError(now time.Time) error {
	if c.certainlyOwner(now) {
		return failure.New(failure.LogUnavailable, "the log does not respond").WithRetryAfter(outageRetryAfter)
	}

	return failure.New(failure.NotReady, "this process may no longer own the shard of the key").WithRetryAfter(outageRetryAfter)
}
