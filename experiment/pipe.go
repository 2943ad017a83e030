package experiment

import (
	"slices"
	"time"

	"boragehub/link"
)

// pipe is a link as it really is: all transfers that run share it evenly.
type pipe struct {
	clock *clock
	rate  float64
	flows []*flow
	since time.Duration
	round int
	// bytes counts what went over by class; busy is how long anything did.
	bytes [2]float64
	busy  time.Duration
}

type flow struct {
	left float64
	done func()
}

// send starts a transfer and calls done when it is over.
func (p *pipe) send(class link.Class, bytes int64, done func()) *flow {
	p.advance()
	p.bytes[class] += float64(bytes)
	f := &flow{left: float64(bytes), done: done}
	p.flows = append(p.flows, f)
	p.plan()

	return f
}

// cancel ends a transfer before it is over.
func (p *pipe) cancel(f *flow) {
	p.advance()

	if i := slices.Index(p.flows, f); i >= 0 {
		p.flows = slices.Delete(p.flows, i, i+1)
	}

	p.plan()
}

// setRate changes the rate of the pipe.
func (p *pipe) setRate(rate float64) {
	p.advance()
	p.rate = rate
	p.plan()
}

// advance brings all transfers up to now.
func (p *pipe) advance() {
	passed := p.clock.now - p.since
	p.since = p.clock.now

	if len(p.flows) == 0 {
		return
	}

	p.busy += passed
	each := passed.Seconds() * p.rate / float64(len(p.flows))

	for _, f := range p.flows {
		f.left -= each
	}
}

// plan plans the end of the transfer that ends next.
func (p *pipe) plan() {
	p.round++

	if len(p.flows) == 0 {
		return
	}

	least := p.flows[0].left
	for _, f := range p.flows {
		least = min(least, f.left)
	}

	round := p.round
	wait := max(least, 0) * float64(len(p.flows)) / p.rate
	p.clock.after(time.Duration(wait*float64(time.Second))+1, func() {
		if p.round == round {
			p.finish()
		}
	})
}

// finish ends the transfers that have nothing left.
func (p *pipe) finish() {
	const rest = 1 // bytes, lost in rounding

	p.advance()

	var over []*flow

	kept := p.flows[:0]
	for _, f := range p.flows {
		if f.left <= rest {
			over = append(over, f)
			continue
		}

		kept = append(kept, f)
	}

	p.flows = kept
	p.plan()

	for _, f := range over {
		f.done()
	}
}
