package drawn

import (
	"slices"
	"time"

	"boragehub/pulse"
)

// Engine parameters that differ little between the known deployments.
const (
	// chunkTokens is the maximum number of prefill tokens in a step.
	chunkTokens = 2048
	// batchSlots is the maximum number of prompts in prefill or decoding.
	batchSlots = 64
	// stepTimePerPrompt is the time that each decoding prompt adds to a step.
	stepTimePerPrompt = 50 * time.Microsecond
)

// prompt is one request.
type prompt struct {
	kind             int
	prefix           int // ID of the shared prefix, unique among all kinds
	ownTokens        int
	sharedTokens     int
	stepsLeft        int
	arrivedAt        time.Duration
	rank             int
	entry            *entry
	engineIdle       bool // the engine had no other prompt to prefill when it was sent, as far as known
	sentAt           time.Duration
	prefillLeft      int
	prefillTokens    int
	recomputedTokens int // those of prefillTokens that some engine computed before
}

func (p *prompt) memory() int { return p.sharedTokens + p.ownTokens + p.stepsLeft }

// engine models one engine.
type engine struct {
	d           *Deployment
	tokensPerMs float64 // prefill rate
	waiting     []*prompt
	prefilling  []*prompt
	running     []*prompt
	usedTokens  int
	cached      map[int]int // tokens by shared prefix
	lru         []int       // cached prefixes, the least recently used first
	stepping    bool        // a step is in progress
	report      pulse.Report
}

// enqueue adds a prompt to the wait queue behind those of its rank. Lower ranks go first.
func (e *engine) enqueue(p *prompt) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].rank > p.rank {
		at--
	}

	e.waiting = slices.Insert(e.waiting, at, p)
}

// beginStep admits waiting prompts, starts a step and returns its duration. It returns false
// if the engine has no prompts.
func (e *engine) beginStep(computed map[int]bool) (took time.Duration, ok bool) {
	for len(e.waiting) > 0 && len(e.running)+len(e.prefilling) < batchSlots && e.pendingPrefill() < chunkTokens {
		p := e.waiting[0]
		if e.usedTokens+p.memory() > e.d.MemoryTokens && len(e.running)+len(e.prefilling) > 0 {
			break
		}

		e.waiting = e.waiting[1:]
		e.admit(p, computed)
	}

	if len(e.prefilling)+len(e.running) == 0 {
		return 0, false
	}

	took = e.d.Step + time.Duration(len(e.running))*stepTimePerPrompt
	budget := chunkTokens

	for _, p := range e.prefilling {
		n := min(p.prefillLeft, budget)
		p.prefillLeft -= n
		budget -= n
	}

	return took + time.Duration(float64(chunkTokens-budget)/e.tokensPerMs*float64(time.Millisecond)), true
}

// pendingPrefill returns the prefill tokens left of the admitted prompts. The next prompt is
// admitted when they do not fill a step.
func (e *engine) pendingPrefill() int {
	n := 0
	for _, p := range e.prefilling {
		n += p.prefillLeft
	}

	return n
}

// admit starts the prefill of a prompt. computed holds the prefixes that any engine has
// computed.
func (e *engine) admit(p *prompt, computed map[int]bool) {
	e.usedTokens += p.memory()
	p.prefillTokens = p.ownTokens

	if e.cached[p.prefix] == 0 {
		p.prefillTokens += p.sharedTokens
		if computed[p.prefix] {
			p.recomputedTokens = p.sharedTokens
		}
	}

	computed[p.prefix] = true
	p.prefillLeft = max(p.prefillTokens, 1)
	e.touchPrefix(p)
	e.prefilling = append(e.prefilling, p)
}

// touchPrefix caches a prompt's shared prefix as the most recently used one, and evicts others
// as long as the memory is exceeded.
func (e *engine) touchPrefix(p *prompt) {
	e.lru = append(slices.DeleteFunc(e.lru, func(o int) bool { return o == p.prefix }), p.prefix)
	e.cached[p.prefix] = p.sharedTokens

	cached := 0
	for _, tokens := range e.cached {
		cached += tokens
	}

	for cached+e.usedTokens > e.d.MemoryTokens && len(e.lru) > 1 {
		cached -= e.cached[e.lru[0]]
		delete(e.cached, e.lru[0])
		e.lru = e.lru[1:]
	}
}

// endStep ends a step and returns the prompts whose prefill is complete, which have their
// first event.
func (e *engine) endStep() (first []*prompt) {
	e.running = slices.DeleteFunc(e.running, func(p *prompt) bool {
		p.stepsLeft--
		if p.stepsLeft <= 0 {
			e.usedTokens -= p.sharedTokens + p.ownTokens
		}

		return p.stepsLeft <= 0
	})

	e.prefilling = slices.DeleteFunc(e.prefilling, func(p *prompt) bool {
		if p.prefillLeft > 0 {
			return false
		}

		e.usedTokens -= p.stepsLeft // releases the memory reserved for the answer; generated tokens aren't counted
		first = append(first, p)
		e.running = append(e.running, p)

		return true
	})

	return first
}

// loadReport returns the engine's current load.
func (e *engine) loadReport() pulse.Report {
	return pulse.Report{
		Running: len(e.running) + len(e.prefilling), Prefilling: len(e.prefilling), Waiting: len(e.waiting),
		UsedTokens: e.usedTokens, TotalTokens: e.d.MemoryTokens,
	}
}
