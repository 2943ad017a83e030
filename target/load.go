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

// sendings are the requests sent at about one time.
type sendings struct {
	at            time.Time
	count, tokens int
}

// add counts a request sent at now.
func (a *ahead) add(now time.Time, tokens int) {
	if a.n > 0 && now.Sub(a.slots[a.n-1].at) <= aheadGrain {
		a.slots[a.n-1].count++
		a.slots[a.n-1].tokens += tokens

		return
	}

	if a.n == aheadSlots {
		a.slots[1].count += a.slots[0].count
		a.slots[1].tokens += a.slots[0].tokens
		copy(a.slots[:], a.slots[1:])
		a.n--
	}

	a.slots[a.n] = sendings{at: now, count: 1, tokens: tokens}
	a.n++
}

// remove takes back a request that was sent at and has ended. One that a load
// report has covered already is in no slot.
func (a *ahead) remove(at time.Time, tokens int) {
	for i := a.n - 1; i >= 0; i-- {
		s := &a.slots[i]
		if s.at.After(at) && i > 0 {
			continue
		}

		if s.count > 0 && (i > 0 || !s.at.After(at) || a.n == aheadSlots) {
			s.count--
			s.tokens = max(s.tokens-tokens, 0)
		}

		return
	}
}

// covered drops what was sent up to a load's measurement, which counts it.
func (a *ahead) covered(by time.Time) {
	n := 0

	for i := range a.n {
		if a.slots[i].at.After(by) && a.slots[i].count > 0 {
			a.slots[n] = a.slots[i]
			n++
		}
	}

	a.n = n
}

// total returns the requests and their prompt tokens.
func (a *ahead) total() (count, tokens int) {
	for i := range a.n {
		count += a.slots[i].count
		tokens += a.slots[i].tokens
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
