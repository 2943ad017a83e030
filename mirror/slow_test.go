package mirror

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/pause"
)

// slowLog is a log behind a slow link, whose bandwidth is shared by all reads.
type slowLog struct {
	bytesPerS int

	mu    sync.Mutex
	value []byte
	end   int64
	reads int // in flight
}

func (l *slowLog) put(value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.value, l.end = value, l.end+1
}

func (l *slowLog) Newest(context.Context, string) (Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Batch{Snapshot: true, End: l.end}, nil
}

// awaitChange returns the newest value as soon as there is a record at or after an offset, or
// when the wait has passed. It simulates a long poll of the log.
func (l *slowLog) awaitChange(ctx context.Context, from int64, wait time.Duration) (value []byte, end int64) {
	const step = 10 * time.Millisecond

	for waited := time.Duration(0); ; waited += step {
		l.mu.Lock()
		value, end = l.value, l.end
		l.mu.Unlock()

		if end != from || waited >= wait || !pause.For(ctx, step) {
			return value, end
		}
	}
}

func (l *slowLog) Read(ctx context.Context, _ string, from int64, wait time.Duration) (Batch, error) {
	const piece = 16 << 10

	value, end := l.awaitChange(ctx, from, wait)
	if end == from {
		return Batch{End: from}, ctx.Err()
	}

	for sent := 0; sent < len(value); sent += piece {
		l.mu.Lock()
		l.reads++
		n := l.reads
		l.mu.Unlock()

		on := pause.For(ctx, time.Duration(n*piece)*time.Second/time.Duration(l.bytesPerS))

		l.mu.Lock()
		l.reads--
		l.mu.Unlock()

		if !on {
			return Batch{}, ctx.Err()
		}

		pause.ReportProgress(ctx)
	}

	return Batch{Records: []Record{{Key: "config", Value: value, Offset: end - 1}}, End: end}, nil
}

// Guards against reads that are cancelled while a large response still arrives. A configuration
// with two thousand additional routes has 320 KB, which takes 2.5 s over a 10 Mbit/s link of which
// callers use nine tenths. If the read is cancelled earlier, it is repeated again and again and
// saturates the link. Callers then get 404 for added routes and 401 for added API keys.
func TestLargeConfigurationArrivesOverASmallLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLog{bytesPerS: 10_000_000 / 8 / 10}
		topic := &Topic{}
		f := NewFollower(FollowerConfig{
			Name: "t", Topic: topic, Source: l, Wait: 500 * time.Millisecond,
			OnChanges: func(time.Time, []Record) {}, Log: logr.Discard(),
		})

		ctx, cancel := context.WithCancel(t.Context())

		var running sync.WaitGroup

		running.Go(func() { f.Run(ctx) })
		time.Sleep(time.Second)
		l.put(bytes.Repeat([]byte("a route; "), 320_000/9))
		time.Sleep(3100 * time.Millisecond)

		if got := len(topic.Since(Position{}).Records); got != 1 {
			t.Errorf("got %d records after 3.1 s, want the configuration", got)
		}

		cancel()
		running.Wait()
	})
}
