package publication

import (
	"bytes"
	"context"
	"errors"
	"time"

	"boragehub/failure"
	"boragehub/journal"
	"boragehub/setting"
)

// streamReader reads the stream from its start.
type streamReader struct {
	log     Log
	replica *replica
	// onDecision is called for each decision and onHead for each new head; both
	// may be nil.
	onDecision func(decision)
	onHead     func(head)
}

func newStreamReader(log Log) *streamReader {
	s := &streamReader{log: log, replica: newReplica()}
	s.replica.onDecision = func(d decision) {
		if s.onDecision != nil {
			s.onDecision(d)
		}
	}

	return s
}

// readToEnd reads to the end of the stream; each read waits up to wait for records.
func (s *streamReader) readToEnd(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := s.log.Read(ctx, Stream, s.replica.nextOffset(), maxReadRecords, wait)

		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > s.replica.nextOffset() {
			s.replica.markTrimmed(trimmed.First)

			continue
		}

		if err != nil {
			return failure.Wrap(failure.LogUnavailable, err, "cannot read the settings from the log")
		}

		s.replica.markTrimmed(batch.First)

		for _, rec := range batch.Records {
			s.process(rec)
		}

		if s.replica.nextOffset() >= batch.Next {
			return s.checkSynced()
		}
	}
}

func (s *streamReader) process(rec journal.Record) {
	before := s.replica.head.version

	s.replica.process(rec)

	if s.onHead != nil && s.replica.head.version > before {
		s.onHead(s.replica.head)
	}
}

// checkSynced returns an error if the version in force is unknown because records
// were trimmed.
func (s *streamReader) checkSynced() error {
	if s.replica.synced() {
		return nil
	}

	return failure.New(failure.Unavailable,
		"the log no longer keeps the settings in force; a running process must write a snapshot first")
}

// Entry describes one change in the history.
type Entry struct {
	// Offset is the offset in the log, and the version if the change was accepted.
	Offset uint64 `json:"offset"`
	// Accepted is true if the change came into force.
	Accepted bool `json:"accepted"`
	// Reason is "accepted", "conflict", "damaged" or "interrupted".
	Reason string `json:"reason"`
	// BaseVersion is the version that the change is based on.
	BaseVersion uint64 `json:"based"`
	// Author is the operator, and Note the description of the change.
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// At is when the log accepted the record.
	At time.Time `json:"at"`
	// ID is the unique id of the change.
	ID string `json:"id"`
}

// ReadHistory returns the version in force according to the log, and the newest
// changes, at most maxEntries of them, oldest first. The version is nil if nothing was
// published yet, and also if this release can't parse it, with an error.
func ReadHistory(ctx context.Context, log Log, maxEntries int) (*Published, []Entry, error) {
	var entries []Entry

	s := newStreamReader(log)
	s.onDecision = func(v decision) {
		entries = append(entries, Entry{
			v.offset, v.reason == accepted, v.reason.String(), v.based, v.author, v.note, v.at, v.id,
		})
		entries = entries[max(len(entries)-maxEntries, 0):]
	}

	if err := s.readToEnd(ctx, 0); err != nil {
		return nil, nil, err
	}

	newest := s.replica.head
	if newest.version == 0 {
		return nil, entries, nil
	}

	tree, err := setting.Parse("settings", newest.text)
	if err != nil {
		return nil, entries, err
	}

	return &Published{head: newest, tree: tree}, entries, nil
}

// CurrentText returns the version and text in force according to the log, even if this
// release can't parse the text; zero values if nothing was published yet.
func CurrentText(ctx context.Context, log Log) (uint64, []byte, error) {
	s := newStreamReader(log)
	if err := s.readToEnd(ctx, 0); err != nil {
		return 0, nil, err
	}

	return s.replica.head.version, s.replica.head.text, nil
}

// TextAt returns the text of an accepted version that the log still keeps. The
// error is a BadRequest if there is none.
func TextAt(ctx context.Context, log Log, version uint64) ([]byte, error) {
	var text []byte

	s := newStreamReader(log)
	s.onHead = func(at head) {
		if at.version == version {
			text = bytes.Clone(at.text)
		}
	}

	if err := s.readToEnd(ctx, 0); err != nil {
		return nil, err
	}

	if text == nil {
		return nil, failure.New(failure.BadRequest, "version %d was not accepted or is no longer kept", version)
	}

	return text, nil
}
