package admission

import (
	"iter"

	"boragehub/limit"
)

// organisation is what an organisation's prompts take of the engines' memory, in tokens.
type organisation struct {
	inUse, waiting int
	fairShare      float64 // as of the last order
}

// underShare reports whether the organisation's prompts in flight take less than its fair share.
//
// Half a token is less than any prompt and more than the error of the computation.
func (o *organisation) underShare() bool { return float64(o.inUse)+0.5 < o.fairShare }

// maxTokens bounds what one prompt counts for. No engine has as much memory, and the sum over all
// prompts fits into an int.
const maxTokens = 1 << 32

// countedTokens returns what a prompt that states a number of tokens counts for.
func countedTokens(tokens int) int { return min(max(tokens, 1), maxTokens) }

// Use records that a prompt of an organisation was sent and takes memory.
func (q *Queue) Use(name string, tokens int) {
	tokens = countedTokens(tokens)
	q.organisation(name).inUse += tokens
	q.inUse += tokens
}

// Release records that a prompt recorded by Use has ended.
func (q *Queue) Release(name string, tokens int) {
	tokens = countedTokens(tokens)
	q.organisation(name).inUse -= tokens
	q.inUse -= tokens
	q.forget(name)
}

// InUse returns the tokens of memory that an organisation's prompts in flight take.
func (q *Queue) InUse(name string) int {
	if o, ok := q.organisations[name]; ok {
		return o.inUse
	}

	return 0
}

func (q *Queue) organisation(name string) *organisation {
	o, ok := q.organisations[name]
	if !ok {
		o = &organisation{}
		q.organisations[name] = o
	}

	return o
}

// forget removes an organisation without prompts, so that the number kept is bounded by those.
func (q *Queue) forget(name string) {
	if o := q.organisations[name]; o.inUse <= 0 && o.waiting <= 0 {
		delete(q.organisations, name)
	}
}

// share divides the memory in use among the organisations: max-min fairness with equal weights, by
// what each one's prompts take and would take.
func (q *Queue) share() {
	level := limit.FairLevel(float64(q.inUse), q.demands())

	for _, o := range q.organisations {
		o.fairShare = min(level, float64(o.inUse+o.waiting))
	}
}

// demands returns weight and demand of each organisation.
func (q *Queue) demands() iter.Seq2[float64, float64] {
	return func(yield func(float64, float64) bool) {
		for _, o := range q.organisations {
			if !yield(1, float64(o.inUse+o.waiting)) {
				return
			}
		}
	}
}
