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

// fakeLog is a log in memory with the faults of the real one.
type fakeLog struct {
	mu      sync.Mutex
	records []journal.Record // from first on
	first   uint64
	now     time.Time

	down bool
	// downFor is for how many calls more the log is out.
	downFor int
	// loseAnswers is how many of the next appends take effect and fail.
	loseAnswers int
	// late holds back appends that fail, to be taken in by arrive.
	holdBack int
	late     [][]byte
	// before are run one each before the next appends.
	before  []func()
	appends int
	bytes   int
}

func newFakeLog() *fakeLog {
	return &fakeLog{first: 1, now: time.Unix(1_700_000_000, 0)}
}

// out says whether this call finds the log out.
func (l *fakeLog) out() bool {
	l.downFor--

	return l.down || l.downFor >= 0
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
	if n := len(l.before) - 1; n >= 0 {
		run := l.before[n]
		l.before = l.before[:n]
		run()
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	switch {
	case stream != Stream:
		return 0, fmt.Errorf("stream %q", stream)
	case l.out():
		return 0, errDown
	case l.holdBack > 0:
		l.holdBack--
		l.late = append(l.late, records...)

		return 0, errDown
	}

	offset := l.next()
	for _, data := range records {
		l.add(data)
	}

	if l.loseAnswers > 0 {
		l.loseAnswers--

		return 0, errDown
	}

	return offset, nil
}

// arrive takes in what was held back.
func (l *fakeLog) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, data := range l.late {
		l.add(data)
	}

	l.late = nil
}

// trim forgets all but the newest n records.
func (l *fakeLog) trim(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if drop := len(l.records) - n; drop > 0 {
		l.records = l.records[drop:]
		l.first += uint64(drop)
	}
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, most int, _ time.Duration) (journal.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.out() {
		return journal.Batch{}, errDown
	}

	if from < l.first {
		return journal.Batch{}, &journal.TrimmedError{First: l.first}
	}

	b := journal.Batch{First: l.first, Next: l.next()}
	for i := from - l.first; i < uint64(len(l.records)) && len(b.Records) < most; i++ {
		b.Records = append(b.Records, l.records[i])
	}

	return b, nil
}
