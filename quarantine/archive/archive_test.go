package archive

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"boragehub/mirror"
	"boragehub/quarantine"
)

var errDown = errors.New("the log is down")

// testLog is a log with one topic.
type testLog struct {
	mu      sync.Mutex
	down    bool
	records map[string][]byte
	appends int
}

func (l *testLog) Newest(context.Context, string) (mirror.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return mirror.Batch{}, errDown
	}

	var b mirror.Batch
	for k, v := range l.records {
		b.Records = append(b.Records, mirror.Record{Key: k, Value: v})
	}

	return b, nil
}

func (l *testLog) Append(_ context.Context, _ string, records ...mirror.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.down {
		return errDown
	}

	l.appends++

	for _, r := range records {
		if r.Deleted() {
			delete(l.records, r.Key)
		} else {
			l.records[r.Key] = r.Value
		}
	}

	return nil
}

func (l *testLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.down = down
}

// testEntry is an entry with an archive.
type testEntry struct {
	requests *quarantine.Tracker
	parts    *quarantine.PartTracker
	archive  *Archive
}

func (e *testEntry) crash(now time.Time, c quarantine.Crash) {
	for _, f := range e.requests.RecordKnownCrash(now, c) {
		e.archive.RequestQuarantined(f)
	}

	for _, p := range e.parts.RecordCrash(now, c) {
		e.archive.PartQuarantined(p)
	}
}

func startEntry(ctx context.Context, l *testLog, writes bool) *testEntry {
	e := &testEntry{requests: quarantine.NewTracker(quarantine.TrackerConfig{CrashLimit: 3}), parts: quarantine.NewPartTracker(quarantine.PartTrackerConfig{})}
	e.archive = New(Config{Log: l, Topic: "t", Requests: e.requests, Parts: e.parts, Add: e.crash, Writes: func(string) bool { return writes }, Logger: logr.Discard()})

	go e.archive.Run(ctx)

	return e
}

// Guards against a part that crashes engines again after all entries have lost power at once, and against one that
// is refused again although a response has cleared it. The log is down at times.
func TestQuarantinedPartsOutliveAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &testLog{records: make(map[string][]byte)}
		ctx, kill := context.WithCancel(t.Context())
		writer, other := startEntry(ctx, l, true), startEntry(ctx, l, false)

		synctest.Wait()
		l.setDown(true)

		for i, id := range []string{"t1", "t2", "t3"} {
			at := time.Now().Add(time.Duration(i-3) * 300 * time.Millisecond)
			c := quarantine.Crash{Target: id, Boot: id, At: at, Parts: []string{"bad", "sound"}}
			writer.crash(time.Now(), c)
			other.crash(time.Now(), c)
		}

		time.Sleep(10 * time.Second)
		l.setDown(false)
		time.Sleep(2 * retryPause)
		kill()
		synctest.Wait()

		if got, want := l.appends, 1; got != want {
			t.Errorf("got %d appends, want %d", got, want)
		}

		ctx, kill = context.WithCancel(t.Context())
		started := startEntry(ctx, l, true)

		synctest.Wait()

		for _, p := range []string{"bad", "sound"} {
			if got, want := started.parts.Check(time.Now(), []string{p}).Status, quarantine.Quarantined; got != want {
				t.Errorf("%s: got %v after all entries have started again, want %v", p, got, want)
			}
		}

		l.setDown(true)
		started.parts.RecordCompletion(time.Now(), []string{"sound"})
		started.archive.Cleared([]quarantine.Acquittal{{Part: "sound", At: time.Now()}})
		time.Sleep(10 * time.Second)
		l.setDown(false)
		time.Sleep(2 * retryPause)
		kill()
		synctest.Wait()

		started = startEntry(t.Context(), l, true)

		synctest.Wait()

		for p, want := range map[string]quarantine.Status{"bad": quarantine.Quarantined, "sound": quarantine.Clear} {
			if got := started.parts.Check(time.Now(), []string{p}).Status; got != want {
				t.Errorf("%s: got %v once a response has cleared the sound part, want %v", p, got, want)
			}
		}
	})
}

// Guards against a request that crashes engines again after all entries have lost power at once, against one that is
// refused again although a response has cleared it, and against records that stay when their crashes no longer count.
func TestQuarantinedRequestsOutliveAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &testLog{records: map[string][]byte{"request/00": {0x80}, "request/of another build": {0x80}}}
		bad, sound := quarantine.FingerprintOf("ferry", []byte("bad")), quarantine.FingerprintOf("ferry", []byte("sound"))
		ctx, kill := context.WithCancel(t.Context())
		e := startEntry(ctx, l, true)

		synctest.Wait()

		for _, id := range []string{"t1", "t2", "t3"} {
			time.Sleep(time.Second)
			e.crash(time.Now(), quarantine.Crash{Target: id, Boot: id, At: time.Now(), Running: []quarantine.Fingerprint{bad, sound}})
		}

		synctest.Wait()
		kill()
		synctest.Wait()

		ctx, kill = context.WithCancel(t.Context())
		e = startEntry(ctx, l, true)

		synctest.Wait()

		for _, f := range []quarantine.Fingerprint{bad, sound} {
			if got, _ := e.requests.Check(time.Now(), f); got != quarantine.Quarantined {
				t.Errorf("%v: got %v after all entries have started again, want quarantined", f, got)
			}
		}

		time.Sleep(time.Second)
		e.requests.RecordCompletion(time.Now(), sound)
		e.archive.Cleared([]quarantine.Acquittal{{Request: sound, At: time.Now()}})
		synctest.Wait()
		kill()
		synctest.Wait()

		ctx, kill = context.WithCancel(t.Context())
		e = startEntry(ctx, l, true)

		synctest.Wait()

		for f, want := range map[quarantine.Fingerprint]quarantine.Status{bad: quarantine.Quarantined, sound: quarantine.Clear} {
			if got, _ := e.requests.Check(time.Now(), f); got != want {
				t.Errorf("%v: got %v once a response has cleared the sound one, want %v", f, got, want)
			}
		}

		kill()
		time.Sleep(25 * time.Hour)
		startEntry(t.Context(), l, true)
		synctest.Wait()

		// What can't be read is left alone.
		if got, want := len(l.records), 2; got != want {
			t.Errorf("got %d records a day later, want %d", got, want)
		}
	})
}

// Guards against a part that was freed by a response at another entry, crashes engines again, and isn't kept.
func TestPartThatIsQuarantinedAgainIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &testLog{records: make(map[string][]byte)}
		e := startEntry(t.Context(), l, true)
		quarantinePart := func(targets ...string) {
			for _, id := range targets {
				time.Sleep(time.Second)
				e.crash(time.Now(), quarantine.Crash{Target: id, Boot: id, At: time.Now(), Parts: []string{"p"}})
			}

			synctest.Wait()
		}

		quarantinePart("t1", "t2", "t3")

		e.parts.RecordCompletion(time.Now(), []string{"p"})
		e.archive.Dropped([]quarantine.Acquittal{{Part: "p", At: time.Now()}})
		delete(l.records, "p") // by the other entry
		time.Sleep(10 * time.Second)

		quarantinePart("t4", "t5", "t6")

		if _, ok := l.records["p"]; !ok {
			t.Error("got no record of a part that is quarantined again")
		}
	})
}
