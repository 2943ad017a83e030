// Package archive keeps quarantined parts of prompts in a topic of the log, so that entries know
// them that start when no other one runs.
//
// # Model
//
// A record's key is the part, its value the crashes that count against it. Each entry reads all
// records once, at its start; afterwards entries learn from each other. The entries that Config.Writes
// selects write a part when it is quarantined, and the one at which a response clears it drops the
// record.
package archive

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"

	"boragehub/event"
	"boragehub/mirror"
	"boragehub/pause"
	"boragehub/quarantine"
)

// Log is the log that holds the topic.
type Log interface {
	// Newest returns the newest record of every key of a topic.
	Newest(ctx context.Context, topic string) (mirror.Batch, error)
	// Append writes records atomically in one call.
	Append(ctx context.Context, topic string, records ...mirror.Record) error
}

// Config configures an Archive.
type Config struct {
	// Log and Topic are where the parts are kept.
	Log   Log
	Topic string
	// Parts holds the crashes.
	Parts *quarantine.PartTracker
	// Add is called with each crash that was read.
	Add func(now time.Time, c quarantine.Crash)
	// Writes reports whether this process writes a part that is quarantined.
	Writes func(part string) bool
	// Logger gets a line for each part that is read or written.
	Logger logr.Logger
}

// Archive reads and writes quarantined parts. Use New. Run must be running.
type Archive struct {
	cfg  Config
	wake chan struct{} // holds a value while there is something to write

	mu      sync.Mutex
	known   map[string]struct{} // quarantined parts: they are in the log, or one of the entries writes them
	pending map[string]struct{} // parts to write, or to drop if no crash counts against them
}

const (
	// callTimeout bounds each call to the log, retryPause is the pause after one that failed.
	callTimeout = time.Second
	retryPause  = time.Second
	// maxKeyLength is the maximum length of a key in bytes. A longer part is not kept.
	maxKeyLength = 255
)

// crash is a crash as it is kept.
type crash struct {
	_ struct{} `cbor:",toarray"`
	// Target and Boot are as in quarantine.Crash.
	Target, Boot string
	// AtMs is when it was detected, in ms since the Unix epoch.
	AtMs int64
}

// New returns an Archive with nothing read.
func New(cfg Config) *Archive {
	return &Archive{cfg: cfg, wake: make(chan struct{}, 1), known: make(map[string]struct{}), pending: make(map[string]struct{})}
}

// PartQuarantined has a part written, if it isn't known to be. It doesn't block.
func (a *Archive) PartQuarantined(part string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if _, ok := a.known[part]; ok || len(part) > maxKeyLength {
		return
	}

	a.known[part] = struct{}{}

	if a.cfg.Writes(part) {
		a.write(part)
	}
}

// PartsCleared has the records of parts dropped that a response has cleared. It doesn't block.
func (a *Archive) PartsCleared(parts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, p := range parts {
		if _, ok := a.known[p]; ok {
			delete(a.known, p)
			a.write(p)
		}
	}
}

// PartsDropped records that another entry drops the records of parts, as a response there has cleared them.
func (a *Archive) PartsDropped(parts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, p := range parts {
		delete(a.known, p)
	}
}

// write has a part written. The caller holds mu.
func (a *Archive) write(part string) {
	a.pending[part] = struct{}{}

	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads all parts, and then writes those that change, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	for ctx.Err() == nil && a.read(ctx) != nil {
		pause.For(ctx, retryPause)
	}

	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}

		for ctx.Err() == nil && a.writePending(ctx, time.Now()) != nil {
			pause.For(ctx, retryPause)
		}
	}
}

// read reads all parts once.
func (a *Archive) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	b, err := a.cfg.Log.Newest(ctx, a.cfg.Topic)
	if err != nil {
		return err
	}

	for _, r := range b.Records {
		var all []crash
		if err := cbor.Unmarshal(r.Value, &all); err != nil {
			event.Fail(a.cfg.Logger, err, event.RecordUnreadable, "topic", a.cfg.Topic, "key", r.Key, "offset", r.Offset)

			continue
		}

		a.mu.Lock()
		a.known[r.Key] = struct{}{}
		a.mu.Unlock()

		for _, c := range all {
			a.cfg.Add(time.Now(), quarantine.Crash{Target: c.Target, Boot: c.Boot, At: time.UnixMilli(c.AtMs), Parts: []string{r.Key}})
		}

		event.Log(a.cfg.Logger, event.PartRead, "part", r.Key, "crashes", len(all))
	}

	return nil
}

// writePending writes the parts that have changed.
func (a *Archive) writePending(ctx context.Context, now time.Time) error {
	a.mu.Lock()

	var records []mirror.Record

	for p := range a.pending {
		records = append(records, a.record(now, p))
	}

	clear(a.pending)
	a.mu.Unlock()

	if len(records) == 0 {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	err := a.cfg.Log.Append(ctx, a.cfg.Topic, records...)
	if err == nil {
		for _, r := range records {
			event.Log(a.cfg.Logger, event.PartWritten, "part", r.Key, "dropped", r.Deleted())
		}

		return nil
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	for _, r := range records {
		a.pending[r.Key] = struct{}{}
	}

	return err
}

// record returns the record of a part: one that drops its key if no crash counts against it.
func (a *Archive) record(now time.Time, part string) mirror.Record {
	var all []crash

	for _, c := range a.cfg.Parts.CrashesOf(now, part) {
		all = append(all, crash{Target: c.Target, Boot: c.Boot, AtMs: c.At.UnixMilli()})
	}

	r := mirror.Record{Key: part}

	if len(all) > 0 {
		value, err := cbor.Marshal(all)
		if err != nil {
			panic(err) // structs of strings and numbers can be encoded
		}

		r.Value = value
	}

	return r
}
