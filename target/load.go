package target

import "time"

// maxSentGroups is the maximum number of groups in a sentCounter.
const maxSentGroups = 8

// sentGroupWidth is the maximum time between the first and the last request added to a group.
const sentGroupWidth = 20 * time.Millisecond

// sentCounter counts the requests that this entry sent to one target since its load was
// measured. Without it all entries would send to the target that was least loaded in the
// last report, up to a second old, until the next report arrives.
type sentCounter struct {
	groups [maxSentGroups]sentGroup
	n      int
}

// sentGroup is a group of requests sent at about the same time; a merged group spans more
// than sentGroupWidth. Times are in Unix nanoseconds.
type sentGroup struct {
	first, last   int64
	count, tokens int32
}

// add counts a request sent at now. When all groups are in use, the two oldest are merged.
func (c *sentCounter) add(now time.Time, tokens int) {
	at := now.UnixNano()

	if c.n > 0 && at-c.groups[c.n-1].first <= int64(sentGroupWidth) {
		g := &c.groups[c.n-1]
		g.last = max(g.last, at)
		g.count++
		g.tokens += int32(tokens)

		return
	}

	if c.n == maxSentGroups {
		c.groups[1].first = c.groups[0].first
		c.groups[1].count += c.groups[0].count
		c.groups[1].tokens += c.groups[0].tokens
		copy(c.groups[:], c.groups[1:])
		c.n--
	}

	c.groups[c.n] = sentGroup{first: at, last: at, count: 1, tokens: int32(tokens)}
	c.n++
}

// remove subtracts a request that was sent at the given time and has ended. It does
// nothing for a request that a load report covers already, as that is in no group.
func (c *sentCounter) remove(sent time.Time, tokens int) {
	at := sent.UnixNano()

	for i := range c.n {
		g := &c.groups[i]
		if at < g.first || at > g.last || g.count == 0 {
			continue
		}

		g.count--
		g.tokens = max(g.tokens-int32(tokens), 0)

		return
	}
}

// dropBefore drops the groups sent up to the measurement of a load, which includes them.
func (c *sentCounter) dropBefore(measured time.Time) {
	n, at := 0, measured.UnixNano()

	for i := range c.n {
		if c.groups[i].last > at && c.groups[i].count > 0 {
			c.groups[n] = c.groups[i]
			n++
		}
	}

	c.n = n
}

// total returns the number of requests and the sum of their prompt tokens.
func (c *sentCounter) total() (count, tokens int) {
	for i := range c.n {
		count += int(c.groups[i].count)
		tokens += int(c.groups[i].tokens)
	}

	return count, tokens
}

// setLoad applies a load report; one that was measured earlier than the last is ignored.
func (r *row) setLoad(now time.Time, l Load) {
	at := now.Add(-l.Age)
	if r.loadKnown && at.Before(r.loadAt) {
		return
	}

	r.load = l
	r.loadAt = at
	r.loadKnown = true
	r.sent.dropBefore(at)
}
