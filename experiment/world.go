package experiment

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"boragehub/directory"
	"boragehub/limit"
	"boragehub/link"
	"boragehub/parking"
	"boragehub/route"
)

// The times of the model that the users' needs do not give.
const (
	// reportEvery is how often an engine reports its load, loadLag how old a
	// report is when it reaches an entry, loadLagOld the same with LoadOld.
	reportEvery = 100 * time.Millisecond
	loadLag     = 300 * time.Millisecond
	loadLagOld  = 5 * time.Second
	// eventLag is how late cache events reach the directory.
	eventLag = 200 * time.Millisecond
	// lookup is the time to ask the owner of a context's anchor.
	lookup = 2 * time.Millisecond
	// connectTimeout is after which an entry takes an engine for gone, and
	// silentTimeout after which it abandons an answer that doesn't begin.
	connectTimeout = 200 * time.Millisecond
	silentTimeout  = time.Second
	// suspicion is how long a failed engine or store is avoided.
	suspicion = 5 * time.Second
	// attempts bounds how often a request is sent.
	attempts = 3
)

// epoch is the time of day at virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

// world is one run.
type world struct {
	d          Deployment
	policy     Policy
	without    Without
	fault      Fault
	clock      *clock
	rng        *rand.Rand
	all        []*conversation
	engines    []*engine
	stores     []*store
	entries    []*entryModel
	sides      []*link.Table // one for each engine, of its exports
	pipes      map[[2]string]*pipe
	listed     []*pipe
	dir        *directory.Table
	cfg        route.Config
	park       parking.Config
	gaps       []*parking.Gaps // by workload
	rec        *recorder
	seq        uint64
	cut        string // data centre that is cut, empty for none
	eventsLost bool   // cache events are lost

	candidates []route.Candidate
	holdings   []directory.Holding
	sources    []route.Source
	rooms      []parking.Room
}

// entryModel is one entry.
type entryModel struct {
	index      int
	dataCentre string
	turn       int
	links      *link.Table
	sent       [][]sending // by engine, in order of time
	suspects   []time.Duration
	lost       map[string]time.Duration // stores that failed, until when
	gate       *limit.Gate
}

// sending is a request that an entry sent to an engine.
type sending struct {
	at     time.Duration
	tokens int
	class  int
}

func newWorld(d Deployment, run Result, rec *recorder) *world {
	w := &world{
		d: d, policy: run.Policy, without: run.Without, fault: run.Fault, rec: rec,
		clock: &clock{}, rng: rand.New(rand.NewPCG(run.Seed, 2)),
		pipes: map[[2]string]*pipe{},
		dir:   directory.NewTable(directory.Config{MaxBytes: 1 << 40, Stride: 1}),
		cfg: route.Config{
			FirstTokenWeight: d.FirstTokenWeight, RecomputedWeight: d.RecomputedWeight,
			Interference: d.Engine.Interference,
		},
	}
	w.settings()

	for i := range d.Workloads {
		w.gaps = append(w.gaps, parking.NewGaps(d.Workloads[i].Gap))
	}

	for i := range d.Engines {
		w.engine(i)
	}

	for _, s := range d.Stores {
		w.store(s)
	}

	for _, from := range d.DataCentres {
		for _, to := range d.DataCentres {
			p := &pipe{clock: w.clock, rate: d.LinkBytesPerSecond}
			w.pipes[[2]string{from, to}] = p
			w.listed = append(w.listed, p)
		}
	}

	shared := w.links()

	for i := range len(d.DataCentres) * d.EntriesEach {
		dc := d.DataCentres[i%len(d.DataCentres)]
		e := &entryModel{index: i, dataCentre: dc, links: w.links(), lost: map[string]time.Duration{}}
		e.gate = limit.NewGate(limit.GateConfig{
			Seed: run.Seed, Entries: len(d.DataCentres) * d.EntriesEach, Places: w.places(),
		})
		e.sent = make([][]sending, d.Engines)
		e.suspects = make([]time.Duration, d.Engines)

		if w.without == OwnLinks {
			e.links = shared
		}

		w.entries = append(w.entries, e)
	}

	return w
}

// settings puts the ideas that are switched off into the configuration.
func (w *world) settings() {
	const never = 1e-9

	switch w.without {
	case Doubt:
		w.cfg.LoadDoubt = never
	case ParkWeighing:
		w.park.LinkWeight = never
	case RecomputedWeight:
		w.cfg.FirstTokenWeight, w.cfg.RecomputedWeight = 1, 0
	default:
	}

	if w.policy == Clairvoyant {
		w.cfg.LoadDoubt = never
	}
}

// places returns the places of one entry's gate, worked out as the entries do.
func (w *world) places() float64 {
	const placesPerRunning = 3

	return float64(w.d.Engines*w.d.Engine.MaxRunning*placesPerRunning) / float64(len(w.d.DataCentres)*w.d.EntriesEach)
}

func (w *world) links() *link.Table {
	cfg := link.Config{BytesPerSecond: w.d.LinkBytesPerSecond, Latency: w.d.Apart}

	if w.without == Measuring {
		cfg.Measurable = math.MaxInt64
	}

	return link.NewTable(cfg, cfg)
}

func (w *world) engine(i int) {
	e := &engine{
		w: w, index: i, name: "engine-" + string(rune('a'+i)), spec: w.d.Engine, up: true, version: 1,
		dataCentre: w.d.DataCentres[i%len(w.d.DataCentres)],
	}
	e.cache = newCache(w.d.Engine.CacheTokens, func(c *conversation, left int) { w.shrunk(e, c, left) })
	w.engines = append(w.engines, e)
	w.sides = append(w.sides, w.links())
}

func (w *world) store(spec StoreSpec) {
	s := &store{
		name: spec.Name, dataCentre: w.d.DataCentres[spec.DataCentre], room: spec.Bytes, up: true,
		copies: map[int]*stored{}, rng: w.rng,
	}
	s.value, s.rank = w.value, w.value

	if w.without == ValueEviction {
		s.rank = func(x *stored) float64 { return x.c.seenAt.Seconds() }
	}

	s.dropped = func(c *conversation) {
		w.clock.after(eventLag, func() { w.dir.Forget(c.anchor, directory.Store, s.name, "") })
	}
	w.stores = append(w.stores, s)
}

// time returns the time of day.
func (w *world) time() time.Time { return epoch.Add(w.clock.now) }

// delay returns the delay between two data centres, one way.
func (w *world) delay(from, to string) time.Duration {
	const local = 100 * time.Microsecond

	if from == to {
		return local
	}

	return w.d.Apart
}

func (w *world) reachable(from, to string) bool {
	return from == to || (w.cut != from && w.cut != to)
}

// version returns the newest weight version that an engine has.
func (w *world) version() int {
	newest := 0
	for _, e := range w.engines {
		newest = max(newest, e.version)
	}

	return newest
}

// arrive takes a request from its client.
func (w *world) arrive(v *visit) {
	c := v.c
	w.learn(c)
	spec := &w.d.Workloads[c.workload]
	j := &job{v: v, class: order(spec.Class), due: w.clock.now + spec.Deadline, known: min(c.computed, v.prompt)}

	// The balancer sends nobody to an entry that is cut off.
	for w.cut == w.entries[v.entry].dataCentre {
		v.entry = (v.entry + 1) % len(w.entries)
	}

	wait := w.d.Clients
	if w.policy == Ours {
		wait += lookup
	}

	w.clock.after(wait, func() { w.admit(j) })
}

// The rates that operators would set: an organisation may send generous times
// its usual load at the fleet's whole capacity, and burst seconds of it at once.
const (
	generous = 2
	burstFor = 5
)

// admit passes the gate of the entry, as the daemons do.
func (w *world) admit(j *job) {
	if w.policy != Ours || w.without == Gates {
		w.route(j)
		return
	}

	c := j.v.c
	usual := w.d.Capacity() * w.d.Organisations[c.organisation]
	gate := w.entries[j.v.entry].gate

	p, err := gate.Admit(w.time(), limit.Request{
		Organisation: w.organisation(c), Class: w.d.Workloads[c.workload].Class,
		Rate: generous * usual, Burst: int(burstFor*usual) + 1,
	})
	if err != nil {
		w.refused(j)
		return
	}

	j.release = func() { gate.Release(w.time(), p) }
	w.route(j)
}

// learn notes a visit.
func (w *world) learn(c *conversation) {
	g := w.gaps[c.workload]
	g.Visited()

	if c.seen > 0 {
		g.Returned(w.clock.now - c.seenAt)
	}

	c.seen++
	c.seenAt = w.clock.now
}

// route sends a job to an engine.
func (w *world) route(j *job) {
	if j.attempts >= attempts || w.clock.now > j.due {
		w.refused(j)
		return
	}

	j.attempts++
	e := w.entries[j.v.entry]

	p := w.choose(e, j)
	if p.engine == nil {
		w.refused(j)
		return
	}

	held := p.held
	j.expect = max(j.v.prompt-held, 1)
	e.sent[p.engine.index] = append(e.sent[p.engine.index], sending{w.clock.now, j.expect, j.class})

	w.rec.moved(j.v, p.how)

	if !w.reachable(e.dataCentre, p.engine.dataCentre) {
		w.unreserve(e, p)
		w.clock.after(connectTimeout, func() { w.failed(e, j, p.engine) })

		return
	}

	if p.how == route.Import {
		j.importing = true
		w.reserve(e, j, p)
	}

	w.clock.after(w.delay(e.dataCentre, p.engine.dataCentre), func() { p.engine.enqueue(j) })
}

// failed notes that an engine didn't answer and sends the request elsewhere.
func (w *world) failed(e *entryModel, j *job, x *engine) {
	e.suspects[x.index] = w.clock.now + suspicion
	w.rec.r.Retries++

	again := &job{v: j.v, class: j.class, due: j.due, known: j.known, attempts: j.attempts, release: j.release}
	j.release = nil
	w.route(again)
}

// refused ends a request that got no first token in time.
func (w *world) refused(j *job) {
	j.free()
	w.rec.refused(j.v, w.d.Workloads[j.v.c.workload].Deadline)
}

// computed notes how much of a prompt was held when its prefill began.
func (w *world) computed(j *job, held int) {
	w.rec.computed(j.v, j.known, held)
}

// first brings the first token to the client.
func (w *world) first(j *job, e *engine) {
	entry := w.entries[j.v.entry]

	if !w.reachable(entry.dataCentre, e.dataCentre) {
		w.clock.after(silentTimeout, func() { w.failed(entry, j, e) })
		return
	}

	back := w.delay(entry.dataCentre, e.dataCentre) + w.d.Clients
	w.rec.first(j.v, w.clock.now+back-j.v.at)
}

// finished ends a request: its context is now held, and parked where it pays.
func (w *world) finished(j *job, e *engine) {
	j.free()

	c := j.v.c
	tokens := j.v.prompt + j.v.answer
	c.computed = max(c.computed, tokens)
	w.holds(e, c)
	w.keep(e, j)
}

// event brings an engine's cache event to the directory, late, unless it is lost.
// What becomes of copies in stores the side processes tell themselves.
func (w *world) event(do func()) {
	if !w.eventsLost {
		w.clock.after(eventLag, do)
	}
}

// holds tells the directory what an engine holds of c.
func (w *world) holds(e *engine, c *conversation) {
	if w.policy != Ours {
		return
	}

	tokens := e.cache.tokens(c)

	w.event(func() {
		w.dir.Learn(w.time(), c.anchor, c.chainTo(tokens), directory.Holding{
			Kind: directory.Engine, Name: e.name, DataCentre: e.dataCentre, Blocks: tokens / blockTokens,
			Source: directory.Reported, Version: strconv.Itoa(e.version),
		})
	})
}

func (w *world) shrunk(e *engine, c *conversation, left int) {
	if w.policy != Ours {
		return
	}

	if left > 0 {
		w.holds(e, c)
		return
	}

	w.event(func() { w.dir.Forget(c.anchor, directory.Engine, e.name, "") })
}

// report keeps the load reports of all engines, as long as there is load.
func (w *world) report(end time.Duration) {
	for _, e := range w.engines {
		e.report()
	}

	if w.clock.now < end {
		w.clock.after(reportEvery, func() { w.report(end) })
	}
}
