package experiment

import (
	"strconv"
	"time"

	"boragehub/directory"
	"boragehub/link"
	"boragehub/route"
)

// choice is the engine that a policy chose for a job, and the strategy by which the context
// gets there. The engine is nil if the policy found none.
type choice struct {
	engine       *engine
	strategy     route.Strategy
	cachedTokens int
	source       route.Source
	// windows are the IDs of the windows reserved on the link, one for each chunk.
	windows []uint64
}

// choose chooses an engine by the policy.
func (s *simulation) choose(e *entryModel, j *job) choice {
	switch s.policy {
	case RoundRobin:
		e.nextEngine++
		return s.cacheUnaware(e, j, s.nextUsable(e, e.nextEngine))
	case LeastLoaded:
		return s.cacheUnaware(e, j, s.leastLoaded(e))
	case StickyPrefix:
		return s.cacheUnaware(e, j, s.stickyPrefix(e, j))
	default:
		return s.decide(e, j)
	}
}

// cacheUnaware returns the choice of x by a policy that does not know cache contents.
func (s *simulation) cacheUnaware(_ *entryModel, j *job, x *engine) choice {
	if x == nil {
		return choice{}
	}

	// cachedTokens doesn't influence these policies, which count requests only; the engine
	// counts the remaining tokens as pending prefill.
	return choice{engine: x, strategy: route.Recompute, cachedTokens: min(j.v.promptTokens-1, x.cache.tokens(j.v.c))}
}

// usable reports whether an entry does not suspect an engine.
func (s *simulation) usable(e *entryModel, x *engine) bool {
	return e.suspectedUntil[x.index] <= s.clock.now
}

// nextUsable returns the first usable engine from index n on, nil if there is none.
func (s *simulation) nextUsable(e *entryModel, n int) *engine {
	for i := range s.engines {
		x := s.engines[(n+i)%len(s.engines)]
		if s.usable(e, x) {
			return x
		}
	}

	return nil
}

// reportDelay returns the age of load reports when they reach an entry.
func (s *simulation) reportDelay() time.Duration {
	if s.fault == StaleLoad {
		return staleLoadReportDelay
	}

	return loadReportDelay
}

// knownRequests returns an engine's requests as far as an entry knows: those of the last
// load report and those it sent since.
func (s *simulation) knownRequests(e *entryModel, x *engine) int {
	r := x.latestReport(s.reportDelay())
	_, requests := s.sentSince(e, x, r.at, classes)

	return r.running + r.waiting + requests
}

// sentSince returns the prefill tokens of classes up to the given one, and the number of
// requests of all classes, that an entry sent to an engine after a time. It discards older
// records.
func (s *simulation) sentSince(e *entryModel, x *engine, since time.Duration, class int) (tokens, requests int) {
	list := e.sent[x.index]
	for len(list) > 0 && list[0].at <= since {
		list = list[1:]
	}

	e.sent[x.index] = list

	for _, req := range list {
		requests++

		if req.class <= class {
			tokens += req.tokens
		}
	}

	return tokens, requests
}

func (s *simulation) leastLoaded(e *entryModel) *engine {
	var best *engine

	fewest := 0
	// Each request starts one engine further, so that ties do not always go to the same
	// engine.
	e.nextEngine++

	for i := range s.engines {
		x := s.engines[(e.nextEngine+i)%len(s.engines)]
		if !s.usable(e, x) {
			continue
		}

		if n := s.knownRequests(e, x); best == nil || n < fewest {
			best, fewest = x, n
		}
	}

	return best
}

// stickyPrefix returns the first engine in the context's rendezvous order, passing over
// those whose load is more than about a quarter above the mean. If all are, it returns the
// first usable one.
func (s *simulation) stickyPrefix(e *entryModel, j *job) *engine {
	const loadFactor = 1.25

	sum := 0
	for _, x := range s.engines {
		sum += s.knownRequests(e, x)
	}

	bound := loadFactor * float64(sum+1) / float64(len(s.engines))

	var best, fallback *engine

	var bestHash, fallbackHash uint64

	for _, x := range s.engines {
		if !s.usable(e, x) {
			continue
		}

		h := rendezvousHash(uint64(j.v.c.id), uint64(x.index))
		if fallback == nil || h > fallbackHash {
			fallback, fallbackHash = x, h
		}

		if float64(s.knownRequests(e, x)) < bound+1 && (best == nil || h > bestHash) {
			best, bestHash = x, h
		}
	}

	if best == nil {
		return fallback
	}

	return best
}

// rendezvousHash returns the hash of a context and an engine for rendezvous hashing.
func rendezvousHash(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// decide chooses an engine with the daemons' decision code.
func (s *simulation) decide(e *entryModel, j *job) choice {
	s.fillView(e, j)

	q := route.Request{
		Tokens: j.v.promptTokens, Computed: s.computedBefore(j), BytesPerToken: s.d.Engine.BytesPerToken,
		Seed: j.v.seed, Sources: s.sources, Links: e.links,
	}

	if s.policy == Clairvoyant {
		q.Links = s.idleLinks()
	}

	d := route.Decide(s.now(), s.routeCfg, q, s.candidates)
	if !d.Found() {
		return choice{}
	}

	p := choice{engine: s.engines[d.Target()], strategy: d.Strategy()}

	switch d.Strategy() {
	case route.Warm:
		p.cachedTokens = s.candidates[d.Target()].WarmTokens
	case route.Import:
		p.source = s.sources[d.Source()]
		p.cachedTokens = p.source.Tokens
		p.windows = s.reserveWindows(e, j, p)
	default:
	}

	return p
}

// reserveWindows reserves the windows of an import and returns their IDs. It reserves none
// for Clairvoyant and under the TransferWindows ablation.
func (s *simulation) reserveWindows(e *entryModel, j *job, p choice) []uint64 {
	if s.policy == Clairvoyant || s.ablation == TransferWindows {
		return nil
	}

	return e.links.Between(p.source.DataCentre, p.engine.dataCentre).ReserveChunks(s.now(), link.Request{
		Bytes: int64(p.cachedTokens) * s.d.Engine.BytesPerToken, Rank: j.class, Organisation: s.organisationName(j.v.c),
	}, nil)
}

func (s *simulation) organisationName(c *conversation) string {
	return "organisation-" + string(rune('a'+c.organisation))
}

func (s *simulation) computedBefore(j *job) int {
	if s.policy == Clairvoyant {
		return j.computedBefore
	}

	tokens := 0
	for _, h := range s.holdings {
		tokens = max(tokens, h.Blocks*blockTokens)
	}

	return tokens
}

// fillView fills the candidates and sources with what an entry knows of engines and stores.
func (s *simulation) fillView(e *entryModel, j *job) {
	s.candidates = s.candidates[:0]
	s.sources = s.sources[:0]
	s.holdings = s.holdings[:0]

	for _, x := range s.engines {
		s.candidates = append(s.candidates, s.candidate(e, j, x))
	}

	if s.policy == Clairvoyant {
		s.fillActualView(j)
		return
	}

	c := j.v.c
	s.holdings = s.dir.Lookup(s.now(), c.anchor, c.blockHashes(j.v.promptTokens), s.holdings)

	for i := range s.holdings {
		s.addHolding(e, &s.holdings[i])
	}
}

// addHolding adds one holding of the directory to the view.
func (s *simulation) addHolding(e *entryModel, h *directory.Holding) {
	tokens := h.Blocks * blockTokens

	// In the daemons the version is part of the block hashes, so that a lookup never finds
	// other versions. The model's hashes lack it.
	if h.Version != strconv.Itoa(s.newestVersion()) {
		return
	}

	if h.Kind == directory.Store {
		if e.unreachableUntil[h.Name] <= s.clock.now {
			s.sources = append(s.sources, route.Source{
				Name: h.Name, DataCentre: h.DataCentre, Tokens: tokens, Store: true, LastSeen: h.LastSeen,
			})
		}

		return
	}

	for i := range s.candidates {
		c := &s.candidates[i]
		if c.Name == h.Name {
			c.WarmTokens, c.WarmAt = max(c.WarmTokens, tokens), h.LastSeen

			if s.ablation != EngineImports && !c.Suspected {
				s.sources = append(s.sources, route.Source{Name: h.Name, DataCentre: h.DataCentre, Tokens: tokens, LastSeen: h.LastSeen})
			}

			return
		}
	}
}

// candidate describes an engine as an entry knows it.
func (s *simulation) candidate(e *entryModel, j *job, x *engine) route.Candidate {
	delay := s.reportDelay()
	r := x.latestReport(delay)
	class := j.class

	if s.policy == Clairvoyant {
		x.recordReport()
		r = x.latestReport(0)
	}

	if s.ablation == ClassOrder {
		class = classes - 1
	}

	c := route.Candidate{
		Name: x.name, DataCentre: x.dataCentre, Suspected: !s.usable(e, x),
		RoundTrip: 2 * s.delay(e.dataCentre, x.dataCentre), LoadAt: epoch.Add(r.at),
		Running: r.running, Waiting: r.waiting, WaitingPrefillTokens: r.pendingPrefill[class],
		MaxRunning: x.spec.MaxRunning, SlotTime: time.Second,
		PrefillTokensPerSecond: x.spec.PrefillTokensPerSecond,
	}

	c.LowerPriorityTokens = min(r.pendingPrefill[classes-1]-r.pendingPrefill[class], x.spec.ChunkTokens) / 2
	if s.ablation == BusyTokens {
		c.LowerPriorityTokens = 0
	}

	if s.policy != Clairvoyant && s.ablation != SentSinceReport {
		c.SentTokens, c.SentRequests = s.sentSince(e, x, r.at, class)
	}

	return c
}

// fillActualView adds what engines and stores really hold to the view.
func (s *simulation) fillActualView(j *job) {
	for i, x := range s.engines {
		tokens := x.cache.tokens(j.v.c)
		if tokens == 0 {
			continue
		}

		s.candidates[i].WarmTokens, s.candidates[i].WarmAt = tokens, s.now()

		if s.cutDataCentre != x.dataCentre {
			s.sources = append(s.sources, route.Source{Name: x.name, DataCentre: x.dataCentre, Tokens: tokens, LastSeen: s.now()})
		}
	}

	for _, st := range s.stores {
		if tokens := st.tokens(j.v.c, s.newestVersion()); tokens > 0 && s.cutDataCentre != st.dataCentre {
			s.sources = append(s.sources, route.Source{Name: st.name, DataCentre: st.dataCentre, Tokens: tokens, Store: true})
		}
	}
}

// idleLinks implements route.Links for links without other transfers.
type idleLinks struct {
	latency        time.Duration
	bytesPerSecond float64
}

// WaitAndRate returns the latency and the full rate. It implements route.Links.
func (f idleLinks) WaitAndRate(time.Time, string, string) (wait time.Duration, bytesPerSecond float64) {
	return f.latency, f.bytesPerSecond
}

func (s *simulation) idleLinks() idleLinks {
	rate := s.d.LinkBytesPerSecond
	if len(s.pipeList) > 0 {
		rate = s.pipeList[0].bytesPerSecond
	}

	return idleLinks{s.d.InterDataCentreDelay, rate}
}
