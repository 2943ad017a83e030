package journal_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"boragehub/failure"
	"boragehub/journal"
	"boragehub/standin/logservice"
)

// Guards against a process that goes on as if it had read everything after the log has returned from a copy:
// it would take records at offsets that were given out before for those that it knows, and claims or
// settings that are lost for valid ones.
func TestNothingIsUpToDateOnceTheLogReturnedFromACopy(t *testing.T) {
	for _, later := range []int{0, 2, 5} { // records after the return; three were lost
		t.Run(fmt.Sprintf("%d records later", later), func(t *testing.T) {
			service := logservice.New(logservice.Config{})

			s := httptest.NewServer(service.Handler())
			defer s.Close()

			c := journal.NewClient(journal.ClientConfig{URL: s.URL})

			var (
				mu      sync.Mutex
				handled int
			)

			r := journal.NewReader(journal.ReaderConfig{Log: c, Stream: "s", Wait: 20 * time.Millisecond, Handle: func(journal.Record) {
				mu.Lock()
				defer mu.Unlock()

				handled++
			}})
			count := func() int {
				mu.Lock()
				defer mu.Unlock()

				return handled
			}

			writing, stopWriting := context.WithCancel(t.Context())
			writer := journal.NewWriter(journal.WriterConfig{Log: journal.NewClient(journal.ClientConfig{URL: s.URL}), Stream: "s"})

			var running sync.WaitGroup

			running.Go(func() { writer.Run(writing) })

			for i := range 5 {
				if _, err := writer.Append(t.Context(), []byte{byte(i)}); err != nil {
					t.Fatal(err)
				}
			}

			reading, stopReading := context.WithCancel(t.Context())

			running.Go(func() { r.Run(reading) })

			for end := time.Now().Add(10 * time.Second); count() < 5 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}

			service.Restore(map[string]uint64{"s": 3})

			other := journal.NewClient(journal.ClientConfig{URL: s.URL})
			for i := range later {
				if _, err := other.Append(t.Context(), "s", [][]byte{{byte(i)}}); err != nil {
					t.Fatal(err)
				}
			}

			time.Sleep(100 * time.Millisecond)

			restored := time.Now()

			time.Sleep(100 * time.Millisecond)

			if at, _, _ := r.AtEnd(); at.After(restored) || count() != 5 {
				t.Errorf("got the reader up to date as of %v with %d records, want it behind since %v with 5", at, count(), restored)
			}

			if _, err := c.Append(t.Context(), "s", [][]byte{{9}}); failure.KindOf(err) != failure.OutcomeUnknown {
				t.Errorf("append: got %v, want an unknown outcome", err)
			}

			stopReading()
			stopWriting()
			running.Wait()
		})
	}
}
