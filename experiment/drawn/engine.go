package drawn

import (
	"slices"
	"time"

	"boragehub/pulse"
)

// Engine parameters that do not differ between the known deployments by much.
const (
	// piece is how many tokens are read in one step at most.
	piece = 2048
	// slots is how many prompts run at once.
	slots = 64
	// slotTime is how much longer a step takes for each answer that is generated.
	slotTime = 50 * time.Microsecond
)

// prompt is one request on its way.
type prompt struct {
	kind    int
	opening int // among all kinds
	own     int
	shared  int
	steps   int
	came    time.Duration
	urgency int
	entry   *entry
	idle    bool // its engine had nothing else to do when it was sent
	sent    time.Duration
	left    int // tokens to read
	unread  int
	again   int // of them those that were read before
}

func (p *prompt) memory() int { return p.shared + p.own + p.steps }

// engine is one engine.
type engine struct {
	d       *Deployment
	rate    float64 // tokens a ms
	waiting []*prompt
	reading []*prompt
	running []*prompt
	used    int
	cached  map[int]int // tokens by opening
	order   []int       // least recently used first
	stepped bool        // a step is under way
	told    pulse.Pulse
}

// take puts a prompt behind those of its rank.
func (e *engine) take(p *prompt) {
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].urgency > p.urgency {
		at--
	}

	e.waiting = slices.Insert(e.waiting, at, p)
}

// begin starts a step and returns how long it takes; ok is false when nothing is to do.
func (e *engine) begin(read map[int]bool) (took time.Duration, ok bool) {
	for len(e.waiting) > 0 && len(e.running)+len(e.reading) < slots && e.unread() < piece {
		p := e.waiting[0]
		if e.used+p.memory() > e.d.Memory && len(e.running)+len(e.reading) > 0 {
			break
		}

		e.waiting = e.waiting[1:]
		e.admit(p, read)
	}

	if len(e.reading)+len(e.running) == 0 {
		return 0, false
	}

	took = e.d.Step + time.Duration(len(e.running))*slotTime
	room := piece

	for _, p := range e.reading {
		n := min(p.left, room)
		p.left -= n
		room -= n
	}

	return took + time.Duration(float64(piece-room)/e.rate*float64(time.Millisecond)), true
}

// unread returns the tokens that are left of the prompts that are being read. The next
// one begins when they fill no whole step.
func (e *engine) unread() int {
	n := 0
	for _, p := range e.reading {
		n += p.left
	}

	return n
}

// admit starts to read a prompt.
func (e *engine) admit(p *prompt, read map[int]bool) {
	e.used += p.memory()
	p.unread = p.own

	if e.cached[p.opening] == 0 {
		p.unread += p.shared
		if read[p.opening] {
			p.again = p.shared
		}
	}

	read[p.opening] = true
	p.left = max(p.unread, 1)
	e.touch(p)
	e.reading = append(e.reading, p)
}

// touch keeps an opening as the one used last, and drops others for room.
func (e *engine) touch(p *prompt) {
	e.order = append(slices.DeleteFunc(e.order, func(o int) bool { return o == p.opening }), p.opening)
	e.cached[p.opening] = p.shared

	kept := 0
	for _, tokens := range e.cached {
		kept += tokens
	}

	for kept+e.used > e.d.Memory && len(e.order) > 1 {
		kept -= e.cached[e.order[0]]
		delete(e.cached, e.order[0])
		e.order = e.order[1:]
	}
}

// end ends a step and returns the prompts that have their first event.
func (e *engine) end() (first []*prompt) {
	e.running = slices.DeleteFunc(e.running, func(p *prompt) bool {
		p.steps--
		if p.steps <= 0 {
			e.used -= p.shared + p.own
		}

		return p.steps <= 0
	})

	e.reading = slices.DeleteFunc(e.reading, func(p *prompt) bool {
		if p.left > 0 {
			return false
		}

		e.used -= p.steps // generated tokens are counted as they come, for all at once
		first = append(first, p)
		e.running = append(e.running, p)

		return true
	})

	return first
}

// pulse tells what the engine has to do.
func (e *engine) pulse() pulse.Pulse {
	return pulse.Pulse{
		Running: len(e.running) + len(e.reading), Reading: len(e.reading), Waiting: len(e.waiting),
		UsedTokens: e.used, TotalTokens: e.d.Memory,
	}
}
