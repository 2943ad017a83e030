package target

import "time"

// aheadSlots is how many groups of sendings are told apart.
const aheadSlots = 8

// aheadGrain is how close sendings may be to share a slot.
const aheadGrain = 20 * time.Millisecond

// ahead counts what this entry sent to one target since its load was measured.
// Without it every entry would send to the target that was emptiest a second
// ago until the next report comes, and they would all hit the same one.
type ahead struct {
	slots [aheadSlots]sendings
	n     int
}

// sendings are the requests sent at about one time, in Unix nanoseconds.
type sendings struct {
	first, last   int64
	count, tokens int32
}

// add counts a request sent at now. When all slots are taken the two oldest
// become one.
func (a *ahead) add(now time.Time, tokens int) {
	at := now.UnixNano()

	if a.n > 0 && at-a.slots[a.n-1].first <= int64(aheadGrain) {
		s := &a.slots[a.n-1]
		s.last = max(s.last, at)
		s.count++
		s.tokens += int32(tokens)

		return
	}

	if a.n == aheadSlots {
		a.slots[1].first = a.slots[0].first
		a.slots[1].count += a.slots[0].count
		a.slots[1].tokens += a.slots[0].tokens
		copy(a.slots[:], a.slots[1:])
		a.n--
	}

	a.slots[a.n] = sendings{first: at, last: at, count: 1, tokens: int32(tokens)}
	a.n++
}

// remove takes back a request that was sent at and has ended. One that a load
// report has covered already is in no slot.
func (a *ahead) remove(sent time.Time, tokens int) {
	at := sent.UnixNano()

	for i := range a.n {
		s := &a.slots[i]
		if at < s.first || at > s.last || s.count == 0 {
			continue
		}

		s.count--
		s.tokens = max(s.tokens-int32(tokens), 0)

		return
	}
}

// covered drops what was sent up to a load's measurement, which counts it.
func (a *ahead) covered(by time.Time) {
	n, at := 0, by.UnixNano()

	for i := range a.n {
		if a.slots[i].last > at && a.slots[i].count > 0 {
			a.slots[n] = a.slots[i]
			n++
		}
	}

	a.n = n
}

// total returns the requests and their prompt tokens.
func (a *ahead) total() (count, tokens int) {
	for i := range a.n {
		count += int(a.slots[i].count)
		tokens += int(a.slots[i].tokens)
	}

	return count, tokens
}

// report takes a load report; one older than the last is ignored.
func (r *row) report(now time.Time, l Load) {
	at := now.Add(-l.Age)
	if r.loadKnown && at.Before(r.loadAt) {
		return
	}

	r.load = l
	r.loadAt = at
	r.loadKnown = true
	r.ahead.covered(at)
}
