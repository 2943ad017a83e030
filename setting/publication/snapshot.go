package publication

import (
	"context"
	"time"

	"boragehub/event"
	"boragehub/failure"
)

// A snapshot is due after this many records or this time, whichever comes first.
const (
	snapshotRecordInterval = 1024
	snapshotInterval       = time.Hour
)

// SnapshotDue reports whether the version in force should be appended to the log
// again, before the log trims it.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	r := f.replica
	if !r.synced() || r.head.version == 0 {
		return false
	}

	// A snapshot in the older half of the records in the log will soon be trimmed.
	soonTrimmed := r.oldestOffset > 1 && r.snapshot < r.oldestOffset+(r.read-min(r.read, r.oldestOffset))/2

	return soonTrimmed || r.snapshot == 0 || r.read >= r.snapshot+snapshotRecordInterval || now.Sub(r.snapshotAt) >= snapshotInterval
}

// Snapshot appends the version in force to the log as a snapshot with a unique id.
// One process at a time does this, by lease; a second one does no harm. Errors:
// NotReady without a version or while records are missing; LogUnavailable.
func (f *Follower) Snapshot(ctx context.Context, id string) error {
	f.mu.Lock()
	h, read, synced := f.replica.head, f.replica.safeOffset(), f.replica.synced()
	f.mu.Unlock()

	if !synced || h.version == 0 {
		return failure.New(failure.NotReady, "there is no up-to-date version to write a snapshot of")
	}

	full := content{Full: compress(h.text), IsFull: true}
	rec := record{
		Kind: snapshotRecord, ID: id, Based: h.based, Author: h.author, Note: h.note, Hash: h.hash[:],
		Version: h.version, Read: read, AtMS: h.at.UnixMilli(),
	}

	var last uint64

	for _, part := range split(rec, encode(full), f.partBytes) {
		offset, err := f.cfg.Log.Append(ctx, Stream, [][]byte{part})
		if err != nil {
			return failure.Wrap(failure.LogUnavailable, err, "the snapshot of the settings could not be appended to the log")
		}

		last = offset
	}

	f.noteSnapshot(last)

	event.Log(f.cfg.Logger, event.SettingsSnapshot, "version", h.version, "read", read, "bytes", len(full.Full))

	return nil
}

// noteSnapshot records the offset of a snapshot that this process wrote. Otherwise
// a process that doesn't read the log itself would find one due at each check.
func (f *Follower) noteSnapshot(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if offset > f.replica.snapshot {
		f.replica.snapshot = offset
		f.replica.snapshotAt = f.cfg.Clock()
	}
}
