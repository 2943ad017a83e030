package experiment

import (
	"strconv"
	"time"

	"boragehub/directory"
	"boragehub/link"
	"boragehub/route"
)

// choice is where a job goes.
type choice struct {
	engine *engine
	how    route.How
	held   int
	source route.Source
	// windows are the promises on the link, one for each chunk.
	windows []uint64
}

// choose takes an engine by the policy.
func (w *world) choose(e *entryModel, j *job) choice {
	switch w.policy {
	case RoundRobin:
		e.turn++
		return w.plain(e, j, w.turn(e, e.turn))
	case LeastLoaded:
		return w.plain(e, j, w.leastLoaded(e))
	case StickyPrefix:
		return w.plain(e, j, w.sticky(e, j))
	default:
		return w.decide(e, j)
	}
}

// plain is the choice of a policy that knows nothing of caches.
func (w *world) plain(_ *entryModel, j *job, x *engine) choice {
	if x == nil {
		return choice{}
	}

	// For its own count of work the entry takes the whole prompt.
	return choice{engine: x, how: route.Recompute, held: min(j.v.prompt-1, x.cache.tokens(j.v.c))}
}

// usable reports whether an entry believes that an engine takes work.
func (w *world) usable(e *entryModel, x *engine) bool {
	return e.suspects[x.index] <= w.clock.now
}

// turn returns the first usable engine from the n-th on.
func (w *world) turn(e *entryModel, n int) *engine {
	for i := range w.engines {
		x := w.engines[(n+i)%len(w.engines)]
		if w.usable(e, x) {
			return x
		}
	}

	return nil
}

// lag returns how old load reports are.
func (w *world) lag() time.Duration {
	if w.fault == LoadOld {
		return loadLagOld
	}

	return loadLag
}

// load returns an engine's requests as an entry believes them to be.
func (w *world) load(e *entryModel, x *engine) int {
	r := x.reported(w.lag())
	_, requests := w.sentSince(e, x, r.at, classes)

	return r.running + r.waiting + requests
}

// sentSince returns the tokens, of classes up to the given one, and the
// requests that an entry sent to an engine since a time.
func (w *world) sentSince(e *entryModel, x *engine, since time.Duration, class int) (tokens, requests int) {
	list := e.sent[x.index]
	for len(list) > 0 && list[0].at <= since {
		list = list[1:]
	}

	e.sent[x.index] = list

	for _, s := range list {
		requests++

		if s.class <= class {
			tokens += s.tokens
		}
	}

	return tokens, requests
}

func (w *world) leastLoaded(e *entryModel) *engine {
	var best *engine

	least := 0
	// Each entry begins elsewhere, so that equal ones are not all the same.
	e.turn++

	for i := range w.engines {
		x := w.engines[(e.turn+i)%len(w.engines)]
		if !w.usable(e, x) {
			continue
		}

		if n := w.load(e, x); best == nil || n < least {
			best, least = x, n
		}
	}

	return best
}

// sticky takes the engines in the order that hashing gives for the context and
// passes over those with more than a quarter above the mean load.
func (w *world) sticky(e *entryModel, j *job) *engine {
	const above = 1.25

	sum := 0
	for _, x := range w.engines {
		sum += w.load(e, x)
	}

	bound := above * float64(sum+1) / float64(len(w.engines))

	var best, any *engine

	var most, mostAny uint64

	for _, x := range w.engines {
		if !w.usable(e, x) {
			continue
		}

		h := mix(uint64(j.v.c.id), uint64(x.index))
		if any == nil || h > mostAny {
			any, mostAny = x, h
		}

		if float64(w.load(e, x)) < bound+1 && (best == nil || h > most) {
			best, most = x, h
		}
	}

	if best == nil {
		return any
	}

	return best
}

// mix returns a hash of a context and an engine.
func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}

// decide asks the decision code of the daemons.
func (w *world) decide(e *entryModel, j *job) choice {
	w.view(e, j)

	q := route.Request{
		Tokens: j.v.prompt, Computed: w.computedBefore(j), BytesPerToken: w.d.Engine.BytesPerToken,
		Seed: j.v.seed, Sources: w.sources, Links: e.links,
	}

	if w.policy == Clairvoyant {
		q.Links = w.free()
	}

	d := route.Decide(w.time(), w.cfg, q, w.candidates)
	if !d.Found() {
		return choice{}
	}

	p := choice{engine: w.engines[d.Target()], how: d.How()}

	switch d.How() {
	case route.Warm:
		p.held = w.candidates[d.Target()].Warm
	case route.Import:
		p.source = w.sources[d.Source()]
		p.held = p.source.Tokens
		p.windows = w.promise(e, j, p)
	default:
	}

	return p
}

// promise reserves the windows of an import.
func (w *world) promise(e *entryModel, j *job, p choice) []uint64 {
	if w.policy == Clairvoyant || w.without == Windows {
		return nil
	}

	return e.links.Between(p.source.DataCentre, p.engine.dataCentre).ReserveChunks(w.time(), link.Request{
		Bytes: int64(p.held) * w.d.Engine.BytesPerToken, Rank: j.class, Organisation: w.organisation(j.v.c),
	}, nil)
}

func (w *world) organisation(c *conversation) string {
	return "organisation-" + string(rune('a'+c.organisation))
}

func (w *world) computedBefore(j *job) int {
	if w.policy == Clairvoyant {
		return j.known
	}

	most := 0
	for _, h := range w.holdings {
		most = max(most, h.Blocks*blockTokens)
	}

	return most
}

// view fills the candidates and sources with what an entry believes.
func (w *world) view(e *entryModel, j *job) {
	w.candidates = w.candidates[:0]
	w.sources = w.sources[:0]
	w.holdings = w.holdings[:0]

	for _, x := range w.engines {
		w.candidates = append(w.candidates, w.candidate(e, j, x))
	}

	if w.policy == Clairvoyant {
		w.truth(j)
		return
	}

	c := j.v.c
	w.holdings = w.dir.Lookup(w.time(), c.anchor, c.chainTo(j.v.prompt), w.holdings)

	for i := range w.holdings {
		w.believe(e, &w.holdings[i])
	}
}

// believe puts one holding into the view.
func (w *world) believe(e *entryModel, h *directory.Holding) {
	tokens := h.Blocks * blockTokens

	// The version is part of each real hash, so that others are never found.
	if h.Version != strconv.Itoa(w.version()) {
		return
	}

	if h.Kind == directory.Store {
		if e.lost[h.Name] <= w.clock.now {
			w.sources = append(w.sources, route.Source{
				Name: h.Name, DataCentre: h.DataCentre, Tokens: tokens, Store: true, Learned: h.Learned,
			})
		}

		return
	}

	for i := range w.candidates {
		c := &w.candidates[i]
		if c.Name == h.Name {
			c.Warm, c.WarmAt = max(c.Warm, tokens), h.Learned

			if w.without != EngineImports && !c.Suspected {
				w.sources = append(w.sources, route.Source{Name: h.Name, DataCentre: h.DataCentre, Tokens: tokens, Learned: h.Learned})
			}

			return
		}
	}
}

// candidate is an engine as an entry believes it to be.
func (w *world) candidate(e *entryModel, j *job, x *engine) route.Candidate {
	lag := w.lag()
	r := x.reported(lag)
	class := j.class

	if w.policy == Clairvoyant {
		x.report()
		r = x.reported(0)
	}

	if w.without == Classes {
		class = classes - 1
	}

	c := route.Candidate{
		Name: x.name, DataCentre: x.dataCentre, Suspected: !w.usable(e, x),
		Delay: 2 * w.delay(e.dataCentre, x.dataCentre), LoadAt: epoch.Add(r.at),
		Running: r.running, Waiting: r.waiting, WaitingPrefillTokens: r.pending[class],
		MaxRunning: x.spec.MaxRunning, PlaceTime: time.Second,
		PrefillTokensPerSecond: x.spec.PrefillTokensPerSecond,
	}

	c.BusyTokens = min(r.pending[classes-1]-r.pending[class], x.spec.Chunk) / 2
	if w.without == Busy {
		c.BusyTokens = 0
	}

	if w.policy != Clairvoyant && w.without != OwnSent {
		c.SentTokens, c.SentRequests = w.sentSince(e, x, r.at, class)
	}

	return c
}

// truth fills the view with what engines and stores really hold.
func (w *world) truth(j *job) {
	for i, x := range w.engines {
		tokens := x.cache.tokens(j.v.c)
		if tokens == 0 {
			continue
		}

		w.candidates[i].Warm, w.candidates[i].WarmAt = tokens, w.time()

		if w.cut != x.dataCentre {
			w.sources = append(w.sources, route.Source{Name: x.name, DataCentre: x.dataCentre, Tokens: tokens, Learned: w.time()})
		}
	}

	for _, s := range w.stores {
		if tokens := s.tokens(j.v.c, w.version()); tokens > 0 && w.cut != s.dataCentre {
			w.sources = append(w.sources, route.Source{Name: s.name, DataCentre: s.dataCentre, Tokens: tokens, Store: true})
		}
	}
}

// freeLinks are links that nobody else uses.
type freeLinks struct {
	apart time.Duration
	rate  float64
}

// Way implements route.Links.
func (f freeLinks) Way(time.Time, string, string) (wait time.Duration, bytesPerSecond float64) {
	return f.apart, f.rate
}

func (w *world) free() freeLinks {
	rate := w.d.LinkBytesPerSecond
	if len(w.listed) > 0 {
		rate = w.listed[0].rate
	}

	return freeLinks{w.d.Apart, rate}
}
