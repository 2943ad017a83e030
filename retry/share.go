package retry

import "time"

const (
	// minProcesses is the least number of processes assumed to share a slack.
	minProcesses = 8
	// slackFraction is the fraction of the slack that is shared out. The rest is for processes that
	// have joined where this one can't hear of them.
	slackFraction = 0.5
	// processMemory is how long processes count that are not heard of any more: they may only be
	// cut off, and still use their shares.
	processMemory = 10 * time.Minute
)

// JoinDelay is how long after its start a process uses no share of a slack, beyond the window in which the
// process before it may have used it. Others may not have heard of it before.
const JoinDelay = 8 * time.Second

// Share is a process's share of a slack: the number of retries that many processes together may make in any
// window beyond the ratio of their Budgets. The zero Share is nothing.
//
// No two processes agree on it. Instead, a process takes a share only while it hears of others, so that each
// that uses one counts all that do, and only once the window has passed in which the process before it may
// have used the same share (see BudgetConfig.FloorDelay).
type Share struct {
	processes int       // the largest number known lately
	until     time.Time // until when it counts
	inTouch   bool
}

// Set records how many processes are known, this one included, and whether it hears of the others; inTouch is
// true if there are none.
func (s *Share) Set(now time.Time, processes int, inTouch bool) {
	s.inTouch = inTouch

	if processes >= s.processes || now.After(s.until) {
		s.processes, s.until = processes, now.Add(processMemory)
	}
}

// Of returns the share of a slack.
func (s *Share) Of(slack int) float64 {
	if !s.inTouch {
		return 0
	}

	return slackFraction * float64(slack) / float64(max(s.processes, minProcesses))
}
