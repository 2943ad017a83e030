package claim

import (
	"time"

	"boragehub/failure"
)

// withoutClaims drops claims, which no longer count.
func withoutClaims(records []record) []record {
	kept := records[:0]

	for _, r := range records {
		if r.Kind != kindClaim {
			kept = append(kept, r)
		}
	}

	return kept
}

// Synced says that the process had read all that the log held at a time, and
// which was the oldest offset kept.
func (c *Coordinator) Synced(at time.Time, first uint64) {
	c.first = max(c.first, first)

	if at.After(c.synced) {
		c.synced = at
		c.behind = false
	}

	if at.After(c.frozen) {
		c.frozen = time.Time{}
	}
}

// watch notices that the process stood still.
//
// A process that was stopped and wakes in an outage of the log can't know
// whether the log was there meanwhile and told of another home. The wall clock
// is compared as well, since a suspended VM's monotonic clock stands still too.
func (c *Coordinator) watch(now time.Time) {
	if !c.ticked.IsZero() && (now.Sub(c.ticked) > c.cfg.MaxPause || now.Round(0).Sub(c.ticked.Round(0)) > c.cfg.MaxPause) {
		c.frozen, c.paused = now, now
	}

	c.ticked = now
}

// silent tells whether the log gives no answers.
func (c *Coordinator) silent(now time.Time) bool {
	if now.Sub(c.synced) > silence {
		return true
	}

	for len(c.unread) > 0 && (c.unread[0].read || c.local[c.unread[0].id] != c.unread[0]) {
		c.unread = c.unread[1:]
	}

	return len(c.unread) > 0 && now.Sub(c.unread[0].asked) >= c.cfg.Patience
}

// certain tells whether no other process can have become the home since this one
// last read the whole log.
//
// A process that finds no home in all that the log keeps becomes the home. So a
// home stays certain only while the log must still keep what tells of it.
func (c *Coordinator) certain(now time.Time) bool {
	asserted := time.UnixMilli(c.ledger.Holder().AssertedMS)
	limit := c.cfg.Retention - 2*time.Duration(c.ledger.skew)*time.Millisecond

	return c.frozen.IsZero() && !c.unlisted && !c.doubted(now) && now.Sub(asserted) < limit
}

// doubted tells whether the platform may have dropped the VM while the process
// stood still, and its list not have told so yet.
func (c *Coordinator) doubted(now time.Time) bool {
	return !c.paused.IsZero() && now.Sub(c.paused) < ListLag
}

// Observe takes account of the platform's list.
func (c *Coordinator) Observe(f Fleet) { c.unlisted = !f.Has(c.cfg.VM) }

// trusted tells whether the process may run before it has written.
func (c *Coordinator) trusted(now time.Time) bool { return !c.cfg.RefuseInOutage && c.certain(now) }

// refusal returns the answer while the log is silent. LogUnavailable says that
// the key did not run at all, which a process can't know that may have been
// succeeded meanwhile.
func (c *Coordinator) refusal(now time.Time) error {
	if c.certain(now) {
		return failure.New(failure.LogUnavailable, "the log does not answer").After(outageAfter)
	}

	return failure.New(failure.NotReady, "this process may no longer be the home of the key").After(outageAfter)
}
