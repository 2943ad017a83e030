// Package notice keeps the crashes that targets died of in a stream of the log,
// so that every entry knows them, also one that starts later.
//
// A crash is told on three ways, since a caller that sends its request again may
// reach any entry within a second: on the conversation itself, by the side
// process to all entries, and in the log, which lasts.
package notice

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/journal"
	"boragehub/quarantine"
)

// Stream is the log's stream of crashes.
const Stream = "crashes"

// Config says what a Feed reads and whom it tells.
type Config struct {
	// Log is the log service.
	Log journal.Log
	// Heard is called with each crash in the log, in order; nil reads nothing.
	Heard func(quarantine.Crash)
	// Logger takes the events.
	Logger logr.Logger
}

// Feed posts crashes and reads those of others. Run is its duty.
type Feed struct {
	cfg    Config
	writer *journal.Writer
	reader *journal.Reader
}

// New returns a Feed.
func New(cfg Config) *Feed {
	b := &Feed{cfg: cfg, writer: journal.NewWriter(journal.WriterConfig{Log: cfg.Log, Stream: Stream, Logger: cfg.Logger})}

	if cfg.Heard != nil {
		b.reader = journal.NewReader(journal.ReaderConfig{Log: cfg.Log, Stream: Stream, Handle: b.handle, Logger: cfg.Logger})
	}

	return b
}

// Post puts a crash on its way to the log and does not wait for it: the log may
// be out, and the crash has been told on the other ways.
func (b *Feed) Post(c quarantine.Crash) {
	data, err := cbor.Marshal(c)
	if err == nil {
		_, err = b.writer.Submit(data)
	}

	if err != nil {
		event.Fail(b.cfg.Logger, err, event.CrashNotPosted, "vm", c.Target)
	}
}

// Run writes and reads until ctx ends.
func (b *Feed) Run(ctx context.Context) {
	var all sync.WaitGroup

	all.Go(func() { b.writer.Run(ctx) })

	if b.reader != nil {
		all.Go(func() { b.reader.Run(ctx) })
	}

	all.Wait()
}

func (b *Feed) handle(r journal.Record) {
	var c quarantine.Crash

	if err := cbor.Unmarshal(r.Data, &c); err != nil {
		event.Fail(b.cfg.Logger, failure.Wrap(failure.BadMessage, err, "a crash in the log can't be read"), event.CrashNotPosted, "offset", r.Offset)

		return
	}

	b.cfg.Heard(c)
}
