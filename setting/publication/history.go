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

// history reads the stream from its start.
type history struct {
	log     Log
	replica *replica
	// seen and advanced are called for each verdict and each new head.
	seen     func(verdict)
	advanced func(head)
}

func newHistory(log Log) *history {
	h := &history{log: log, replica: newReplica()}
	h.replica.decided = func(v verdict) {
		if h.seen != nil {
			h.seen(v)
		}
	}

	return h
}

// catchUp reads to the end of the stream; the last read waits for more.
func (h *history) catchUp(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := h.log.Read(ctx, Stream, h.replica.from(), mostRecords, wait)

		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > h.replica.from() {
			h.replica.trimmed(trimmed.First)

			continue
		}

		if err != nil {
			return failure.Wrap(failure.LogUnavailable, err, "the settings can't be read from the log")
		}

		h.replica.trimmed(batch.First)

		for _, rec := range batch.Records {
			h.feed(rec)
		}

		if h.replica.from() >= batch.Next {
			return h.check()
		}
	}
}

func (h *history) feed(rec journal.Record) {
	before := h.replica.head.version

	h.replica.feed(rec)

	if h.advanced != nil && h.replica.head.version > before {
		h.advanced(h.replica.head)
	}
}

// check refuses to go on without knowing what is in force.
func (h *history) check() error {
	if h.replica.synced() {
		return nil
	}

	return failure.New(failure.Unavailable,
		"the log no longer keeps the settings in force; a running process has to write them again first")
}

// Entry is one line of the history of changes.
type Entry struct {
	// Offset is the place in the log, and the version of an accepted change.
	Offset uint64 `json:"offset"`
	// Accepted says whether the change came into force.
	Accepted bool `json:"accepted"`
	// Reason is "accepted" or why it didn't.
	Reason string `json:"reason"`
	// Based is the version that the change was made from.
	Based uint64 `json:"based"`
	// Author and Note are the operator's.
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// At is when the log took the change in.
	At time.Time `json:"at"`
	// ID is the change's unique id.
	ID string `json:"id"`
}

// Read returns what is in force by the log, and the newest most changes,
// oldest first. The version is nil when nothing was published yet.
func Read(ctx context.Context, log Log, most int) (*Published, []Entry, error) {
	var entries []Entry

	h := newHistory(log)
	h.seen = func(v verdict) {
		entries = append(entries, Entry{
			v.offset, v.reason == accepted, v.reason.String(), v.based, v.author, v.note, v.at, v.id,
		})
		entries = entries[max(len(entries)-most, 0):]
	}

	if err := h.catchUp(ctx, 0); err != nil {
		return nil, nil, err
	}

	newest := h.replica.head
	if newest.version == 0 {
		return nil, entries, nil
	}

	tree, err := setting.Parse("settings", newest.text)
	if err != nil {
		return nil, entries, err
	}

	return &Published{head: newest, tree: tree}, entries, nil
}

// Text returns the version and text in force by the log, also when this release
// can't read it; zero when nothing was published yet.
func Text(ctx context.Context, log Log) (uint64, []byte, error) {
	h := newHistory(log)
	if err := h.catchUp(ctx, 0); err != nil {
		return 0, nil, err
	}

	return h.replica.head.version, h.replica.head.text, nil
}

// TextAt returns the text of an accepted version that the log still keeps.
func TextAt(ctx context.Context, log Log, version uint64) ([]byte, error) {
	var text []byte

	h := newHistory(log)
	h.advanced = func(at head) {
		if at.version == version {
			text = bytes.Clone(at.text)
		}
	}

	if err := h.catchUp(ctx, 0); err != nil {
		return nil, err
	}

	if text == nil {
		return nil, failure.New(failure.BadRequest, "version %d was not accepted or is no longer kept", version)
	}

	return text, nil
}
