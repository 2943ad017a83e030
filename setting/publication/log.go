package publication

import (
	"context"
	"time"

	"boragehub/journal"
)

// Stream is the name of the log stream of settings.
const Stream = "settings"

// Log is the part of the log service that this package uses; *journal.Client
// implements it.
type Log interface {
	// Append adds records and returns the offset of the first. After an error the
	// records may be in the log all the same, or appear in it later.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to limit records from an offset onwards. If there are none
	// yet, it waits up to wait for the first.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (journal.Batch, error)
}
