//go:build review

package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// tally counts answers.
type tally struct {
	rec *record

	mu     sync.Mutex
	total  int
	refuse int // ended with a 3xx or 4xx that no engine gave
	counts map[string]map[string]int
}

func newTally(rec *record) *tally { return &tally{rec: rec, counts: make(map[string]map[string]int)} }

// ownRefusal reports whether an answer is a 3xx or 4xx of the system's own that counts for the rule DENIED.
func ownRefusal(a answer) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	default:
		return a.own && a.status >= 300 && a.status < 500
	}
}

// add counts an answer that the rule holds for.
func (t *tally) add(group string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.count(group, a)
	t.total++

	if ownRefusal(a) {
		t.refuse++
	}
}

// skip counts an answer that the rule does not hold for.
func (t *tally) skip(group string, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.count(group, a)
}

// count counts an answer in its group. The caller holds mu.
func (t *tally) count(group string, a answer) {
	what := fmt.Sprintf("%d", a.status)
	if a.own {
		what += " of the system's own"
	}

	if a.status == 0 {
		what = "no answer"
	} else if a.status == http.StatusOK && !a.complete {
		what += ", broken off"
	}

	if t.counts[group] == nil {
		t.counts[group] = make(map[string]int)
	}

	t.counts[group][what]++
}

// show shows the counts.
func (t *tally) show() {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, g := range slices.Sorted(maps.Keys(t.counts)) {
		t.rec.show("%s: %v", g, t.counts[g])
	}
}

// denied shows the counts, and reports whether the rule DENIED was broken: all requests are proper, allowed by the one
// configuration, and no entry was ever disturbed.
func (t *tally) denied() bool {
	t.show()

	t.mu.Lock()
	defer t.mu.Unlock()

	limit := 5 + float64(t.total)/500
	t.rec.show("%d of %d requests ended with a 3xx or 4xx of the system's own; DENIED allows %.1f", t.refuse, t.total, limit)

	return float64(t.refuse) > limit
}

// crashBusiest crashes the n engines with most requests running; they are back after a time.
func (f *fleet) crashBusiest(n int, down time.Duration) {
	all := slices.Clone(f.engines)
	slices.SortStableFunc(all, func(a, b *engine) int { return b.runningNow() - a.runningNow() })

	for _, e := range all[:n] {
		broken := e.crash()
		f.rec.show("engine %s crashes with %d requests running", e.cfg.name, broken)
		time.AfterFunc(down, func() {
			if err := e.start(); err != nil {
				f.rec.show("engine %s: %v", e.cfg.name, err)
			}
		})
	}
}

// crashUnder crashes an engine while it runs a request of an organisation; it is back after a time.
func (f *fleet) crashUnder(organisation string, down time.Duration) {
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		for _, e := range f.engines {
			if !e.runsFor(organisation) {
				continue
			}

			broken := e.crash()
			f.rec.show("engine %s crashes with %d requests running", e.cfg.name, broken)
			time.AfterFunc(down, func() {
				if err := e.start(); err != nil {
					f.rec.show("engine %s: %v", e.cfg.name, err)
				}
			})

			return
		}
	}
}

func (e *engine) runningNow() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return len(e.running)
}
