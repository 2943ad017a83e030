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

// Pending is a record that was submitted to a Writer.
type Pending struct {
	envelope envelope
	// maybeAppended is set once the record was sent and the outcome is unknown.
	// From then on the service may append it at any time, so it can't be
	// cancelled. Only the Writer's goroutine uses it.
	maybeAppended bool
	state         atomic.Uint32
	done          chan struct{}
	offset        uint64
	err           error
}

// Done returns a channel that is closed when the outcome is known or the Writer
// has stopped. It is not closed for a record that was cancelled.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Offset returns the outcome, as Writer.Append does, once Done is closed.
func (p *Pending) Offset() (uint64, error) { return p.offset, p.err }

// Cancel withdraws the record if it is still queued. True means that it was not
// and won't be appended; false means that it is being sent or has an outcome.
func (p *Pending) Cancel() bool {
	return p.state.CompareAndSwap(stateQueued, stateCancelled) || p.state.Load() == stateCancelled
}

// startSending marks the record as being sent. It returns false when the record
// was cancelled.
func (p *Pending) startSending() bool {
	return p.state.CompareAndSwap(stateQueued, stateSent) || p.state.Load() == stateSent
}

// endSending makes a record that certainly was not appended cancellable again.
func (p *Pending) endSending() {
	if !p.maybeAppended {
		p.state.CompareAndSwap(stateSent, stateQueued)
	}
}

// resolve sets the outcome. A cancelled record already has its outcome.
func (p *Pending) resolve(offset uint64, err error) {
	if p.state.Load() == stateCancelled {
		return
	}

	p.offset, p.err = offset, err
	p.state.Store(stateDone)
	close(p.done)
}

// appendSize returns the number of bytes that the record adds to an append.
func (p *Pending) appendSize() int { return len(p.envelope.Data) + maxEnvelopeBytes }
