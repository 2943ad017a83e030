package exchange

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"boragehub/event"
)

// LeaseName is the lease of the one process that writes the settings again.
const LeaseName = "settings"

// snapshotEvery is how often the holder looks whether a snapshot is due.
const snapshotEvery = 30 * time.Second

// Fence tells whether this process holds the lease; *lease.Keeper is one.
type Fence interface {
	Fence(now time.Time) (uint64, bool)
}

// Snapshots writes the settings in force again; *publication.Follower does.
type Snapshots interface {
	SnapshotDue(now time.Time) bool
	Snapshot(ctx context.Context, id string) error
}

// Snapshotter writes the settings in force into the log again before the log
// forgets the changes that led to them: a process that starts later could
// otherwise never learn them. Run is its duty.
type Snapshotter struct {
	// Lease says whether this process does it.
	Lease Fence
	// Settings writes the snapshot.
	Settings Snapshots
	// Log takes the events.
	Log logr.Logger
}

// Run looks from time to time whether a snapshot is due, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(snapshotEvery)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			s.look(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Snapshotter) look(ctx context.Context, now time.Time) {
	if _, holds := s.Lease.Fence(now); !holds || !s.Settings.SnapshotDue(now) {
		return
	}

	if err := s.Settings.Snapshot(ctx, uuid.NewString()); err != nil {
		event.Fail(s.Log, err, event.SettingsSnapshotFailed)
	}
}
