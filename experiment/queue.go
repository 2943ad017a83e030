package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in order of virtual time, those of the same time in the
// order in which they were planned.
type clock struct {
	now    time.Duration
	events events
	last   uint64
}

type planned struct {
	at  time.Duration
	seq uint64
	do  func()
}

// after plans do for d from now.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(d, 0), do) }

// at plans do for a time.
func (c *clock) at(at time.Duration, do func()) {
	c.last++
	heap.Push(&c.events, planned{max(at, c.now), c.last, do})
}

// run runs events until none is left or the next one is after end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(planned)
		c.now = e.at
		e.do()
	}
}

// events is a heap of planned events.
type events []planned

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}

	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(planned)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = planned{}
	*e = old[:len(old)-1]

	return last
}
