package quarantine

import "time"

// Tally counts requests that ended.
type Tally struct {
	// Broken is the number that broke off because their targets ended, Complete that with a complete response.
	Broken   int `cbor:"1,keyasint" json:"broken"`
	Complete int `cbor:"2,keyasint" json:"complete"`
}

// max returns the tally of more requests.
func (t Tally) max(other Tally) Tally {
	if other.Broken+other.Complete > t.Broken+t.Complete {
		return other
	}

	return t
}

// brokenFraction returns the fraction of requests that broke off. Few requests count as if there were others that
// didn't.
func (t Tally) brokenFraction() float64 {
	return float64(t.Broken) / float64(t.Broken+t.Complete+priorRequests)
}

// priorRequests is the number of complete requests that are assumed beside those counted.
const priorRequests = 10

// Spans of a RecentTally: a short one, so that a series of crashes shows at once, and a long one, so that rarer crashes
// show at all.
const (
	tallyStep  = 500 * time.Millisecond
	shortSteps = 6
	longSteps  = 20
)

// RecentTally counts the requests that ended in the last seconds. The zero value has counted none. Its methods must
// not be called concurrently.
type RecentTally struct {
	steps  [longSteps]Tally
	newest int64 // number of the newest step since the Unix epoch
}

// Add counts requests that end now.
func (r *RecentTally) Add(now time.Time, t Tally) {
	x := r.step(now)
	x.Broken += t.Broken
	x.Complete += t.Complete
}

// step returns the present step, after it has dropped those that are too old.
func (r *RecentTally) step(now time.Time) *Tally {
	n := now.UnixNano() / int64(tallyStep)

	for r.newest = max(r.newest, n-longSteps); r.newest < n; {
		r.newest++
		r.steps[r.newest%longSteps] = Tally{}
	}

	return &r.steps[r.newest%longSteps]
}

// Worst returns the count of the span in which more of the requests broke off.
func (r *RecentTally) Worst(now time.Time) Tally {
	r.step(now)

	var short, long Tally

	for i := range int64(longSteps) {
		x := r.steps[(r.newest-i+longSteps)%longSteps]
		long.Broken += x.Broken
		long.Complete += x.Complete

		if i < shortSteps {
			short = long
		}
	}

	if short.brokenFraction() > long.brokenFraction() {
		return short
	}

	return long
}
