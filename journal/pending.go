package journal

import (
	"sync/atomic"
)

// The states of a Pending.
const (
	stateQueued uint32 = iota
	stateSent
	stateDone
	stateCancelled
)

// Pending is a record on its way into the stream.
type Pending struct {
	envelope envelope
	// tainted is set once the record was sent without learning what became of
	// it. From then on it can arrive at any time and can't be taken back. Only
	// the Writer's goroutine uses it.
	tainted bool
	state   atomic.Uint32
	done    chan struct{}
	offset  uint64
	err     error
}

// Done is closed when the outcome is known, or the Writer stopped.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Offset returns the outcome once Done is closed; see Writer.Append.
func (p *Pending) Offset() (uint64, error) { return p.offset, p.err }

// Cancel takes the record back and reports whether it certainly was not and
// won't be appended. False says that it was sent or is already settled.
func (p *Pending) Cancel() bool {
	return p.state.CompareAndSwap(stateQueued, stateCancelled) || p.state.Load() == stateCancelled
}

// take marks the record as being sent; false when it is cancelled.
func (p *Pending) take() bool {
	return p.state.CompareAndSwap(stateQueued, stateSent) || p.state.Load() == stateSent
}

// release allows to cancel again, after the service declined the record.
func (p *Pending) release() {
	if !p.tainted {
		p.state.CompareAndSwap(stateSent, stateQueued)
	}
}

// resolve makes the outcome known. A cancelled record has its outcome already.
func (p *Pending) resolve(offset uint64, err error) {
	if p.state.Load() == stateCancelled {
		return
	}

	p.offset, p.err = offset, err
	p.state.Store(stateDone)
	close(p.done)
}

// size is what the record adds to an append.
func (p *Pending) size() int { return len(p.envelope.Data) + envelopeBytes }
