package exchange

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"boragehub/event"
)

// LeaseName is the name of the lease that the snapshot writer holds.
const LeaseName = "settings"

// snapshotCheckInterval is the time between checks whether a snapshot is due.
const snapshotCheckInterval = 30 * time.Second

// Lease reports whether this process holds the lease; *lease.Keeper implements it.
type Lease interface {
	Fence(now time.Time) (uint64, bool)
}

// SnapshotWriter writes snapshots of the settings in force; *publication.Follower
// implements it.
type SnapshotWriter interface {
	SnapshotDue(now time.Time) bool
	Snapshot(ctx context.Context, id string) error
}

// Snapshotter appends snapshots of the settings in force to the log before the log
// trims the changes that led to them. Otherwise a process that starts later could
// never learn the settings.
type Snapshotter struct {
	// Lease decides whether this process writes the snapshots.
	Lease Lease
	// Settings writes the snapshots.
	Settings SnapshotWriter
	// Log receives the events.
	Log logr.Logger
}

// Run writes a snapshot whenever one is due and the lease is held, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(snapshotCheckInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
			s.writeIfDue(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *Snapshotter) writeIfDue(ctx context.Context, now time.Time) {
	if _, holds := s.Lease.Fence(now); !holds || !s.Settings.SnapshotDue(now) {
		return
	}

	if err := s.Settings.Snapshot(ctx, uuid.NewString()); err != nil {
		event.Fail(s.Log, err, event.SettingsSnapshotFailed)
	}
}
