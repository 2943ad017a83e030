package publication

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"boragehub/journal"
)

var errDown = errors.New("the log is down")

// fakeLog is an in-memory log that simulates the failures of the log service.
type fakeLog struct {
	mu      sync.Mutex
	records []journal.Record // starts at offset first
	first   uint64
	now     time.Time

	down bool
	// downCalls is the number of following calls that fail.
	downCalls int
	// loseResponses is the number of following appends that succeed but return an
	// error.
	loseResponses int
	// delayAppends is the number of following appends that return an error and whose
	// records appear only after deliverDelayed.
	delayAppends int
	delayed      [][]byte
	// beforeAppend holds functions; each append first removes the last one and runs it.
	beforeAppend []func()
	appends      int
	bytes        int
}

func newFakeLog() *fakeLog {
	return &fakeLog{first: 1, now: time.Unix(1_700_000_000, 0)}
}

// unavailable counts a call and reports whether it must fail.
func (l *fakeLog) unavailable() bool {
	l.downCalls--

	return l.down || l.downCalls >= 0
}

func (l *fakeLog) next() uint64 { return l.first + uint64(len(l.records)) }

func (l *fakeLog) add(data []byte) uint64 {
	l.now = l.now.Add(time.Second)
	l.records = append(l.records, journal.Record{Offset: l.next(), At: l.now, Data: data})
	l.appends++
	l.bytes += len(data)

	return l.next() - 1
}

func (l *fakeLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	if n := len(l.beforeAppend) - 1; n >= 0 {
		run := l.beforeAppend[n]
		l.beforeAppend = l.beforeAppend[:n]
		run()
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	switch {
	case stream != Stream:
		return 0, fmt.Errorf("stream %q", stream)
	case l.unavailable():
		return 0, errDown
	case l.delayAppends > 0:
		l.delayAppends--
		l.delayed = append(l.delayed, records...)

		return 0, errDown
	}

	offset := l.next()
	for _, data := range records {
		l.add(data)
	}

	if l.loseResponses > 0 {
		l.loseResponses--

		return 0, errDown
	}

	return offset, nil
}

// deliverDelayed adds the delayed records to the log.
func (l *fakeLog) deliverDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, data := range l.delayed {
		l.add(data)
	}

	l.delayed = nil
}

// trim removes all but the newest n records.
func (l *fakeLog) trim(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if drop := len(l.records) - n; drop > 0 {
		l.records = l.records[drop:]
		l.first += uint64(drop)
	}
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit int, _ time.Duration) (journal.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.unavailable() {
		return journal.Batch{}, errDown
	}

	if from < l.first {
		return journal.Batch{}, &journal.TrimmedError{First: l.first}
	}

	b := journal.Batch{First: l.first, Next: l.next()}
	for i := from - l.first; i < uint64(len(l.records)) && len(b.Records) < limit; i++ {
		b.Records = append(b.Records, l.records[i])
	}

	return b, nil
}
