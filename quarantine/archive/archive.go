// Package archive keeps quarantined requests and parts of prompts in a topic of the log, so that entries
// know them that start when no other one runs.
//
// # Model
//
// A record's key is the part, or "request/" and a request's fingerprint in hexadecimal; its value the
// crashes that count against it. Each entry reads all records once, at its start; afterwards entries learn
// from each other. The entries that Config.Writes selects write a record when a part or a request is
// quarantined, and the one at which a response clears it drops the record. Records of crashes that no longer
// count are dropped at the next start.
package archive

import (
	"context"
	"encoding/hex"
	"errors"
	"strings"
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
	// Requests and Parts hold the crashes.
	Requests *quarantine.Tracker
	Parts    *quarantine.PartTracker
	// Add is called with each crash that was read.
	Add func(now time.Time, c quarantine.Crash)
	// Writes reports whether this process writes the record with a key.
	Writes func(key string) bool
	// Logger gets a line for each record that is read or written.
	Logger logr.Logger
}

// Archive reads and writes what is quarantined. Use New. Run must be running.
type Archive struct {
	cfg  Config
	wake chan struct{} // holds a value while there is something to write

	mu      sync.Mutex
	known   map[string]struct{} // keys of what is quarantined: in the log, or one of the entries writes them
	pending map[string]struct{} // keys to write, or to drop if no crash counts
}

const (
	// callTimeout bounds each call to the log, retryPause is the pause after one that failed.
	callTimeout = time.Second
	retryPause  = time.Second
	// maxKeyLength is the maximum length of a key in bytes. A longer part is not kept.
	maxKeyLength = 255
	// requestPrefix begins the key of a request. No part of a prompt has such an id.
	requestPrefix = "request/"
)

// requestKey returns the key of a request.
func requestKey(f quarantine.Fingerprint) string { return requestPrefix + f.String() }

// parseKey returns the request or the part that a key is of.
func parseKey(key string) (f quarantine.Fingerprint, part string, err error) {
	text, ok := strings.CutPrefix(key, requestPrefix)
	if !ok {
		return f, key, nil
	}

	b, err := hex.DecodeString(text)
	if err == nil && len(b) != len(f) {
		err = errKeyLength
	}

	copy(f[:], b)

	return f, "", err
}

// errKeyLength is the error of a request's key with another length than a fingerprint.
var errKeyLength = errors.New("the key has no fingerprint")

// keysOf returns the keys of what responses have cleared.
func keysOf(all []quarantine.Acquittal) []string {
	keys := make([]string, len(all))

	for i, a := range all {
		if keys[i] = a.Part; a.Part == "" {
			keys[i] = requestKey(a.Request)
		}
	}

	return keys
}

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
func (a *Archive) PartQuarantined(part string) { a.quarantined(part) }

// RequestQuarantined has a request written, if it isn't known to be. It doesn't block.
func (a *Archive) RequestQuarantined(f quarantine.Fingerprint) { a.quarantined(requestKey(f)) }

func (a *Archive) quarantined(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if _, ok := a.known[key]; ok || len(key) > maxKeyLength {
		return
	}

	a.known[key] = struct{}{}

	if a.cfg.Writes(key) {
		a.write(key)
	}
}

// Cleared has the records dropped of what responses have cleared. It doesn't block.
func (a *Archive) Cleared(all []quarantine.Acquittal) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, key := range keysOf(all) {
		if _, ok := a.known[key]; ok {
			delete(a.known, key)
			a.write(key)
		}
	}
}

// Dropped records that another entry drops the records of what responses there have cleared.
func (a *Archive) Dropped(all []quarantine.Acquittal) {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, key := range keysOf(all) {
		delete(a.known, key)
	}
}

// write has the record with a key written. The caller holds mu.
func (a *Archive) write(key string) {
	a.pending[key] = struct{}{}

	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Run reads all records, and then writes those that change, until ctx ends.
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

// read reads all records once.
func (a *Archive) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	b, err := a.cfg.Log.Newest(ctx, a.cfg.Topic)
	if err != nil {
		return err
	}

	for _, r := range b.Records {
		f, part, err := parseKey(r.Key)

		var all []crash
		if err == nil {
			err = cbor.Unmarshal(r.Value, &all)
		}

		if err != nil {
			event.Fail(a.cfg.Logger, err, event.RecordUnreadable, "topic", a.cfg.Topic, "key", r.Key, "offset", r.Offset)

			continue
		}

		a.add(time.Now(), r.Key, f, part, all)
	}

	return nil
}

// add adds the crashes of a record.
func (a *Archive) add(now time.Time, key string, f quarantine.Fingerprint, part string, all []crash) {
	for _, x := range all {
		c := quarantine.Crash{Target: x.Target, Boot: x.Boot, At: time.UnixMilli(x.AtMs)}

		if part != "" {
			c.Parts = []string{part}
		} else {
			c.Running = []quarantine.Fingerprint{f}
		}

		a.cfg.Add(now, c)
	}

	a.mu.Lock()
	defer a.mu.Unlock()

	if left := a.crashes(now, key); len(left) > 0 {
		a.known[key] = struct{}{}
	} else if a.cfg.Writes(key) {
		a.write(key) // they no longer count
	}

	event.Log(a.cfg.Logger, event.PartRead, "part", key, "crashes", len(all))
}

// crashes returns the crashes that count against what a key is of.
func (a *Archive) crashes(now time.Time, key string) []quarantine.Crash {
	f, part, err := parseKey(key)

	switch {
	case err != nil:
		return nil
	case part != "":
		return a.cfg.Parts.CrashesOf(now, part)
	default:
		return a.cfg.Requests.CrashesOf(now, f)
	}
}

// writePending writes the records that have changed.
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

// record returns the record with a key: one that drops the key if no crash counts.
func (a *Archive) record(now time.Time, key string) mirror.Record {
	var all []crash

	for _, c := range a.crashes(now, key) {
		all = append(all, crash{Target: c.Target, Boot: c.Boot, AtMs: c.At.UnixMilli()})
	}

	r := mirror.Record{Key: key}

	if len(all) > 0 {
		value, err := cbor.Marshal(all)
		if err != nil {
			panic(err) // structs of strings and numbers can be encoded
		}

		r.Value = value
	}

	return r
}
