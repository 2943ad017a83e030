// Package journal is the client of the platform's append-only log service.
//
// # Model
//
// A stream is a sequence of records whose offsets increase by one from 1. The
// service keeps records for a limited time, has outages, and its responses can
// be lost. An append thus has three outcomes: its offset is known, it certainly
// was not appended and never will be (such as failure.LogUnavailable), or the
// outcome is unknown (failure.OutcomeUnknown).
//
// Each record is wrapped in an envelope with the ID of its Writer and a
// sequence number that increases by one for each record. A Reader drops a
// record whose number is not higher than the last one read from that writer. An
// append may thus be retried, take effect twice, or take effect long after its
// sender timed out: the record is still handled once, and a writer's records
// are handled in the order in which they were submitted.
//
// # Snapshots
//
// State that must outlive the retention of the service is written to the stream
// as a snapshot: the state that results from all records up to an offset. A
// Reader that starts late, or resumes after the records that it needs were
// trimmed, restores the newest snapshot that is still kept and reads on after
// the offset that it covers.
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
	// Offset is the position of the record in its stream; the first is 1.
	Offset uint64
	// At is when the service appended the record, by the service's clock.
	At time.Time
	// Data is the record's content: from a Log the encoded envelope, from a
	// Reader the data that was given to the Writer.
	Data []byte
}

// Batch is the result of a read.
type Batch struct {
	// First is the oldest offset that is still kept.
	First uint64
	// Next is the offset of the next record to be appended.
	Next uint64
	// Records are the records read, in order of their offsets.
	Records []Record
}

// Log is the interface of the log service. Client implements it over HTTP.
type Log interface {
	// Append appends records together and returns the offset of the first. After
	// an error of kind failure.OutcomeUnknown they may have been appended or may
	// still be; after any other error they were not and won't be.
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// Read returns up to maxRecords records, starting at offset from. If there is
	// none yet, it waits up to wait for one. A *TrimmedError reports that the
	// record at from is no longer kept.
	Read(ctx context.Context, stream string, from uint64, maxRecords int, wait time.Duration) (Batch, error)
}

// TrimmedError reports a read from an offset that the service no longer keeps.
type TrimmedError struct {
	// First is the oldest offset that is still kept.
	First uint64
}

// Error returns a message with the oldest offset that is kept.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}
