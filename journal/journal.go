// Package journal is the client of the platform's append-only log service.
//
// # Model
//
// A stream is a sequence of records with offsets that rise by one from 1. The
// service keeps records for a limited time, goes away, and loses answers, so
// an append has three outcomes: its offset is known, it certainly was not
// appended and never will be (failure.LogUnavailable), or that is not known
// yet (failure.OutcomeUnknown).
//
// Each record travels in an envelope with the id of its Writer and a sequence
// number that rises by one for each record. Reading drops a record whose number
// is not higher than the last one seen from its writer. Thus an append may be
// sent again, may arrive twice or arrive long after its sender gave up, and
// still counts once, in the order in which its writer meant it.
//
// # Snapshots
//
// What must outlive the retention of the service is written again as a
// snapshot: the state that results from all records up to an offset. A Reader
// that starts late, or that comes back after the records it needs are gone,
// takes a snapshot that it finds among those kept and what follows it.
//
//	w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: "settings"})
//	go w.Run(ctx)
//	offset, err := w.Append(ctx, data)
package journal

import (
	"context"
	"fmt"
	"time"
)

// Record is one record of a stream.
type Record struct {
	// Offset is the place of the record in its stream; the first is 1.
	Offset uint64
	// At is when the service took the record, by the service's clock.
	At time.Time
	// Data is the record's content. From a Log it is the whole envelope, from a
	// Reader what was given to the Writer.
	Data []byte
}

// Batch is an answer to a read.
type Batch struct {
	// First is the oldest offset that is still kept.
	First uint64
	// Next is the offset that the next record will get.
	Next uint64
	// Records are the records read, in order.
	Records []Record
}

// Log is the log service. Client implements it over HTTP.
type Log interface {
	// Append appends records in one go and returns the offset of the first. An
	// error of kind failure.OutcomeUnknown says that they may have been or may
	// yet be appended; any other error says that they were not and won't be.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns at most most records from offset from on. With none there it
	// waits up to wait for one. A *TrimmedError says that from is no longer kept.
	Read(ctx context.Context, stream string, from uint64, most int, wait time.Duration) (Batch, error)
}

// TrimmedError says that an offset asked for is older than the service keeps.
type TrimmedError struct {
	// First is the oldest offset that is still kept.
	First uint64
}

// Error names the oldest offset kept.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}
