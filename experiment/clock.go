package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in the order of virtual time, and events of equal time in the order
// in which they were scheduled.
type clock struct {
	now     time.Duration
	events  events
	lastSeq uint64
}

type scheduledEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

// after schedules do to run d from now; a negative d counts as zero.
func (c *clock) after(d time.Duration, do func()) { c.at(c.now+max(d, 0), do) }

// at schedules do to run at a time, or now if the time has passed.
func (c *clock) at(at time.Duration, do func()) {
	c.lastSeq++
	heap.Push(&c.events, scheduledEvent{max(at, c.now), c.lastSeq, do})
}

// run runs events until none is left or the next one is later than end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(scheduledEvent)
		c.now = e.at
		e.do()
	}
}

// events is a heap of scheduled events, the earliest first.
type events []scheduledEvent

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}

	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*e = old[:len(old)-1]

	return last
}
