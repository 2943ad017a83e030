package mirror

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// resettingLog is the oracle: a log that returns from copies, and what was ever written to it.
type resettingLog struct {
	now      time.Time
	era      int64
	records  []Record
	newest   map[string]int // by key, the revision that was written last in any era; zero for a dropped key
	written  map[string][]writtenRevision
	lost     map[string]bool // keys that are to be written again
	resetsAt []time.Time
}

// writtenRevision is a revision of a key and the time at which the log acknowledged it.
type writtenRevision struct {
	at       time.Time
	revision int
}

// rewriteTime is how long after a reset what was lost may be missing.
const rewriteTime = 2 * time.Second

func testRevision(r Record) (Revision, bool) {
	n, err := strconv.ParseInt(strings.TrimPrefix(string(r.Value), "r"), 10, 64)

	return Revision{Number: n}, err == nil
}

func (l *resettingLog) write(key string, revision int) {
	r := Record{Key: key, Offset: int64(len(l.records)), Era: l.era}
	if revision > 0 {
		r.Value = fmt.Appendf(nil, "r%d", revision)
	}

	l.records = append(l.records, r)
	l.newest[key] = revision
	l.written[key] = append(l.written[key], writtenRevision{l.now, revision})
	delete(l.lost, key)
}

// restore returns the log to an earlier end.
func (l *resettingLog) restore(end int) {
	for _, r := range l.records[end:] {
		l.lost[r.Key] = true
	}

	l.records = append([]Record{}, l.records[:end]...)
	l.era++
	l.resetsAt = append(l.resetsAt, l.now)

	for i := range l.records {
		l.records[i].Era = l.era
	}
}

// rewrite writes again what was lost of a key.
func (l *resettingLog) rewrite(key string) {
	last := 0

	for _, w := range l.written[key] {
		last = max(last, w.revision)
	}

	if l.newest[key] > 0 || last == 0 {
		l.write(key, l.newest[key])
	} else {
		l.write(key, 0)
	}
}

// due reports whether something that was lost has to be written again before a time.
func (l *resettingLog) due(t time.Time) bool {
	return len(l.lost) > 0 && len(l.resetsAt) > 0 && !t.Before(l.resetsAt[len(l.resetsAt)-1].Add(rewriteTime))
}

func (l *resettingLog) snapshot() Batch {
	return Batch{Records: existing(l.records), Snapshot: true, Era: l.era, End: int64(len(l.records)), AsOf: l.now}
}

// existing returns the newest record of each key that exists after some records.
func existing(records []Record) []Record {
	newest := map[string]Record{}
	for _, r := range records {
		newest[r.Key] = r
	}

	var all []Record

	for _, r := range newest {
		if !r.Deleted() {
			all = append(all, r)
		}
	}

	return all
}

// read makes one read of the log, as a Follower does.
func (l *resettingLog) read(t *Topic) {
	end := t.End()
	if !t.Loaded() || end.Era != l.era || end.Offset > int64(len(l.records)) {
		t.Merge(l.snapshot())

		return
	}

	t.Merge(Batch{Records: l.records[end.Offset:], Era: l.era, End: int64(len(l.records)), AsOf: l.now})
}

// held returns the revision that a topic holds of a key, zero if it doesn't exist there.
func held(t *Topic, key string) int {
	r, ok := t.Get(key)
	if !ok {
		return 0
	}

	rev, _ := testRevision(r)

	return int(rev.Number)
}

// The log returns from copies at any moment, while processes read it, fetch from each other, are cut off or
// restart. Guards against a process that returns to older content, takes up a target that has left, misses
// what was written after the return, or takes itself to be up to date while a newer record is lost.
func TestNothingRevertsWhenTheLogReturnsFromACopy(t *testing.T) {
	for _, keepLost := range []bool{true, false} {
		t.Run(fmt.Sprintf("keeps lost keys %v", keepLost), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkResets(t, keepLost) })
		})
	}
}

// resetModel is a log with the processes that follow it.
type resetModel struct {
	log      *resettingLog
	cfg      TopicConfig
	topics   []*Topic
	highest  []map[string]int // by process and key, the highest revision seen
	revision int              // the last one that was written
}

// modelKeys are the keys of a resetModel.
var modelKeys = []string{"a", "b", "c"}

func newResetModel(keepLost bool) *resetModel {
	m := &resetModel{
		log: &resettingLog{now: time.Unix(1000, 0), era: 1, newest: map[string]int{}, written: map[string][]writtenRevision{}, lost: map[string]bool{}},
		cfg: TopicConfig{Revision: testRevision, KeepLost: keepLost}, topics: make([]*Topic, 3), highest: make([]map[string]int, 3),
	}

	for i := range m.topics {
		m.restart(i)
	}

	return m
}

func (m *resetModel) restart(i int) { m.topics[i], m.highest[i] = NewTopic(m.cfg), map[string]int{} }

func (m *resetModel) write(key string) {
	m.revision++
	m.log.write(key, m.revision)
}

func (m *resetModel) drop(key string) {
	if !m.cfg.KeepLost && m.log.newest[key] > 0 {
		m.log.write(key, 0)
	}
}

func (m *resetModel) rewrite(key string) {
	if m.log.lost[key] {
		m.log.rewrite(key)
	}
}

// pass lets time pass. What was lost is written again in time.
func (m *resetModel) pass(d time.Duration) {
	for _, k := range modelKeys {
		if m.log.lost[k] && m.log.due(m.log.now.Add(d)) {
			m.log.rewrite(k)
		}
	}

	m.log.now = m.log.now.Add(d)

	for _, topic := range m.topics {
		topic.Settle(m.log.now)
	}
}

func (m *resetModel) check(t *rapid.T) {
	for i, topic := range m.topics {
		for _, k := range modelKeys {
			got := held(topic, k)
			if got > 0 && got < m.highest[i][k] {
				t.Fatalf("process %d, %s: got revision %d after %d", i, k, got, m.highest[i][k])
			}

			m.highest[i][k] = max(m.highest[i][k], got)

			if m.cfg.KeepLost {
				checkCertain(t, m.log, topic, k)
			}
		}
	}
}

// checkEnd has all processes read on until all that was lost is written again, and checks what they hold.
func (m *resetModel) checkEnd(t *rapid.T) {
	for range 3 {
		for _, topic := range m.topics {
			m.log.read(topic)
		}

		m.pass(3 * time.Second)
	}

	m.check(t)

	for i, topic := range m.topics {
		for _, k := range modelKeys {
			if got, want := held(topic, k), m.log.newest[k]; got != want {
				t.Fatalf("process %d, %s: got revision %d at last, want %d", i, k, got, want)
			}
		}
	}
}

func checkResets(t *rapid.T, keepLost bool) {
	m := newResetModel(keepLost)
	process, key := rapid.IntRange(0, len(m.topics)-1), rapid.SampledFrom(modelKeys)

	t.Repeat(map[string]func(*rapid.T){
		"write":       func(t *rapid.T) { m.write(key.Draw(t, "key")) },
		"drop":        func(t *rapid.T) { m.drop(key.Draw(t, "key")) },
		"write again": func(t *rapid.T) { m.rewrite(key.Draw(t, "key")) },
		"return from a copy": func(t *rapid.T) {
			if len(m.log.lost) == 0 {
				m.log.restore(rapid.IntRange(0, len(m.log.records)).Draw(t, "end"))
			}
		},
		"read": func(t *rapid.T) { m.log.read(m.topics[process.Draw(t, "process")]) },
		"fetch": func(t *rapid.T) {
			from, to := m.topics[process.Draw(t, "from")], m.topics[process.Draw(t, "to")]
			if from != to {
				to.Merge(from.Since(to.End()))
			}
		},
		"time passes": func(t *rapid.T) { m.pass(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"restart":     func(t *rapid.T) { m.restart(process.Draw(t, "process")) },
		"":            m.check,
	})

	m.checkEnd(t)
}

// checkCertain checks that a topic holds what was written by the time at which it says to be certain.
func checkCertain(t *rapid.T, log *resettingLog, topic *Topic, key string) {
	at := topic.CertainAt()

	for _, w := range log.written[key] {
		if w.at.Before(at) && held(topic, key) < w.revision {
			t.Fatalf("%s: got revision %d, certain as of %v, want %d of %v", key, held(topic, key), at, w.revision, w.at)
		}
	}
}
