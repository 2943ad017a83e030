// Package notice keeps the crash reports of targets in a stream of the log, so that every
// entry gets them, also one that starts later.
//
// A crash is reported in three ways, since a caller that retries its request may reach any
// entry within a second: on the request's own stream, by the side process to all entries,
// and in the log, which is durable.
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

// Stream is the name of the log's stream of crashes.
const Stream = "crashes"

// Config configures a Feed.
type Config struct {
	// Log is the log service.
	Log journal.Log
	// OnCrash is called with each crash in the log, in order; if nil, the log is not read.
	OnCrash func(quarantine.Crash)
	// Logger receives the events.
	Logger logr.Logger
}

// Feed appends crashes to the log and reads those that other processes appended. Run must
// be running for either.
type Feed struct {
	cfg    Config
	writer *journal.Writer
	reader *journal.Reader
}

// New returns a Feed; call Run to start it.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, writer: journal.NewWriter(journal.WriterConfig{Log: cfg.Log, Stream: Stream, Logger: cfg.Logger})}

	if cfg.OnCrash != nil {
		f.reader = journal.NewReader(journal.ReaderConfig{Log: cfg.Log, Stream: Stream, Handle: f.handle, Logger: cfg.Logger})
	}

	return f
}

// Post queues a crash for the log and does not wait until it is written: the log may be
// unavailable, and the crash is also reported in the other ways.
func (f *Feed) Post(c quarantine.Crash) {
	data, err := cbor.Marshal(c)
	if err == nil {
		_, err = f.writer.Submit(data)
	}

	if err != nil {
		event.Fail(f.cfg.Logger, err, event.CrashNotPosted, "vm", c.Target)
	}
}

// Run writes queued crashes and reads the log until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	var all sync.WaitGroup

	all.Go(func() { f.writer.Run(ctx) })

	if f.reader != nil {
		all.Go(func() { f.reader.Run(ctx) })
	}

	all.Wait()
}

func (f *Feed) handle(r journal.Record) {
	var c quarantine.Crash

	if err := cbor.Unmarshal(r.Data, &c); err != nil {
		event.Fail(f.cfg.Logger, failure.Wrap(failure.BadMessage, err, "crash record in the log can't be decoded"), event.CrashNotPosted, "offset", r.Offset)

		return
	}

	f.cfg.OnCrash(c)
}
