package claim

// Settle notes the outcome of a run that was carried out.
func (c *Coordinator) Settle(r *Run, o Outcome) {
	if r.phase != running && r.phase != lost {
		return
	}

	if len(o.Body) > c.cfg.MaxBody {
		o.Body, o.Cut = nil, true
	}

	r.phase = settled
	r.outcome = &o
	c.write(record{Kind: kindOutcome, Term: r.term, ID: r.id, Run: r.nonce, Outcome: &o})
	c.disown(r)
}

// Lose notes that nobody will learn what a run brought, as its target died or
// fell silent. The process remembers it until the log does.
func (c *Coordinator) Lose(r *Run) {
	if r.phase != running {
		return
	}

	r.phase = lost

	if r.read {
		delete(c.local, r.id)
	}

	c.disown(r)
}

// Withdraw notes that a run was not carried out and won't be.
func (c *Coordinator) Withdraw(r *Run) {
	if r.phase != running {
		return
	}

	r.phase = withdrawn
	c.write(record{Kind: kindWithdraw, Term: r.term, ID: r.id, Run: r.nonce})
	c.disown(r)
}

// disown forgets a run from an earlier term; only the record matters then.
func (c *Coordinator) disown(r *Run) {
	if h := c.ledger.Holder(); (r.term != h.Term || !h.Serves()) && c.local[r.id] == r {
		delete(c.local, r.id)
	}
}

// Outbox returns the records to write, in order, and empties it.
func (c *Coordinator) Outbox() [][]byte {
	b := make([][]byte, len(c.outbox))
	for i, r := range c.outbox {
		b[i] = r.encode()
	}

	c.outbox = c.outbox[:0]

	return b
}

// Stop gives the shard back for good; see Release.
func (c *Coordinator) Stop() { c.stopping = true }

// Yield gives the shard back for another to take; see Release.
func (c *Coordinator) Yield() { c.yielding = true }

func (c *Coordinator) draining() bool { return c.stopping || c.yielding }

// Release releases a shard that is to be given back, once every run of this
// process is over and the log holds all of them.
func (c *Coordinator) Release() {
	term := c.ledger.Holder().Term
	if !c.draining() || !c.Home() || c.asked == term || len(c.local) > 0 || len(c.outbox) > 0 {
		return
	}

	c.asked = term
	c.write(record{Kind: kindRelease, Term: term})
}
