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

// script is what happens to the log, and what is appended meanwhile.
type script struct {
	faults  []memory.Faults
	lengths []time.Duration
	appends []submission
}

// submission is one append of a writer.
type submission struct {
	writer  int
	after   time.Duration
	timeout time.Duration
}

// answer is what the caller of an append got.
type answer struct {
	text   string
	offset uint64
	err    error
}

// drawScript draws faults and appends.
func drawScript(t *rapid.T) script {
	var s script

	for range rapid.IntRange(1, 8).Draw(t, "faults") {
		n := uint64(rapid.IntRange(1, 3).Draw(t, "every"))
		some := func(i uint64) bool { return i%n == 0 }
		late := rapid.SampledFrom([]time.Duration{
			300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, time.Minute,
		}).Draw(t, "late")

		slow := func(i uint64) time.Duration {
			if some(i) {
				return late
			}

			return 0
		}

		s.faults = append(s.faults, rapid.SampledFrom([]memory.Faults{
			{}, {Down: true}, {Silent: true}, {Delay: time.Second}, {Delay: 4 * time.Second}, {Lose: some},
			{Late: slow}, {Late: slow, Delay: time.Second},
		}).Draw(t, "fault"))
		s.lengths = append(s.lengths, time.Duration(rapid.IntRange(10, 20000).Draw(t, "length"))*time.Millisecond)
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

// follow reads the stream from its beginning into what it returns.
func follow(ctx context.Context, wg *sync.WaitGroup, log journal.Log) *[]journal.Record {
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

// play carries out a script and returns what callers got and what two readers,
// one there from the start and one that comes at the end, have read.
func (s script) play(ctx context.Context) (answers []answer, early, late []journal.Record) {
	var (
		wg, calls sync.WaitGroup
		mu        sync.Mutex
	)

	ctx, cancel := context.WithCancel(ctx)
	log := memory.New()
	first := follow(ctx, &wg, log)
	writers := []*journal.Writer{}

	for range 2 {
		w := journal.NewWriter(journal.WriterConfig{Log: log, Stream: stream})
		writers = append(writers, w)
		wg.Go(func() { w.Run(ctx) })
	}

	wg.Go(func() {
		for i, f := range s.faults {
			log.Set(f)
			time.Sleep(s.lengths[i])
		}

		log.Set(memory.Faults{})
	})

	for i, a := range s.appends {
		time.Sleep(a.after)
		calls.Go(func() {
			limit, done := context.WithTimeout(ctx, a.timeout)
			defer done()

			text := fmt.Sprintf("%d/%03d", a.writer, i)
			offset, err := writers[a.writer].Append(limit, []byte(text))

			mu.Lock()
			defer mu.Unlock()

			answers = append(answers, answer{text: text, offset: offset, err: err})
		})
	}

	calls.Wait()
	time.Sleep(10 * time.Minute)

	last := follow(ctx, &wg, log)

	time.Sleep(time.Minute)
	cancel()
	wg.Wait()

	return answers, *first, *last
}

// check compares what callers were told with what readers saw.
func check(answers []answer, seen []journal.Record) error {
	at := map[string]uint64{}
	order := map[string][]string{}

	for _, r := range seen {
		text := string(r.Data)
		if _, ok := at[text]; ok {
			return fmt.Errorf("record %s: got it twice, want once", text)
		}

		at[text] = r.Offset
		writer := text[:strings.Index(text, "/")]
		order[writer] = append(order[writer], text)
	}

	for w, texts := range order {
		if !slices.IsSorted(texts) {
			return fmt.Errorf("writer %s: got the order %v, want that of submission", w, texts)
		}
	}

	for _, a := range answers {
		offset, ok := at[a.text]
		kind := failure.KindOf(a.err)

		switch {
		case a.err == nil && !ok:
			return fmt.Errorf("record %s: got none, want one as offset %d was answered", a.text, a.offset)
		case a.err == nil && offset != a.offset:
			return fmt.Errorf("record %s: got offset %d, want %d as was answered", a.text, offset, a.offset)
		case a.err != nil && ok && kind != failure.OutcomeUnknown:
			return fmt.Errorf("record %s: got it at %d, want none after %w", a.text, offset, a.err)
		}
	}

	return nil
}

// The log is down, slow or silent, it loses answers, or carries an append out
// long after its sender gave up. A writer that took "not found" for "not
// appended" and sent anew would show an operator the same change twice, and one
// that answered "not appended" too early would tell of a change that then comes.
func TestAppendsUnderFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)

		var err error

		synctest.Test(t, func(t *testing.T) {
			answers, early, late := s.play(t.Context())

			if err = check(answers, early); err == nil {
				err = check(answers, late)
			}

			if err == nil && len(early) != len(late) {
				err = fmt.Errorf("reader that came late: got %d records, want %d as the other", len(late), len(early))
			}
		})

		if err != nil {
			rt.Fatal(err)
		}
	})
}
