package experiment

import (
	"time"

	"boragehub/setting"
)

// classes is the number of request classes. classRank ranks them; the most urgent class
// has rank 0.
const classes = 4

func classRank(c setting.Class) int {
	return [...]int{setting.Standard: 2, setting.Urgent: 0, setting.Interactive: 1, setting.Background: 3}[c]
}

// job is one attempt of a request.
type job struct {
	v               *visit
	class           int
	deadline        time.Duration // when it is refused unless it has a batch slot
	computedBefore  int           // leading tokens that some engine computed before
	expectedPrefill int           // prefill tokens that its entry expects
	pendingPrefill  int           // of these, those that its engine still counts as pending
	importedVersion int           // weight version of the imported tokens

	hasSlot        bool
	importing      bool
	importedTokens int
	started        bool
	prefillVersion int // weight version when its prefill began
	prefillLeft    int
	ended          bool
	attempts       int
	resumed        bool // continues an answer of which the caller has a part
	seq            uint64
	releasePermit  func() // releases the permit of the entry's gate
}

// releaseGate releases the permit of the entry's gate. Further calls do nothing.
func (j *job) releaseGate() {
	if j.releasePermit != nil {
		j.releasePermit()
		j.releasePermit = nil
	}
}

// report is a load report.
type report struct {
	at      time.Duration
	running int
	waiting int
	// pendingPrefill are the pending prefill tokens by class, each including those of
	// all more urgent classes.
	pendingPrefill [classes]int
}

// maxReports is the number of load reports kept: at reportInterval, more than
// staleLoadReportDelay needs.
const maxReports = 128

// engine models one engine. One prefill runs at a time, in chunks and in order of class,
// beside a batch that decodes.
type engine struct {
	sim        *simulation
	index      int
	name       string
	dataCentre string
	spec       EngineSpec
	cache      *cache
	up         bool
	version    int
	loading    bool

	waiting        [classes][]*job
	prefilling     []*job // have a batch slot and no first token yet
	running        int
	pinnedTokens   int
	prefillRunning bool
	generation     int // events of an older generation are ignored; nothing raises it yet
	pendingPrefill [classes]int
	reports        [maxReports]report
	reportCount    int
}

// enqueue adds a job to the wait queue of its class.
func (e *engine) enqueue(j *job) {
	e.sim.seq++
	j.seq = e.sim.seq
	j.pendingPrefill = j.expectedPrefill
	e.pendingPrefill[j.class] += j.pendingPrefill
	e.waiting[j.class] = append(e.waiting[j.class], j)
	e.admit()
	e.startChunk()
}

// admit gives batch slots to waiting jobs in order of class, as long as there are free
// slots and memory. It refuses jobs whose deadline has passed.
func (e *engine) admit() {
	for c := range e.waiting {
		for len(e.waiting[c]) > 0 {
			j := e.waiting[c][0]
			if e.sim.clock.now > j.deadline {
				e.waiting[c] = e.waiting[c][1:]
				e.expire(j)

				continue
			}

			need := j.v.promptTokens + j.v.answerTokens
			if e.loading || e.running >= e.spec.MaxRunning || (e.running > 0 && e.pinnedTokens+need > e.spec.CacheTokens) {
				return
			}

			e.waiting[c] = e.waiting[c][1:]
			e.running++
			e.pinnedTokens += need
			e.cache.pin(j.v.c, need)
			j.hasSlot = true
			e.prefilling = append(e.prefilling, j)
		}
	}
}

func (e *engine) expire(j *job) {
	e.subtractPending(j, j.pendingPrefill)

	j.ended = true
	e.sim.refuse(j)
}

// subtractPending subtracts tokens of j from the pending prefill tokens.
func (e *engine) subtractPending(j *job, tokens int) {
	tokens = min(tokens, j.pendingPrefill)
	j.pendingPrefill -= tokens
	e.pendingPrefill[j.class] -= tokens
}

// startChunk starts the next prefill chunk of the most urgent job that is not waiting for
// an import.
func (e *engine) startChunk() {
	if e.prefillRunning || e.loading {
		return
	}

	j := e.nextJob()
	if j == nil {
		return
	}

	if !j.started {
		e.beginPrefill(j)
	}

	n := min(j.prefillLeft, e.spec.ChunkTokens)
	batchLoad := min(float64(e.running)/float64(e.spec.MaxRunning), 1)
	seconds := float64(n) / e.spec.PrefillTokensPerSecond * (1 + e.spec.Interference*batchLoad)
	e.prefillRunning = true
	generation := e.generation

	e.sim.clock.after(time.Duration(seconds*float64(time.Second)), func() {
		if e.generation == generation {
			e.finishChunk(j, n)
		}
	})
}

func (e *engine) nextJob() *job {
	var best *job

	for _, j := range e.prefilling {
		if j.importing {
			continue
		}

		if best == nil || j.class < best.class || (j.class == best.class && j.seq < best.seq) {
			best = j
		}
	}

	return best
}

// beginPrefill determines how many tokens of j must be computed: those neither cached nor
// imported for the loaded weight version.
func (e *engine) beginPrefill(j *job) {
	j.started = true
	j.prefillVersion = e.version
	cached := e.cache.tokens(j.v.c)

	if j.importedVersion == e.version {
		cached = max(cached, j.importedTokens)
	}

	// The last prompt token is always computed, since it yields the first token of the
	// answer.
	cached = min(cached, j.v.promptTokens-1)
	j.prefillLeft = j.v.promptTokens - cached
	e.sim.recordPrefill(j, cached)
}

func (e *engine) finishChunk(j *job, n int) {
	e.prefillRunning = false
	j.prefillLeft -= n
	e.subtractPending(j, n)

	if j.prefillLeft <= 0 {
		e.firstToken(j)
	}

	e.startChunk()
}

// firstToken delivers the first token of j and schedules the last one.
func (e *engine) firstToken(j *job) {
	e.subtractPending(j, j.pendingPrefill)
	e.removePrefilling(j)
	e.cachePrefix(j, j.v.promptTokens)
	e.sim.firstToken(j, e)

	step := e.spec.Step + time.Duration(e.running)*e.spec.StepPerRequest
	generation := e.generation
	tokens, end := j.v.answerTokens, e.finish

	if e.sim.breaksOff(j) {
		tokens /= 2
		end = func(j *job) { e.breakOff(j, tokens) }
	}

	e.sim.clock.after(time.Duration(tokens)*step, func() {
		if e.generation == generation {
			end(j)
		}
	})
}

// cachePrefix caches the first tokens of j, unless new weights were loaded since its
// prefill began.
func (e *engine) cachePrefix(j *job, tokens int) {
	if j.prefillVersion == e.version {
		e.cache.put(j.v.c, tokens)
	}
}

func (e *engine) removePrefilling(j *job) {
	for i, o := range e.prefilling {
		if o == j {
			e.prefilling = append(e.prefilling[:i], e.prefilling[i+1:]...)
			return
		}
	}
}

func (e *engine) finish(j *job) {
	e.cachePrefix(j, j.v.promptTokens+j.v.answerTokens)
	e.release(j)
	e.sim.finish(j, e)
	e.admit()
	e.startChunk()
}

// release ends a job and gives back its slot and memory.
func (e *engine) release(j *job) {
	j.ended = true
	e.running--
	e.pinnedTokens -= j.v.promptTokens + j.v.answerTokens
	e.cache.unpin(j.v.c)
	e.cache.evict()
}

// recordReport stores a load report of the current state.
func (e *engine) recordReport() {
	r := report{at: e.sim.clock.now, running: e.running}
	sum := 0

	for c := range e.pendingPrefill {
		sum += e.pendingPrefill[c]
		r.pendingPrefill[c] = sum
		r.waiting += len(e.waiting[c])
	}

	e.reports[e.reportCount%maxReports] = r
	e.reportCount++
}

// latestReport returns the newest report that is at least minAge old, an empty one if there
// is none.
func (e *engine) latestReport(minAge time.Duration) report {
	for i := e.reportCount - 1; i >= max(e.reportCount-maxReports, 0); i-- {
		r := e.reports[i%maxReports]
		if e.sim.clock.now-r.at >= minAge {
			return r
		}
	}

	return report{}
}
