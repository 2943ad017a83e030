package claim

// Decided tells whether the run need not wait any more. With an error it must
// not be carried out.
func (r *Run) Decided() (bool, error) {
	if r.done == nil {
		return true, nil
	}

	select {
	case <-r.done:
		return true, r.err
	default:
		return false, nil
	}
}

// Outcome returns what the run brought; nil when it is yet to be carried out.
func (r *Run) Outcome() *Outcome { return r.outcome }
