package claim

// Decided reports whether the run no longer waits for its claim. With an error
// the run must not start.
func (r *Run) Decided() (bool, error) {
	if r.decided == nil {
		return true, nil
	}

	select {
	case <-r.decided:
		return true, r.err
	default:
		return false, nil
	}
}

// Outcome returns the outcome of the run; nil if it is not known yet.
func (r *Run) Outcome() *Outcome { return r.outcome }
