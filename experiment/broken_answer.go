package experiment

// brokenStride is n if every n-th answer is broken off under AnswersBroken.
const brokenStride = 10

// breaksOff reports whether an engine breaks off an answer that begins now. The visit determines it, so that
// all policies get the same; an answer is broken off once at most.
func (s *simulation) breaksOff(j *job) bool {
	return s.breaking && !j.resumed && j.v.answerTokens > 1 && j.v.seed%brokenStride == 0
}

// breakOff ends the run of a job after some tokens of its answer.
func (e *engine) breakOff(j *job, tokens int) {
	e.release(j)
	e.sim.resume(j, tokens)
	e.admit()
	e.startChunk()
}

// resume routes a job whose answer was broken off again, for the rest of it.
func (s *simulation) resume(j *job, tokens int) {
	s.rec.r.BrokenOff++
	s.rec.r.Retries++

	rest := *j.v
	rest.promptTokens += tokens
	rest.answerTokens -= tokens

	s.route(&job{v: &rest, class: j.class, deadline: j.deadline, computedBefore: rest.promptTokens, attempts: j.attempts, resumed: true, releasePermit: j.takePermit()})
}

// takePermit returns the function that releases the permit of the entry's gate, and leaves none.
func (j *job) takePermit() func() {
	release := j.releasePermit
	j.releasePermit = nil

	return release
}
