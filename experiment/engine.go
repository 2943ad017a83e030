package experiment

import (
	"time"

	"boragehub/setting"
)

// classes is the number of classes; order ranks them, the most pressing first.
const classes = 4

func order(c setting.Class) int {
	return [...]int{setting.Standard: 2, setting.Urgent: 0, setting.Interactive: 1, setting.Background: 3}[c]
}

// job is one request on its way.
type job struct {
	v       *visit
	class   int
	due     time.Duration // when it is given up
	known   int           // leading tokens that were computed before
	expect  int           // tokens that its entry expects to be computed
	pending int           // of these, those its engine still counts as to come
	version int           // weight version of what was imported

	placed    bool
	importing bool
	imported  int
	started   bool
	ran       int // weight version that its prefill began with
	left      int
	ended     bool
	attempts  int
	seq       uint64
	release   func() // gives the place at the entry's gate back
}

// free gives the place at the entry's gate back, once.
func (j *job) free() {
	if j.release != nil {
		j.release()
		j.release = nil
	}
}

// report is a load report.
type report struct {
	at      time.Duration
	running int
	waiting int
	// pending are the tokens to be computed by class, of this and all more pressing ones.
	pending [classes]int
}

// reports is how many load reports are remembered.
const reports = 128

// engine is one engine: a batch that decodes, beside which one prefill runs at
// a time, in chunks and in order of class.
type engine struct {
	w          *world
	index      int
	name       string
	dataCentre string
	spec       EngineSpec
	cache      *cache
	up         bool
	version    int
	loading    bool

	waiting [classes][]*job
	placed  []*job // with a place, before their first token
	running int
	pinned  int
	busy    bool
	epoch   int // rises when all that ran is lost
	pending [classes]int
	seen    [reports]report
	next    int
}

// enqueue takes a job.
func (e *engine) enqueue(j *job) {
	e.w.seq++
	j.seq = e.w.seq
	j.pending = j.expect
	e.pending[j.class] += j.pending
	e.waiting[j.class] = append(e.waiting[j.class], j)
	e.admit()
	e.prefill()
}

// admit gives places to those who wait, while there are places and memory.
func (e *engine) admit() {
	for c := range e.waiting {
		for len(e.waiting[c]) > 0 {
			j := e.waiting[c][0]
			if e.w.clock.now > j.due {
				e.waiting[c] = e.waiting[c][1:]
				e.giveUp(j)

				continue
			}

			need := j.v.prompt + j.v.answer
			if e.loading || e.running >= e.spec.MaxRunning || (e.running > 0 && e.pinned+need > e.spec.CacheTokens) {
				return
			}

			e.waiting[c] = e.waiting[c][1:]
			e.running++
			e.pinned += need
			e.cache.pin(j.v.c, need)
			j.placed = true
			e.placed = append(e.placed, j)
		}
	}
}

func (e *engine) giveUp(j *job) {
	e.count(j, j.pending)

	j.ended = true
	e.w.refused(j)
}

// count takes tokens of j off the pending ones.
func (e *engine) count(j *job, tokens int) {
	tokens = min(tokens, j.pending)
	j.pending -= tokens
	e.pending[j.class] -= tokens
}

// prefill starts the next chunk of the most pressing job that has its import.
func (e *engine) prefill() {
	if e.busy || e.loading {
		return
	}

	j := e.pick()
	if j == nil {
		return
	}

	if !j.started {
		e.start(j)
	}

	n := min(j.left, e.spec.Chunk)
	batch := min(float64(e.running)/float64(e.spec.MaxRunning), 1)
	took := float64(n) / e.spec.PrefillTokensPerSecond * (1 + e.spec.Interference*batch)
	e.busy = true
	epoch := e.epoch

	e.w.clock.after(time.Duration(took*float64(time.Second)), func() {
		if e.epoch == epoch {
			e.chunk(j, n)
		}
	})
}

func (e *engine) pick() *job {
	var best *job

	for _, j := range e.placed {
		if j.importing {
			continue
		}

		if best == nil || j.class < best.class || (j.class == best.class && j.seq < best.seq) {
			best = j
		}
	}

	return best
}

// start settles how much of j must be computed.
func (e *engine) start(j *job) {
	j.started = true
	j.ran = e.version
	held := e.cache.tokens(j.v.c)

	if j.version == e.version {
		held = max(held, j.imported)
	}

	// The last token is always computed: it brings the first one of the answer.
	held = min(held, j.v.prompt-1)
	j.left = j.v.prompt - held
	e.w.computed(j, held)
}

func (e *engine) chunk(j *job, n int) {
	e.busy = false
	j.left -= n
	e.count(j, n)

	if j.left <= 0 {
		e.first(j)
	}

	e.prefill()
}

// first gives the first token of j and plans the last one.
func (e *engine) first(j *job) {
	e.count(j, j.pending)
	e.unplace(j)
	e.hold(j, j.v.prompt)
	e.w.first(j, e)

	step := e.spec.Step + time.Duration(e.running)*e.spec.StepEach
	epoch := e.epoch

	e.w.clock.after(time.Duration(j.v.answer)*step, func() {
		if e.epoch == epoch {
			e.finish(j)
		}
	})
}

// hold notes what j computed, unless new weights came in between.
func (e *engine) hold(j *job, tokens int) {
	if j.ran == e.version {
		e.cache.put(j.v.c, tokens)
	}
}

func (e *engine) unplace(j *job) {
	for i, o := range e.placed {
		if o == j {
			e.placed = append(e.placed[:i], e.placed[i+1:]...)
			return
		}
	}
}

func (e *engine) finish(j *job) {
	need := j.v.prompt + j.v.answer
	j.ended = true
	e.running--
	e.pinned -= need
	e.hold(j, need)
	e.cache.unpin(j.v.c)
	e.cache.evict()
	e.w.finished(j, e)
	e.admit()
	e.prefill()
}

// report keeps a load report.
func (e *engine) report() {
	r := report{at: e.w.clock.now, running: e.running}
	sum := 0

	for c := range e.pending {
		sum += e.pending[c]
		r.pending[c] = sum
		r.waiting += len(e.waiting[c])
	}

	e.seen[e.next%reports] = r
	e.next++
}

// reported returns the newest report that is at least lag old.
func (e *engine) reported(lag time.Duration) report {
	for i := e.next - 1; i >= max(e.next-reports, 0); i-- {
		r := e.seen[i%reports]
		if e.w.clock.now-r.at >= lag {
			return r
		}
	}

	return report{}
}
