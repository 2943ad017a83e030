package admission

import (
	"math"
	"slices"
	"time"
)

// order sorts the prompts. They are nearly sorted from the time before, which makes it fast.
func (q *Queue) order(now time.Time) {
	q.share()

	for _, t := range q.waiting {
		t.late = t.prompt.Obstacle.Late || !now.Before(t.prompt.Target)
		t.class = t.orderClass()
	}

	slices.SortFunc(q.waiting, compareTickets)
}

// orderClass returns the part of a prompt's order that doesn't depend on its times: started or not,
// rank, late or not, and whether its organisation has its fair share.
func (t *Ticket) orderClass() int {
	if t.prompt.Started {
		return -1
	}

	class := 4 * min(t.prompt.Rank, math.MaxInt32)
	if t.late {
		class += 2
	}

	if !t.organisation.underShare() {
		class++
	}

	return class
}

func compareTickets(a, b *Ticket) int {
	if a.class != b.class {
		return a.class - b.class
	}

	aAt, bAt := a.prompt.Target, b.prompt.Target
	if a.late || a.prompt.Started {
		aAt, bAt = a.prompt.Deadline, b.prompt.Deadline
	}

	if c := aAt.Compare(bAt); c != 0 {
		return c
	}

	if a.sequence < b.sequence {
		return -1
	}

	return 1
}
