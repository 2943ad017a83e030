package claim

// Complete records the outcome of a run. A body over MaxBodyBytes is omitted.
func (c *Coordinator) Complete(r *Run, o Outcome) {
	if r.phase != phaseRunning && r.phase != phaseUnknown {
		return
	}

	if len(o.Body) > c.cfg.MaxBodyBytes {
		o.Body, o.BodyOmitted = nil, true
	}

	r.phase = phaseCompleted
	r.outcome = &o
	c.enqueue(record{Kind: kindOutcome, Term: r.term, KeyID: r.keyID, RunID: r.runID, Outcome: &o})
	c.dropIfTermOver(r)
}

// MarkUnknown records that the outcome of a run will never be known, since its
// target crashed or became unresponsive. The process remembers the run until
// its claim is read back.
func (c *Coordinator) MarkUnknown(r *Run) {
	if r.phase != phaseRunning {
		return
	}

	r.phase = phaseUnknown

	if r.readBack {
		delete(c.pending, r.keyID)
	}

	c.dropIfTermOver(r)
}

// Withdraw records that a run did not happen and won't happen.
func (c *Coordinator) Withdraw(r *Run) {
	if r.phase != phaseRunning {
		return
	}

	r.phase = phaseWithdrawn
	c.enqueue(record{Kind: kindWithdraw, Term: r.term, KeyID: r.keyID, RunID: r.runID})
	c.dropIfTermOver(r)
}

// dropIfTermOver removes a run whose term is over; only its record in the log
// counts then.
func (c *Coordinator) dropIfTermOver(r *Run) {
	if o := c.state.Owner(); (r.term != o.Term || !o.Active()) && c.pending[r.keyID] == r {
		delete(c.pending, r.keyID)
	}
}

// Outbox returns the records to write, in order, and empties the outbox.
func (c *Coordinator) Outbox() [][]byte {
	b := make([][]byte, len(c.outbox))
	for i, r := range c.outbox {
		b[i] = r.encode()
	}

	c.outbox = c.outbox[:0]

	return b
}

// Stop gives the shard up for good; see Release.
func (c *Coordinator) Stop() { c.stopping = true }

// Yield gives the shard up for another process to take over; see Release.
func (c *Coordinator) Yield() { c.yielding = true }

func (c *Coordinator) draining() bool { return c.stopping || c.yielding }

// Release writes the release of a shard that is to be given up, once every run
// of this process has ended and is complete in the log.
func (c *Coordinator) Release() {
	term := c.state.Owner().Term
	if !c.draining() || !c.IsOwner() || c.releaseTerm == term || len(c.pending) > 0 || len(c.outbox) > 0 {
		return
	}

	c.releaseTerm = term
	c.enqueue(record{Kind: kindRelease, Term: term})
}
