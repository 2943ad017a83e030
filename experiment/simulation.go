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

// Times and limits of the model that do not follow from the users' requirements.
const (
	// reportInterval is the interval of load reports, loadReportDelay the age of a
	// report when it reaches an entry, and staleLoadReportDelay the same age under
	// StaleLoad.
	reportInterval       = 100 * time.Millisecond
	loadReportDelay      = 300 * time.Millisecond
	staleLoadReportDelay = 5 * time.Second
	// eventDelay is the time that a cache event takes to reach the directory.
	eventDelay = 200 * time.Millisecond
	// lookupDelay is the time to query the owner of a context's anchor.
	lookupDelay = 2 * time.Millisecond
	// connectTimeout is when an entry gives up connecting to an engine or a store,
	// and responseTimeout when it gives up waiting for a response to begin.
	connectTimeout  = 200 * time.Millisecond
	responseTimeout = time.Second
	// suspicionTime is how long a failed engine or store is not used.
	suspicionTime = 5 * time.Second
	// maxAttempts is how often a request is sent at most.
	maxAttempts = 3
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

// simulation is the state of one run.
type simulation struct {
	d             Deployment
	policy        Policy
	ablation      Ablation
	fault         Fault
	clock         *clock
	rng           *rand.Rand
	conversations []*conversation
	engines       []*engine
	stores        []*store
	entries       []*entryModel
	exportLinks   []*link.Table // by engine, for its exports; kept by its side process
	pipes         map[[2]string]*pipe
	pipeList      []*pipe
	dir           *directory.Table
	routeCfg      route.Config
	parkingCfg    parking.Config
	gaps          []*parking.Gaps // by workload
	rec           *recorder
	seq           uint64
	cutDataCentre string // the partitioned data centre, empty for none
	eventsLost    bool   // engines' cache events are dropped
	breaking      bool   // engines break off some of their answers

	candidates []route.Candidate
	holdings   []directory.Holding
	sources    []route.Source
	storeViews []parking.Store
}

// entryModel models one entry.
type entryModel struct {
	index            int
	dataCentre       string
	nextEngine       int
	links            *link.Table
	sent             [][]sentRequest // by engine, in the order of time
	suspectedUntil   []time.Duration
	unreachableUntil map[string]time.Duration // by store, after a failed import
	gate             *limit.Gate
}

// sentRequest is a request that an entry sent to an engine, with the prefill tokens that
// the entry expected.
type sentRequest struct {
	at     time.Duration
	tokens int
	class  int
}

func newSimulation(d Deployment, run Result, rec *recorder) *simulation {
	s := &simulation{
		d: d, policy: run.Policy, ablation: run.Ablation, fault: run.Fault, rec: rec,
		clock: &clock{}, rng: rand.New(rand.NewPCG(run.Seed, 2)),
		pipes: map[[2]string]*pipe{},
		dir:   directory.NewTable(directory.Config{MaxBytes: 1 << 40, Stride: 1}),
		routeCfg: route.Config{
			FirstTokenWeight: d.FirstTokenWeight, RecomputedWeight: d.RecomputedWeight,
			Interference: d.Engine.Interference,
		},
	}
	s.applyAblation()

	for i := range d.Workloads {
		s.gaps = append(s.gaps, parking.NewGaps(d.Workloads[i].Gap))
	}

	for i := range d.Engines {
		s.addEngine(i)
	}

	for _, st := range d.Stores {
		s.addStore(st)
	}

	for _, from := range d.DataCentres {
		for _, to := range d.DataCentres {
			p := &pipe{clock: s.clock, bytesPerSecond: d.LinkBytesPerSecond}
			s.pipes[[2]string{from, to}] = p
			s.pipeList = append(s.pipeList, p)
		}
	}

	shared := s.newLinkTable()

	for i := range len(d.DataCentres) * d.EntriesPerDataCentre {
		dc := d.DataCentres[i%len(d.DataCentres)]
		e := &entryModel{index: i, dataCentre: dc, links: s.newLinkTable(), unreachableUntil: map[string]time.Duration{}}
		e.gate = limit.NewGate(limit.GateConfig{
			Seed: run.Seed, Entries: len(d.DataCentres) * d.EntriesPerDataCentre, Places: s.gatePlaces(),
		})
		e.sent = make([][]sentRequest, d.Engines)
		e.suspectedUntil = make([]time.Duration, d.Engines)

		if s.ablation == PerEntryLinks {
			e.links = shared
		}

		s.entries = append(s.entries, e)
	}

	return s
}

// applyAblation configures the ablations that are settings of the decision code.
func (s *simulation) applyAblation() {
	const negligible = 1e-9 // zero would select the default

	switch s.ablation {
	case ReportUncertainty:
		s.routeCfg.LoadUncertainty = negligible
	case ParkingCost:
		s.parkingCfg.LinkWeight = negligible
	case RecomputedWeight:
		s.routeCfg.FirstTokenWeight, s.routeCfg.RecomputedWeight = 1, 0
	default:
	}

	if s.policy == Clairvoyant {
		s.routeCfg.LoadUncertainty = negligible
	}
}

// gatePlaces returns the capacity of one entry's gate, calculated as entries do.
func (s *simulation) gatePlaces() float64 {
	const placesPerRunning = 3

	return float64(s.d.Engines*s.d.Engine.MaxRunning*placesPerRunning) / float64(len(s.d.DataCentres)*s.d.EntriesPerDataCentre)
}

func (s *simulation) newLinkTable() *link.Table {
	cfg := link.Config{BytesPerSecond: s.d.LinkBytesPerSecond, Latency: s.d.InterDataCentreDelay}

	if s.ablation == LinkMeasurement {
		cfg.MinMeasuredBytes = math.MaxInt64
	}

	return link.NewTable(cfg, cfg)
}

func (s *simulation) addEngine(i int) {
	e := &engine{
		sim: s, index: i, name: "engine-" + string(rune('a'+i)), spec: s.d.Engine, up: true, version: 1,
		dataCentre: s.d.DataCentres[i%len(s.d.DataCentres)],
	}
	e.cache = newCache(s.d.Engine.CacheTokens, func(c *conversation, left int) { s.reportEviction(e, c, left) })
	s.engines = append(s.engines, e)
	s.exportLinks = append(s.exportLinks, s.newLinkTable())
}

func (s *simulation) addStore(spec StoreSpec) {
	st := &store{
		name: spec.Name, dataCentre: s.d.DataCentres[spec.DataCentre], capacity: spec.CapacityBytes, up: true,
		parts: map[int]*storedPart{}, rng: s.rng,
	}
	st.value, st.rank = s.partValue, s.partValue

	if s.ablation == ValueEviction {
		st.rank = func(x *storedPart) float64 { return x.c.lastVisit.Seconds() }
	}

	st.onDrop = func(c *conversation) {
		s.clock.after(eventDelay, func() { s.dir.Remove(c.anchor, directory.Store, st.name, "") })
	}
	s.stores = append(s.stores, st)
}

// now returns the current virtual time as a wall-clock time.
func (s *simulation) now() time.Time { return epoch.Add(s.clock.now) }

// delay returns the one-way delay between two data centres, or within one.
func (s *simulation) delay(from, to string) time.Duration {
	const local = 100 * time.Microsecond

	if from == to {
		return local
	}

	return s.d.InterDataCentreDelay
}

func (s *simulation) reachable(from, to string) bool {
	return from == to || (s.cutDataCentre != from && s.cutDataCentre != to)
}

// newestVersion returns the newest weight version that any engine has loaded.
func (s *simulation) newestVersion() int {
	newest := 0
	for _, e := range s.engines {
		newest = max(newest, e.version)
	}

	return newest
}

// arrive handles the arrival of a request from its client.
func (s *simulation) arrive(v *visit) {
	c := v.c
	s.recordVisit(c)
	spec := &s.d.Workloads[c.workload]
	j := &job{v: v, class: classRank(spec.Class), deadline: s.clock.now + spec.Deadline, computedBefore: min(c.computedTokens, v.promptTokens)}

	// The balancer sends no requests to an entry in a partitioned data centre.
	for s.cutDataCentre == s.entries[v.entry].dataCentre {
		v.entry = (v.entry + 1) % len(s.entries)
	}

	wait := s.d.ClientDelay
	if s.policy == Boragehub {
		wait += lookupDelay
	}

	s.clock.after(wait, func() { s.admit(j) })
}

// Rate limits as operators would set them: an organisation may send rateFactor times its
// usual share of the fleet's capacity, and burstSeconds of that share in one burst.
const (
	rateFactor   = 2
	burstSeconds = 5
)

// admit asks the entry's gate for admission, as the daemons do. The other policies have no
// gate.
func (s *simulation) admit(j *job) {
	if s.policy != Boragehub || s.ablation == AdmissionGates {
		s.route(j)
		return
	}

	c := j.v.c
	usualRate := s.d.Capacity() * s.d.OrganisationShares[c.organisation]
	gate := s.entries[j.v.entry].gate

	p, err := gate.Admit(s.now(), limit.Request{
		Organisation: s.organisationName(c), Class: s.d.Workloads[c.workload].Class,
		Rate: rateFactor * usualRate, Burst: int(burstSeconds*usualRate) + 1,
	})
	if err != nil {
		s.refuse(j)
		return
	}

	j.releasePermit = func() { gate.Release(s.now(), p) }
	s.route(j)
}

// recordVisit updates the gap statistics of the conversation's workload with a visit.
func (s *simulation) recordVisit(c *conversation) {
	g := s.gaps[c.workload]
	g.RecordVisit()

	if c.visitCount > 0 {
		g.RecordReturn(s.clock.now - c.lastVisit)
	}

	c.visitCount++
	c.lastVisit = s.clock.now
}

// route sends a job to the engine that the policy chooses, or refuses it if there is none,
// its deadline has passed or its attempts are used up.
func (s *simulation) route(j *job) {
	if j.attempts >= maxAttempts || s.clock.now > j.deadline {
		s.refuse(j)
		return
	}

	j.attempts++
	e := s.entries[j.v.entry]

	p := s.choose(e, j)
	if p.engine == nil {
		s.refuse(j)
		return
	}

	cached := p.cachedTokens
	j.expectedPrefill = max(j.v.promptTokens-cached, 1)
	e.sent[p.engine.index] = append(e.sent[p.engine.index], sentRequest{s.clock.now, j.expectedPrefill, j.class})

	s.rec.recordStrategy(j.v, p.strategy)

	if !s.reachable(e.dataCentre, p.engine.dataCentre) {
		s.releaseImport(e, p)
		s.clock.after(connectTimeout, func() { s.retry(e, j, p.engine) })

		return
	}

	if p.strategy == route.Import {
		j.importing = true
		s.startImport(e, j, p)
	}

	s.clock.after(s.delay(e.dataCentre, p.engine.dataCentre), func() { p.engine.enqueue(j) })
}

// retry marks an engine that did not respond as suspected and routes the request again.
func (s *simulation) retry(e *entryModel, j *job, x *engine) {
	e.suspectedUntil[x.index] = s.clock.now + suspicionTime
	s.rec.r.Retries++

	s.route(&job{v: j.v, class: j.class, deadline: j.deadline, computedBefore: j.computedBefore, attempts: j.attempts, resumed: j.resumed, releasePermit: j.takePermit()})
}

// refuse ends a request without a first token; it counts with its deadline.
func (s *simulation) refuse(j *job) {
	j.releaseGate()

	if j.resumed {
		s.rec.r.Incomplete++
		return
	}

	s.rec.refuse(j.v, s.d.Workloads[j.v.c.workload].Deadline)
}

// recordPrefill records how many tokens of a prompt were cached when its prefill began.
func (s *simulation) recordPrefill(j *job, cached int) {
	s.rec.recordPrefill(j.v, j.computedBefore, cached)
}

// firstToken delivers the first token to the client. If the entry can't reach the engine,
// the request is retried after responseTimeout.
func (s *simulation) firstToken(j *job, e *engine) {
	entry := s.entries[j.v.entry]

	if !s.reachable(entry.dataCentre, e.dataCentre) {
		s.clock.after(responseTimeout, func() { s.retry(entry, j, e) })
		return
	}

	if j.resumed {
		return
	}

	returnDelay := s.delay(entry.dataCentre, e.dataCentre) + s.d.ClientDelay
	s.rec.firstToken(j.v, s.clock.now+returnDelay-j.v.at)
}

// finish ends a request: the engine now caches its context, which is parked if that pays
// off.
func (s *simulation) finish(j *job, e *engine) {
	j.releaseGate()

	if j.resumed {
		s.rec.r.Resumed++
	}

	c := j.v.c
	tokens := j.v.promptTokens + j.v.answerTokens
	c.computedTokens = max(c.computedTokens, tokens)
	s.reportCached(e, c)
	s.parkAfterVisit(e, j)
}

// sendEvent runs do, which applies an engine's cache event to the directory, after
// eventDelay, or drops it while events are lost. Changes in stores don't pass through it:
// the side processes report them themselves.
func (s *simulation) sendEvent(do func()) {
	if !s.eventsLost {
		s.clock.after(eventDelay, do)
	}
}

// reportCached reports to the directory how many tokens of c an engine has cached.
func (s *simulation) reportCached(e *engine, c *conversation) {
	if s.policy != Boragehub {
		return
	}

	tokens := e.cache.tokens(c)

	s.sendEvent(func() {
		s.dir.Record(s.now(), c.anchor, c.blockHashes(tokens), directory.Holding{
			Kind: directory.Engine, Name: e.name, DataCentre: e.dataCentre, Blocks: tokens / blockTokens,
			Source: directory.Reported, Version: strconv.Itoa(e.version),
		})
	})
}

func (s *simulation) reportEviction(e *engine, c *conversation, left int) {
	if s.policy != Boragehub {
		return
	}

	if left > 0 {
		s.reportCached(e, c)
		return
	}

	s.sendEvent(func() { s.dir.Remove(c.anchor, directory.Engine, e.name, "") })
}

// recordReports records load reports of all engines every reportInterval until end.
func (s *simulation) recordReports(end time.Duration) {
	for _, e := range s.engines {
		e.recordReport()
	}

	if s.clock.now < end {
		s.clock.after(reportInterval, func() { s.recordReports(end) })
	}
}
