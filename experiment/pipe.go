package experiment

import (
	"slices"
	"time"

	"boragehub/link"
)

// pipe models the actual link in one direction: concurrent transfers share its rate
// evenly. The decision code sees only the estimates of package link.
type pipe struct {
	clock          *clock
	bytesPerSecond float64
	flows          []*flow
	updatedAt      time.Duration
	scheduleID     int
	// bytes counts the bytes accepted for sending by class; busyTime is the time during
	// which at least one transfer was active.
	bytes    [2]float64
	busyTime time.Duration
}

type flow struct {
	bytesLeft float64
	done      func()
}

// send starts a transfer and calls done when it is complete.
func (p *pipe) send(class link.Class, bytes int64, done func()) *flow {
	p.advance()
	p.bytes[class] += float64(bytes)
	f := &flow{bytesLeft: float64(bytes), done: done}
	p.flows = append(p.flows, f)
	p.schedule()

	return f
}

// cancel stops a transfer before it is complete; its done is not called.
func (p *pipe) cancel(f *flow) {
	p.advance()

	if i := slices.Index(p.flows, f); i >= 0 {
		p.flows = slices.Delete(p.flows, i, i+1)
	}

	p.schedule()
}

// setRate changes the rate of the pipe.
func (p *pipe) setRate(rate float64) {
	p.advance()
	p.bytesPerSecond = rate
	p.schedule()
}

// advance updates all transfers to the current time.
func (p *pipe) advance() {
	elapsed := p.clock.now - p.updatedAt
	p.updatedAt = p.clock.now

	if len(p.flows) == 0 {
		return
	}

	p.busyTime += elapsed
	sentEach := elapsed.Seconds() * p.bytesPerSecond / float64(len(p.flows))

	for _, f := range p.flows {
		f.bytesLeft -= sentEach
	}
}

// schedule schedules the completion of the transfer that ends next. An event scheduled
// before the last call of schedule is ignored.
func (p *pipe) schedule() {
	p.scheduleID++

	if len(p.flows) == 0 {
		return
	}

	least := p.flows[0].bytesLeft
	for _, f := range p.flows {
		least = min(least, f.bytesLeft)
	}

	id := p.scheduleID
	wait := max(least, 0) * float64(len(p.flows)) / p.bytesPerSecond
	p.clock.after(time.Duration(wait*float64(time.Second))+1, func() {
		if p.scheduleID == id {
			p.finish()
		}
	})
}

// finish completes the transfers that have no bytes left.
func (p *pipe) finish() {
	const roundingError = 1 // bytes

	p.advance()

	var finished []*flow

	kept := p.flows[:0]
	for _, f := range p.flows {
		if f.bytesLeft <= roundingError {
			finished = append(finished, f)
			continue
		}

		kept = append(kept, f)
	}

	p.flows = kept
	p.schedule()

	for _, f := range finished {
		f.done()
	}
}
