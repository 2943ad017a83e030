package publication

import (
	"context"
	"time"

	"boragehub/event"
	"boragehub/failure"
)

// Snapshots are written after so many records or so long, whichever comes first.
const (
	snapshotRecords = 1024
	snapshotAge     = time.Hour
)

// SnapshotDue says whether what is in force should be written to the log again,
// before retention passes it.
func (f *Follower) SnapshotDue(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	r := f.replica
	if !r.synced() || r.head.version == 0 {
		return false
	}

	// In the older half of what the log keeps, it would soon be forgotten.
	old := r.kept > 1 && r.snapshot < r.kept+(r.read-min(r.read, r.kept))/2

	return old || r.snapshot == 0 || r.read >= r.snapshot+snapshotRecords || now.Sub(r.snapshotAt) >= snapshotAge
}

// Snapshot writes what is in force to the log again. One process at a time does
// this, by lease; a second one does no harm.
func (f *Follower) Snapshot(ctx context.Context, id string) error {
	f.mu.Lock()
	h, read, synced := f.replica.head, f.replica.sure(), f.replica.synced()
	f.mu.Unlock()

	if !synced || h.version == 0 {
		return failure.New(failure.NotReady, "there is no version to write")
	}

	whole := content{Full: deflate(h.text), Whole: true}
	one := record{
		Kind: snapshotRecord, ID: id, Based: h.based, Author: h.author, Note: h.note, Hash: h.hash[:],
		Version: h.version, Read: read, AtMS: h.at.UnixMilli(),
	}

	var last uint64

	for _, part := range split(one, encode(whole), f.partBytes) {
		offset, err := f.cfg.Log.Append(ctx, Stream, [][]byte{part})
		if err != nil {
			return failure.Wrap(failure.LogUnavailable, err, "the settings could not be written to the log again")
		}

		last = offset
	}

	f.noteSnapshot(last)

	event.Log(f.cfg.Logger, event.SettingsSnapshot, "version", h.version, "read", read, "bytes", len(whole.Full))

	return nil
}

// noteSnapshot remembers a snapshot of its own. A process that doesn't read the
// log itself would otherwise write one each time it is asked.
func (f *Follower) noteSnapshot(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if offset > f.replica.snapshot {
		f.replica.snapshot = offset
		f.replica.snapshotAt = f.cfg.Clock()
	}
}
