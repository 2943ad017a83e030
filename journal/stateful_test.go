package journal_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/journal"
	"boragehub/journal/memory"
)

const stream = "settings"

// scenario is a sequence of faults of the log, and the appends made meanwhile.
type scenario struct {
	faults         []memory.Faults
	faultDurations []time.Duration
	appends        []submission
}

// submission is one append by a writer, made after a pause.
type submission struct {
	writer  int
	after   time.Duration
	timeout time.Duration
}

// result is the outcome that the caller of an append got.
type result struct {
	text   string
	offset uint64
	err    error
}

// drawScenario draws a scenario.
func drawScenario(t *rapid.T) scenario {
	var s scenario

	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		n := uint64(rapid.IntRange(1, 3).Draw(t, "every"))
		affected := func(i uint64) bool { return i%n == 0 }
		late := rapid.SampledFrom([]time.Duration{
			300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, time.Minute,
		}).Draw(t, "late")

		delay := func(i uint64) time.Duration {
			if affected(i) {
				return late
			}

			return 0
		}

		s.faults = append(s.faults, rapid.SampledFrom([]memory.Faults{
			{}, {Down: true}, {Unresponsive: true}, {Delay: time.Second}, {Delay: 4 * time.Second}, {LoseResponse: affected},
			{DelayEffect: delay}, {DelayEffect: delay, Delay: time.Second},
		}).Draw(t, "fault"))
		s.faultDurations = append(s.faultDurations, time.Duration(rapid.IntRange(10, 20000).Draw(t, "length"))*time.Millisecond)
	}

	for range rapid.IntRange(1, 20).Draw(t, "appends") {
		s.appends = append(s.appends, submission{
			writer:  rapid.IntRange(0, 1).Draw(t, "writer"),
			after:   time.Duration(rapid.IntRange(1, 5000).Draw(t, "after")) * time.Millisecond,
			timeout: time.Duration(rapid.IntRange(1, 9000).Draw(t, "timeout")) * time.Millisecond,
		})
	}

	return s
}

// startReader starts a reader from the beginning of the stream and returns the
// records that it reads, which may be used once wg is done.
func startReader(ctx context.Context, wg *sync.WaitGroup, log journal.Log) *[]journal.Record {
	var (
		mu   sync.Mutex
		seen []journal.Record
	)

	r := journal.NewReader(journal.ReaderConfig{Log: log, Stream: stream, Handle: func(r journal.Record) {
		mu.Lock()
		defer mu.Unlock()

		seen = append(seen, r)
	}})

	wg.Go(func() { r.Run(ctx) })

	return &seen
}

// run runs the scenario. It returns the results of the appends, and the records
// read by two readers, one from the start of the run and one from its end.
func (s scenario) run(ctx context.Context) (results []result, early, late []journal.Record) {
	var (
		wg, calls sync.WaitGroup
		mu        sync.Mutex
	)

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	first := startReader(ctx, &wg, log)
	writers := []*journal.Writer{}

	for range 2 {
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		writers = append(writers, w)
		wg.Go(func() { w.Run(ctx) })
	}

	wg.Go(func() {
		for i, f := range s.faults {
			log.SetFaults(f)
			time.Sleep(s.faultDurations[i])
		}

		log.SetFaults(memory.Faults{})
	})

	for i, a := range s.appends {
		time.Sleep(a.after)
		calls.Go(func() {
			callCtx, cancelCall := context.WithTimeout(ctx, a.timeout)
			defer cancelCall()

			text := fmt.Sprintf("%d/%03d", a.writer, i)
			offset, err := writers[a.writer].Append(callCtx, []byte(text))

			mu.Lock()
			defer mu.Unlock()

			results = append(results, result{text: text, offset: offset, err: err})
		})
	}

	calls.Wait()
	time.Sleep(10 * time.Minute)

	last := startReader(ctx, &wg, log)

	time.Sleep(time.Minute)
	cancel()
	wg.Wait()

	return results, *first, *last
}

// checkRecords compares the results of the appends with the records that a
// reader read.
func checkRecords(results []result, seen []journal.Record) error {
	at := map[string]uint64{}
	order := map[string][]string{}

	for _, r := range seen {
		text := string(r.Data)
		if _, ok := at[text]; ok {
			return fmt.Errorf("record %s: read twice, want once", text)
		}

		at[text] = r.Offset
		writer := text[:strings.Index(text, "/")]
		order[writer] = append(order[writer], text)
	}

	for w, texts := range order {
		if !slices.IsSorted(texts) {
			return fmt.Errorf("writer %s: got records in order %v, want the order of submission", w, texts)
		}
	}

	for _, a := range results {
		offset, ok := at[a.text]
		kind := failure.KindOf(a.err)

		switch {
		case a.err == nil && !ok:
			return fmt.Errorf("record %s: got no record, want one at the returned offset %d", a.text, a.offset)
		case a.err == nil && offset != a.offset:
			return fmt.Errorf("record %s: got offset %d, want the returned offset %d", a.text, offset, a.offset)
		case a.err != nil && ok && kind != failure.OutcomeUnknown:
			return fmt.Errorf("record %s: got it at offset %d, want none after error %w", a.text, offset, a.err)
		}
	}

	return nil
}

// The log is down, slow or unresponsive, loses responses, or carries out an
// append long after its sender timed out. A writer that took "not found" for
// "not appended" and sent the record with a new sequence number would make the
// same change twice; one that reported "not appended" too early would be wrong
// about a change that still takes effect.
func TestAppendsUnderFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)

		var err error

		synctest.Test(t, func(t *testing.T) {
			results, early, late := s.run(t.Context())

			if err = checkRecords(results, early); err == nil {
				err = checkRecords(results, late)
			}

			if err == nil && len(early) != len(late) {
				err = fmt.Errorf("reader started late: got %d records, want %d as the early reader", len(late), len(early))
			}
		})

		if err != nil {
			rt.Fatal(err)
		}
	})
}
