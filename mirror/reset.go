package mirror

import "time"

// When the log returns from a copy, a snapshot of the new era shows the state of some seconds ago, with
// what was written again since. Three rules keep a process from returning to that state:
//
//   - A record of the new era replaces one of an earlier era unless its revision shows that its content is
//     earlier.
//   - A key that is missing from the snapshot was lost or dropped. It is deleted after resetGrace, unless
//     TopicConfig.KeepLost is set.
//   - Until then, the process isn't certain to know the newest records (CertainAt), since one may be lost
//     that it never read.

// resetGrace is how long after a reset what was lost may take to be written again. Targets that are alive
// write within two seconds.
const resetGrace = 2200 * time.Millisecond

// resetState is what a Topic knows of the last reset.
type resetState struct {
	unsettled bool              // it was less than resetGrace ago
	settleAt  time.Time         // when it ends; zero until Settle was called
	certain   Moment            // Topic.Certain before the reset
	pending   map[string]Record // by key, tombstones that take effect then
}

// compareRevisions compares the content of a record with the key's latest content. Ok is false if one of
// them has no revision. The caller holds mu.
func (t *Topic) compareRevisions(r Record, old trackedRecord) (c int, ok bool) {
	if t.cfg.Revision == nil || r.Deleted() || old.latest.Deleted() {
		return 0, false
	}

	rev, ok := t.cfg.Revision(r)
	oldRev, oldOK := t.cfg.Revision(old.latest)

	return rev.Compare(oldRev), ok && oldOK
}

// supersedes reports whether a record of the present era replaces the key's present one. The caller holds
// mu.
func (t *Topic) supersedes(r Record) bool {
	old, known := t.records[r.Key]

	switch {
	case !known:
		return true
	case old.Era == r.Era:
		return r.Offset > old.Offset
	}

	delete(t.reset.pending, r.Key) // the log has the key, or has dropped it

	c, ok := t.compareRevisions(r, old)

	return !ok || c > 0 || (c == 0 && !old.Deleted())
}

// beginEra resets the topic to a snapshot of a later era and returns the changes. The caller holds mu.
func (t *Topic) beginEra(b Batch) []Record {
	t.reset = resetState{unsettled: true, certain: t.certain(), pending: make(map[string]Record)}
	t.era, t.end, t.completeFrom = b.Era, b.End, b.End

	for _, r := range t.records {
		t.expectAgain(r.Record)
	}

	return t.apply(b.Records)
}

// awaitLost begins the time after a reset with the first snapshot. The log may have returned from a copy
// just before it, unless the snapshot is that of a process which knows better. The caller holds mu.
func (t *Topic) awaitLost(b Batch) {
	if !b.Settled {
		t.reset = resetState{unsettled: true, pending: make(map[string]Record)}
	}
}

// expectAgain has a record of an earlier era deleted at the end of the time after a reset, unless its key is
// written again or is to be kept. The caller holds mu.
func (t *Topic) expectAgain(r Record) {
	if !t.cfg.KeepLost && !r.Deleted() {
		t.reset.pending[r.Key] = Record{Key: r.Key, Offset: t.end - 1, Era: t.era}
	}
}

// applyEarlier stores a record of another era, or of a part of a later one, if its content is certainly
// later than the key's present one. It returns the record if that is a change. The caller holds mu.
func (t *Topic) applyEarlier(r Record) []Record {
	if !t.isLater(r) {
		return nil
	}

	if t.reset.unsettled {
		t.expectAgain(r)
	}

	if !t.store(r) {
		return nil
	}

	return []Record{r}
}

// isLater reports whether the content of a record of another era is certainly later than the key's present
// one. The caller holds mu.
func (t *Topic) isLater(r Record) bool {
	if !t.cfg.KeepLost && !t.reset.unsettled && t.loaded {
		return false // the log would have it by now
	}

	old, known := t.records[r.Key]
	if !known {
		return true
	}

	c, ok := t.compareRevisions(r, old)

	return ok && c > 0
}

// Settle ends the time after a reset in which what was lost is expected to be written again, and returns
// the changes. Call it often.
func (t *Topic) Settle(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()

	switch {
	case !t.reset.unsettled:
		return nil
	case t.reset.settleAt.IsZero():
		t.reset.settleAt = now.Add(resetGrace)

		return nil
	case t.synced.Local.Before(t.reset.settleAt):
		return nil // what was written again may not have been read
	}

	var changes []Record

	for key, r := range t.reset.pending {
		if old, known := t.records[key]; known && old.Era < r.Era && t.store(r) {
			changes = append(changes, r)
		}
	}

	t.reset = resetState{}
	t.notify(changes)
	t.pruneTombstones()

	return changes
}

// CertainAt returns the latest time at which the topic is known to have held the newest records; zero if
// there is none. After a reset, it doesn't advance until the records that were lost are written again.
func (t *Topic) CertainAt() time.Time { return t.Certain().Local }

// Certain returns the moment of CertainAt on both clocks.
func (t *Topic) Certain() Moment {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.certain()
}

func (t *Topic) certain() Moment {
	if t.reset.unsettled {
		return t.reset.certain
	}

	return t.synced
}
