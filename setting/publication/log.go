package publication

import (
	"context"
	"time"

	"boragehub/journal"
)

// Stream is the log stream that settings are published in.
const Stream = "settings"

// Log is the part of the log service that settings need; journal.Client has it.
type Log interface {
	// Append adds records and returns the offset of the first. After an error
	// the records may still be in the log, or come into it later.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns records from an offset on; it waits for the first of them.
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (journal.Batch, error)
}
